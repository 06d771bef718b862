package anvilmember

import (
	"math"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// mergeSender merges the entry of the node that sent a message.
func (m *Membership) mergeSender(update MemberUpdate, a *Actions) {
	if update.Member.Incarnation == 0 {
		m.markRestarted(update)
		return
	}
	m.merge(update, true, a)
}

// markRestarted handles an entry from a process that has not announced itself yet. The
// previous process of that name has ended, so its incarnation is no longer live.
func (m *Membership) markRestarted(update MemberUpdate) {
	r := m.byName[update.Member.Name]
	if r == nil {
		return
	}
	r.unresponsive = false
	if r.isLive() {
		m.setStatus(r, anvilmodel.MemberUnknown)
	}
}

func (m *Membership) mergeUpdates(updates []MemberUpdate, a *Actions) {
	for _, update := range updates {
		if update.Member.Incarnation != 0 {
			m.merge(update, false, a)
		}
	}
}

// merge merges an update about a member; direct means that the member itself sent it.
func (m *Membership) merge(update MemberUpdate, direct bool, a *Actions) {
	if update.Member.Name == m.self.Member.Name {
		m.mergeUpdateAboutSelf(update, direct, a)
		return
	}
	r := m.byName[update.Member.Name]
	if r == nil {
		if !update.Member.PeerAddress.IsValid() {
			return
		}
		r = m.addRecord(update.Member.Name)
	}
	switch {
	case update.Member.Incarnation < r.member.Incarnation:
		return
	case update.Member.Incarnation > r.member.Incarnation:
		m.mergeNewIncarnation(r, update, direct, a)
	default:
		m.mergeSameIncarnation(r, update, direct, a)
	}
}

// mergeUpdateAboutSelf handles an update about this node. It refutes a suspicion by
// raising the refutation count.
func (m *Membership) mergeUpdateAboutSelf(update MemberUpdate, direct bool, a *Actions) {
	member := &m.self.Member
	if !m.announced {
		m.raiseIncarnation(update.Member.Incarnation)
		return
	}
	if update.Member.Incarnation > member.Incarnation {
		m.supersede("later incarnation with the same name", a)
		return
	}
	suspected := update.Member.Status == anvilmodel.MemberSuspect || update.Member.Status == anvilmodel.MemberDead || len(update.Witnesses) > 0
	if direct || !suspected || m.superseded || update.Member.Incarnation < member.Incarnation || update.Member.RefutationCount < member.RefutationCount {
		return
	}
	member.RefutationCount = update.Member.RefutationCount + 1
	m.cachedMembers = nil
	a.Events = append(a.Events, Event{
		Kind:        EventRefuted,
		Member:      member.Name,
		Slot:        member.Slot,
		Incarnation: member.Incarnation,
		Cause:       "received an update that this node is " + update.Member.Status.String(),
		Witnesses:   update.Witnesses,
	})
}

// mergeNewIncarnation merges the first update about an incarnation.
func (m *Membership) mergeNewIncarnation(r *record, update MemberUpdate, direct bool, a *Actions) {
	member := &r.member
	previous := *member
	*member = update.Member
	r.refused = false
	fillMissingFields(member, &previous)
	r.version = 0
	r.versionEpoch = never
	r.updatedAt = m.elapsed
	r.reachedAt = never
	r.witnesses = nil
	r.announcedLeaving = update.Member.Status == anvilmodel.MemberLeaving
	r.replaced = false
	r.unresponsive = false
	if r.listedAsLeaving && r.leavingIncarnation == 0 {
		r.leavingIncarnation = member.Incarnation
	}
	member.Status = previous.Status
	m.mergeState(r, update, direct)
	m.indexSlots()
	m.mergeInitialStatus(r, update, a)
	m.resolveConflicts(r, a)
}

// mergeInitialStatus takes over the status from the first update about an incarnation.
func (m *Membership) mergeInitialStatus(r *record, update MemberUpdate, a *Actions) {
	switch update.Member.Status {
	case anvilmodel.MemberDead:
		for _, w := range m.withoutSelf(update.Witnesses) {
			r.addWitness(w)
		}
		if len(r.witnesses) >= requiredWitnesses && m.peerReplied {
			m.declareDead(r, "news", a)
			return
		}
		r.witnesses = nil
		fallthrough
	case anvilmodel.MemberUnknown:
		// There is too little evidence to declare the member dead and none that it is
		// alive. It stays unknown until it answers.
		m.setStatus(r, anvilmodel.MemberUnknown)
		r.unresponsive = true
		return
	}
	m.setStatus(r, anvilmodel.MemberAlive)
	m.addEvent(a, EventJoined, r, "new incarnation")
	m.queueUpdate(r, updateJoined)
	if r.isLeaving() {
		m.addEvent(a, EventLeaving, r, "leaving when it became known")
	}
	m.mergeSuspicion(r, update, a)
}

// fillMissingFields copies the slot, capacity, failure domain and addresses that
// member lacks from known.
func fillMissingFields(member, known *anvilmodel.Member) {
	if member.Slot == "" {
		member.Slot = known.Slot
	}
	if member.CPUCapacity == 0 {
		member.CPUCapacity = known.CPUCapacity
	}
	if member.FailureDomain == "" {
		member.FailureDomain = known.FailureDomain
	}
	if !member.CallerAddress.IsValid() {
		member.CallerAddress = known.CallerAddress
	}
	if !member.PeerAddress.IsValid() {
		member.PeerAddress = known.PeerAddress
	}
}

// mergeSameIncarnation merges an update about the known incarnation of a member.
func (m *Membership) mergeSameIncarnation(r *record, update MemberUpdate, direct bool, a *Actions) {
	if r.replaced {
		return
	}
	if r.member.Status == anvilmodel.MemberUnknown {
		if !direct && update.Member.RefutationCount <= r.member.RefutationCount {
			return
		}
		r.unresponsive = false
		m.setStatus(r, anvilmodel.MemberAlive)
		m.addEvent(a, EventReturned, r, "update received from or about it")
	}
	member := &r.member
	if member.Slot == "" && update.Member.Slot != "" {
		fillMissingFields(member, &update.Member)
		m.indexSlots()
		m.resolveConflicts(r, a)
	}
	if r.replaced {
		return
	}
	if member.CPUCapacity == 0 {
		member.CPUCapacity = update.Member.CPUCapacity
	}
	m.mergeState(r, update, direct)
	if r.pendingUpdate == updateJoined && r.sendsLeft > 0 {
		// The sender already has the member. Sending the update less often limits the
		// traffic when all nodes start at once.
		r.sendsLeft--
	}
	if update.Member.Status == anvilmodel.MemberLeaving && !r.announcedLeaving {
		r.announcedLeaving = true
		m.cachedMembers = nil
		m.addEvent(a, EventLeaving, r, "announced by the member")
		m.queueUpdate(r, updateLeaving)
	}
	if update.Member.RefutationCount > member.RefutationCount {
		m.mergeRefutation(r, update.Member.RefutationCount, a)
	}
	if update.Member.RefutationCount == member.RefutationCount {
		m.mergeSuspicion(r, update, a)
	}
}

// mergeState takes over the load, request rate, configuration revision, serving flag and
// ticket epoch if they are newer than the known ones.
func (m *Membership) mergeState(r *record, update MemberUpdate, direct bool) {
	if update.Version == 0 {
		return
	}
	versionEpoch := m.elapsed - time.Duration(update.Version)*versionUnit
	if direct || r.versionEpoch == never || versionEpoch < r.versionEpoch {
		r.versionEpoch = versionEpoch
	}
	if update.Version <= r.version {
		return
	}
	member := &r.member
	member.Serving = update.Member.Serving
	member.Load = update.Member.Load
	if !(member.Load >= 0) {
		member.Load = 1
	}
	member.RequestRate = update.Member.RequestRate
	if !(member.RequestRate >= 0) || math.IsInf(member.RequestRate, 1) {
		member.RequestRate = 0
	}
	member.ConfigRevision = update.Member.ConfigRevision
	member.ConfigEra = update.Member.ConfigEra
	member.TicketEpoch = update.Member.TicketEpoch
	r.version = update.Version
	r.updatedAt = m.elapsed
	m.cachedMembers = nil
}

// mergeRefutation takes over a higher refutation count. The member can only have raised
// it after it received an update that it was suspected or declared dead.
func (m *Membership) mergeRefutation(r *record, refutationCount uint32, a *Actions) {
	previous := r.member.Status
	selfWitness := r.isWitness(m.self.Member.Name)
	r.member.RefutationCount = refutationCount
	r.witnesses = nil
	m.setUnreachable(r, false)
	if previous == anvilmodel.MemberAlive {
		return
	}
	kind := EventRefuted
	if previous == anvilmodel.MemberDead {
		kind = EventReturned
	}
	m.addEvent(a, kind, r, "higher refutation count")
	m.queueUpdate(r, updateRefuted)
	if !selfWitness {
		m.setStatus(r, anvilmodel.MemberAlive)
		return
	}
	// The member is alive, but this node could not reach it and probes it again first.
	// Otherwise a member that can send messages but receives none would become alive
	// again after each refutation.
	m.setStatus(r, anvilmodel.MemberSuspect)
	m.startProbe(r, a)
}

// mergeSuspicion takes over the witnesses and the death of a member from an update
// with the same refutation count.
func (m *Membership) mergeSuspicion(r *record, update MemberUpdate, a *Actions) {
	witnesses := m.withoutSelf(update.Witnesses)
	// Requests received after a pause may be as old as the pause, and the suspicions in
	// them may have been refuted since. A reply cannot be older than its probe.
	if len(witnesses) == 0 || !r.isLive() || !m.peerReplied {
		return
	}
	m.addWitnesses(r, witnesses, "news", a)
	if r.member.Status != anvilmodel.MemberSuspect {
		return
	}
	dead := update.Member.Status == anvilmodel.MemberDead && len(r.witnesses) >= requiredWitnesses
	// If this node reached the member recently, the member gets time to refute.
	if dead && (r.reachedAt == never || m.elapsed-r.reachedAt > m.config.SuspicionTimeout) {
		m.declareDead(r, "news", a)
	}
}

// withoutSelf removes this node from the witnesses in an update. The node tracks by
// itself whether it is a witness; after a pause or a restart it no longer is one.
func (m *Membership) withoutSelf(witnesses []anvilmodel.VMName) []anvilmodel.VMName {
	index := slices.Index(witnesses, m.self.Member.Name)
	if index < 0 {
		return witnesses
	}
	return slices.Delete(slices.Clone(witnesses), index, index+1)
}

func (m *Membership) setStatus(r *record, status anvilmodel.MemberStatus) {
	if r.member.Status == status {
		return
	}
	if r.member.Status == anvilmodel.MemberSuspect {
		m.suspectCount--
	}
	if status == anvilmodel.MemberSuspect {
		m.suspectCount++
	}
	r.member.Status = status
	r.member.Unreachable = false
	m.cachedMembers = nil
}

func (m *Membership) addEvent(a *Actions, kind EventKind, r *record, cause string) {
	a.Events = append(a.Events, Event{
		Kind:        kind,
		Member:      r.member.Name,
		Slot:        r.member.Slot,
		Incarnation: r.member.Incarnation,
		Cause:       cause,
		Witnesses:   r.witnesses,
	})
}
