package anvilmember

import (
	"time"

	"anvilbridge/anvilmodel"
)

// advanceTime moves the clock of the core. A gap above the pause time means that the
// process did not run; what it judged before is void.
func (m *Membership) advanceTime(now time.Time, a *Actions) {
	at := max(now.Sub(m.start), m.elapsed)
	gap := at - m.elapsed
	m.elapsed = at
	if gap > m.config.PauseThreshold {
		m.handlePause(gap, a)
	}
}

// handlePause drops everything that a paused process must not conclude from: probes in
// flight, its own testimony and news that has waited. Suspects stay suspects
// without a witness until they have been probed again.
func (m *Membership) handlePause(gap time.Duration, a *Actions) {
	a.Events = append(a.Events, Event{
		Kind:        EventPaused,
		Member:      m.self.Member.Name,
		Slot:        m.self.Member.Slot,
		Incarnation: m.self.Member.Incarnation,
		Cause:       "no call for " + gap.String(),
	})
	m.resumedAt = m.elapsed
	m.lastReplyAt = never
	m.peerReplied = false
	m.joinStartedAt = m.elapsed
	m.joinRepliers = m.joinRepliers[:0]
	m.nextProbeAt = m.elapsed
	m.cancelProbes(a)
	for _, r := range m.updateQueue {
		r.queued = false
		r.sendsLeft = 0
	}
	m.updateQueue = m.updateQueue[:0]
	for _, r := range m.records {
		r.updatedAt = never
		r.reachedAt = never
		r.versionEpoch = never
		if r.member.Status == anvilmodel.MemberSuspect {
			r.witnesses = nil
			r.suspectedAt = m.elapsed
		}
	}
}

// cancelProbes forgets the probes in flight and refuses those made for others.
func (m *Membership) cancelProbes(a *Actions) {
	for _, x := range m.attempts {
		x.done = true
	}
	m.attempts = nil
	for _, x := range m.relayedProbes {
		a.Responses = append(a.Responses, Response{
			Token:   x.token,
			Refused: true,
		})
	}
	m.relayedProbes = nil
}

// PlatformReplied says that the platform answered a request sent at sent. An answer
// to a request sent before a pause may have waited as long as the pause lasted and
// does not end the isolation.
func (m *Membership) PlatformReplied(sent, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	if sent.Sub(m.start) >= m.resumedAt {
		m.lastReplyAt = m.elapsed
	}
}

// Isolated reports whether the node has heard from neither peers nor platform for
// the isolation time, or not at all since its start or last pause. Only answers to
// its own requests count, because a request of a peer may have waited in a buffer.
func (m *Membership) Isolated(now time.Time) bool {
	at := max(now.Sub(m.start), m.elapsed)
	if at-m.elapsed > m.config.PauseThreshold || m.lastReplyAt == never {
		return true
	}
	return at-m.lastReplyAt > m.config.IsolationTimeout
}
