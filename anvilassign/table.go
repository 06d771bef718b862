// Package anvilassign decides which entry slots may dispatch calls to a leaf,
// and which share of the leaf's limits each of them gets. It is a pure function
// of the configuration.
package anvilassign

import (
	"cmp"
	"slices"

	"anvilbridge/anvilmodel"
)

// DefaultGroupSize is the default of Config.GroupSize.
const DefaultGroupSize = 8

// maxCandidates is the number of slots that may dispatch calls to a leaf.
const maxCandidates = 3

// Slot is an entry slot of the configuration.
type Slot struct {
	Name          anvilmodel.SlotName
	FailureDomain anvilmodel.FailureDomain
}

// Limits holds the limits of each leaf of a service.
type Limits struct {
	// Connections is the number of connections that a leaf accepts from all
	// nodes together.
	Connections int
	// ColdConcurrency is the number of calls that a cold leaf can handle from
	// all nodes together, at least 1.
	ColdConcurrency int
}

// Config holds the part of the configuration that determines the assignment.
type Config struct {
	// Slots and Leaves have distinct names; their order does not matter.
	Slots  []Slot
	Leaves []anvilmodel.Leaf
	Limits map[anvilmodel.ServiceName]Limits
	// GroupSize is the largest number of leaves in a group; 0 means
	// DefaultGroupSize.
	GroupSize int
}

// Candidate is a slot that may dispatch calls to a leaf.
type Candidate struct {
	Slot anvilmodel.SlotName
	// Rank is 0 for the primary, 1 and 2 for the other candidates.
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

// Table is the assignment of all leaves. It is immutable and safe for
// concurrent use.
type Table struct {
	byLeaf map[anvilmodel.LeafName][]Candidate
	bySlot map[anvilmodel.SlotName][]Assignment
}

// New computes the assignment. It takes some 50 ms for 410 slots and 3,000
// leaves.
func New(c Config) *Table {
	if c.GroupSize <= 0 {
		c.GroupSize = DefaultGroupSize
	}
	c.Leaves = slices.Clone(c.Leaves)
	slices.SortFunc(c.Leaves, func(a, b anvilmodel.Leaf) int { return cmp.Compare(a.Name, b.Name) })
	t := &Table{
		byLeaf: make(map[anvilmodel.LeafName][]Candidate, len(c.Leaves)),
		bySlot: make(map[anvilmodel.SlotName][]Assignment, len(c.Slots)),
	}
	if len(c.Slots) == 0 {
		return t
	}
	p := newPlacement(c)
	for _, g := range groupLeaves(c) {
		p.placeGroup(g)
	}
	for i, l := range c.Leaves {
		t.addLeaf(l, p.candidates[i], c)
	}
	return t
}

// addLeaf stores the candidates of one leaf.
func (t *Table) addLeaf(l anvilmodel.Leaf, slots []int, c Config) {
	limits := c.Limits[l.Service]
	candidates := make([]Candidate, len(slots))
	for rank, s := range slots {
		name := c.Slots[s].Name
		candidates[rank] = Candidate{
			Slot:            name,
			Rank:            rank,
			Connections:     connectionShare(limits.Connections, rank),
			ColdConcurrency: coldConcurrencyShare(limits.ColdConcurrency, rank),
		}
		t.bySlot[name] = append(t.bySlot[name], Assignment{
			Leaf:      l.Name,
			Candidate: candidates[rank],
		})
	}
	t.byLeaf[l.Name] = candidates
}

// Candidates returns the candidates of a leaf in rank order, none for an unknown
// leaf. The caller must not change the slice.
func (t *Table) Candidates(leaf anvilmodel.LeafName) []Candidate {
	return t.byLeaf[leaf]
}

// AssignmentsOf returns the leaves for which the slot is a candidate, in name
// order. The caller must not change the slice.
func (t *Table) AssignmentsOf(slot anvilmodel.SlotName) []Assignment {
	return t.bySlot[slot]
}

// connectionShare divides the connections into thirds, and the remainder among
// the first ranks. The shares do not depend on which candidates believe that
// they dispatch, so their sum never exceeds the limit.
func connectionShare(connections, rank int) int {
	share := connections / maxCandidates
	if rank < connections%maxCandidates {
		share++
	}
	return share
}

// coldConcurrencyShare gives the primary all of a cold leaf's concurrency
// except one call, which the second candidate gets. The third gets none.
func coldConcurrencyShare(concurrency, rank int) int {
	concurrency = max(1, concurrency)
	switch {
	case rank == 0:
		return max(1, concurrency-1)
	case rank == 1 && concurrency > 1:
		return 1
	default:
		return 0
	}
}
