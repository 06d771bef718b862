package anviladdress

import (
	"math/rand/v2"
	"slices"

	"anvilbridge/anvilmodel"
)

// draw chooses members one after another without putting them back.
type draw struct {
	random *rand.Rand
	domain anvilmodel.FailureDomain
	// alive and suspects are the members not chosen yet.
	alive    []*anvilmodel.Member
	suspects []*anvilmodel.Member
	chosen   []*anvilmodel.Member
	// near says that the caller's failure domain goes first.
	near bool
}

func newDraw(i Input) *draw {
	d := &draw{
		random: i.Random,
		domain: i.CallerDomain,
		alive:  make([]*anvilmodel.Member, 0, len(i.Members)+1),
		chosen: make([]*anvilmodel.Member, 0, i.Count),
	}
	d.add(&i.Self, i.ExcludedDomains)
	for k := range i.Members {
		if e := &i.Members[k]; e.Name != i.Self.Name {
			d.add(e, i.ExcludedDomains)
		}
	}
	d.near = i.Random.Float64() < i.LocalShares.share(i.CallerDomain)
	return d
}

func (d *draw) add(e *anvilmodel.Member, out []anvilmodel.FailureDomain) {
	switch {
	case !namable(e, out):
	case e.Status == anvilmodel.MemberSuspect:
		d.suspects = append(d.suspects, e)
	default:
		d.alive = append(d.alive, e)
	}
}

// next chooses one more member and reports whether there was one. The last address
// of an answer is in another failure domain than the first if possible, because a
// domain can be lost as a whole.
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
		accept = func(e *anvilmodel.Member) bool { return e.FailureDomain != d.chosen[0].FailureDomain }
	case d.near:
		accept = func(e *anvilmodel.Member) bool { return e.FailureDomain == d.domain }
	}
	k := d.pick(*pool, accept)
	if k < 0 {
		k = d.pick(*pool, func(*anvilmodel.Member) bool { return true })
	}
	d.chosen = append(d.chosen, (*pool)[k])
	*pool = slices.Delete(*pool, k, k+1)
	return true
}

// pick draws an accepted member with a probability in proportion to its weight. It
// returns -1 if none is accepted.
func (d *draw) pick(pool []*anvilmodel.Member, accept func(*anvilmodel.Member) bool) int {
	total := 0.0
	for _, e := range pool {
		if accept(e) {
			total += weight(e)
		}
	}
	left := d.random.Float64() * total
	chosen := -1
	for k, e := range pool {
		if !accept(e) {
			continue
		}
		chosen = k
		if left -= weight(e); left < 0 {
			break
		}
	}
	return chosen
}

// weight falls from 2 for an idle node to 1 for a full one. Callers that ask again
// multiply each other's choice: with the spare capacity itself as the weight, a
// change of the load changes the next load by as much or more, and the load of 100
// half loaded nodes swung up to 1. A load that is not a number counts as full.
func weight(e *anvilmodel.Member) float64 {
	if e.Load < 1 {
		return 2 - max(e.Load, 0)
	}
	return 1
}
