package anvilnode

import (
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
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
		if other, ok := v.bySlot[m.Slot]; !ok || other.Incarnation < m.Incarnation {
			v.bySlot[m.Slot] = m
		}
		if m.Incarnation != 0 {
			v.byIncarnation[m.Incarnation] = m
		}
	}
	return v
}

// newProber joins the membership to the node.
func (n *Node) newProber() *anvilpeer.Prober {
	return anvilpeer.NewProber(anvilpeer.ProberConfig{
		Membership:  n.members,
		Lock:        &n.controlLock,
		Client:      n.peers,
		Context:     n.ctx,
		Go:          n.startTask,
		AfterUpdate: n.updateMemberView,
		BeforeSend: func(announced bool) {
			if announced {
				n.announcedOnce.Do(n.finishAnnouncement)
			}
		},
		OnPeerState: n.handlePeerRevision,
		OnEvent:     n.recordMemberEvent,
	})
}

// updateMemberView takes a new list of members over; the lock control is held.
func (n *Node) updateMemberView() {
	all := n.members.Members()
	if current := n.memberView.Load().all; len(current) != len(all) || (len(all) > 0 && &current[0] != &all[0]) {
		n.memberView.Store(newMemberView(all))
	}
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

func (n *Node) recordMemberEvent(e anvilmember.Event) {
	n.recordEvent(anvilaudit.Event{
		Kind:    memberEventKinds[e.Kind],
		Subject: string(e.Member),
		Cause:   e.Cause,
	})
	if e.Kind == anvilmember.EventSuperseded {
		// The VM has been replaced: another process has this node's slot, so that
		// new work stops at once.
		n.startTask(func() { n.leaveFleet(n.ctx, "superseded by a later process", true) })
	}
}

// updateSelf tells the membership what this node says of itself.
func (n *Node) updateSelf() {
	epoch := n.ticketEpoch()
	n.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.UpdateSelf(anvilmember.SelfState{
			Load:           n.admission.utilization(),
			ConfigRevision: n.revisions.Active().Version,
			Serving:        n.revisions.Ready() && n.undeclaredSiteReason() == "",
			Leaving:        n.leaving.Load(),
			TicketEpoch:    epoch,
		}, now, a)
	})
}

// usable reports whether a member can be sent work.
func isAlive(m anvilmodel.Member) bool {
	return m.Status == anvilmodel.MemberAlive
}
