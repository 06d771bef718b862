package anvilmember

import (
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// probeAttempt is one attempt to reach a member: directly, then through helpers.
type probeAttempt struct {
	// id is the direct probe's; its reply counts until the round ends.
	id              uint64
	target          *record
	incarnation     anvilmodel.Incarnation
	refutationCount uint32
	deadline        time.Duration
	indirect        bool
	indirectProbes  []indirectProbe
	// failedProbers are the helpers that did not reach the target either.
	failedProbers []anvilmodel.VMName
	done          bool
}

// indirectProbe is a probe that a helper makes on this node's behalf.
type indirectProbe struct {
	id     uint64
	prober anvilmodel.VMName
}

// relayedProbe is a probe that this node makes on behalf of another.
type relayedProbe struct {
	id        uint64
	token     uint64
	requester anvilmodel.Member
	target    *record
	deadline  time.Duration
}

// startProbe starts a round unless one is under way.
func (m *Membership) startProbe(r *record, a *Actions) {
	address := r.probeAddress()
	if m.superseded || !address.IsValid() {
		return
	}
	for _, x := range m.attempts {
		if x.target == r && !x.done {
			return
		}
	}
	id := m.nextID()
	m.attempts = append(m.attempts, &probeAttempt{
		id:              id,
		target:          r,
		incarnation:     r.member.Incarnation,
		refutationCount: r.member.RefutationCount,
		deadline:        m.elapsed + m.config.ProbeTimeout,
	})
	a.Probes = append(a.Probes, Probe{
		ID:      id,
		To:      r.member.Name,
		Address: address,
		Timeout: 3 * m.config.ProbeTimeout,
		Request: m.newRequest(r, nil),
	})
}

func (m *Membership) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// probeAddress returns where to reach a member. The list may be ahead of what the
// member announced, or behind.
func (r *record) probeAddress() netip.AddrPort {
	announced, listed := r.member.PeerAddress, r.listEntry.PeerAddress
	if !r.isListed || !listed.IsValid() || listed == announced || r.isLive() {
		return announced
	}
	r.triedListAddress = !r.triedListAddress
	if r.triedListAddress || !announced.IsValid() {
		return listed
	}
	return announced
}

// expireAttempts moves rounds whose time is over to their next stage.
func (m *Membership) expireAttempts(a *Actions) {
	for _, x := range m.attempts {
		switch {
		case x.done || m.elapsed < x.deadline:
		case !x.indirect:
			m.startIndirectProbes(x, a)
		default:
			m.failAttempt(x, a)
		}
	}
	m.attempts = slices.DeleteFunc(m.attempts, func(x *probeAttempt) bool { return x.done })
}

// startIndirectProbes lets other members probe the target.
func (m *Membership) startIndirectProbes(x *probeAttempt, a *Actions) {
	x.indirect = true
	x.deadline = m.elapsed + 2*m.config.ProbeTimeout
	if x.target.isLive() {
		for _, h := range m.pickIndirectProbers(x.target) {
			id := m.nextID()
			x.indirectProbes = append(x.indirectProbes, indirectProbe{
				id:     id,
				prober: h.member.Name,
			})
			a.Probes = append(a.Probes, Probe{
				ID:      id,
				To:      h.member.Name,
				Address: h.probeAddress(),
				Timeout: 2 * m.config.ProbeTimeout,
				Request: m.newRequest(h, x.target),
			})
		}
	}
	if len(x.indirectProbes) == 0 {
		m.failAttempt(x, a)
	}
}

// pickIndirectProbers draws members to ask, from different failure domains if possible.
func (m *Membership) pickIndirectProbers(target *record) []*record {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r != target && r.member.Status == anvilmodel.MemberAlive {
			m.scratch = append(m.scratch, r)
		}
	}
	n := len(m.scratch)
	for i := range min(indirectProberCount, n) {
		j := i + m.config.Random.IntN(n-i)
		if i > 0 && m.scratch[j].member.FailureDomain == m.scratch[0].member.FailureDomain {
			j = i + m.config.Random.IntN(n-i)
		}
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	}
	return m.scratch[:min(indirectProberCount, n)]
}

// failAttempt ends a round without success: this node becomes a witness, and with it the
// helpers that said that they could not reach the target.
func (m *Membership) failAttempt(x *probeAttempt, a *Actions) {
	x.done = true
	r := x.target
	e := &r.member
	if r.removed || !m.announced || e.Incarnation != x.incarnation || e.RefutationCount != x.refutationCount {
		return
	}
	switch {
	case e.Status == anvilmodel.MemberUnknown:
		r.unresponsive = true
	case r.isLive():
		m.addWitnesses(r, append([]anvilmodel.VMName{m.self.Member.Name}, x.failedProbers...), "no reply", a)
	}
}

// expireRelayedProbes reports targets that did not answer to those who asked.
func (m *Membership) expireRelayedProbes(a *Actions) {
	m.relayedProbes = slices.DeleteFunc(m.relayedProbes, func(x relayedProbe) bool {
		if m.elapsed < x.deadline {
			return false
		}
		m.answerRelayedProbe(x, false, a)
		return true
	})
}

func (m *Membership) answerRelayedProbe(x relayedProbe, reached bool, a *Actions) {
	a.Responses = append(a.Responses, Response{
		Token: x.token,
		Reply: m.newReply(x.requester, reached),
	})
}
