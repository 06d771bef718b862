// Package anvilconfig parses, validates, merges, renders and compares the
// configuration: one base file and at most one overlay per site. It does no
// I/O; it is handed document names and bytes.
package anvilconfig

import (
	"time"

	"anvilbridge/anvilmodel"
)

// SiteName names a site of the deployment. Every node runs at one site.
type SiteName string

// Settings is the effective configuration of one site. It is read only once
// loaded. All lists are sorted by name; Leaf relies on that order.
type Settings struct {
	Site           SiteName
	FailureDomains []FailureDomain
	EntrySlots     []EntrySlot
	Services       []Service
	Classes        []RequestClass
	Policy         Policy
	Limits         Limits
}

// DomainState says whether a failure domain may receive work.
type DomainState int

// Failure domain states.
const (
	// DomainInService is the usual state.
	DomainInService DomainState = iota
	// DomainOutOfService means that operators have taken the failure domain out of service.
	DomainOutOfService
)

// String returns the name that the configuration uses.
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

// Service is a service and the leafs that hold its shards. Slots, connections
// and cold-start figures hold for each leaf of the service.
type Service struct {
	Name anvilmodel.ServiceName
	// Slots is the number of calls that a warm leaf runs at the same time.
	Slots int
	// Connections is the number of connections that a leaf accepts from all
	// nodes together.
	Connections int
	// ColdConcurrency is the number of calls that a cold leaf can handle from
	// all nodes together.
	ColdConcurrency int
	// ColdDuration is the shortest time that a leaf counts as cold after its
	// incarnation was first seen.
	ColdDuration time.Duration
	// ConnectTime is the usual time to open a connection to a leaf.
	ConnectTime time.Duration
	Leaves      []anvilmodel.Leaf
}

// RequestClass is a request class and the services that it may be used with.
type RequestClass struct {
	Class    anvilmodel.Class
	Services []anvilmodel.ServiceName
}

// Policy holds the figures of the dispatch and query policy.
type Policy struct {
	// HedgeQuantile is the quantile of the observed latency, from 0 to 1, after
	// which a call is hedged.
	HedgeQuantile float64
	// HedgeBudget is the number of hedged calls per primary call.
	HedgeBudget float64
	// RetryBudget is the number of retries per primary call.
	RetryBudget float64
	// LeafGroupSize is the number of leafs that are assigned together.
	LeafGroupSize int
	// QueuePerSlot is the number of calls that may wait for each slot of a leaf.
	QueuePerSlot int
	// ColdQuietPeriod is the time for which a node that starts to dispatch for
	// a cold leaf sends it nothing.
	ColdQuietPeriod time.Duration
	// AddressLifetime is the time for which a caller may use an address answer.
	AddressLifetime time.Duration
	// NetworkRoundTrip is the time of one message and its reply between failure
	// domains.
	NetworkRoundTrip time.Duration
}

// Limits holds bounds on what callers may send.
type Limits struct {
	// MaxBodyBytes is the largest accepted body of a query, in bytes.
	MaxBodyBytes int
}
