package anvilmember

import "anvilbridge/anvilmodel"

// addWitnesses adds witnesses that failed to reach a member.
func (m *Membership) addWitnesses(r *record, witnesses []anvilmodel.VMName, cause string, a *Actions) {
	added, first := false, len(r.witnesses) == 0
	for _, w := range witnesses {
		added = r.addWitness(w) || added
	}
	if !added {
		return
	}
	if first {
		r.suspectedAt = m.elapsed
		m.setStatus(r, anvilmodel.MemberSuspect)
		m.addEvent(a, EventSuspected, r, cause)
	}
	if first || len(r.witnesses) == requiredWitnesses {
		m.queueUpdate(r, updateSuspected)
	}
	if first && cause == "news" {
		m.confirmSuspicion(r, a)
	}
}

// evaluateSuspects declares suspects dead whose time is over.
func (m *Membership) evaluateSuspects(a *Actions) {
	if m.suspectCount == 0 {
		return
	}
	usable := 0
	for _, r := range m.records {
		if r.member.Status != anvilmodel.MemberSuspect || len(r.witnesses) == 0 {
			continue
		}
		waited := m.elapsed - r.suspectedAt
		if waited < m.config.SuspicionTimeout {
			continue
		}
		if usable == 0 {
			usable = m.liveCount()
		}
		switch {
		case len(r.witnesses) >= requiredWitnesses:
			m.declareDead(r, "witnesses", a)
		case m.listExcludes(r):
			m.declareDead(r, "one witness and the published list", a)
		case usable < twoWitnessMinMembers && waited >= 2*m.config.SuspicionTimeout:
			m.declareDead(r, "one witness, nobody else left", a)
		}
	}
}

// declareDead declares a member dead.
func (m *Membership) declareDead(r *record, cause string, a *Actions) {
	m.setStatus(r, anvilmodel.MemberDead)
	r.deadAt = m.elapsed
	m.addEvent(a, EventDead, r, cause)
	m.queueUpdate(r, updateDead)
}

// withdrawSuspicion takes back this node's own testimony after it has reached the member or
// another node has reached it on this node's behalf.
func (m *Membership) withdrawSuspicion(r *record, a *Actions) {
	if r.member.Status != anvilmodel.MemberSuspect {
		return
	}
	r.removeWitness(m.self.Member.Name)
	if len(r.witnesses) > 0 {
		return
	}
	m.setStatus(r, anvilmodel.MemberAlive)
	if r.pendingUpdate == updateSuspected {
		r.pendingUpdate = updateNone
	}
	m.addEvent(a, EventRefuted, r, "reached again")
}
