package anvilmember

import (
	"time"

	"anvilbridge/anvilmodel"
)

// SetVMList hands over the published list. The owner calls it after each successful
// read, also when the list has not changed.
func (m *Membership) SetVMList(list []anvilmodel.ListedVM, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	m.listAvailable = true
	m.listReadAt = m.elapsed
	m.cachedMembers = nil
	for _, r := range m.records {
		r.isListed = false
	}
	for _, v := range list {
		if v.Name == m.self.Member.Name {
			m.mergeOwnListEntry(v)
			continue
		}
		m.mergeListEntry(v, a)
	}
	m.listReceived = true
	m.removeExpired()
}

// SetVMListUnavailable says that the published list could not be read. The last one
// then serves to find members, no longer as a witness.
func (m *Membership) SetVMListUnavailable(now time.Time, a *Actions) {
	m.advanceTime(now, a)
	m.listAvailable = false
}

// mergeOwnListEntry follows the list's leaving mark of this node. A mark that is there
// from the start may be meant for the VM's previous process.
func (m *Membership) mergeOwnListEntry(v anvilmodel.ListedVM) {
	if !m.listReceived {
		m.ignoreListedLeaving = v.Leaving
	}
	m.ignoreListedLeaving = m.ignoreListedLeaving && v.Leaving
	m.listedAsLeaving = v.Leaving && !m.ignoreListedLeaving
}

func (m *Membership) mergeListEntry(v anvilmodel.ListedVM, a *Actions) {
	r := m.byName[v.Name]
	if r == nil {
		r = m.addRecord(v.Name)
	}
	if r.listEntry.PeerAddress != v.PeerAddress {
		r.unresponsive = false
	}
	r.listEntry = v
	r.isListed = true
	e := &r.member
	if e.Incarnation == 0 {
		e.CallerAddress = v.CallerAddress
		e.PeerAddress = v.PeerAddress
		e.FailureDomain = v.FailureDomain
	}
	m.updateListedLeaving(r, v.Leaving, a)
}

// updateListedLeaving applies the list's leaving mark to the incarnation known when the
// mark first appeared. A later incarnation is a new process on the same VM name,
// for which a lagging list says nothing yet.
func (m *Membership) updateListedLeaving(r *record, leaving bool, a *Actions) {
	if leaving == r.listedAsLeaving {
		return
	}
	r.listedAsLeaving = leaving
	r.leavingIncarnation = r.member.Incarnation
	if leaving && r.isLive() && !r.announcedLeaving {
		m.addEvent(a, EventLeaving, r, "published list")
	}
}

// removeExpired removes members that nothing speaks for: never heard of and no longer
// listed, or dead for long and not listed.
func (m *Membership) removeExpired() {
	for i := len(m.records) - 1; i >= 0; i-- {
		r := m.records[i]
		if r.isListed {
			continue
		}
		old := r.member.Status == anvilmodel.MemberDead && m.elapsed-r.deadAt > m.config.DeadMemberRetention
		if old || r.member.Incarnation == 0 {
			m.removeRecord(r)
		}
	}
}

// listExcludes reports whether a list read recently does not name the member as live.
func (m *Membership) listExcludes(r *record) bool {
	if !m.listAvailable || m.elapsed-m.listReadAt > m.config.VMListTTL || m.listReadAt < m.resumedAt {
		return false
	}
	return !r.isListed || r.listEntry.Leaving && r.leavingIncarnation == r.member.Incarnation
}
