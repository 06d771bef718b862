package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// mergeSender takes the entry of the node that sent a message.
func (m *Membership) mergeSender(i MemberUpdate, a *Actions) {
	if i.Member.Incarnation == 0 {
		m.markRestarted(i)
		return
	}
	m.merge(i, true, a)
}

// markRestarted notes that a process answers under the name that has not announced
// itself yet: the incarnation known so far has ended.
func (m *Membership) markRestarted(i MemberUpdate) {
	r := m.byName[i.Member.Name]
	if r == nil {
		return
	}
	r.unresponsive = false
	if r.isLive() {
		m.setStatus(r, anvilmodel.MemberUnknown)
	}
}

func (m *Membership) mergeUpdates(news []MemberUpdate, a *Actions) {
	for _, i := range news {
		if i.Member.Incarnation != 0 {
			m.merge(i, false, a)
		}
	}
}

// merge takes a statement about a member; direct says that the member made it.
func (m *Membership) merge(i MemberUpdate, direct bool, a *Actions) {
	if i.Member.Name == m.self.Member.Name {
		m.mergeUpdateAboutSelf(i, direct, a)
		return
	}
	r := m.byName[i.Member.Name]
	if r == nil {
		if !i.Member.PeerAddress.IsValid() {
			return
		}
		r = m.addRecord(i.Member.Name)
	}
	switch {
	case i.Member.Incarnation < r.member.Incarnation:
		return
	case i.Member.Incarnation > r.member.Incarnation:
		m.mergeNewIncarnation(r, i, direct, a)
	default:
		m.mergeSameIncarnation(r, i, direct, a)
	}
}

// mergeUpdateAboutSelf takes what others say of this node.
func (m *Membership) mergeUpdateAboutSelf(i MemberUpdate, direct bool, a *Actions) {
	e := &m.self.Member
	if !m.announced {
		m.raiseIncarnation(i.Member.Incarnation)
		return
	}
	if i.Member.Incarnation > e.Incarnation {
		m.supersede("a later incarnation of this name", a)
		return
	}
	bad := i.Member.Status == anvilmodel.MemberSuspect || i.Member.Status == anvilmodel.MemberDead || len(i.Witnesses) > 0
	if direct || !bad || m.superseded || i.Member.Incarnation < e.Incarnation || i.Member.RefutationCount < e.RefutationCount {
		return
	}
	e.RefutationCount = i.Member.RefutationCount + 1
	m.cachedMembers = nil
	a.Events = append(a.Events, Event{
		Kind:        EventRefuted,
		Member:      e.Name,
		Slot:        e.Slot,
		Incarnation: e.Incarnation,
		Cause:       "this node is not " + i.Member.Status.String(),
		Witnesses:   i.Witnesses,
	})
}

// mergeNewIncarnation takes the first statement about an incarnation.
func (m *Membership) mergeNewIncarnation(r *record, i MemberUpdate, direct bool, a *Actions) {
	e := &r.member
	old := *e
	*e = i.Member
	fillMissingFields(e, &old)
	r.version = 0
	r.versionEpoch = never
	r.updatedAt = m.elapsed
	r.reachedAt = never
	r.witnesses = nil
	r.announcedLeaving = i.Member.Status == anvilmodel.MemberLeaving
	r.replaced = false
	r.unresponsive = false
	if r.listedAsLeaving && r.leavingIncarnation == 0 {
		r.leavingIncarnation = e.Incarnation
	}
	e.Status = old.Status
	m.mergeState(r, i, direct)
	m.indexSlots()
	m.mergeInitialStatus(r, i, a)
	m.resolveConflicts(r, a)
}

// mergeInitialStatus takes the judgement of the first statement about an incarnation.
func (m *Membership) mergeInitialStatus(r *record, i MemberUpdate, a *Actions) {
	switch i.Member.Status {
	case anvilmodel.MemberDead:
		for _, w := range m.withoutSelf(i.Witnesses) {
			r.addWitness(w)
		}
		if len(r.witnesses) >= requiredWitnesses && m.peerReplied {
			m.declareDead(r, "news", a)
			return
		}
		r.witnesses = nil
		fallthrough
	case anvilmodel.MemberUnknown:
		// Not enough for a judgement, nor a reason to use it: it has to answer first.
		m.setStatus(r, anvilmodel.MemberUnknown)
		r.unresponsive = true
		return
	}
	m.setStatus(r, anvilmodel.MemberAlive)
	m.addEvent(a, EventJoined, r, "new incarnation")
	m.queueUpdate(r, updateJoined)
	if r.isLeaving() {
		m.addEvent(a, EventLeaving, r, "with its announcement")
	}
	m.mergeSuspicion(r, i, a)
}

// fillMissingFields keeps the known place of a member where a statement leaves it out.
func fillMissingFields(e, old *anvilmodel.Member) {
	if e.Slot == "" {
		e.Slot = old.Slot
	}
	if e.CPUCapacity == 0 {
		e.CPUCapacity = old.CPUCapacity
	}
	if e.FailureDomain == "" {
		e.FailureDomain = old.FailureDomain
	}
	if !e.CallerAddress.IsValid() {
		e.CallerAddress = old.CallerAddress
	}
	if !e.PeerAddress.IsValid() {
		e.PeerAddress = old.PeerAddress
	}
}

