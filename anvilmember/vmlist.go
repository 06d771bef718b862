package anvilmember

import (
	"time"

	"anvilbridge/anvilmodel"
)

// SetVMList updates the members from the published VM list. The owner calls it after
// each successful read, even if the list has not changed.
func (m *Membership) SetVMList(list []anvilmodel.ListedVM, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	m.listAvailable = true
	m.listReadAt = m.elapsed
	m.cachedMembers = nil
	for _, r := range m.records {
		r.isListed = false
	}
	for _, entry := range list {
		if entry.Name == m.self.Member.Name {
			m.mergeOwnListEntry(entry)
			continue
		}
		m.mergeListEntry(entry, a)
	}
	m.listReceived = true
	m.removeExpired()
}

// SetVMListUnavailable records that the published VM list could not be read. The
// last list read still serves to find members, but no longer counts as a witness.
func (m *Membership) SetVMListUnavailable(now time.Time, a *Actions) {
	m.advanceTime(now, a)
	m.listAvailable = false
}

// mergeOwnListEntry takes over whether the list marks this node as leaving. A mark in
// the first list is ignored until it is cleared, because it may be meant for the
// previous process on the VM.
func (m *Membership) mergeOwnListEntry(entry anvilmodel.ListedVM) {
	if !m.listReceived {
		m.ignoreListedLeaving = entry.Leaving
	}
	m.ignoreListedLeaving = m.ignoreListedLeaving && entry.Leaving
	m.listedAsLeaving = entry.Leaving && !m.ignoreListedLeaving
}

func (m *Membership) mergeListEntry(entry anvilmodel.ListedVM, a *Actions) {
	r := m.byName[entry.Name]
	if r == nil {
		r = m.addRecord(entry.Name)
	}
	if r.listEntry.PeerAddress != entry.PeerAddress {
		r.unresponsive = false
	}
	r.listEntry = entry
	r.isListed = true
	member := &r.member
	if member.Incarnation == 0 {
		member.CallerAddress = entry.CallerAddress
		member.PeerAddress = entry.PeerAddress
		member.FailureDomain = entry.FailureDomain
	}
	m.updateListedLeaving(r, entry.Leaving, a)
}

// updateListedLeaving applies a leaving mark in the list to the incarnation known when
// the mark first appeared. A later incarnation is a new process on the same VM, to
// which an outdated list does not apply.
func (m *Membership) updateListedLeaving(r *record, leaving bool, a *Actions) {
	if leaving == r.listedAsLeaving {
		return
	}
	r.listedAsLeaving = leaving
	r.leavingIncarnation = r.member.Incarnation
	if leaving && r.isLive() && !r.announcedLeaving {
		m.addEvent(a, EventLeaving, r, "marked as leaving in the VM list")
	}
}

// removeExpired removes members that are not listed and either never announced
// themselves or have been dead for longer than the retention time.
func (m *Membership) removeExpired() {
	for i := len(m.records) - 1; i >= 0; i-- {
		r := m.records[i]
		if r.isListed {
			continue
		}
		expired := r.member.Status == anvilmodel.MemberDead && m.elapsed-r.deadAt > m.config.DeadMemberRetention
		if expired || r.member.Incarnation == 0 {
			m.removeRecord(r)
		}
	}
}

// listExcludes reports whether the list was read recently and either lacks the member
// or marks its current incarnation as leaving.
func (m *Membership) listExcludes(r *record) bool {
	if !m.listAvailable || m.elapsed-m.listReadAt > m.config.VMListTTL || m.listReadAt < m.resumedAt {
		return false
	}
	return !r.isListed || r.listEntry.Leaving && r.leavingIncarnation == r.member.Incarnation
}
