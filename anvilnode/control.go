package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

// memberView is an immutable view of the members for the query path.
type memberView struct {
	self          anvilmodel.Member
	all           []anvilmodel.Member
	bySlot        map[anvilmodel.SlotName]anvilmodel.Member
	byIncarnation map[anvilmodel.Incarnation]anvilmodel.Member
}

func newMemberView(all []anvilmodel.Member) *memberView {
	v := &memberView{
		all:           all,
		bySlot:        make(map[anvilmodel.SlotName]anvilmodel.Member, len(all)),
		byIncarnation: make(map[anvilmodel.Incarnation]anvilmodel.Member, len(all)),
	}
	for i, m := range all {
		if i == 0 {
			v.self = m
		}
		if held, ok := v.bySlot[m.Slot]; !ok || held.Incarnation < m.Incarnation {
			v.bySlot[m.Slot] = m
		}
		if m.Incarnation != 0 {
			v.byIncarnation[m.Incarnation] = m
		}
	}
	return v
}

// runMembership ticks the membership.
func (n *Node) runMembership() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.background.Done():
			return
		case <-timer.C:
		}
		n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
			m.Tick(now, a)
			timer.Reset(max(time.Until(m.Next()), time.Millisecond))
		})
	}
}

// withMembers calls the membership under its lock and carries out what it asks.
func (n *Node) withMembers(call func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions)) {
	actions := &anvilmember.Actions{}
	n.control.Lock()
	call(n.members, time.Now(), actions)
	all := n.members.Members()
	if held := n.memberView.Load().all; len(held) != len(all) || (len(all) > 0 && &held[0] != &all[0]) {
		n.memberView.Store(newMemberView(all))
	}
	announced := n.members.Announced()
	waiting := make([]chan anvilmember.Answer, len(actions.Answers))
	for i, answer := range actions.Answers {
		waiting[i] = n.answers[answer.Token]
		delete(n.answers, answer.Token)
	}
	n.control.Unlock()
	if announced {
		n.announcedOnce.Do(n.becomeAnnounced)
	}
	for i, answer := range actions.Answers {
		if waiting[i] != nil {
			waiting[i] <- answer
		}
	}
	for _, probe := range actions.Probes {
		n.goRun(func() { n.sendProbe(probe) })
	}
	for _, event := range actions.Events {
		n.recordMember(event)
	}
}

func (n *Node) sendProbe(p anvilmember.Probe) {
	ctx, cancel := context.WithTimeout(n.background, p.Timeout)
	defer cancel()
	reply, err := n.peers.Probe(ctx, p.Address, p.Request)
	if err != nil {
		n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
			m.HandleFailure(p.ID, now, a)
		})
		return
	}
	n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.HandleReply(p.ID, reply, now, a)
	})
	n.heardRevision(reply.From)
}

// answerProbe hands a probe of another node to the membership and waits for
// what it says.
func (n *Node) answerProbe(ctx context.Context, q anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool) {
	answer := make(chan anvilmember.Answer, 1)
	var token uint64
	n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		n.lastToken++
		token = n.lastToken
		n.answers[token] = answer
		m.HandleProbe(token, q, now, a)
	})
	n.heardRevision(q.From)
	select {
	case a := <-answer:
		return a.Reply, !a.Refused
	case <-ctx.Done():
	case <-n.background.Done():
	}
	n.control.Lock()
	delete(n.answers, token)
	n.control.Unlock()
	return anvilmember.ProbeReply{}, false
}

var memberEventKinds = map[anvilmember.EventKind]anvilaudit.Kind{
	anvilmember.EventJoined:     anvilaudit.KindMemberJoined,
	anvilmember.EventReturned:   anvilaudit.KindMemberJoined,
	anvilmember.EventSuspected:  anvilaudit.KindMemberSuspected,
	anvilmember.EventRefuted:    anvilaudit.KindMemberRefuted,
	anvilmember.EventDead:       anvilaudit.KindMemberDead,
	anvilmember.EventLeaving:    anvilaudit.KindMemberLeaving,
	anvilmember.EventReplaced:   anvilaudit.KindMemberReplaced,
	anvilmember.EventSuperseded: anvilaudit.KindNodeSuperseded,
	anvilmember.EventPaused:     anvilaudit.KindProcessPaused,
	anvilmember.EventAnnounced:  anvilaudit.KindNodeAnnounced,
}

func (n *Node) recordMember(e anvilmember.Event) {
	n.record(anvilaudit.Event{
		Kind:    memberEventKinds[e.Kind],
		Subject: string(e.Member),
		Cause:   e.Cause,
	})
	if e.Kind == anvilmember.EventSuperseded {
		// The VM has been replaced: another process has this node's slot, so that
		// new work stops at once.
		n.goRun(func() { n.leave(n.background, "superseded by a later process", true) })
	}
}

// updateSelf tells the membership what this node says of itself.
func (n *Node) updateSelf() {
	epoch := n.ticketEpoch()
	n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.UpdateSelf(anvilmember.SelfState{
			Load:        n.admission.load(),
			Revision:    n.keeper.InForce().Version,
			Serving:     n.keeper.Ready() && n.undeclaredSite() == "",
			Leaving:     n.leaving.Load(),
			TicketEpoch: epoch,
		}, now, a)
	})
}

// usable reports whether a member can be sent work.
func usable(m anvilmodel.Member) bool {
	return m.Status == anvilmodel.MemberAlive
}
