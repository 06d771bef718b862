// Package anvilmodel defines the domain types that the other packages share.
package anvilmodel

import (
	"net/netip"
	"time"
)

// ServiceName names a service. Each query addresses one service.
type ServiceName string

// LeafName names a leaf, an upstream process. It is unique in a configuration.
type LeafName string

// FailureDomain names a set of VMs that can fail together.
type FailureDomain string

// SlotName names an entry slot, a stable position in the fleet that one node at a time
// occupies.
type SlotName string

// Incarnation distinguishes the successive processes that run under one name. A later
// process has a higher number.
type Incarnation uint64

// Snapshot is the version number of an index. Later versions have higher numbers.
type Snapshot uint64

// Shard is the number of a shard within one snapshot, counted from 0.
type Shard int

// Leaf is the declaration of an upstream process in the configuration.
type Leaf struct {
	Name          LeafName
	Service       ServiceName
	Address       netip.AddrPort
	FailureDomain FailureDomain
}

// Holding identifies a shard of a snapshot that a leaf can serve.
type Holding struct {
	Snapshot Snapshot
	Shard    Shard
	// ShardCount is the number of shards of the snapshot.
	ShardCount int
}

// LeafState is the state of a leaf, as reported by the leaf in a reply or at its state
// endpoint, or as derived by a node from its calls to the leaf.
type LeafState struct {
	Leaf        LeafName
	Incarnation Incarnation
	// Cold is true while the leaf is warming up.
	Cold bool
	// Draining is true if the leaf accepts no new calls.
	Draining bool
	// Load is the share of the leaf's slots in use, from 0. It may be out of date.
	Load     float64
	Holdings []Holding
	// Observed is true if the state was derived from calls to the leaf, and not only
	// from what the leaf reports.
	Observed bool
	// Age is the time since the state was reported or observed.
	Age time.Duration
}
