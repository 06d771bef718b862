package anvilquery

import "time"

// callKind says why a call is made.
type callKind uint8

const (
	callPrimary callKind = iota
	callHedge
	callRetry
)

// pair draws two of the leafs offered to it, each with the same chance.
type pair struct {
	first, second *leaf
	offered       int
}

func (p *pair) offer(l *leaf, o *Origin) {
	p.offered++
	switch p.offered {
	case 1:
		p.first = l
		return
	case 2:
		p.second = l
		return
	}
	switch o.config.Random.IntN(p.offered) {
	case 0:
		p.first = l
	case 1:
		p.second = l
	}
}

// take returns the better of the two leafs, or nil if none was offered.
func (p *pair) take(o *Origin, now time.Duration) *leaf {
	if p.offered < 2 {
		return p.first
	}
	return o.better(p.first, p.second, now)
}

// better returns the leaf with fewer outstanding calls of this origin. Between
// equals it draws, in proportion to the spare capacity that both report. Drawing
// keeps the other leaf in use, so that one stale figure neither attracts all
// queries nor stays unrefreshed.
func (o *Origin) better(a, b *leaf, now time.Duration) *leaf {
	if a.outstanding != b.outstanding {
		if a.outstanding < b.outstanding {
			return a
		}
		return b
	}
	spareA, spareB := 1.0, 1.0
	if a.loadKnown(now) && b.loadKnown(now) {
		spareA = max(leastSpare, 1-a.load)
		spareB = max(leastSpare, 1-b.load)
	}
	if o.config.Random.Float64()*(spareA+spareB) < spareA {
		return a
	}
	return b
}

// leastSpare is the spare capacity assumed of a leaf that reports full load, so
// that it still gets some of the calls.
const leastSpare = 0.05

// choose returns the leaf for a call to a shard, or nil if there is none. Leafs
// that the query has already called for this shard are left out, so the calls
// for a shard are bounded by its leafs.
func (q *Query) choose(s *shardState, kind callKind) *leaf {
	var preferred, reserve pair
	var probe *leaf
	for _, l := range q.layout.holding(s.shard) {
		if !l.eligible() || kind != callPrimary && q.tried(s, l) {
			continue
		}
		shedding := q.now < l.shedUntil
		switch {
		case l.open:
			if l.probeDue(q.now) && !shedding {
				probe = l
			}
		case shedding && kind != callPrimary:
		case shedding, l.cold && l.outstanding > 0:
			reserve.offer(l, q.origin)
		default:
			preferred.offer(l, q.origin)
		}
	}
	return q.chooseFrom(kind, &preferred, &reserve, probe)
}

// chooseFrom ranks the groups of leafs. A primary call of an idempotent query
// serves as the probe of a leaf that was set aside; a hedge takes no risk.
func (q *Query) chooseFrom(kind callKind, preferred, reserve *pair, probe *leaf) *leaf {
	if probe != nil && kind == callPrimary && !q.request.Class.NonIdempotent {
		return probe
	}
	if preferred.offered > 0 {
		return preferred.take(q.origin, q.now)
	}
	if kind == callHedge {
		return nil
	}
	if reserve.offered > 0 {
		return reserve.take(q.origin, q.now)
	}
	return probe
}

func (q *Query) tried(s *shardState, l *leaf) bool {
	for n := s.last; n >= 0; n = q.calls[n].previous {
		if q.calls[n].leaf == l {
			return true
		}
	}
	return false
}
