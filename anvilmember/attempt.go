package anvilmember

import (
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// probeAttempt is an attempt to reach a member, first by a direct probe and then by
// indirect probes through other members.
type probeAttempt struct {
	// id is the ID of the direct probe, whose reply counts until the attempt ends.
	id     uint64
	target *record
	// incarnation and refutationCount are those of the target when the attempt started.
	incarnation     anvilmodel.Incarnation
	refutationCount uint32
	deadline        time.Duration
	// indirect is true once the indirect probes were started.
	indirect       bool
	indirectProbes []indirectProbe
	// failedProbers are the members whose indirect probe did not reach the target, and
	// silentProbers those that have not answered.
	failedProbers []anvilmodel.VMName
	silentProbers []anvilmodel.VMName
	done          bool
}

// indirectProbe is a probe that another member makes on this node's behalf.
type indirectProbe struct {
	id     uint64
	prober anvilmodel.VMName
}

// relayedProbe is a probe that this node makes on behalf of another member.
type relayedProbe struct {
	id        uint64
	token     uint64
	requester anvilmodel.Member
	target    *record
	deadline  time.Duration
}

// startProbe starts a probe attempt unless one is running for the member.
func (m *Membership) startProbe(r *record, a *Actions) {
	address := r.probeAddress()
	if m.superseded || !address.IsValid() {
		return
	}
	for _, attempt := range m.attempts {
		if attempt.target == r && !attempt.done {
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

// probeAddress returns the address to probe. For members that are not live it
// alternates between the listed and the announced address, because either may be
// outdated.
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

// expireAttempts moves attempts past their deadline on to the indirect probes or to
// failure.
func (m *Membership) expireAttempts(a *Actions) {
	for _, attempt := range m.attempts {
		switch {
		case attempt.done || m.elapsed < attempt.deadline:
		case !attempt.indirect:
			m.startIndirectProbes(attempt, a)
		default:
			m.failAttempt(attempt, a)
		}
	}
	m.attempts = slices.DeleteFunc(m.attempts, func(p *probeAttempt) bool { return p.done })
}

// startIndirectProbes requests probes of the target from other members. The attempt fails
// if there are none or the target is not live.
func (m *Membership) startIndirectProbes(attempt *probeAttempt, a *Actions) {
	attempt.indirect = true
	attempt.deadline = m.elapsed + 2*m.config.ProbeTimeout
	if attempt.target.isLive() {
		for _, prober := range m.pickIndirectProbers(attempt.target) {
			id := m.nextID()
			attempt.indirectProbes = append(attempt.indirectProbes, indirectProbe{
				id:     id,
				prober: prober.member.Name,
			})
			a.Probes = append(a.Probes, Probe{
				ID:      id,
				To:      prober.member.Name,
				Address: prober.probeAddress(),
				Timeout: 2 * m.config.ProbeTimeout,
				Request: m.newRequest(prober, attempt.target),
			})
		}
	}
	if len(attempt.indirectProbes) == 0 {
		m.failAttempt(attempt, a)
	}
}

// pickIndirectProbers picks random members for indirect probes. It draws a second time
// if the failure domain is that of the first one.
func (m *Membership) pickIndirectProbers(target *record) []*record {
	m.scratch = m.scratch[:0]
	for _, r := range m.records {
		if r != target && r.member.Status == anvilmodel.MemberAlive {
			m.scratch = append(m.scratch, r)
		}
	}
	count := len(m.scratch)
	for i := range min(indirectProberCount, count) {
		j := i + m.config.Random.IntN(count-i)
		if i > 0 && m.scratch[j].member.FailureDomain == m.scratch[0].member.FailureDomain {
			j = i + m.config.Random.IntN(count-i)
		}
		m.scratch[i], m.scratch[j] = m.scratch[j], m.scratch[i]
	}
	return m.scratch[:min(indirectProberCount, count)]
}

// failAttempt ends an attempt that did not reach the target. This node becomes a witness,
// and so do the members that reported a failed indirect probe.
func (m *Membership) failAttempt(attempt *probeAttempt, a *Actions) {
	attempt.done = true
	r := attempt.target
	member := &r.member
	if r.removed || !m.announced || member.Incarnation != attempt.incarnation || member.RefutationCount != attempt.refutationCount {
		return
	}
	switch {
	case member.Status == anvilmodel.MemberUnknown:
		r.unresponsive = true
	case r.isLive():
		m.addWitnesses(r, append([]anvilmodel.VMName{m.self.Member.Name}, attempt.failedProbers...), "no reply", a)
		m.probeAfterMassFailure(attempt, a)
	}
}

// probeAfterMassFailure probes the members that were to probe the target of the attempt and
// have not answered, and some others if none of them has.
func (m *Membership) probeAfterMassFailure(attempt *probeAttempt, a *Actions) {
	for _, p := range attempt.indirectProbes {
		attempt.silentProbers = append(attempt.silentProbers, p.prober)
	}
	if len(attempt.silentProbers) == 0 {
		return
	}
	var silent, others []*record
	for _, r := range m.records {
		switch {
		case r.member.Status != anvilmodel.MemberAlive:
		case slices.Contains(attempt.silentProbers, r.member.Name):
			silent = append(silent, r)
		default:
			others = append(others, r)
		}
	}
	if len(attempt.failedProbers) == 0 {
		m.config.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		silent = append(silent, others[:min(massFailureProbes, len(others))]...)
	}
	for _, r := range silent {
		m.startProbe(r, a)
	}
}

// expireRelayedProbes replies to the requests whose targets did not answer in time.
func (m *Membership) expireRelayedProbes(a *Actions) {
	m.relayedProbes = slices.DeleteFunc(m.relayedProbes, func(relayed relayedProbe) bool {
		if m.elapsed < relayed.deadline {
			return false
		}
		m.answerRelayedProbe(relayed, false, a)
		return true
	})
}

func (m *Membership) answerRelayedProbe(relayed relayedProbe, reached bool, a *Actions) {
	a.Responses = append(a.Responses, Response{
		Token: relayed.token,
		Reply: m.newReply(relayed.requester, reached),
	})
}
