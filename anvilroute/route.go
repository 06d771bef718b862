// Package anvilroute holds the routes of a configuration and finds the one that
// a request belongs to.
package anvilroute

import (
	"math"
	"strings"
	"time"

	"anvilbridge/anvilmodel"
)

// Name names a route.
type Name string

// WeightedService is one part of a route's traffic.
type WeightedService struct {
	Service anvilmodel.ServiceName
	// Weight is the part's share in proportion to the other weights.
	Weight float64
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name   Name
	Host   string
	Prefix string
	// NonIdempotent says that a request may run at most once.
	NonIdempotent bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the number of leafs that one request may be sent to; with
	// Shards it holds for each shard.
	MaxAttempts int
	// Services are the parts of the traffic; empty if Shards is set.
	Services []WeightedService
	// Shards are the services that one query fans out to.
	Shards []anvilmodel.ServiceName
	// TopK is the number of records in the answer to a query.
	TopK int
	// MinCoverage is the least share of the shards, from 0 to 1, in an answer.
	MinCoverage float64
}

// FansOut reports whether requests go to all shards.
func (r *Route) FansOut() bool {
	return len(r.Shards) > 0
}

// MinShards returns the fewest shards that an answer may hold; at least 1.
func (r *Route) MinShards() int {
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-coverageEpsilon)))
}

// coverageEpsilon absorbs the rounding of a floor such as 0.1 * 30.
const coverageEpsilon = 1e-9

// Service is a set of interchangeable leafs.
type Service struct {
	Name anvilmodel.ServiceName
	// HealthPath is where a leaf answers health checks.
	HealthPath string
	// MaxConnections bounds the connections to one leaf from all nodes together.
	MaxConnections int
	// MaxColdRate is the number of requests a second that a cold leaf tolerates from
	// all nodes together; 0 means that no rate is stated.
	MaxColdRate float64
}

// Limits bound what a caller may send. Zero fields are not limited.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
}

// Configuration is one version of what the operators have set.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table finds routes. It is immutable.
type Table struct {
	version       uint64
	limits        Limits
	byHost        map[string][]*Route
	services      map[anvilmodel.ServiceName]Service
	shardServices map[anvilmodel.ServiceName]bool
	routeNames    map[Name]bool
	fanOutRoutes  []*Route
}

// NewTable indexes a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		version:       c.Version,
		limits:        c.Limits,
		byHost:        make(map[string][]*Route),
		services:      make(map[anvilmodel.ServiceName]Service, len(c.Services)),
		shardServices: make(map[anvilmodel.ServiceName]bool),
		routeNames:    make(map[Name]bool, len(c.Routes)),
	}
	for i := range c.Routes {
		r := c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
		t.routeNames[r.Name] = true
		if r.FansOut() {
			t.fanOutRoutes = append(t.fanOutRoutes, &r)
		}
		for _, s := range r.Shards {
			t.shardServices[s] = true
		}
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.version
}

// Limits returns the bounds on what a caller may send.
func (t *Table) Limits() Limits {
	return t.limits
}

// Service returns a service of the configuration.
func (t *Table) Service(name anvilmodel.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services of the configuration.
func (t *Table) Services() map[anvilmodel.ServiceName]Service {
	return t.services
}

// FanOutRoutes returns the routes that fan out.
func (t *Table) FanOutRoutes() []*Route {
	return t.fanOutRoutes
}

// HasRoute reports whether the configuration has the route.
func (t *Table) HasRoute(name Name) bool {
	return t.routeNames[name]
}

// ShardServices returns the services that are shards of a route.
func (t *Table) ShardServices() map[anvilmodel.ServiceName]bool {
	return t.shardServices
}

// Find returns the route with the longest prefix that begins the path. The host
// may carry a port. It returns nil if no route matches.
func (t *Table) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var found *Route
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
			found = r
		}
	}
	return found
}
