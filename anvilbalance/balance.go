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
	// DefaultRetryRatio is the number of extra calls allowed per request.
	DefaultRetryRatio = 0.2
	// DefaultRetryWindow is the time over which requests and extra calls are counted.
	DefaultRetryWindow = 10 * time.Second
	// DefaultHedgeQuantile is the latency quantile after which a call of a request with
	// few parts is overdue.
	DefaultHedgeQuantile = 0.95
)

const (
	// budgetMargin is the part of the retry budget that a node uses, so that all nodes
	// together stay within the limit although their windows and their estimates of the
	// fleet size differ.
	budgetMargin = 0.85
	// hedgeBudgetShare is the part of the budget that hedges may use; the rest is
	// reserved for retries of failed calls.
	hedgeBudgetShare = 0.75
	// callTimeQuantile is the latency quantile that counts as the time of a call.
	callTimeQuantile = 0.99
	// connectionMargin is the part of a leaf's connection limit that the nodes use. The
	// rest is for connections whose closing the leaf has not noticed yet and for nodes
	// that are not known yet.
	connectionMargin = 0.9
	// defaultConnections is the connection limit per node for a service without a
	// configured limit.
	defaultConnections = 64
)

// Leaf describes a leaf as registered by its process.
type Leaf struct {
	Name          anvilmodel.LeafName
	Service       anvilmodel.ServiceName
	Address       netip.AddrPort
	FailureDomain anvilmodel.FailureDomain
	// StartedAt is the start time of the leaf's process. An entry with the same name and a
	// later time describes a new process with no state of the earlier one.
	StartedAt time.Time
	// ReportNumber orders the reports of a process.
	ReportNumber int64
	// Slots is the number of requests that the leaf runs concurrently.
	Slots int
	// Draining is set if the leaf accepts no new requests.
	Draining bool
	// ColdFor is how long the leaf stays cold, counted from when the entry was read.
	ColdFor time.Duration
}

// Config holds the settings of a Balancer. Fields that are zero or negative take the
// default where there is one.
type Config struct {
	// FailureDomain is the failure domain of this node. Its leaves are preferred.
	FailureDomain anvilmodel.FailureDomain
	Random        *rand.Rand
	// RetryRatio is the number of extra calls per request to a service.
	RetryRatio float64
	// RetrySlack is the number of extra calls per window that all nodes together may
	// make in addition to RetryRatio.
	RetrySlack float64
	// RetryWindow is the time over which requests and extra calls are counted.
	RetryWindow time.Duration
	// ColdFactor and ColdSlack limit the requests that all nodes together send to a
	// cold leaf within a second: its rate times the factor, plus the slack. The rate is
	// the average; the rest is for calls that are made at once.
	ColdFactor float64
	ColdSlack  float64
	// HedgeQuantile is the latency quantile, from 0 to 1, after which a call of a
	// request with few parts is overdue.
	HedgeQuantile float64
}

// Balancer holds a node's state of the leaves and selects leaves for calls. It is not safe
// for concurrent use.
type Balancer struct {
	config    Config
	nodeCount int
	// share is the part of the rate limits of leaves that this node may use, and phase the
	// position of this node among the nodes that share them, from 0 to 1.
	share          float64
	phase          float64
	leaves         map[anvilmodel.LeafName]*leafState
	services       map[anvilmodel.ServiceName]*serviceState
	routeLatencies map[anvilroute.Name]*latencyHistogram
	// excludedDomains holds the failure domains whose leaves get no new calls, and until when;
	// zero as long as they are listed.
	excludedDomains map[anvilmodel.FailureDomain]time.Time
	// departures are the announced shutdowns of leaves.
	departures map[anvilmodel.LeafName]departure
	// removed holds the states of leaves without an entry.
	removed map[anvilmodel.LeafName]removedLeaf
	// removedEntries holds the entries that were removed from the store.
	removedEntries map[anvilmodel.LeafName]removedEntry
	pauses         pauseModel
}

type serviceState struct {
	settings anvilroute.Service
	leaves   []*leafState
	budget   budget
}

// New returns a Balancer without leaves.
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
	if c.ColdFactor <= 0 {
		c.ColdFactor = 1
	}
	if c.HedgeQuantile <= 0 {
		c.HedgeQuantile = DefaultHedgeQuantile
	}
	return &Balancer{
		config:          c,
		nodeCount:       1,
		share:           1,
		leaves:          make(map[anvilmodel.LeafName]*leafState),
		services:        make(map[anvilmodel.ServiceName]*serviceState),
		routeLatencies:  make(map[anvilroute.Name]*latencyHistogram),
		excludedDomains: make(map[anvilmodel.FailureDomain]time.Time),
		departures:      make(map[anvilmodel.LeafName]departure),
		removed:         make(map[anvilmodel.LeafName]removedLeaf),
		removedEntries:  make(map[anvilmodel.LeafName]removedEntry),
	}
}

// SetNodeCount sets the number of nodes that share the limits on leaves; at least 1.
func (b *Balancer) SetNodeCount(n int) {
	b.nodeCount = max(n, 1)
}