// mergeSameIncarnation takes a statement about the incarnation that is known.
func (m *Membership) mergeSameIncarnation(r *record, i MemberUpdate, direct bool, a *Actions) {
	if r.replaced {
		return
	}
	if r.member.Status == anvilmodel.MemberUnknown {
		if !direct && i.Member.RefutationCount <= r.member.RefutationCount {
			return
		}
		r.unresponsive = false
		m.setStatus(r, anvilmodel.MemberAlive)
		m.addEvent(a, EventReturned, r, "heard of again")
	}
	e := &r.member
	if e.Slot == "" && i.Member.Slot != "" {
		fillMissingFields(e, &i.Member)
		m.indexSlots()
		m.resolveConflicts(r, a)
	}
	if r.replaced {
		return
	}
	if e.CPUCapacity == 0 {
		e.CPUCapacity = i.Member.CPUCapacity
	}
	m.mergeState(r, i, direct)
	if r.pendingUpdate == updateJoined && r.sendsLeft > 0 {
		// The sender knows already; when a whole fleet starts this ends the flood.
		r.sendsLeft--
	}
	if i.Member.Status == anvilmodel.MemberLeaving && !r.announcedLeaving {
		r.announcedLeaving = true
		m.cachedMembers = nil
		m.addEvent(a, EventLeaving, r, "said by the member")
		m.queueUpdate(r, updateLeaving)
	}
	if i.Member.RefutationCount > e.RefutationCount {
		m.mergeRefutation(r, i.Member.RefutationCount, a)
	}
	if i.Member.RefutationCount == e.RefutationCount {
		m.mergeSuspicion(r, i, a)
	}
}

// mergeState takes load, revision, serving and ticket epoch if they are later than
// the known ones.
func (m *Membership) mergeState(r *record, i MemberUpdate, direct bool) {
	if i.Version == 0 {
		return
	}
	origin := m.elapsed - time.Duration(i.Version)*versionUnit
	if direct || r.versionEpoch == never || origin < r.versionEpoch {
		r.versionEpoch = origin
	}
	if i.Version <= r.version {
		return
	}
	e := &r.member
	e.Serving = i.Member.Serving
	e.Load = i.Member.Load
	if !(e.Load >= 0) {
		e.Load = 1
	}
	e.ConfigRevision = i.Member.ConfigRevision
	e.TicketEpoch = i.Member.TicketEpoch
	r.version = i.Version
	r.updatedAt = m.elapsed
	m.cachedMembers = nil
}

// mergeRefutation takes a higher counter, which the member can only have taken after it
// heard of the suspicion or of its death.
func (m *Membership) mergeRefutation(r *record, counter uint32, a *Actions) {
	old := r.member.Status
	failed := slices.Contains(r.witnesses, m.self.Member.Name)
	r.member.RefutationCount = counter
	r.witnesses = nil
	if old == anvilmodel.MemberAlive {
		return
	}
	kind := EventRefuted
	if old == anvilmodel.MemberDead {
		kind = EventReturned
	}
	m.addEvent(a, kind, r, "higher counter")
	m.queueUpdate(r, updateRefuted)
	if !failed {
		m.setStatus(r, anvilmodel.MemberAlive)
		return
	}
	// It lives, but this node could not reach it. Without this check a member whose
	// messages get out and that nobody reaches would be used again and again.
	m.setStatus(r, anvilmodel.MemberSuspect)
	m.startProbe(r, a)
}

// mergeSuspicion takes what a statement of the same counter says about the member's
// reachability.
func (m *Membership) mergeSuspicion(r *record, i MemberUpdate, a *Actions) {
	witnesses := m.withoutSelf(i.Witnesses)
	// After a pause the first requests may be as old as the pause, and suspicions in
	// them long refuted. A reply is as young as the probe.
	if len(witnesses) == 0 || !r.isLive() || !m.peerReplied {
		return
	}
	m.addWitnesses(r, witnesses, "news", a)
	if r.member.Status != anvilmodel.MemberSuspect {
		return
	}
	dead := i.Member.Status == anvilmodel.MemberDead && len(r.witnesses) >= requiredWitnesses
	// A node that reached the member lately lets it refute first.
	if dead && (r.reachedAt == never || m.elapsed-r.reachedAt > m.config.SuspicionTimeout) {
		m.declareDead(r, "news", a)
	}
}

// withoutSelf leaves this node out of the witnesses that others name. Whether it is
// one it knows itself: after a pause or a restart it is none.
func (m *Membership) withoutSelf(witnesses []anvilmodel.VMName) []anvilmodel.VMName {
	k := slices.Index(witnesses, m.self.Member.Name)
	if k < 0 {
		return witnesses
	}
	return slices.Delete(slices.Clone(witnesses), k, k+1)
}

func (m *Membership) setStatus(r *record, s anvilmodel.MemberStatus) {
	if r.member.Status == s {
		return
	}
	if r.member.Status == anvilmodel.MemberSuspect {
		m.suspectCount--
	}
	if s == anvilmodel.MemberSuspect {
		m.suspectCount++
	}
	r.member.Status = s
	m.cachedMembers = nil
}

func (m *Membership) addEvent(a *Actions, k EventKind, r *record, cause string) {
	a.Events = append(a.Events, Event{
		Kind:        k,
		Member:      r.member.Name,
		Slot:        r.member.Slot,
		Incarnation: r.member.Incarnation,
		Cause:       cause,
		Witnesses:   r.witnesses,
	})
}
