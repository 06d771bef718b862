package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// addSamples fills the message with the freshest states of members. Every second
// message prefers the receiver's failure domain, because most callers are sent to
// nodes in their own.
func (m *Membership) addSamples(b *batch, to *anvilmodel.Member) {
	if b.full() {
		return
	}
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.member.Status != anvilmodel.MemberAlive || r.member.Name == to.Name || m.silent(r) {
			continue
		}
		m.scratch = append(m.scratch, r)
	}
	preferred := to.FailureDomain
	if m.config.Random.IntN(2) == 0 {
		preferred = ""
	}
	slices.SortFunc(m.scratch, func(x, y *record) int {
		near, far := x.member.FailureDomain == preferred, y.member.FailureDomain == preferred
		switch {
		case near && !far:
			return -1
		case far && !near:
			return 1
		}
		return compareTimes(y.stateAt(), x.stateAt())
	})
	for _, r := range m.scratch {
		if b.full() {
			return
		}
		b.add(r.item(r.sampleForm()))
	}
}

// stateAt estimates when the member had the state that the record holds.
func (r *record) stateAt() time.Duration {
	return r.origin + time.Duration(r.version)*versionPeriod
}

// silent reports whether nothing new has been heard of a member for long, or not
// since this process paused.
func (m *Membership) silent(r *record) bool {
	return r.updatedAt == never || m.at-r.updatedAt > silentTime
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
