// Package anvilconfig parses, validates, merges, renders and compares the
// configuration: one base file and at most one overlay per site. It
// performs no I/O: callers pass in the names and contents of the documents.
package anvilconfig

import (
	"time"

	"anvilbridge/anvilmodel"
)

// SiteName names a site of the deployment. Every node runs at one site.
type SiteName string

// Settings is the effective configuration of one site. It must not be modified
// after loading. All lists are sorted by name; the lookup in Leaf depends on
// that order.
type Settings struct {
	Site           SiteName
	FailureDomains []FailureDomain
	EntrySlots     []EntrySlot
	Services       []Service
	Classes        []RequestClass
	Policy         Policy
	Limits         Limits
}

// DomainState determines whether a failure domain may receive work.
type DomainState int

// Failure domain states.
const (
	// DomainInService is the default state.
	DomainInService DomainState = iota
	// DomainOutOfService means that operators have taken the failure domain out of service.
	DomainOutOfService
)

// String returns the value of the state field in the configuration.
func (s DomainState) String() string {
	if s == DomainOutOfService {
		return "out"
	}
	return "in"
}

// FailureDomain is a declared failure domain.
type FailureDomain struct {
	Name   anvilmodel.FailureDomain
	Region string
	State  DomainState
}

// EntrySlot is a stable position in the fleet that one node occupies at a time.
type EntrySlot struct {
	Name          anvilmodel.SlotName
	FailureDomain anvilmodel.FailureDomain
}

// Service is a service and the leaves that hold its shards. The slots, the
// connections and the cold-start settings apply to each leaf of the service.
type Service struct {
	Name anvilmodel.ServiceName
	// Slots is the number of calls that a warm leaf runs concurrently.
	Slots int
	// Connections is the total number of connections that a leaf accepts from
	// all nodes.
	Connections int
	// ColdConcurrency is the total number of concurrent calls that a cold leaf
	// can handle from all nodes.
	ColdConcurrency int
	// ColdDuration is the minimum time for which a leaf is treated as cold after
	// its current incarnation was first seen.
	ColdDuration time.Duration
	// ConnectTime is the usual time to open a connection to a leaf.
	ConnectTime time.Duration
	Leaves      []anvilmodel.Leaf
}

// RequestClass is a request class and the services that its requests may query.
type RequestClass struct {
	Class    anvilmodel.Class
	Services []anvilmodel.ServiceName
}

// Policy holds the parameters for dispatching calls and running queries.
type Policy struct {
	// HedgeQuantile is the quantile of the observed latency, from 0 to 1. A call
	// that takes longer is hedged.
	HedgeQuantile float64
	// HedgeBudget is the maximum number of hedged calls per primary call.
	HedgeBudget float64
	// RetryBudget is the maximum number of retries per primary call.
	RetryBudget float64
	// LeafGroupSize is the number of leaves that are assigned to nodes as a group.
	LeafGroupSize int
	// QueuePerSlot is the number of calls that may wait for each slot of a leaf.
	QueuePerSlot int
	// ColdQuietPeriod is how long a node that starts to dispatch to a cold leaf
	// waits before it sends the first call.
	ColdQuietPeriod time.Duration
	// AddressLifetime is how long a caller may use the node addresses that it
	// was given.
	AddressLifetime time.Duration
	// NetworkRoundTrip is the network round-trip time between failure domains.
	NetworkRoundTrip time.Duration
}

// Limits holds the limits on requests from callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body of a query.
	MaxBodyBytes int
}
