package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// HandleProbeRequest takes a request of another node. One Answer with the token follows,
// at once or after the target of an indirect probe has been tried.
func (m *Membership) HandleProbeRequest(token uint64, q ProbeRequest, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	m.mergeSender(q.From, a)
	m.mergeUpdates(q.Updates, a)
	m.tryAnnounce(a)
	if m.superseded {
		a.Responses = append(a.Responses, Response{
			Token:   token,
			Refused: true,
		})
		return
	}
	if q.Target != "" && q.Target != m.self.Member.Name {
		m.relayProbe(token, q, a)
		return
	}
	a.Responses = append(a.Responses, Response{
		Token: token,
		Reply: m.newReply(q.From.Member, q.Target != ""),
	})
}

// relayProbe probes a member on behalf of another.
func (m *Membership) relayProbe(token uint64, q ProbeRequest, a *Actions) {
	r := m.byName[q.Target]
	if r == nil || len(m.relayedProbes) >= maxRelayedProbes || !r.probeAddress().IsValid() {
		a.Responses = append(a.Responses, Response{
			Token:   token,
			Refused: true,
		})
		return
	}
	x := relayedProbe{
		id:        m.nextID(),
		token:     token,
		requester: q.From.Member,
		target:    r,
		deadline:  m.elapsed + m.config.ProbeTimeout,
	}
	m.relayedProbes = append(m.relayedProbes, x)
	a.Probes = append(a.Probes, Probe{
		ID:      x.id,
		To:      r.member.Name,
		Address: r.probeAddress(),
		Timeout: m.config.ProbeTimeout,
		Request: m.newRequest(r, nil),
	})
}

// HandleProbeReply takes the reply to the probe with the id.
func (m *Membership) HandleProbeReply(id uint64, r ProbeReply, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	relayed := slices.IndexFunc(m.relayedProbes, func(x relayedProbe) bool { return x.id == id })
	round, asked := m.findAttempt(id)
	if relayed < 0 && round == nil {
		return
	}
	var behalf relayedProbe
	if relayed >= 0 {
		behalf = m.relayedProbes[relayed]
		m.relayedProbes = slices.Delete(m.relayedProbes, relayed, relayed+1)
	}
	m.lastReplyAt = m.elapsed
	m.peerReplied = true
	m.mergeSender(r.From, a)
	m.mergeUpdates(r.Updates, a)
	m.recordJoinReply(r.From.Member.Name)
	switch {
	case relayed >= 0:
		m.answerRelayedProbe(behalf, m.recordReply(behalf.target, r.From.Member, a), a)
	case round.done:
		// The reply said that this process is superseded, and its exchanges ended.
	case asked >= 0:
		m.handleIndirectReply(round, asked, r.Reached, a)
	case m.recordReply(round.target, r.From.Member, a):
		round.done = true
	case !round.indirect:
		m.startIndirectProbes(round, a)
	}
	m.tryAnnounce(a)
}

// HandleProbeFailure says that the probe with the id got no reply.
func (m *Membership) HandleProbeFailure(id uint64, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	if i := slices.IndexFunc(m.relayedProbes, func(x relayedProbe) bool { return x.id == id }); i >= 0 {
		x := m.relayedProbes[i]
		m.relayedProbes = slices.Delete(m.relayedProbes, i, i+1)
		m.answerRelayedProbe(x, false, a)
		return
	}
	round, asked := m.findAttempt(id)
	switch {
	case round == nil:
	case asked >= 0:
		m.finishIndirectProbe(round, asked, a)
	case !round.indirect:
		m.startIndirectProbes(round, a)
	}
}

// findAttempt returns the round that a probe belongs to, and the position of the
// helper's probe in it or -1 for the direct one.
func (m *Membership) findAttempt(id uint64) (*probeAttempt, int) {
	for _, x := range m.attempts {
		if x.done {
			continue
		}
		if x.id == id {
			return x, -1
		}
		if i := slices.IndexFunc(x.indirectProbes, func(k indirectProbe) bool { return k.id == id }); i >= 0 {
			return x, i
		}
	}
	return nil, -1
}

// recordReply reports whether the entry that came from a member's address is that
// member's, and notes it as reached.
func (m *Membership) recordReply(r *record, from anvilmodel.Member, a *Actions) bool {
	if from.Name != r.member.Name {
		return false
	}
	if from.Incarnation == 0 {
		return true
	}
	if from.Incarnation != r.member.Incarnation {
		return false
	}
	r.reachedAt = m.elapsed
	r.updatedAt = m.elapsed
	m.withdrawSuspicion(r, a)
	return true
}

func (m *Membership) handleIndirectReply(x *probeAttempt, asked int, reached bool, a *Actions) {
	if reached {
		x.done = true
		m.withdrawSuspicion(x.target, a)
		return
	}
	x.failedProbers = append(x.failedProbers, x.indirectProbes[asked].prober)
	m.finishIndirectProbe(x, asked, a)
}

// finishIndirectProbe ends a helper's part; the last one ends the round.
func (m *Membership) finishIndirectProbe(x *probeAttempt, asked int, a *Actions) {
	x.indirectProbes = slices.Delete(x.indirectProbes, asked, asked+1)
	if len(x.indirectProbes) == 0 {
		m.failAttempt(x, a)
	}
}
