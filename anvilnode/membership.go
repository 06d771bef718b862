package anvilnode

import (
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// memberView is an immutable view of the fleet's members.
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

// newProber returns the prober that connects the membership to the node.
func (n *Node) newProber() *anvilpeer.Prober {
	return anvilpeer.NewProber(anvilpeer.ProberConfig{
		Membership:  n.membership,
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

// updateMemberView replaces the member view if the members have changed. The caller
// holds controlLock.
func (n *Node) updateMemberView() {
	all := n.membership.Members()
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
		// Another process occupies this node's slot because the VM was replaced. New
		// queries are refused immediately.
		n.startTask(func() { n.leaveFleet(n.ctx, "superseded by a later process", true) })
	}
}

// updateSelf updates what this node reports about itself to other members.
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

// isAlive reports whether a member can be sent requests.
func isAlive(m anvilmodel.Member) bool {
	return m.Status == anvilmodel.MemberAlive
}
