package anvilmember

import "anvilbridge/anvilmodel"

// suspect adds witnesses that failed to reach a member.
func (m *Membership) suspect(r *record, witnesses []anvilmodel.VMName, cause string, a *Actions) {
	added, first := false, len(r.witnesses) == 0
	for _, w := range witnesses {
		added = r.addWitness(w) || added
	}
	if !added {
		return
	}
	if first {
		r.suspectedAt = m.at
		m.setStatus(r, anvilmodel.MemberSuspect)
		m.event(a, EventSuspected, r, cause)
	}
	if first || len(r.witnesses) == deathWitnesses {
		m.queueNews(r, newsSuspect)
	}
	if first && cause == "news" {
		m.confirm(r, a)
	}
}

// judgeSuspects declares suspects dead whose time is over.
func (m *Membership) judgeSuspects(a *Actions) {
	if m.suspects == 0 {
		return
	}
	usable := 0
	for _, r := range m.records {
		if r.member.Status != anvilmodel.MemberSuspect || len(r.witnesses) == 0 {
			continue
		}
		waited := m.at - r.suspectedAt
		if waited < m.config.SuspicionTimeout {
			continue
		}
		if usable == 0 {
			usable = m.usable()
		}
		switch {
		case len(r.witnesses) >= deathWitnesses:
			m.bury(r, "witnesses", a)
		case m.listDenies(r):
			m.bury(r, "one witness and the published list", a)
		case usable < fewMembers && waited >= 2*m.config.SuspicionTimeout:
			m.bury(r, "one witness, nobody else left", a)
		}
	}
}

// bury declares a member dead.
func (m *Membership) bury(r *record, cause string, a *Actions) {
	m.setStatus(r, anvilmodel.MemberDead)
	r.deadAt = m.at
	m.event(a, EventDead, r, cause)
	m.queueNews(r, newsDead)
}

// withdraw takes back this node's own testimony after it has reached the member or
// another node has reached it on this node's behalf.
func (m *Membership) withdraw(r *record, a *Actions) {
	if r.member.Status != anvilmodel.MemberSuspect {
		return
	}
	r.dropWitness(m.self.Member.Name)
	if len(r.witnesses) > 0 {
		return
	}
	m.setStatus(r, anvilmodel.MemberAlive)
	if r.news == newsSuspect {
		r.news = newsNone
	}
	m.event(a, EventRefuted, r, "reached again")
}
