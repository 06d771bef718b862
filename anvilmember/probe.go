package anvilmember

import (
	"slices"
	"time"
)

// Tick does what is due at now. The owner calls it at Next or earlier.
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

// Next returns when Tick has to be called at the latest.
func (m *Membership) Next() time.Time {
	next := m.elapsed + maxTickInterval
	if !m.superseded {
		next = min(next, m.nextProbeAt)
	}
	for _, x := range m.attempts {
		next = min(next, x.deadline)
	}
	for _, x := range m.relayedProbes {
		next = min(next, x.deadline)
	}
	return m.start.Add(max(next, m.elapsed))
}

// probeScheduled probes the next member of the shuffled round robin, and members of
// which nothing new has been heard for long.
func (m *Membership) probeScheduled(a *Actions) {
	if m.elapsed < m.nextProbeAt {
		return
	}
	if m.nextProbeAt == 0 {
		// A random phase spreads the probes of nodes that start together.
		m.nextProbeAt = time.Duration(m.config.Random.Int64N(int64(m.config.ProbeInterval)))
	}
	m.nextProbeAt = max(m.nextProbeAt+m.config.ProbeInterval, m.elapsed+m.config.ProbeInterval/2)
	m.confirmationProbes = 0
	if r := m.nextInRotation(); r != nil {
		m.startProbe(r, a)
	}
	m.probeOwnDomain(a)
	m.probeStale(a)
}

// probeOwnDomain probes a member of this node's failure domain. In a large domain the
// regular probes alone would let the states of its members grow too old.
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

// nextInRotation returns the next member in the round robin, nil if there is none.
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

// addToRotation puts a new member at a random place of the rest of the round.
func (m *Membership) addToRotation(r *record) {
	left := len(m.probeOrder) - m.probePosition
	m.probeOrder = slices.Insert(m.probeOrder, m.probePosition+m.config.Random.IntN(left+1), r)
}

// probeStale probes the members that were silent for longest. They may have died
// while this node missed the news, or be new to it.
func (m *Membership) probeStale(a *Actions) {
	m.scratch = m.scratch[:0]
	regular := 0
	for _, r := range m.records {
		if !r.inProbeRotation() {
			continue
		}
		regular++
		if m.isStale(r) {
			m.scratch = append(m.scratch, r)
		}
	}
	count := 1
	if len(m.scratch)*10 > regular {
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

// probeDead probes one dead or never heard member every few seconds, so that both
// sides of a healed partition find each other.
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

// probeRandomMembers probes several members at once to spread a change of this node.
func (m *Membership) probeRandomMembers(a *Actions) {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.isLive() {
			m.scratch = append(m.scratch, r)
		}
	}
	m.config.Random.Shuffle(len(m.scratch), func(i, j int) {
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	})
	for _, r := range m.scratch[:min(announcementProbes, len(m.scratch))] {
		m.startProbe(r, a)
	}
}

// confirmSuspicion lets some of those that hear of a suspicion probe the suspect at once.
func (m *Membership) confirmSuspicion(r *record, a *Actions) {
	if m.confirmationProbes >= maxConfirmationProbes {
		return
	}
	n := m.liveCount()
	if n > confirmingMembers && m.config.Random.IntN(n) >= confirmingMembers {
		return
	}
	m.confirmationProbes++
	m.startProbe(r, a)
}
