package anvilbalance

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Defaults of Config.
const (
	// DefaultRetryRatio is the share of the requests that may be repeated.
	DefaultRetryRatio = 0.2
	// DefaultRetryWindow is the time over which repeats are counted.
	DefaultRetryWindow = 10 * time.Second
	// DefaultHedgeQuantile is the latency quantile after which a call of a request with
	// few parts is overdue.
	DefaultHedgeQuantile = 0.95
)

const (
	// budgetMargin keeps the sum over all nodes below the bound although their
	// windows and views of the fleet differ.
	budgetMargin = 0.85
	// hedgeShare is the part of the budget that hedges may use; the rest is left
	// for repeating calls that failed.
	hedgeShare = 0.75
	// connectionMargin leaves room for connections that the leaf has not seen
	// close yet and for nodes that are not known yet.
	connectionMargin = 0.9
	// unboundedConnections is used for a service without a stated bound.
	unboundedConnections = 64
)

// Leaf is a leaf as it has registered itself.
type Leaf struct {
	ID            anvilmodel.LeafName
	Service       anvilmodel.ServiceName
	Address       netip.AddrPort
	FailureDomain anvilmodel.FailureDomain
	// Started is when the leaf says that its process started. A later one under the
	// same id knows nothing of the earlier one.
	Started time.Time
	// Slots is the number of requests that the leaf runs at a time.
	Slots int
	// Draining says that the leaf takes no new requests.
	Draining bool
	// ColdFor is how long the leaf stays cold from when this was read.
	ColdFor time.Duration
}

// Config holds what a Balancer is created with. Zero fields take the defaults.
type Config struct {
	// FailureDomain is that of this node; its leafs are preferred a little.
	FailureDomain anvilmodel.FailureDomain
	Random        *rand.Rand
	// RetryRatio is the number of extra calls per request that a service may get.
	RetryRatio float64
	// RetrySlack is the number of extra calls in a window beyond the ratio, for all
	// nodes together.
	RetrySlack float64
	// RetryWindow is the time over which requests and extra calls are counted.
	RetryWindow time.Duration
	// ColdFactor and ColdSlack bound the requests that a cold leaf gets within a
	// second: its rate times the factor, plus the slack, for all nodes together.
	ColdFactor float64
	ColdSlack  float64
	// HedgeQuantile is the latency quantile, from 0 to 1, after which a call of a
	// request with few parts is overdue.
	HedgeQuantile float64
}

// Balancer keeps what a node knows of the leafs. It is not safe for concurrent
// use.
type Balancer struct {
	config   Config
	nodes    int
	leafs    map[anvilmodel.LeafName]*leafState
	services map[anvilmodel.ServiceName]*serviceState
	routes   map[anvilroute.Name]*latency
	out      map[anvilmodel.FailureDomain]bool
	// departures are the leafs that have said that they leave.
	departures map[anvilmodel.LeafName]departure
	pauses     pauseModel
}

type serviceState struct {
	settings anvilroute.Service
	leafs    []*leafState
	budget   budget
}

// New returns a Balancer that knows of no leafs.
func New(c Config) *Balancer {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(0, 0))
	}
	if c.RetryRatio <= 0 {
		c.RetryRatio = DefaultRetryRatio
	}
	if c.RetryWindow <= 0 {
		c.RetryWindow = DefaultRetryWindow
	}
	if c.HedgeQuantile <= 0 {
		c.HedgeQuantile = DefaultHedgeQuantile
	}
	return &Balancer{
		config:     c,
		nodes:      1,
		leafs:      make(map[anvilmodel.LeafName]*leafState),
		services:   make(map[anvilmodel.ServiceName]*serviceState),
		routes:     make(map[anvilroute.Name]*latency),
		out:        make(map[anvilmodel.FailureDomain]bool),
		departures: make(map[anvilmodel.LeafName]departure),
	}
}

// SetNodeCount sets the number of nodes that share the bounds on leafs; at least 1.
func (b *Balancer) SetNodeCount(n int) {
	b.nodes = max(n, 1)
}

