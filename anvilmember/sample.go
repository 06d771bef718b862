package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// addSamples fills the message with the newest states of members. Every second message
// on average prefers members in the receiver's failure domain, because most callers are
// directed to nodes in their own domain.
func (m *Membership) addSamples(batch *updateBatch, to *anvilmodel.Member) {
	if batch.full() {
		return
	}
	preferred := to.FailureDomain
	if m.config.Random.IntN(2) == 0 {
		preferred = ""
	}
	limit := batch.maxUpdates - len(batch.updates)
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.member.Status != anvilmodel.MemberAlive || r.member.Name == to.Name || m.isStale(r) {
			continue
		}
		m.scratch = insertBest(m.scratch, r, preferred, limit)
	}
	for _, r := range m.scratch {
		if batch.full() {
			return
		}
		batch.add(r.memberUpdate(r.sampleDetail()))
	}
}

// insertBest inserts r into best, which is sorted and keeps at most limit records.
func insertBest(best []*record, r *record, preferred anvilmodel.FailureDomain, limit int) []*record {
	position := len(best)
	for position > 0 && r.isBetterSample(best[position-1], preferred) {
		position--
	}
	if position >= limit {
		return best
	}
	if len(best) == limit {
		best = best[:limit-1]
	}
	return slices.Insert(best, position, r)
}

// isBetterSample reports whether r comes before other: members in the preferred failure
// domain come first, then those with newer state.
func (r *record) isBetterSample(other *record, preferred anvilmodel.FailureDomain) bool {
	isPreferred, otherPreferred := r.member.FailureDomain == preferred, other.member.FailureDomain == preferred
	if isPreferred != otherPreferred {
		return isPreferred
	}
	return r.stateTime() > other.stateTime()
}

// stateTime estimates the time at which the member reported the state in the record.
func (r *record) stateTime() time.Duration {
	return r.versionEpoch + time.Duration(r.version)*versionUnit
}

// isStale reports whether no new state of the member was received for long, or none
// since the last pause of this process.
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
