package anviladdress

import (
	"math/rand/v2"
	"slices"

	"anvilbridge/anvilmodel"
)

// draw is a weighted random draw of members without replacement.
type draw struct {
	random       *rand.Rand
	callerDomain anvilmodel.FailureDomain
	// alive and suspects are the members that have not been drawn yet.
	alive    []*anvilmodel.Member
	suspects []*anvilmodel.Member
	chosen   []*anvilmodel.Member
	// preferLocal is set if members of the caller's failure domain are drawn first.
	preferLocal bool
}

func newDraw(input Input) *draw {
	d := &draw{
		random:       input.Random,
		callerDomain: input.CallerDomain,
		alive:        make([]*anvilmodel.Member, 0, len(input.Members)+1),
		chosen:       make([]*anvilmodel.Member, 0, input.Count),
	}
	d.add(&input.Self, input.ExcludedDomains)
	for i := range input.Members {
		if m := &input.Members[i]; m.Name != input.Self.Name {
			d.add(m, input.ExcludedDomains)
		}
	}
	d.preferLocal = input.Random.Float64() < input.LocalShares.share(input.CallerDomain)
	return d
}

// add adds a member to the draw if it is eligible.
func (d *draw) add(m *anvilmodel.Member, excluded []anvilmodel.FailureDomain) {
	switch {
	case !isEligible(m, excluded):
	case m.Status == anvilmodel.MemberSuspect:
		d.suspects = append(d.suspects, m)
	default:
		d.alive = append(d.alive, m)
	}
}

// next draws one more member and reports whether there was one. The last address of an
// answer is in another failure domain than the first if possible, because a domain can
// be lost as a whole.
func (d *draw) next(last bool) bool {
	pool := &d.alive
	if len(*pool) == 0 {
		pool = &d.suspects
	}
	if len(*pool) == 0 {
		return false
	}
	accept := func(*anvilmodel.Member) bool { return true }
	switch {
	case last && len(d.chosen) > 0:
		accept = func(m *anvilmodel.Member) bool { return m.FailureDomain != d.chosen[0].FailureDomain }
	case d.preferLocal:
		accept = func(m *anvilmodel.Member) bool { return m.FailureDomain == d.callerDomain }
	}
	i := d.pick(*pool, accept)
	if i < 0 {
		i = d.pick(*pool, func(*anvilmodel.Member) bool { return true })
	}
	d.chosen = append(d.chosen, (*pool)[i])
	*pool = slices.Delete(*pool, i, i+1)
	return true
}

// pick returns the index of an accepted member, drawn with a probability in proportion
// to its weight, or -1 if none is accepted.
func (d *draw) pick(pool []*anvilmodel.Member, accept func(*anvilmodel.Member) bool) int {
	total := 0.0
	for _, m := range pool {
		if accept(m) {
			total += weight(m)
		}
	}
	remaining := d.random.Float64() * total
	picked := -1
	for i, m := range pool {
		if !accept(m) {
			continue
		}
		picked = i
		if remaining -= weight(m); remaining < 0 {
			break
		}
	}
	return picked
}

// weight falls from 2 for an idle node to 1 for a fully loaded one. Spare capacity itself
// would be an unstable weight: callers request addresses repeatedly and all react to the
// same loads, so that a change of a load causes an equal or larger change of the next
// one. With that weight, the load of 100 half-loaded nodes oscillated up to 1. A load
// that is not a number counts as full.
func weight(m *anvilmodel.Member) float64 {
	if m.Load < 1 {
		return 2 - max(m.Load, 0)
	}
	return 1
}