// SetShare sets the part of the rate limits of leaves that this node may use, above 0 and at
// most 1, and its position among the nodes that share them, from 0 to 1.
func (b *Balancer) SetShare(share, phase float64) {
	b.share = share
	b.phase = phase
}

// SetServices replaces the settings of all services. Services that are not in the map
// get empty settings.
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

// SetExcludedDomains sets the failure domains whose leaves get no new calls. Those that are no
// longer in the list stay excluded for the grace period.
func (b *Balancer) SetExcludedDomains(domains []anvilmodel.FailureDomain, grace time.Duration, now time.Time) {
	for d, until := range b.excludedDomains {
		switch ended := !until.IsZero() && !now.Before(until); {
		case ended, until.IsZero() && grace <= 0:
			delete(b.excludedDomains, d)
		case grace > 0:
			b.excludedDomains[d] = now.Add(grace)
		}
	}
	for _, d := range domains {
		b.excludedDomains[d] = time.Time{}
	}
}

// isExcluded reports whether the leaves of a failure domain get no new calls.
func (b *Balancer) isExcluded(d anvilmodel.FailureDomain, now time.Time) bool {
	until, ok := b.excludedDomains[d]
	return ok && (until.IsZero() || now.Before(until))
}

// RandomFloat64 returns a random number in the range [0, 1).
func (b *Balancer) RandomFloat64() float64 {
	return b.config.Random.Float64()
}

// service returns the state of a service and creates it if needed.
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

// ConnectionLimit returns the number of connections that this node may hold to a leaf
// of the service.
func (b *Balancer) ConnectionLimit(name anvilmodel.ServiceName) int {
	total := b.service(name).settings.MaxConnections
	if total <= 0 {
		return defaultConnections
	}
	return max(1, int(float64(total)*connectionMargin)/b.nodeCount)
}

// IdleConnectionLimit returns the number of idle connections that this node keeps to a
// leaf of the service: half of ConnectionLimit. When a node loses power, the leaf
// counts its connections until their idle timeout expires; the other half is left for
// the node's new connections after its return.
func (b *Balancer) IdleConnectionLimit(name anvilmodel.ServiceName) int {
	return (b.ConnectionLimit(name) + 1) / 2
}

// MinLeafConnectionLimit returns the smallest number of connections that all nodes
// together may hold to a leaf of any service.
func (b *Balancer) MinLeafConnectionLimit() int {
	lowest := defaultConnections
	for _, s := range b.services {
		if s.settings.MaxConnections > 0 {
			lowest = min(lowest, s.settings.MaxConnections)
		}
	}
	return int(float64(lowest) * connectionMargin)
}

// CountRequest counts a request to a service, which adds to its retry budget.
func (b *Balancer) CountRequest(name anvilmodel.ServiceName, now time.Time) {
	s := b.service(name)
	s.budget.requests[s.budget.advance(now, b.config.RetryWindow)]++
}

// CallKind is the reason for a call.
type CallKind int

// Kinds of calls.
const (
	// CallFirst is the first call of a request to a service.
	CallFirst CallKind = iota
	// CallHedge is an additional call while an earlier one is still unanswered.
	CallHedge
	// CallRetry repeats a failed call.
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

// withinBudget reports whether the retry budget allows one more call of the kind.
func (b *Balancer) withinBudget(s *serviceState, kind CallKind, now time.Time) bool {
	if kind == CallFirst {
		return true
	}
	s.budget.advance(now, b.config.RetryWindow)
	requests, extraCalls := s.budget.totals()
	limit := budgetMargin * (b.config.RetryRatio*requests + b.config.RetrySlack/float64(b.nodeCount))
	if kind == CallHedge {
		limit *= hedgeBudgetShare
	}
	return extraCalls+1 <= limit
}

// routeLatency returns the latency histogram of a route and creates it if needed.
func (b *Balancer) routeLatency(route anvilroute.Name) *latencyHistogram {
	h := b.routeLatencies[route]
	if h == nil {
		h = &latencyHistogram{
			tailQuantile: b.config.HedgeQuantile,
		}
		b.routeLatencies[route] = h
	}
	return h
}

// CallTime returns the time within which nearly all calls of a route are answered; known is
// false if none has been answered yet.
func (b *Balancer) CallTime(route anvilroute.Name) (callTime time.Duration, known bool) {
	h := b.routeLatencies[route]
	if h == nil || h.samples == 0 {
		return 0, false
	}
	return h.quantile(callTimeQuantile), true
}

// HedgeDelay returns the time after which a call of the route is overdue. For a request
// with many parts the quantile is chosen so that about one call takes that long, which
// keeps the number of hedges from growing with the number of parts. The delay is
// limited by the latency target of the route so that a second call can still be
// answered within it.
func (b *Balancer) HedgeDelay(route anvilroute.Name, target time.Duration, parts int) time.Duration {
	h := b.routeLatency(route)
	h.tailQuantile = max(b.config.HedgeQuantile, 1-1/float64(max(parts, 1)))
	if !h.reliable() {
		return target / 4
	}
	delay := max(h.tail, h.median*3/2)
	return min(delay, max(target/2, h.median*13/10))
}
