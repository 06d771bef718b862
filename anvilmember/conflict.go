package anvilmember

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// resolveConflicts decides between members that claim the same slot or address. The
// later process wins, whatever its VM name.
func (m *Membership) resolveConflicts(r *record, a *Actions) {
	if sharesSlotOrAddress(&r.member, &m.self.Member) {
		m.resolveOwnConflict(r, a)
	}
	for _, x := range m.records {
		if x == r || x.member.Incarnation == 0 || !sharesSlotOrAddress(&r.member, &x.member) {
			continue
		}
		if isNewer(&r.member, &x.member) {
			m.markReplaced(x, r.member.Name, a)
		} else {
			m.markReplaced(r, x.member.Name, a)
		}
	}
}

func (m *Membership) resolveOwnConflict(r *record, a *Actions) {
	switch {
	case !m.announced:
		m.raiseIncarnation(r.member.Incarnation)
	case m.superseded:
	case isNewer(&r.member, &m.self.Member):
		m.supersede("slot or address taken by "+string(r.member.Name), a)
	default:
		m.markReplaced(r, m.self.Member.Name, a)
	}
}

// markReplaced marks an incarnation as replaced for good.
func (m *Membership) markReplaced(r *record, by anvilmodel.VMName, a *Actions) {
	if r.replaced {
		return
	}
	r.replaced = true
	r.pendingUpdate = updateNone
	r.witnesses = nil
	if r.member.Status != anvilmodel.MemberDead {
		r.deadAt = m.elapsed
	}
	m.setStatus(r, anvilmodel.MemberDead)
	m.addEvent(a, EventReplaced, r, "slot or address taken by "+string(by))
}

// raiseIncarnation takes a number above that of a predecessor. It is only used before the
// process has announced itself, when nobody knows its number.
func (m *Membership) raiseIncarnation(heard anvilmodel.Incarnation) {
	if heard >= m.self.Member.Incarnation {
		m.self.Member.Incarnation = heard + 1
		m.cachedMembers = nil
	}
}

func (m *Membership) supersede(cause string, a *Actions) {
	if m.superseded {
		return
	}
	m.superseded = true
	m.cachedMembers = nil
	m.cancelProbes(a)
	a.Events = append(a.Events, Event{
		Kind:        EventSuperseded,
		Member:      m.self.Member.Name,
		Slot:        m.self.Member.Slot,
		Incarnation: m.self.Member.Incarnation,
		Cause:       cause,
	})
}

// recordJoinReply counts the peers that have told a fresh process what they know.
func (m *Membership) recordJoinReply(from anvilmodel.VMName) {
	if !m.announced && !slices.Contains(m.joinRepliers, from) {
		m.joinRepliers = append(m.joinRepliers, from)
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
	if !m.joinPeersKnown && (m.listReceived || others > 0) {
		m.joinPeersKnown = true
		m.joinStartedAt = m.elapsed
		m.nextProbeAt = m.elapsed
	}
	waited := m.elapsed - m.joinStartedAt
	switch {
	case m.joinPeersKnown && len(m.joinRepliers) >= min(requiredJoinReplies, others):
	case m.joinPeersKnown && waited >= joinReplyTimeout:
	case waited >= maxJoinDuration:
	default:
		return
	}
	m.announce(a)
}

func (m *Membership) announce(a *Actions) {
	m.announced = true
	m.cachedMembers = nil
	e := &m.self.Member
	a.Events = append(a.Events, Event{
		Kind:        EventAnnounced,
		Member:      e.Name,
		Slot:        e.Slot,
		Incarnation: e.Incarnation,
	})
	for _, r := range m.records {
		if r.member.Incarnation != 0 && sharesSlotOrAddress(&r.member, e) {
			m.resolveOwnConflict(r, a)
		}
	}
	m.probeRandomMembers(a)
}