// SetServices takes the services of a configuration over.
func (b *Balancer) SetServices(services map[anvilmodel.ServiceName]anvilroute.Service) {
	for name, settings := range services {
		b.service(name).settings = settings
	}
	for name, s := range b.services {
		if _, ok := services[name]; !ok {
			s.settings = anvilroute.Service{Name: name}
		}
	}
}

// SetExcludedDomains sets the failure domains whose leafs get no new calls.
func (b *Balancer) SetExcludedDomains(domains []anvilmodel.FailureDomain) {
	clear(b.out)
	for _, d := range domains {
		b.out[d] = true
	}
}

// RandomFloat64 returns a random number from 0 to 1.
func (b *Balancer) RandomFloat64() float64 {
	return b.config.Random.Float64()
}

func (b *Balancer) service(name anvilmodel.ServiceName) *serviceState {
	s := b.services[name]
	if s == nil {
		s = &serviceState{
			settings: anvilroute.Service{Name: name},
		}
		b.services[name] = s
	}
	return s
}

// ConnectionLimit returns how many connections this node may hold to a leaf of the
// service.
func (b *Balancer) ConnectionLimit(name anvilmodel.ServiceName) int {
	total := b.service(name).settings.MaxConnections
	if total <= 0 {
		return unboundedConnections
	}
	return max(1, int(float64(total)*connectionMargin)/b.nodes)
}

// IdleConnectionLimit returns how many connections this node keeps idle to a leaf of the
// service: half of those that it may hold. Those of a node that loses power count at
// the leaf until their idle time is over, and the rest is left for its return.
func (b *Balancer) IdleConnectionLimit(name anvilmodel.ServiceName) int {
	return (b.ConnectionLimit(name) + 1) / 2
}

// MinLeafConnectionLimit returns the smallest number of connections that a leaf of any
// service accepts from all nodes together.
func (b *Balancer) MinLeafConnectionLimit() int {
	fewest := unboundedConnections
	for _, s := range b.services {
		if s.settings.MaxConnections > 0 {
			fewest = min(fewest, s.settings.MaxConnections)
		}
	}
	return int(float64(fewest) * connectionMargin)
}

// CountRequest counts a request to a service. Extra calls are earned by it.
func (b *Balancer) CountRequest(name anvilmodel.ServiceName, now time.Time) {
	s := b.service(name)
	s.budget.requests[s.budget.advance(now, b.config.RetryWindow)]++
}

// CallKind is why a call is made.
type CallKind int

// Kinds of calls.
const (
	// CallFirst is the first call of a request to a service.
	CallFirst CallKind = iota
	// CallHedge is a second call while the first is still unanswered.
	CallHedge
	// CallRetry repeats a call that failed.
	CallRetry
)

// String returns the name used in logs and metrics.
func (k CallKind) String() string {
	switch k {
	case CallHedge:
		return "hedge"
	case CallRetry:
		return "retry"
	default:
		return "first"
	}
}

// allowed reports whether the budget has room for one more call of the kind.
func (b *Balancer) allowed(s *serviceState, kind CallKind, now time.Time) bool {
	if kind == CallFirst {
		return true
	}
	s.budget.advance(now, b.config.RetryWindow)
	requests, extras := s.budget.sums()
	room := budgetMargin * (b.config.RetryRatio*requests + b.config.RetrySlack/float64(b.nodes))
	if kind == CallHedge {
		room *= hedgeShare
	}
	return extras+1 <= room
}

// latencyOf returns the latencies of a route's calls.
func (b *Balancer) latencyOf(route anvilroute.Name) *latency {
	l := b.routes[route]
	if l == nil {
		l = &latency{
			tail: b.config.HedgeQuantile,
		}
		b.routes[route] = l
	}
	return l
}

// HedgeDelay returns the time after which a call of the route is overdue. Of a request
// with many parts about one call takes that long, so that hedges do not grow with the
// parts. The target is the route's; it bounds the delay so that a second call can still
// be answered within it.
func (b *Balancer) HedgeDelay(route anvilroute.Name, target time.Duration, parts int) time.Duration {
	l := b.latencyOf(route)
	l.tail = max(b.config.HedgeQuantile, 1-1/float64(max(parts, 1)))
	if !l.known() {
		return target / 4
	}
	delay := max(l.late, l.median*3/2)
	return min(delay, max(target/2, l.median*13/10))
}
