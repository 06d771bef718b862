package anvilmember

import (
	"time"

	"anvilbridge/anvilmodel"
)

// SetVMList hands over the published list. The owner calls it after each successful
// read, also when the list has not changed.
func (m *Membership) SetVMList(list []anvilmodel.ListedVM, now time.Time, a *Actions) {
	m.advance(now, a)
	m.hasList = true
	m.listedAt = m.at
	m.members = nil
	for _, r := range m.records {
		r.isListed = false
	}
	for _, v := range list {
		if v.Name == m.self.Member.Name {
			m.takeOwnListed(v)
			continue
		}
		m.takeListed(v, a)
	}
	m.everListed = true
	m.forget()
}

// SetVMListUnavailable says that the published list could not be read. The last one
// then serves to find members, no longer as a witness.
func (m *Membership) SetVMListUnavailable(now time.Time, a *Actions) {
	m.advance(now, a)
	m.hasList = false
}

// takeOwnListed follows the list's leaving mark of this node. A mark that is there
// from the start may be meant for the VM's previous process.
func (m *Membership) takeOwnListed(v anvilmodel.ListedVM) {
	if !m.everListed {
		m.ignoreMark = v.Leaving
	}
	m.ignoreMark = m.ignoreMark && v.Leaving
	m.markedLeaving = v.Leaving && !m.ignoreMark
}

func (m *Membership) takeListed(v anvilmodel.ListedVM, a *Actions) {
	r := m.byName[v.Name]
	if r == nil {
		r = m.add(v.Name)
	}
	if r.listed.PeerAddress != v.PeerAddress {
		r.failed = false
	}
	r.listed = v
	r.isListed = true
	e := &r.member
	if e.Incarnation == 0 {
		e.CallerAddress = v.CallerAddress
		e.PeerAddress = v.PeerAddress
		e.FailureDomain = v.FailureDomain
	}
	m.markListed(r, v.Leaving, a)
}

// markListed applies the list's leaving mark to the incarnation known when the
// mark first appeared. A later incarnation is a new process on the same VM name,
// for which a lagging list says nothing yet.
func (m *Membership) markListed(r *record, leaving bool, a *Actions) {
	if leaving == r.markedLeaving {
		return
	}
	r.markedLeaving = leaving
	r.listedLeaving = r.member.Incarnation
	if leaving && r.living() && !r.leaving {
		m.event(a, EventLeaving, r, "published list")
	}
}

// forget removes members that nothing speaks for: never heard of and no longer
// listed, or dead for long and not listed.
func (m *Membership) forget() {
	for i := len(m.records) - 1; i >= 0; i-- {
		r := m.records[i]
		if r.isListed {
			continue
		}
		old := r.member.Status == anvilmodel.MemberDead && m.at-r.deadAt > m.config.DeadMemberRetention
		if old || r.member.Incarnation == 0 {
			m.remove(r)
		}
	}
}

// listDenies reports whether a list read recently does not name the member as live.
func (m *Membership) listDenies(r *record) bool {
	if !m.hasList || m.at-m.listedAt > m.config.VMListTTL || m.listedAt < m.resumed {
		return false
	}
	return !r.isListed || r.listed.Leaving && r.listedLeaving == r.member.Incarnation
}
