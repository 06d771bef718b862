package anvilmember

import (
	"slices"
	"time"
)

// Tick does what is due at now. The owner calls it at Next or earlier.
func (m *Membership) Tick(now time.Time, a *Actions) {
	m.advance(now, a)
	if m.superseded {
		return
	}
	m.expireRelays(a)
	m.expireRounds(a)
	m.judgeSuspects(a)
	m.tryAnnounce(a)
	m.probeRegular(a)
	m.probeDead(a)
}

// Next returns when Tick has to be called at the latest.
func (m *Membership) Next() time.Time {
	next := m.at + tickPeriod
	if !m.superseded {
		next = min(next, m.nextProbe)
	}
	for _, x := range m.rounds {
		next = min(next, x.deadline)
	}
	for _, x := range m.relays {
		next = min(next, x.deadline)
	}
	return m.start.Add(max(next, m.at))
}

// probeRegular probes the next member of the shuffled round robin, and members of
// which nothing new has been heard for long.
func (m *Membership) probeRegular(a *Actions) {
	if m.at < m.nextProbe {
		return
	}
	if m.nextProbe == 0 {
		// A random phase spreads the probes of nodes that start together.
		m.nextProbe = time.Duration(m.config.Random.Int64N(int64(m.config.ProbeInterval)))
	}
	m.nextProbe = max(m.nextProbe+m.config.ProbeInterval, m.at+m.config.ProbeInterval/2)
	m.confirms = 0
	if r := m.nextRegular(); r != nil {
		m.probe(r, a)
	}
	m.probeNear(a)
	m.probeSilent(a)
}

// probeNear probes a member of this node's failure domain. In a large domain the
// regular probes alone would let the states of its members grow too old.
func (m *Membership) probeNear(a *Actions) {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.living() && r.member.FailureDomain == m.self.Member.FailureDomain {
			m.scratch = append(m.scratch, r)
		}
	}
	if len(m.scratch) >= largeDomain {
		m.probe(m.scratch[m.config.Random.IntN(len(m.scratch))], a)
	}
}

// nextRegular returns the next member in the round robin, nil if there is none.
func (m *Membership) nextRegular() *record {
	for range len(m.records) + 1 {
		if m.position >= len(m.order) {
			m.shuffle()
			if len(m.order) == 0 {
				return nil
			}
		}
		r := m.order[m.position]
		m.position++
		if !r.removed && r.regular() {
			return r
		}
	}
	return nil
}

func (m *Membership) shuffle() {
	m.position = 0
	m.order = append(m.order[:0], m.records...)
	m.config.Random.Shuffle(len(m.order), func(i, j int) {
		m.order[i], m.order[j] = m.order[j], m.order[i]
	})
}

// enqueueProbe puts a new member at a random place of the rest of the round.
func (m *Membership) enqueueProbe(r *record) {
	left := len(m.order) - m.position
	m.order = slices.Insert(m.order, m.position+m.config.Random.IntN(left+1), r)
}

// probeSilent probes the members that were silent for longest. They may have died
// while this node missed the news, or be new to it.
func (m *Membership) probeSilent(a *Actions) {
	m.scratch = m.scratch[:0]
	regular := 0
	for _, r := range m.records {
		if !r.regular() {
			continue
		}
		regular++
		if m.silent(r) {
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
		m.probe(r, a)
	}
}

// probeDead probes one dead or never heard member every few seconds, so that both
// sides of a healed partition find each other.
func (m *Membership) probeDead(a *Actions) {
	if m.at < m.nextDead {
		return
	}
	m.nextDead = m.at + m.config.DeadProbeInterval
	for range m.records {
		m.deadPosition = (m.deadPosition + 1) % len(m.records)
		r := m.records[m.deadPosition]
		if !r.regular() && (!r.replaced || r.isListed) {
			m.probe(r, a)
			return
		}
	}
}

// burst probes several members at once to spread a change of this node.
func (m *Membership) burst(a *Actions) {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r.living() {
			m.scratch = append(m.scratch, r)
		}
	}
	m.config.Random.Shuffle(len(m.scratch), func(i, j int) {
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	})
	for _, r := range m.scratch[:min(burstProbes, len(m.scratch))] {
		m.probe(r, a)
	}
}

// confirm lets some of those that hear of a suspicion probe the suspect at once.
func (m *Membership) confirm(r *record, a *Actions) {
	if m.confirms >= confirmsPerPeriod {
		return
	}
	n := m.usable()
	if n > confirmers && m.config.Random.IntN(n) >= confirmers {
		return
	}
	m.confirms++
	m.probe(r, a)
}
