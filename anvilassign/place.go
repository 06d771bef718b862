package anvilassign

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// loadPercent is the largest number of leafs of a slot as primary, in percent of
// the mean of its failure domain. Plain rendezvous hashing gives one slot of 410
// almost 5 times the mean, this bound 1.4 times.
const loadPercent = 125

// placement assigns groups to slots.
type placement struct {
	slots []Slot
	// limits is the largest load of a slot, by the failure domain of the leafs.
	limits map[anvilmodel.FailureDomain]int
	// load counts the leafs that each slot is the primary of.
	load []int
	// seats holds the candidate slots of each leaf in rank order.
	seats [][]int
	order []ranked
}

func newPlacement(c Config) *placement {
	p := &placement{
		slots:  c.Slots,
		limits: make(map[anvilmodel.FailureDomain]int),
		load:   make([]int, len(c.Slots)),
		seats:  make([][]int, len(c.Leaves)),
	}
	slots := make(map[anvilmodel.FailureDomain]int)
	for _, s := range c.Slots {
		slots[s.FailureDomain]++
	}
	leafs := make(map[anvilmodel.FailureDomain]int)
	for _, l := range c.Leaves {
		leafs[l.FailureDomain]++
	}
	for d, n := range leafs {
		if slots[d] > 0 {
			p.limits[d] = loadPercent*n/(100*slots[d]) + 1
		} else {
			p.limits[d] = loadPercent*len(c.Leaves)/(100*len(c.Slots)) + 1
		}
	}
	return p
}

// place finds the candidates of a group. The primary is a slot of the group's own
// failure domain if there is one.
func (p *placement) place(g group) {
	p.order = rank(g.key, p.slots, p.order)
	var own []int
	for _, r := range p.order {
		if p.slots[r.slot].FailureDomain == g.domain {
			own = append(own, r.slot)
		}
	}
	if len(own) == 0 {
		for _, r := range p.order {
			own = append(own, r.slot)
		}
	}
	p.placeLeafs(g.leafs, own, p.limits[g.domain])
}

// placeLeafs gives the leafs to the highest-ranked slot with room for all of them.
// If none has, it divides them, so that no slot exceeds the limit.
func (p *placement) placeLeafs(leafs, ranking []int, limit int) {
	primary := slices.IndexFunc(ranking, func(s int) bool { return p.load[s]+len(leafs) <= limit })
	if primary < 0 && len(leafs) > 1 {
		half := len(leafs) / 2
		p.placeLeafs(leafs[:half], ranking, limit)
		p.placeLeafs(leafs[half:], ranking, limit)
		return
	}
	// One leaf finds room unless leafs of a failure domain without slots took it.
	slot := slices.MinFunc(ranking, func(a, b int) int { return p.load[a] - p.load[b] })
	if primary >= 0 {
		slot = ranking[primary]
	}
	p.load[slot] += len(leafs)
	seats := candidates(slot, p.order, p.slots)
	for _, l := range leafs {
		p.seats[l] = seats
	}
}

// candidates returns the primary and the highest-ranked other slots, first from
// failure domains that have no candidate yet.
func candidates(primary int, order []ranked, slots []Slot) []int {
	out := []int{primary}
	for len(out) < min(candidateCount, len(slots)) {
		next := slices.IndexFunc(order, func(r ranked) bool {
			return !slices.ContainsFunc(out, func(s int) bool {
				return slots[s].FailureDomain == slots[r.slot].FailureDomain
			})
		})
		if next < 0 {
			next = slices.IndexFunc(order, func(r ranked) bool { return !slices.Contains(out, r.slot) })
		}
		out = append(out, order[next].slot)
	}
	return out
}
