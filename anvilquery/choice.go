package anvilquery

import "time"

// callKind is the reason why a call is sent.
type callKind uint8

const (
	callPrimary callKind = iota
	callHedge
	callRetry
)

// leafSample picks two of the added leaves uniformly at random, by reservoir
// sampling.
type leafSample struct {
	first, second *leaf
	count         int
}

func (s *leafSample) add(l *leaf, o *Origin) {
	s.count++
	switch s.count {
	case 1:
		s.first = l
		return
	case 2:
		s.second = l
		return
	}
	switch o.config.Random.IntN(s.count) {
	case 0:
		s.first = l
	case 1:
		s.second = l
	}
}

// pick returns the better of the two sampled leaves, or nil if none was added.
func (s *leafSample) pick(o *Origin, now time.Duration) *leaf {
	if s.count < 2 {
		return s.first
	}
	return o.betterLeaf(s.first, s.second, now)
}

// betterLeaf returns the leaf with fewer outstanding calls of this origin. A tie is
// broken at random, weighted by the spare capacity that both leaves report. The
// random choice keeps sending calls to the other leaf, so a single outdated load
// report neither attracts all queries nor stays without an update.
func (o *Origin) betterLeaf(a, b *leaf, now time.Duration) *leaf {
	if a.outstanding != b.outstanding {
		if a.outstanding < b.outstanding {
			return a
		}
		return b
	}
	spareA, spareB := 1.0, 1.0
	if a.hasRecentLoad(now) && b.hasRecentLoad(now) {
		spareA = max(minSpareCapacity, 1-a.load)
		spareB = max(minSpareCapacity, 1-b.load)
	}
	if o.config.Random.Float64()*(spareA+spareB) < spareA {
		return a
	}
	return b
}

// minSpareCapacity is the spare capacity assumed for a leaf that reports full load,
// so that it still gets some of the calls.
const minSpareCapacity = 0.05

// chooseLeaf returns the leaf for a call to a shard, or nil if there is none.
// Leaves that the query has already called for this shard are skipped, so the
// number of calls for a shard is limited by the number of its leaves.
func (q *Query) chooseLeaf(s *shardState, kind callKind) *leaf {
	var preferred, fallback leafSample
	var probe *leaf
	for _, l := range q.pinned.leavesOf(s.shard) {
		if !l.eligible() || kind != callPrimary && q.alreadyCalled(s, l) {
			continue
		}
		shedding := q.now < l.shedUntil
		switch {
		case l.circuitOpen:
			if l.probeDue(q.now) && !shedding {
				probe = l
			}
		case shedding && kind != callPrimary:
		case shedding, l.cold && l.outstanding > 0:
			fallback.add(l, q.origin)
		default:
			preferred.add(l, q.origin)
		}
	}
	return q.chooseFromGroups(kind, &preferred, &fallback, probe)
}

// chooseFromGroups selects from the groups of leaves in order of preference. A
// primary call of an idempotent query may serve as the probe of a leaf with an open
// circuit. A hedge uses neither the fallback group nor the probe.
func (q *Query) chooseFromGroups(kind callKind, preferred, fallback *leafSample, probe *leaf) *leaf {
	if probe != nil && kind == callPrimary && !q.request.Class.NonIdempotent {
		return probe
	}
	if preferred.count > 0 {
		return preferred.pick(q.origin, q.now)
	}
	if kind == callHedge {
		return nil
	}
	if fallback.count > 0 {
		return fallback.pick(q.origin, q.now)
	}
	return probe
}

func (q *Query) alreadyCalled(s *shardState, l *leaf) bool {
	for n := s.lastCall; n >= 0; n = q.calls[n].previousCall {
		if q.calls[n].leaf == l {
			return true
		}
	}
	return false
}
