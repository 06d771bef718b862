// Package anvilroute matches requests with the routes of a configuration and distributes
// the requests of a route over its services.
package anvilroute

import (
	"math"
	"strings"
	"time"

	"anvilbridge/anvilmodel"
)

// Name names a route.
type Name string

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service anvilmodel.ServiceName
	// Weight is proportional to the share. A service of weight 0 receives
	// nothing, unless it is the only one.
	Weight float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name   Name
	Host   string
	Prefix string
	// NonIdempotent marks a route whose requests may run at most once.
	NonIdempotent bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// TargetLatency is the time after which an answer is worth less to the caller.
	TargetLatency time.Duration
	// Priority orders the routes under overload; 0 is the highest priority.
	Priority int
	// MaxAttempts is the largest number of leaves that a request may be sent to; if
	// Shards is set, it applies to each shard.
	MaxAttempts int
	// Services share the requests of the route; empty if Shards is set.
	Services []WeightedService
	// Shards are the services that each request fans out to, one per shard.
	Shards []anvilmodel.ServiceName
	// TopK is the number of records in the merged answer of a route with Shards.
	TopK int
	// MinCoverage is the smallest share of the shards, from 0 to 1, that an answer may
	// hold.
	MinCoverage float64
}

// FansOut reports whether each request is sent to all services of Shards.
func (r *Route) FansOut() bool {
	return len(r.Shards) > 0
}

// MinShards returns the smallest number of shards that an answer may hold. It is at
// least 1.
func (r *Route) MinShards() int {
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-coverageEpsilon)))
}

// coverageEpsilon compensates for floating-point rounding: 0.07 * 100 gives slightly
// more than 7, which would be rounded up to 8.
const coverageEpsilon = 1e-9

// Service is a group of interchangeable leaves.
type Service struct {
	Name anvilmodel.ServiceName
	// HealthPath is the URL path of the health check of a leaf.
	HealthPath string
	// MaxConnections limits the connections to one leaf from all nodes together.
	MaxConnections int
	// MaxColdRate limits the requests per second that all nodes together send to a
	// leaf while it warms up; 0 means no limit.
	MaxColdRate float64
}

// Limits are the maximum sizes of a request; 0 means no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
}

// Configuration is one version of the routes, services and limits that the operators
// configured.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is an immutable index of a configuration for finding routes.
type Table struct {
	version       uint64
	limits        Limits
	byHost        map[string][]*Route
	services      map[anvilmodel.ServiceName]Service
	shardServices map[anvilmodel.ServiceName]bool
	routeNames    map[Name]bool
	fanOutRoutes  []*Route
}

// NewTable returns the index of a configuration.
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

// Limits returns the maximum sizes of a request.
func (t *Table) Limits() Limits {
	return t.limits
}

// Service returns the named service and whether the configuration has it.
func (t *Table) Service(name anvilmodel.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services of the configuration. The caller must not modify the map.
func (t *Table) Services() map[anvilmodel.ServiceName]Service {
	return t.services
}

// FanOutRoutes returns the routes whose requests fan out to shards.
func (t *Table) FanOutRoutes() []*Route {
	return t.fanOutRoutes
}

// HasRoute reports whether the configuration has a route of this name.
func (t *Table) HasRoute(name Name) bool {
	return t.routeNames[name]
}

// ShardServices returns the services that are a shard of at least one route.
func (t *Table) ShardServices() map[anvilmodel.ServiceName]bool {
	return t.shardServices
}

// Find returns the route of the host with the longest matching path prefix, or nil if
// no route matches. The host may include a port.
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
