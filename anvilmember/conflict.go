package anvilmember

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// resolveConflicts resolves conflicts between r and other members that claim the same
// slot or address. The later process wins, whatever its VM name.
func (m *Membership) resolveConflicts(r *record, a *Actions) {
	if sharesSlotOrAddress(&r.member, &m.self.Member) {
		m.resolveOwnConflict(r, a)
	}
	for _, other := range m.records {
		if other == r || other.member.Incarnation == 0 || !sharesSlotOrAddress(&r.member, &other.member) {
			continue
		}
		if isNewer(&r.member, &other.member) {
			m.markReplaced(other, r.member.Name, a)
		} else {
			m.markReplaced(r, other.member.Name, a)
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

// markReplaced permanently marks the incarnation of a member as replaced by another
// member.
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

// raiseIncarnation makes this node's incarnation higher than that of a predecessor. It
// is called only before the announcement, while the incarnation has not been sent to
// any other node.
func (m *Membership) raiseIncarnation(predecessor anvilmodel.Incarnation) {
	if predecessor >= m.self.Member.Incarnation {
		m.self.Member.Incarnation = predecessor + 1
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

// recordJoinReply records a peer that replied before the announcement.
func (m *Membership) recordJoinReply(from anvilmodel.VMName) {
	if !m.announced && !slices.Contains(m.joinRepliers, from) {
		m.joinRepliers = append(m.joinRepliers, from)
	}
}

// tryAnnounce makes the incarnation final once enough peers have replied or the time to
// reply is over. The state is kept in the flag announced and not derived from the time
// since the start, so that a pause before the announcement does not end the join, and
// one after it does not restart it.
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
	member := &m.self.Member
	a.Events = append(a.Events, Event{
		Kind:        EventAnnounced,
		Member:      member.Name,
		Slot:        member.Slot,
		Incarnation: member.Incarnation,
	})
	for _, r := range m.records {
		if r.member.Incarnation != 0 && sharesSlotOrAddress(&r.member, member) {
			m.resolveOwnConflict(r, a)
		}
	}
	m.probeRandomMembers(announcementProbes, a)
}
