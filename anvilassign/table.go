// Package anvilassign decides which entry slots may dispatch for a leaf and with
// what share of its limits. It is a pure function of the configuration.
package anvilassign

import "anvilbridge/anvilmodel"

// DefaultGroupSize is the largest number of leafs in a group.
const DefaultGroupSize = 8

// Slot is an entry slot of the configuration.
type Slot struct {
	Name          anvilmodel.SlotName
	FailureDomain anvilmodel.FailureDomain
}

// Limits are the limits of each leaf of a service.
type Limits struct {
	// Connections is the number of connections that a leaf accepts from the fleet.
	Connections int
	// ColdConcurrency is the number of calls that a cold leaf can handle from the
	// fleet, at least 1.
	ColdConcurrency int
}

// Config holds the part of the configuration that decides the assignment.
type Config struct {
	Slots  []Slot
	Leafs  []anvilmodel.Leaf
	Limits map[anvilmodel.ServiceName]Limits
	// GroupSize is the largest number of leafs in a group; 0 takes the default.
	GroupSize int
}

// Candidate is a slot that may dispatch for a leaf.
type Candidate struct {
	Slot anvilmodel.SlotName
	// Rank is 0 for the primary, 1 and 2 for the others.
	Rank int
	// Connections is how many connections the candidate may open to the leaf.
	Connections int
	// ColdConcurrency is how many calls the candidate may have in flight at the
	// leaf while the leaf is cold.
	ColdConcurrency int
}

// Assignment is a leaf for which a slot is a candidate.
type Assignment struct {
	Leaf      anvilmodel.LeafName
	Candidate Candidate
}

// Table is the assignment of all leafs. It does not change and is safe for
// concurrent use.
type Table struct{}

// New computes the assignment.
func New(c Config) *Table { return &Table{} }

// Candidates returns the candidates of a leaf in rank order, none for an unknown
// leaf. The caller must not change the slice.
func (t *Table) Candidates(leaf anvilmodel.LeafName) []Candidate { return nil }

// LeafsOf returns the leafs for which the slot is a candidate, in name order. The
// caller must not change the slice.
func (t *Table) LeafsOf(slot anvilmodel.SlotName) []Assignment { return nil }
