package anvilassign

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// maxLoadPercent is the largest number of leaves that a slot may be the primary
// of, in percent of the mean of its failure domain. Plain rendezvous hashing
// gives one of 410 slots almost 5 times the mean, this bound 1.4 times.
const maxLoadPercent = 125

// placement assigns groups to slots.
type placement struct {
	slots []Slot
	// maxLoads is the largest load of a slot, by the failure domain of the
	// leaves.
	maxLoads map[anvilmodel.FailureDomain]int
	// load counts the leaves that each slot is the primary of.
	load []int
	// candidates holds the candidate slots of each leaf in rank order.
	candidates [][]int
	ranking    []rankedSlot
}

func newPlacement(c Config) *placement {
	p := &placement{
		slots:      c.Slots,
		maxLoads:   make(map[anvilmodel.FailureDomain]int),
		load:       make([]int, len(c.Slots)),
		candidates: make([][]int, len(c.Leaves)),
	}
	slotCounts := make(map[anvilmodel.FailureDomain]int)
	for _, s := range c.Slots {
		slotCounts[s.FailureDomain]++
	}
	leafCounts := make(map[anvilmodel.FailureDomain]int)
	for _, l := range c.Leaves {
		leafCounts[l.FailureDomain]++
	}
	for d, n := range leafCounts {
		if slotCounts[d] > 0 {
			p.maxLoads[d] = maxLoadPercent*n/(100*slotCounts[d]) + 1
		} else {
			p.maxLoads[d] = maxLoadPercent*len(c.Leaves)/(100*len(c.Slots)) + 1
		}
	}
	return p
}

// placeGroup assigns candidates to the leaves of a group. The primary is a slot
// of the group's own failure domain if there is one.
func (p *placement) placeGroup(g group) {
	p.ranking = rankSlots(g.key, p.slots, p.ranking)
	var eligible []int
	for _, r := range p.ranking {
		if p.slots[r.slot].FailureDomain == g.domain {
			eligible = append(eligible, r.slot)
		}
	}
	if len(eligible) == 0 {
		for _, r := range p.ranking {
			eligible = append(eligible, r.slot)
		}
	}
	p.placeLeaves(g.leaves, eligible, p.maxLoads[g.domain])
}

// placeLeaves makes the highest-ranked slot with room for all the leaves their
// primary. If no slot has room, it divides the leaves, so that no slot exceeds
// its limit.
func (p *placement) placeLeaves(leaves, ranking []int, limit int) {
	primary := slices.IndexFunc(ranking, func(s int) bool { return p.load[s]+len(leaves) <= limit })
	if primary < 0 && len(leaves) > 1 {
		half := len(leaves) / 2
		p.placeLeaves(leaves[:half], ranking, limit)
		p.placeLeaves(leaves[half:], ranking, limit)
		return
	}
	// There is room for a single leaf unless leaves of a failure domain without
	// slots took it.
	slot := slices.MinFunc(ranking, func(a, b int) int { return p.load[a] - p.load[b] })
	if primary >= 0 {
		slot = ranking[primary]
	}
	p.load[slot] += len(leaves)
	chosen := candidates(slot, p.ranking, p.slots)
	for _, l := range leaves {
		p.candidates[l] = chosen
	}
}

// candidates returns the primary and the highest-ranked other slots. Failure
// domains that have no candidate yet come first.
func candidates(primary int, ranking []rankedSlot, slots []Slot) []int {
	out := []int{primary}
	for len(out) < min(maxCandidates, len(slots)) {
		next := slices.IndexFunc(ranking, func(r rankedSlot) bool {
			return !slices.ContainsFunc(out, func(s int) bool {
				return slots[s].FailureDomain == slots[r.slot].FailureDomain
			})
		})
		if next < 0 {
			next = slices.IndexFunc(ranking, func(r rankedSlot) bool { return !slices.Contains(out, r.slot) })
		}
		out = append(out, ranking[next].slot)
	}
	return out
}
