package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// HandleProbeRequest processes a request from another node. One Response with the
// token follows, either at once or after an indirect probe of the target has ended.
func (m *Membership) HandleProbeRequest(token uint64, request ProbeRequest, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	m.mergeSender(request.From, a)
	m.mergeUpdates(request.Updates, a)
	m.tryAnnounce(a)
	if m.superseded {
		a.Responses = append(a.Responses, Response{
			Token:   token,
			Refused: true,
		})
		return
	}
	if request.Target != "" && request.Target != m.self.Member.Name {
		m.relayProbe(token, request, a)
		return
	}
	a.Responses = append(a.Responses, Response{
		Token: token,
		Reply: m.newReply(request.From.Member, request.Target != ""),
	})
}

// relayProbe probes a member on behalf of the sender of the request.
func (m *Membership) relayProbe(token uint64, request ProbeRequest, a *Actions) {
	target := m.byName[request.Target]
	if target == nil || len(m.relayedProbes) >= maxRelayedProbes || !target.probeAddress().IsValid() {
		a.Responses = append(a.Responses, Response{
			Token:   token,
			Refused: true,
		})
		return
	}
	relayed := relayedProbe{
		id:        m.nextID(),
		token:     token,
		requester: request.From.Member,
		target:    target,
		deadline:  m.elapsed + m.config.ProbeTimeout,
	}
	m.relayedProbes = append(m.relayedProbes, relayed)
	a.Probes = append(a.Probes, Probe{
		ID:      relayed.id,
		To:      target.member.Name,
		Address: target.probeAddress(),
		Timeout: m.config.ProbeTimeout,
		Request: m.newRequest(target, nil),
	})
}

// HandleProbeReply processes the reply to the probe with the ID.
func (m *Membership) HandleProbeReply(id uint64, reply ProbeReply, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	relayedIndex := slices.IndexFunc(m.relayedProbes, func(p relayedProbe) bool { return p.id == id })
	attempt, indirectIndex := m.findAttempt(id)
	if relayedIndex < 0 && attempt == nil {
		return
	}
	var relayed relayedProbe
	if relayedIndex >= 0 {
		relayed = m.relayedProbes[relayedIndex]
		m.relayedProbes = slices.Delete(m.relayedProbes, relayedIndex, relayedIndex+1)
	}
	m.lastReplyAt = m.elapsed
	m.peerReplied = true
	m.mergeSender(reply.From, a)
	m.mergeUpdates(reply.Updates, a)
	m.recordJoinReply(reply.From.Member.Name)
	switch {
	case relayedIndex >= 0:
		m.answerRelayedProbe(relayed, m.recordReply(relayed.target, reply.From.Member, a), a)
	case attempt.done:
		// The reply showed that this process is superseded, which cancelled its probes.
	case indirectIndex >= 0:
		m.handleIndirectReply(attempt, indirectIndex, reply.Reached, a)
	case m.recordReply(attempt.target, reply.From.Member, a):
		attempt.done = true
	case !attempt.indirect:
		m.startIndirectProbes(attempt, a)
	}
	m.tryAnnounce(a)
}

// HandleProbeFailure records that the probe with the ID got no reply. refused is set if no
// process accepts connections at the address.
func (m *Membership) HandleProbeFailure(id uint64, refused bool, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	if i := slices.IndexFunc(m.relayedProbes, func(p relayedProbe) bool { return p.id == id }); i >= 0 {
		relayed := m.relayedProbes[i]
		m.relayedProbes = slices.Delete(m.relayedProbes, i, i+1)
		m.answerRelayedProbe(relayed, false, a)
		return
	}
	attempt, indirectIndex := m.findAttempt(id)
	switch {
	case attempt == nil:
	case indirectIndex >= 0:
		attempt.silentProbers = append(attempt.silentProbers, attempt.indirectProbes[indirectIndex].prober)
		m.finishIndirectProbe(attempt, indirectIndex, a)
	case !attempt.indirect:
		attempt.target.refused = refused
		m.startIndirectProbes(attempt, a)
	}
}

// findAttempt returns the attempt that the probe belongs to and the index of the
// indirect probe in it, which is -1 for the direct probe.
func (m *Membership) findAttempt(id uint64) (*probeAttempt, int) {
	for _, attempt := range m.attempts {
		if attempt.done {
			continue
		}
		if attempt.id == id {
			return attempt, -1
		}
		if i := slices.IndexFunc(attempt.indirectProbes, func(p indirectProbe) bool { return p.id == id }); i >= 0 {
			return attempt, i
		}
	}
	return nil, -1
}

// recordReply reports whether a reply came from the probed member and not from
// another process at its address. If so, it records that the member was reached.
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
	r.refused = false
	r.reachedAt = m.elapsed
	r.updatedAt = m.elapsed
	m.withdrawSuspicion(r, a)
	return true
}

func (m *Membership) handleIndirectReply(attempt *probeAttempt, index int, reached bool, a *Actions) {
	if reached {
		attempt.done = true
		m.withdrawSuspicion(attempt.target, a)
		return
	}
	attempt.failedProbers = append(attempt.failedProbers, attempt.indirectProbes[index].prober)
	m.finishIndirectProbe(attempt, index, a)
}

// finishIndirectProbe removes an indirect probe that did not reach the target. The
// attempt fails with the last one.
func (m *Membership) finishIndirectProbe(attempt *probeAttempt, index int, a *Actions) {
	attempt.indirectProbes = slices.Delete(attempt.indirectProbes, index, index+1)
	if len(attempt.indirectProbes) == 0 {
		m.failAttempt(attempt, a)
	}
}
