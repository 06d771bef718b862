// Package anvilassign decides which entry slots may dispatch for a leaf and with
// what share of its limits. It is a pure function of the configuration.
package anvilassign

import (
	"anvilbridge/anvilmodel"
	"cmp"
	"github.com/cespare/xxhash/v2"
	"slices"
)

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

type Table struct {
	c map[anvilmodel.LeafName][]Candidate
	s map[anvilmodel.SlotName][]Assignment
}

func New(c Config) *Table {
	t := &Table{c: map[anvilmodel.LeafName][]Candidate{}, s: map[anvilmodel.SlotName][]Assignment{}}
	for _, l := range c.Leafs {
		type rk struct {
			s    Slot
			h    uint64
			same bool
		}
		rs := []rk{}
		for _, s := range c.Slots {
			rs = append(rs, rk{s, xxhash.Sum64String(string(s.Name) + "/" + string(l.Name)), s.FailureDomain == l.FailureDomain})
		}
		slices.SortFunc(rs, func(a, b rk) int {
			if a.same != b.same {
				if a.same {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.h, b.h)
		})
		for i, r := range rs[:min(3, len(rs))] {
			lim := c.Limits[l.Service]
			cold := 0
			if i == 0 {
				cold = max(1, lim.ColdConcurrency-1)
			}
			if i == 1 && lim.ColdConcurrency >= 2 {
				cold = 1
			}
			k := Candidate{Slot: r.s.Name, Rank: i, Connections: lim.Connections / 3, ColdConcurrency: cold}
			t.c[l.Name] = append(t.c[l.Name], k)
			t.s[k.Slot] = append(t.s[k.Slot], Assignment{Leaf: l.Name, Candidate: k})
		}
	}
	return t
}
func (t *Table) Candidates(leaf anvilmodel.LeafName) []Candidate { return t.c[leaf] }
func (t *Table) LeafsOf(slot anvilmodel.SlotName) []Assignment   { return t.s[slot] }
