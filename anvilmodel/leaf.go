// Package anvilmodel holds the domain types that the other packages share.
package anvilmodel

import (
	"net/netip"
	"time"
)

// ServiceName names a service, the unit that a query addresses.
type ServiceName string

// LeafName names one upstream process. It is unique in a configuration.
type LeafName string

// FailureDomain names a set of VMs that can fail together.
type FailureDomain string

// SlotName names a stable position in the fleet that one node occupies at a time.
type SlotName string

// Incarnation numbers the processes that run under one name; a later process
// has a higher number.
type Incarnation uint64

// Snapshot identifies a version of the index. Later versions have higher numbers.
type Snapshot uint64

// Shard numbers a shard within one snapshot, from 0.
type Shard int

// Leaf is an upstream process as the configuration declares it.
type Leaf struct {
	Name          LeafName
	Service       ServiceName
	Address       netip.AddrPort
	FailureDomain FailureDomain
}

// Holding says which shard of a snapshot a leaf holds, and how many shards
// that snapshot has.
type Holding struct {
	Snapshot   Snapshot
	Shard      Shard
	ShardCount int
}

// LeafState is what a leaf says of itself, in a reply or at its state endpoint.
type LeafState struct {
	Leaf        LeafName
	Incarnation Incarnation
	Cold        bool
	Draining    bool
	// Load is the share of the leaf's slots in use, from 0; it may lag.
	Load     float64
	Holdings []Holding
	// Observed says that the state rests on calls to the leaf, not only on what
	// the leaf says of itself.
	Observed bool
	// Age is the time since the leaf reported this state.
	Age time.Duration
}
