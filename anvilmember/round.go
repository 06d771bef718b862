package anvilmember

import (
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// probeRound is one attempt to reach a member: directly, then through helpers.
type probeRound struct {
	// id is the direct probe's; its reply counts until the round ends.
	id          uint64
	target      *record
	incarnation anvilmodel.Incarnation
	counter     uint32
	deadline    time.Duration
	indirect    bool
	asks        []ask
	// failed are the helpers that did not reach the target either.
	failed []anvilmodel.VMName
	done   bool
}

// ask is a probe that a helper makes on this node's behalf.
type ask struct {
	id     uint64
	helper anvilmodel.VMName
}

// relay is a probe that this node makes on behalf of another.
type relay struct {
	id       uint64
	token    uint64
	asker    anvilmodel.Member
	target   *record
	deadline time.Duration
}

// probe starts a round unless one is under way.
func (m *Membership) probe(r *record, a *Actions) {
	address := r.probeAddress()
	if m.superseded || !address.IsValid() {
		return
	}
	for _, x := range m.rounds {
		if x.target == r && !x.done {
			return
		}
	}
	id := m.nextID()
	m.rounds = append(m.rounds, &probeRound{
		id:          id,
		target:      r,
		incarnation: r.member.Incarnation,
		counter:     r.member.RefutationCount,
		deadline:    m.at + m.config.ProbeTimeout,
	})
	a.Probes = append(a.Probes, Probe{
		ID:      id,
		To:      r.member.Name,
		Address: address,
		Timeout: 3 * m.config.ProbeTimeout,
		Request: m.request(r, nil),
	})
}

func (m *Membership) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// probeAddress returns where to reach a member. The list may be ahead of what the
// member announced, or behind.
func (r *record) probeAddress() netip.AddrPort {
	announced, listed := r.member.PeerAddress, r.listed.PeerAddress
	if !r.isListed || !listed.IsValid() || listed == announced || r.living() {
		return announced
	}
	r.triedListed = !r.triedListed
	if r.triedListed || !announced.IsValid() {
		return listed
	}
	return announced
}

// expireRounds moves rounds whose time is over to their next stage.
func (m *Membership) expireRounds(a *Actions) {
	for _, x := range m.rounds {
		switch {
		case x.done || m.at < x.deadline:
		case !x.indirect:
			m.askHelpers(x, a)
		default:
			m.fail(x, a)
		}
	}
	m.rounds = slices.DeleteFunc(m.rounds, func(x *probeRound) bool { return x.done })
}

// askHelpers lets other members probe the target.
func (m *Membership) askHelpers(x *probeRound, a *Actions) {
	x.indirect = true
	x.deadline = m.at + 2*m.config.ProbeTimeout
	if x.target.living() {
		for _, h := range m.pickHelpers(x.target) {
			id := m.nextID()
			x.asks = append(x.asks, ask{
				id:     id,
				helper: h.member.Name,
			})
			a.Probes = append(a.Probes, Probe{
				ID:      id,
				To:      h.member.Name,
				Address: h.probeAddress(),
				Timeout: 2 * m.config.ProbeTimeout,
				Request: m.request(h, x.target),
			})
		}
	}
	if len(x.asks) == 0 {
		m.fail(x, a)
	}
}

// pickHelpers draws members to ask, from different failure domains if possible.
func (m *Membership) pickHelpers(target *record) []*record {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r != target && r.member.Status == anvilmodel.MemberAlive {
			m.scratch = append(m.scratch, r)
		}
	}
	n := len(m.scratch)
	for i := range min(helpers, n) {
		j := i + m.config.Random.IntN(n-i)
		if i > 0 && m.scratch[j].member.FailureDomain == m.scratch[0].member.FailureDomain {
			j = i + m.config.Random.IntN(n-i)
		}
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	}
	return m.scratch[:min(helpers, n)]
}

// fail ends a round without success: this node becomes a witness, and with it the
// helpers that said that they could not reach the target.
func (m *Membership) fail(x *probeRound, a *Actions) {
	x.done = true
	r := x.target
	e := &r.member
	if r.removed || !m.announced || e.Incarnation != x.incarnation || e.RefutationCount != x.counter {
		return
	}
	switch {
	case e.Status == anvilmodel.MemberUnknown:
		r.failed = true
	case r.living():
		m.suspect(r, append([]anvilmodel.VMName{m.self.Member.Name}, x.failed...), "no reply", a)
	}
}

// expireRelays reports targets that did not answer to those who asked.
func (m *Membership) expireRelays(a *Actions) {
	m.relays = slices.DeleteFunc(m.relays, func(x relay) bool {
		if m.at < x.deadline {
			return false
		}
		m.answerRelay(x, false, a)
		return true
	})
}

func (m *Membership) answerRelay(x relay, reached bool, a *Actions) {
	a.Responses = append(a.Responses, Response{
		Token: x.token,
		Reply: m.reply(x.asker, reached),
	})
}
