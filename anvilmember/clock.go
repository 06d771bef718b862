package anvilmember

import (
	"time"

	"anvilbridge/anvilmodel"
)

// advance moves the clock of the core. A gap above the pause time means that the
// process did not run; what it judged before is void.
func (m *Membership) advance(now time.Time, a *Actions) {
	at := max(now.Sub(m.start), m.at)
	gap := at - m.at
	m.at = at
	if gap > m.config.PauseThreshold {
		m.resume(gap, a)
	}
}

// resume drops everything that a paused process must not conclude from: probes in
// flight, its own testimony and news that has waited. Suspects stay suspects
// without a witness until they have been probed again.
func (m *Membership) resume(gap time.Duration, a *Actions) {
	a.Events = append(a.Events, Event{
		Kind:        EventPaused,
		Member:      m.self.Member.Name,
		Slot:        m.self.Member.Slot,
		Incarnation: m.self.Member.Incarnation,
		Cause:       "no call for " + gap.String(),
	})
	m.resumed = m.at
	m.heardAt = never
	m.replied = false
	m.joinStart = m.at
	m.joinHeard = m.joinHeard[:0]
	m.nextProbe = m.at
	m.dropExchanges(a)
	for _, r := range m.queue {
		r.newsQueued = false
		r.newsLeft = 0
	}
	m.queue = m.queue[:0]
	for _, r := range m.records {
		r.updatedAt = never
		r.reachedAt = never
		r.origin = never
		if r.member.Status == anvilmodel.MemberSuspect {
			r.witnesses = nil
			r.suspectedAt = m.at
		}
	}
}

// dropExchanges forgets the probes in flight and refuses those made for others.
func (m *Membership) dropExchanges(a *Actions) {
	for _, x := range m.rounds {
		x.done = true
	}
	m.rounds = nil
	for _, x := range m.relays {
		a.Responses = append(a.Responses, Response{
			Token:   x.token,
			Refused: true,
		})
	}
	m.relays = nil
}

// PlatformReplied says that the platform answered a request sent at sent. An answer
// to a request sent before a pause may have waited as long as the pause lasted and
// does not end the isolation.
func (m *Membership) PlatformReplied(sent, now time.Time, a *Actions) {
	m.advance(now, a)
	if sent.Sub(m.start) >= m.resumed {
		m.heardAt = m.at
	}
}

// Isolated reports whether the node has heard from neither peers nor platform for
// the isolation time, or not at all since its start or last pause. Only answers to
// its own requests count, because a request of a peer may have waited in a buffer.
func (m *Membership) Isolated(now time.Time) bool {
	at := max(now.Sub(m.start), m.at)
	if at-m.at > m.config.PauseThreshold || m.heardAt == never {
		return true
	}
	return at-m.heardAt > m.config.IsolationTimeout
}
