package anvilmember

import (
	"time"

	"anvilbridge/anvilmodel"
)

// advanceTime sets the current time. A gap above the pause threshold means that the
// process did not run, which invalidates its earlier observations.
func (m *Membership) advanceTime(now time.Time, a *Actions) {
	elapsed := max(now.Sub(m.start), m.elapsed)
	gap := elapsed - m.elapsed
	m.elapsed = elapsed
	if gap > m.config.PauseThreshold {
		m.handlePause(gap, a)
	}
}

// handlePause discards the state that became invalid while the process was paused:
// probes in flight, failures that this node observed, and queued updates. Suspected
// members stay suspected without a witness until they have been probed again.
func (m *Membership) handlePause(gap time.Duration, a *Actions) {
	a.Events = append(a.Events, Event{
		Kind:        EventPaused,
		Member:      m.self.Member.Name,
		Slot:        m.self.Member.Slot,
		Incarnation: m.self.Member.Incarnation,
		Cause:       "process paused for " + gap.String(),
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
			m.setUnreachable(r, false)
		}
	}
}

// cancelProbes drops all probes in flight and refuses the requests for those that
// this node makes on behalf of other members.
func (m *Membership) cancelProbes(a *Actions) {
	for _, attempt := range m.attempts {
		attempt.done = true
	}
	m.attempts = nil
	for _, relayed := range m.relayedProbes {
		a.Responses = append(a.Responses, Response{
			Token:   relayed.token,
			Refused: true,
		})
	}
	m.relayedProbes = nil
}

// PlatformReplied records that the platform answered a request that was sent at the
// time sent. An answer to a request sent before a pause does not end the isolation,
// because it may have been buffered for the whole pause.
func (m *Membership) PlatformReplied(sent, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	if sent.Sub(m.start) >= m.resumedAt {
		m.lastReplyAt = m.elapsed
	}
}

// Isolated reports whether the node received no reply from peers or the platform
// for longer than the isolation timeout, or none since its start or last pause.
// Requests from peers do not count, because they may have been buffered.
func (m *Membership) Isolated(now time.Time) bool {
	elapsed := max(now.Sub(m.start), m.elapsed)
	if elapsed-m.elapsed > m.config.PauseThreshold || m.lastReplyAt == never {
		return true
	}
	return elapsed-m.lastReplyAt > m.config.IsolationTimeout
}
