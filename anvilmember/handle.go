package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// HandleProbeRequest takes a request of another node. One Answer with the token follows,
// at once or after the target of an indirect probe has been tried.
func (m *Membership) HandleProbeRequest(token uint64, q ProbeRequest, now time.Time, a *Actions) {
	m.advance(now, a)
	m.mergeSender(q.From, a)
	m.mergeNews(q.Updates, a)
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
		Reply: m.reply(q.From.Member, q.Target != ""),
	})
}

// relayProbe probes a member on behalf of another.
func (m *Membership) relayProbe(token uint64, q ProbeRequest, a *Actions) {
	r := m.byName[q.Target]
	if r == nil || len(m.relays) >= maxRelays || !r.probeAddress().IsValid() {
		a.Responses = append(a.Responses, Response{
			Token:   token,
			Refused: true,
		})
		return
	}
	x := relay{
		id:       m.nextID(),
		token:    token,
		asker:    q.From.Member,
		target:   r,
		deadline: m.at + m.config.ProbeTimeout,
	}
	m.relays = append(m.relays, x)
	a.Probes = append(a.Probes, Probe{
		ID:      x.id,
		To:      r.member.Name,
		Address: r.probeAddress(),
		Timeout: m.config.ProbeTimeout,
		Request: m.request(r, nil),
	})
}

// HandleProbeReply takes the reply to the probe with the id.
func (m *Membership) HandleProbeReply(id uint64, r ProbeReply, now time.Time, a *Actions) {
	m.advance(now, a)
	relayed := slices.IndexFunc(m.relays, func(x relay) bool { return x.id == id })
	round, asked := m.findRound(id)
	if relayed < 0 && round == nil {
		return
	}
	var behalf relay
	if relayed >= 0 {
		behalf = m.relays[relayed]
		m.relays = slices.Delete(m.relays, relayed, relayed+1)
	}
	m.heardAt = m.at
	m.replied = true
	m.mergeSender(r.From, a)
	m.mergeNews(r.Updates, a)
	m.noteJoinReply(r.From.Member.Name)
	switch {
	case relayed >= 0:
		m.answerRelay(behalf, m.answered(behalf.target, r.From.Member, a), a)
	case round.done:
		// The reply said that this process is superseded, and its exchanges ended.
	case asked >= 0:
		m.helperReplied(round, asked, r.Reached, a)
	case m.answered(round.target, r.From.Member, a):
		round.done = true
	case !round.indirect:
		m.askHelpers(round, a)
	}
	m.tryAnnounce(a)
}

// HandleProbeFailure says that the probe with the id got no reply.
func (m *Membership) HandleProbeFailure(id uint64, now time.Time, a *Actions) {
	m.advance(now, a)
	if i := slices.IndexFunc(m.relays, func(x relay) bool { return x.id == id }); i >= 0 {
		x := m.relays[i]
		m.relays = slices.Delete(m.relays, i, i+1)
		m.answerRelay(x, false, a)
		return
	}
	round, asked := m.findRound(id)
	switch {
	case round == nil:
	case asked >= 0:
		m.closeAsk(round, asked, a)
	case !round.indirect:
		m.askHelpers(round, a)
	}
}

// findRound returns the round that a probe belongs to, and the position of the
// helper's probe in it or -1 for the direct one.
func (m *Membership) findRound(id uint64) (*probeRound, int) {
	for _, x := range m.rounds {
		if x.done {
			continue
		}
		if x.id == id {
			return x, -1
		}
		if i := slices.IndexFunc(x.asks, func(k ask) bool { return k.id == id }); i >= 0 {
			return x, i
		}
	}
	return nil, -1
}

// answered reports whether the entry that came from a member's address is that
// member's, and notes it as reached.
func (m *Membership) answered(r *record, from anvilmodel.Member, a *Actions) bool {
	if from.Name != r.member.Name {
		return false
	}
	if from.Incarnation == 0 {
		return true
	}
	if from.Incarnation != r.member.Incarnation {
		return false
	}
	r.reachedAt = m.at
	r.updatedAt = m.at
	m.withdraw(r, a)
	return true
}

func (m *Membership) helperReplied(x *probeRound, asked int, reached bool, a *Actions) {
	if reached {
		x.done = true
		m.withdraw(x.target, a)
		return
	}
	x.failed = append(x.failed, x.asks[asked].helper)
	m.closeAsk(x, asked, a)
}

// closeAsk ends a helper's part; the last one ends the round.
func (m *Membership) closeAsk(x *probeRound, asked int, a *Actions) {
	x.asks = slices.Delete(x.asks, asked, asked+1)
	if len(x.asks) == 0 {
		m.fail(x, a)
	}
}
