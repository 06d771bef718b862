package anvilmember

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// updateKind says what a record has to tell. Higher kinds go first among items that
// were sent equally often.
type updateKind uint8

const (
	updateNone updateKind = iota
	updateJoined
	updateRefuted
	updateSuspected
	updateDead
	updateLeaving
)

// queueUpdate schedules an item for piggybacking. Later news of a member takes the
// place of earlier news.
func (m *Membership) queueUpdate(r *record, k updateKind) {
	r.pendingUpdate = k
	r.sendsLeft = m.retransmitLimit()
	if !r.queued {
		r.queued = true
		m.updateQueue = append(m.updateQueue, r)
	}
}

// newRequest builds a probe newRequest to a member; target is nil for a direct probe.
func (m *Membership) newRequest(to, target *record) ProbeRequest {
	q := ProbeRequest{From: m.ownUpdate()}
	if target != nil {
		q.Target = target.member.Name
	}
	b := m.newBatch(RequestSize(q))
	if target != nil {
		b.add(target.memberUpdate(detailFull))
	}
	if to.member.Incarnation != 0 {
		// A fresh process at that address learns its predecessor's number.
		b.add(to.memberUpdate(detailStatus))
	}
	m.fillUpdates(&b, &to.member, to)
	q.Updates = b.updates
	return q
}

// newReply builds the newReply to a member.
func (m *Membership) newReply(to anvilmodel.Member, reached bool) ProbeReply {
	p := ProbeReply{
		From:    m.ownUpdate(),
		Reached: reached,
	}
	b := m.newBatch(ReplySize(p))
	m.fillUpdates(&b, &to, m.byName[to.Name])
	p.Updates = b.updates
	return p
}

// ownUpdate returns this node's entry. Before the announcement it has no incarnation.
func (m *Membership) ownUpdate() MemberUpdate {
	i := m.self
	i.Version = 1 + uint32(m.elapsed/versionUnit)
	if !m.announced {
		i.Member.Incarnation = 0
		i.Member.Status = anvilmodel.MemberUnknown
	}
	return i
}

// updateBatch collects the news of one message within its limits.
type updateBatch struct {
	updates    []MemberUpdate
	maxUpdates int
	bytesLeft  int
}

func (m *Membership) newBatch(used int) updateBatch {
	return updateBatch{
		updates:    make([]MemberUpdate, 0, m.config.MaxUpdates),
		maxUpdates: m.config.MaxUpdates,
		bytesLeft:  m.config.MaxMessageBytes - used,
	}
}

// add takes an item if it fits and reports whether it is in the batch.
func (b *updateBatch) add(i MemberUpdate) bool {
	if len(b.updates) >= b.maxUpdates || b.contains(i.Member.Name) {
		return false
	}
	n := lengthDelimitedSize(updateSize(i))
	if n > b.bytesLeft {
		return false
	}
	b.bytesLeft -= n
	b.updates = append(b.updates, i)
	return true
}

func (b *updateBatch) contains(name anvilmodel.VMName) bool {
	return slices.ContainsFunc(b.updates, func(i MemberUpdate) bool { return i.Member.Name == name })
}

func (b *updateBatch) full() bool {
	return len(b.updates) >= b.maxUpdates || b.bytesLeft < minUpdateBytes
}

// fillUpdates adds what the receiver has to know, then queued news, then samples of
// the members' state.
func (m *Membership) fillUpdates(b *updateBatch, to *anvilmodel.Member, known *record) {
	m.addReceiverUpdates(b, to, known)
	m.addQueuedUpdates(b, to.Name)
	m.addSamples(b, to)
}

// addReceiverUpdates adds what the receiver has to know of itself: that it is suspect
// or dead here, or that a later process has its name, slot or address.
func (m *Membership) addReceiverUpdates(b *updateBatch, to *anvilmodel.Member, known *record) {
	if known != nil && known.member.Incarnation != 0 {
		bad := len(known.witnesses) > 0 || known.member.Status == anvilmodel.MemberDead
		if bad || known.member.Incarnation > to.Incarnation {
			b.add(known.memberUpdate(detailStatus))
		}
	}
	if to.Slot == "" && !to.PeerAddress.IsValid() {
		return
	}
	for _, r := range m.records {
		if r != known && r.member.Incarnation != 0 && sharesSlotOrAddress(&r.member, to) && isNewer(&r.member, to) {
			b.add(r.memberUpdate(detailFull))
		}
	}
}

// addQueuedUpdates adds queued news, least often sent first.
func (m *Membership) addQueuedUpdates(b *updateBatch, to anvilmodel.VMName) {
	slices.SortStableFunc(m.updateQueue, func(x, y *record) int {
		if x.sendsLeft != y.sendsLeft {
			return int(y.sendsLeft) - int(x.sendsLeft)
		}
		return int(y.pendingUpdate) - int(x.pendingUpdate)
	})
	reserve := b.bytesLeft / 2
	for _, r := range m.updateQueue {
		if b.full() {
			break
		}
		if r.member.Name == to || r.sendsLeft == 0 {
			continue
		}
		form := detailStatus
		if r.pendingUpdate == updateJoined {
			if b.bytesLeft < reserve {
				continue
			}
			form = r.sampleDetail()
		}
		if r.hasUpdate() && b.add(r.memberUpdate(form)) {
			r.sendsLeft--
		}
	}
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(r *record) bool {
		done := r.sendsLeft == 0 || !r.hasUpdate() || r.removed
		if done {
			r.queued = false
		}
		return done
	})
}

// hasUpdate reports whether there is something to say: not of members that were
// replaced, which follows from the news of the later process, and not of suspects
// whose witnesses are void unless they refuted.
func (r *record) hasUpdate() bool {
	if r.pendingUpdate == updateNone || r.replaced {
		return false
	}
	switch r.member.Status {
	case anvilmodel.MemberUnknown:
		return false
	case anvilmodel.MemberSuspect:
		return len(r.witnesses) > 0 || r.pendingUpdate == updateRefuted
	default:
		return true
	}
}
