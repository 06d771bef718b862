package anvilmember

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// settleSeat decides between members that claim the same slot or address. The
// later process wins, whatever its VM name.
func (m *Membership) settleSeat(r *record, a *Actions) {
	if sameSeat(&r.member, &m.self.Member) {
		m.settleOwnSeat(r, a)
	}
	for _, x := range m.records {
		if x == r || x.member.Incarnation == 0 || !sameSeat(&r.member, &x.member) {
			continue
		}
		if newer(&r.member, &x.member) {
			m.replace(x, r.member.Name, a)
		} else {
			m.replace(r, x.member.Name, a)
		}
	}
}

func (m *Membership) settleOwnSeat(r *record, a *Actions) {
	switch {
	case !m.announced:
		m.raise(r.member.Incarnation)
	case m.superseded:
	case newer(&r.member, &m.self.Member):
		m.supersede("slot or address taken by "+string(r.member.Name), a)
	default:
		m.replace(r, m.self.Member.Name, a)
	}
}

// replace marks an incarnation as replaced for good.
func (m *Membership) replace(r *record, by anvilmodel.VMName, a *Actions) {
	if r.replaced {
		return
	}
	r.replaced = true
	r.news = newsNone
	r.witnesses = nil
	if r.member.Status != anvilmodel.MemberDead {
		r.deadAt = m.at
	}
	m.setStatus(r, anvilmodel.MemberDead)
	m.event(a, EventReplaced, r, "slot or address taken by "+string(by))
}

// raise takes a number above that of a predecessor. It is only used before the
// process has announced itself, when nobody knows its number.
func (m *Membership) raise(heard anvilmodel.Incarnation) {
	if heard >= m.self.Member.Incarnation {
		m.self.Member.Incarnation = heard + 1
		m.members = nil
	}
}

func (m *Membership) supersede(cause string, a *Actions) {
	if m.superseded {
		return
	}
	m.superseded = true
	m.members = nil
	m.dropExchanges(a)
	a.Events = append(a.Events, Event{
		Kind:        EventSuperseded,
		Member:      m.self.Member.Name,
		Slot:        m.self.Member.Slot,
		Incarnation: m.self.Member.Incarnation,
		Cause:       cause,
	})
}

// noteJoinReply counts the peers that have told a fresh process what they know.
func (m *Membership) noteJoinReply(from anvilmodel.VMName) {
	if !m.announced && !slices.Contains(m.joinHeard, from) {
		m.joinHeard = append(m.joinHeard, from)
	}
}

// tryAnnounce fixes the incarnation once enough peers have answered, or when they
// had their time. Whether it has been announced is a flag: a process that pauses
// here for long is still a fresh one, and one that pauses later is not.
func (m *Membership) tryAnnounce(a *Actions) {
	if m.announced {
		return
	}
	others := 0
	for _, r := range m.records {
		if r.member.Status != anvilmodel.MemberDead {
			others++
		}
	}
	if !m.joinFound && (m.everListed || others > 0) {
		m.joinFound = true
		m.joinStart = m.at
		m.nextProbe = m.at
	}
	waited := m.at - m.joinStart
	switch {
	case m.joinFound && len(m.joinHeard) >= min(joinReplies, others):
	case m.joinFound && waited >= joinTime:
	case waited >= joinLimit:
	default:
		return
	}
	m.announce(a)
}

func (m *Membership) announce(a *Actions) {
	m.announced = true
	m.members = nil
	e := &m.self.Member
	a.Events = append(a.Events, Event{
		Kind:        EventAnnounced,
		Member:      e.Name,
		Slot:        e.Slot,
		Incarnation: e.Incarnation,
	})
	for _, r := range m.records {
		if r.member.Incarnation != 0 && sameSeat(&r.member, e) {
			m.settleOwnSeat(r, a)
		}
	}
	m.burst(a)
}
