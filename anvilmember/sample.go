package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// addSamples fills the message with the freshest states of members. Every second
// message prefers the receiver's failure domain, because most callers are sent to
// nodes in their own.
func (m *Membership) addSamples(b *updateBatch, to *anvilmodel.Member) {
	if b.full() {
		return
	}
	preferred := to.FailureDomain
	if m.config.Random.IntN(2) == 0 {
		preferred = ""
	}
	limit := b.maxUpdates - len(b.updates)
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.member.Status != anvilmodel.MemberAlive || r.member.Name == to.Name || m.isStale(r) {
			continue
		}
		m.scratch = insertBest(m.scratch, r, preferred, limit)
	}
	for _, r := range m.scratch {
		if b.full() {
			return
		}
		b.add(r.memberUpdate(r.sampleDetail()))
	}
}

// insertBest keeps the best records in order, at most limit.
func insertBest(best []*record, r *record, preferred anvilmodel.FailureDomain, limit int) []*record {
	k := len(best)
	for k > 0 && r.isBetterSample(best[k-1], preferred) {
		k--
	}
	if k >= limit {
		return best
	}
	if len(best) == limit {
		best = best[:limit-1]
	}
	return slices.Insert(best, k, r)
}

// isBetterSample reports whether r goes before x: if only r is in the preferred failure
// domain, or if its state is younger.
func (r *record) isBetterSample(x *record, preferred anvilmodel.FailureDomain) bool {
	near, far := r.member.FailureDomain == preferred, x.member.FailureDomain == preferred
	if near != far {
		return near
	}
	return r.stateTime() > x.stateTime()
}

// stateTime estimates when the member had the state that the record holds.
func (r *record) stateTime() time.Duration {
	return r.versionEpoch + time.Duration(r.version)*versionUnit
}

// isStale reports whether nothing new has been heard of a member for long, or not
// since this process paused.
func (m *Membership) isStale(r *record) bool {
	return r.updatedAt == never || m.elapsed-r.updatedAt > staleAfter
}

func compareTimes(a, b time.Duration) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
