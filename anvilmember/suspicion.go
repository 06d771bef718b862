package anvilmember

import "anvilbridge/anvilmodel"

// addWitnesses adds members that could not reach r. The first witness starts the
// suspicion.
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
	// The cause "news" means that the suspicion came with an update from another node.
	if first && cause == "news" {
		m.confirmSuspicion(r, a)
	}
}

// evaluateSuspects declares members dead that did not refute their suspicion in time,
// if there is enough evidence.
func (m *Membership) evaluateSuspects(a *Actions) {
	if m.suspectCount == 0 {
		return
	}
	live, alive := m.liveCount(), m.aliveCount()
	for _, r := range m.records {
		if r.member.Status != anvilmodel.MemberSuspect || len(r.witnesses) == 0 {
			continue
		}
		waited := m.elapsed - r.suspectedAt
		if waited < m.config.SuspicionTimeout {
			continue
		}
		switch {
		case len(r.witnesses) >= requiredWitnesses:
			m.declareDead(r, "witnesses", a)
		case m.listExcludes(r):
			m.declareDead(r, "one witness, not in the VM list", a)
		case alive == 0 && r.refused:
			// No other member could be the second witness. A refused connection shows that
			// the machine is reachable, so that this node is not the one that is cut off.
			m.declareDead(r, "one witness, no process at its address", a)
		case live < twoWitnessMinMembers && waited >= 2*m.config.SuspicionTimeout:
			m.declareDead(r, "one witness, no other live member", a)
		default:
			m.setUnreachable(r, r.isWitness(m.self.Member.Name))
		}
	}
}

// setUnreachable records whether this node has not reached a suspect for the suspicion
// timeout. Callers are no longer directed to it then, even if the evidence is too weak to
// declare it dead.
func (m *Membership) setUnreachable(r *record, unreachable bool) {
	if r.member.Unreachable != unreachable {
		r.member.Unreachable = unreachable
		m.cachedMembers = nil
	}
}

// declareDead sets a member's status to dead and queues an update about it.
func (m *Membership) declareDead(r *record, cause string, a *Actions) {
	m.setStatus(r, anvilmodel.MemberDead)
	r.deadAt = m.elapsed
	m.addEvent(a, EventDead, r, cause)
	m.queueUpdate(r, updateDead)
}

// withdrawSuspicion removes this node from the witnesses after it reached the member
// directly or through another node.
func (m *Membership) withdrawSuspicion(r *record, a *Actions) {
	if r.member.Status != anvilmodel.MemberSuspect {
		return
	}
	r.removeWitness(m.self.Member.Name)
	m.setUnreachable(r, false)
	if len(r.witnesses) > 0 {
		return
	}
	m.setStatus(r, anvilmodel.MemberAlive)
	if r.pendingUpdate == updateSuspected {
		r.pendingUpdate = updateNone
	}
	m.addEvent(a, EventRefuted, r, "member reached")
}
