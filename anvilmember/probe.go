package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Tick does the work that is due. The owner calls it at the time that Next returns or
// earlier.
func (m *Membership) Tick(now time.Time, a *Actions) {
	m.advanceTime(now, a)
	if m.superseded {
		return
	}
	m.expireRelayedProbes(a)
	m.expireAttempts(a)
	m.evaluateSuspects(a)
	m.tryAnnounce(a)
	m.probeScheduled(a)
	m.probeDead(a)
}

// Next returns the latest time at which the owner has to call Tick.
func (m *Membership) Next() time.Time {
	next := m.elapsed + maxTickInterval
	if !m.superseded {
		next = min(next, m.nextProbeAt)
	}
	for _, attempt := range m.attempts {
		next = min(next, attempt.deadline)
	}
	for _, relayed := range m.relayedProbes {
		next = min(next, relayed.deadline)
	}
	return m.start.Add(max(next, m.elapsed))
}

// probeScheduled probes, once per probe interval, the next member of the shuffled round
// robin, a member of a large own failure domain, and stale members.
func (m *Membership) probeScheduled(a *Actions) {
	if m.elapsed < m.nextProbeAt {
		return
	}
	if m.nextProbeAt == 0 {
		// A random offset spreads the probes of nodes that start at the same time.
		m.nextProbeAt = time.Duration(m.config.Random.Int64N(int64(m.config.ProbeInterval)))
	}
	m.nextProbeAt = max(m.nextProbeAt+m.config.ProbeInterval, m.elapsed+m.config.ProbeInterval/2)
	m.confirmationProbes = 0
	if r := m.nextInRotation(); r != nil {
		m.startProbe(r, a)
	}
	m.probeOwnDomain(a)
	m.probeStale(a)
	m.probeUnconfirmed(a)
	if m.countPendingUpdates() > maxPendingUpdates {
		m.probeRandomMembers(catchUpProbes, a)
	}
}

// probeUnconfirmed probes suspects that have too few witnesses. All alive members together
// probe each suspect about unconfirmedProbes times per probe interval.
func (m *Membership) probeUnconfirmed(a *Actions) {
	if m.suspectCount == 0 {
		return
	}
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.member.Status == anvilmodel.MemberSuspect && len(r.witnesses) < requiredWitnesses && !r.isWitness(m.self.Member.Name) {
			m.scratch = append(m.scratch, r)
		}
	}
	expected := float64(len(m.scratch)*unconfirmedProbes) / float64(m.aliveCount()+1)
	count := min(int(expected+m.config.Random.Float64()), len(m.scratch), maxUnconfirmedProbes)
	m.config.Random.Shuffle(len(m.scratch), func(i, j int) {
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	})
	for _, r := range slices.Clone(m.scratch[:count]) {
		m.startProbe(r, a)
	}
}

// countPendingUpdates returns the number of queued updates about suspected and dead members.
func (m *Membership) countPendingUpdates() int {
	n := 0
	for _, r := range m.updateQueue {
		if r.sendsLeft > 0 && (r.pendingUpdate == updateSuspected || r.pendingUpdate == updateDead) {
			n++
		}
	}
	return n
}

// probeOwnDomain probes a random member of this node's failure domain if the domain is
// large. There the round robin alone would let the states of the members become too old.
func (m *Membership) probeOwnDomain(a *Actions) {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.isLive() && r.member.FailureDomain == m.self.Member.FailureDomain {
			m.scratch = append(m.scratch, r)
		}
	}
	if len(m.scratch) >= largeDomainMembers {
		m.startProbe(m.scratch[m.config.Random.IntN(len(m.scratch))], a)
	}
}

// nextInRotation returns the next member of the round robin, or nil if there is none.
func (m *Membership) nextInRotation() *record {
	for range len(m.records) + 1 {
		if m.probePosition >= len(m.probeOrder) {
			m.shuffleRotation()
			if len(m.probeOrder) == 0 {
				return nil
			}
		}
		r := m.probeOrder[m.probePosition]
		m.probePosition++
		if !r.removed && r.inProbeRotation() {
			return r
		}
	}
	return nil
}

func (m *Membership) shuffleRotation() {
	m.probePosition = 0
	m.probeOrder = append(m.probeOrder[:0], m.records...)
	m.config.Random.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
}

// addToRotation inserts a new member at a random position of the remaining round.
func (m *Membership) addToRotation(r *record) {
	remaining := len(m.probeOrder) - m.probePosition
	m.probeOrder = slices.Insert(m.probeOrder, m.probePosition+m.config.Random.IntN(remaining+1), r)
}

// probeStale probes stale members, suspected ones first and then those with the oldest
// state. They may be dead without this node having received the update, or be new to it.
func (m *Membership) probeStale(a *Actions) {
	m.scratch = m.scratch[:0]
	inRotation := 0
	for _, r := range m.records {
		if !r.inProbeRotation() {
			continue
		}
		inRotation++
		if m.isStale(r) {
			m.scratch = append(m.scratch, r)
		}
	}
	count := 1
	if len(m.scratch)*10 > inRotation {
		count = catchUpProbes
	}
	m.config.Random.Shuffle(len(m.scratch), func(i, j int) {
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	})
	slices.SortStableFunc(m.scratch, func(x, y *record) int {
		if x.member.Status != y.member.Status {
			return int(y.member.Status) - int(x.member.Status)
		}
		return compareTimes(x.updatedAt, y.updatedAt)
	})
	for _, r := range m.scratch[:min(count, len(m.scratch))] {
		m.startProbe(r, a)
	}
}

// probeDead probes one member outside the round robin per dead probe interval, so that
// both sides of a network partition find each other again after it heals.
func (m *Membership) probeDead(a *Actions) {
	if m.elapsed < m.nextDeadProbeAt {
		return
	}
	m.nextDeadProbeAt = m.elapsed + m.config.DeadProbeInterval
	for range m.records {
		m.deadProbePosition = (m.deadProbePosition + 1) % len(m.records)
		r := m.records[m.deadProbePosition]
		if !r.inProbeRotation() && (!r.replaced || r.isListed) {
			m.startProbe(r, a)
			return
		}
	}
}

// probeRandomMembers probes several members at once to pass on updates.
func (m *Membership) probeRandomMembers(count int, a *Actions) {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.member.Status == anvilmodel.MemberAlive {
			m.scratch = append(m.scratch, r)
		}
	}
	m.config.Random.Shuffle(len(m.scratch), func(i, j int) {
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	})
	for _, r := range slices.Clone(m.scratch[:min(count, len(m.scratch))]) {
		m.startProbe(r, a)
	}
}

// confirmSuspicion probes a suspect that another node reported. In a large fleet only a
// random part of the nodes does so.
func (m *Membership) confirmSuspicion(r *record, a *Actions) {
	if m.confirmationProbes >= maxConfirmationProbes {
		return
	}
	live := m.liveCount()
	if live > confirmingMembers && m.config.Random.IntN(live) >= confirmingMembers {
		return
	}
	m.confirmationProbes++
	m.startProbe(r, a)
}
