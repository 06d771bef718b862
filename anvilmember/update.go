package anvilmember

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// updateKind classifies the queued update of a record. Among updates that were sent
// equally often, higher kinds are sent first.
type updateKind uint8

const (
	updateNone updateKind = iota
	updateJoined
	updateRefuted
	updateSuspected
	updateDead
	updateLeaving
)

// queueUpdate queues an update about a member, to be piggybacked on messages. It
// replaces an update about the same member that is still queued.
func (m *Membership) queueUpdate(r *record, kind updateKind) {
	r.pendingUpdate = kind
	r.sendsLeft = m.retransmitLimit()
	if !r.queued {
		r.queued = true
		m.updateQueue = append(m.updateQueue, r)
	}
}

// newRequest returns a probe request to a member; target is nil for a direct probe.
func (m *Membership) newRequest(to, target *record) ProbeRequest {
	request := ProbeRequest{From: m.ownUpdate()}
	if target != nil {
		request.Target = target.member.Name
	}
	batch := m.newBatch(RequestSize(request))
	if target != nil {
		batch.add(target.memberUpdate(detailFull))
	}
	if to.member.Incarnation != 0 {
		// If a new process runs at the address, it has to receive the incarnation of its
		// predecessor.
		batch.add(to.memberUpdate(detailStatus))
	}
	m.fillUpdates(&batch, &to.member, to)
	request.Updates = batch.updates
	return request
}

// newReply returns the reply to a probe request from a member.
func (m *Membership) newReply(to anvilmodel.Member, reached bool) ProbeReply {
	reply := ProbeReply{
		From:    m.ownUpdate(),
		Reached: reached,
	}
	batch := m.newBatch(ReplySize(reply))
	m.fillUpdates(&batch, &to, m.byName[to.Name])
	reply.Updates = batch.updates
	return reply
}

// ownUpdate returns this node's own entry, without an incarnation until it is announced.
func (m *Membership) ownUpdate() MemberUpdate {
	update := m.self
	update.Version = 1 + uint32(m.elapsed/versionUnit)
	if !m.announced {
		update.Member.Incarnation = 0
		update.Member.Status = anvilmodel.MemberUnknown
	}
	return update
}

// updateBatch collects the updates of one message within its limits.
type updateBatch struct {
	updates    []MemberUpdate
	maxUpdates int
	bytesLeft  int
}

func (m *Membership) newBatch(usedBytes int) updateBatch {
	return updateBatch{
		updates:    make([]MemberUpdate, 0, m.config.MaxUpdates),
		maxUpdates: m.config.MaxUpdates,
		bytesLeft:  m.config.MaxMessageBytes - usedBytes,
	}
}

// add adds an update if it fits and the batch has none about the member yet. It reports
// whether the update was added.
func (b *updateBatch) add(update MemberUpdate) bool {
	if len(b.updates) >= b.maxUpdates || b.contains(update.Member.Name) {
		return false
	}
	size := lengthDelimitedSize(updateSize(update))
	if size > b.bytesLeft {
		return false
	}
	b.bytesLeft -= size
	b.updates = append(b.updates, update)
	return true
}

func (b *updateBatch) contains(name anvilmodel.VMName) bool {
	return slices.ContainsFunc(b.updates, func(u MemberUpdate) bool { return u.Member.Name == name })
}

func (b *updateBatch) full() bool {
	return len(b.updates) >= b.maxUpdates || b.bytesLeft < minUpdateBytes
}

// fillUpdates adds updates that concern the receiver, then queued updates, then samples
// of other members' state.
func (m *Membership) fillUpdates(batch *updateBatch, to *anvilmodel.Member, known *record) {
	m.addReceiverUpdates(batch, to, known)
	m.addQueuedUpdates(batch, to.Name)
	m.addSamples(batch, to)
}

// addReceiverUpdates adds updates that concern the receiver: that it is suspected or
// dead, or that a later process has its name, slot or address.
func (m *Membership) addReceiverUpdates(batch *updateBatch, to *anvilmodel.Member, known *record) {
	if known != nil && known.member.Incarnation != 0 {
		suspected := len(known.witnesses) > 0 || known.member.Status == anvilmodel.MemberDead
		if suspected || known.member.Incarnation > to.Incarnation {
			batch.add(known.memberUpdate(detailStatus))
		}
	}
	if to.Slot == "" && !to.PeerAddress.IsValid() {
		return
	}
	for _, r := range m.records {
		if r != known && r.member.Incarnation != 0 && sharesSlotOrAddress(&r.member, to) && isNewer(&r.member, to) {
			batch.add(r.memberUpdate(detailFull))
		}
	}
}

// addQueuedUpdates adds queued updates, starting with those that were sent least often.
func (m *Membership) addQueuedUpdates(batch *updateBatch, to anvilmodel.VMName) {
	slices.SortStableFunc(m.updateQueue, func(x, y *record) int {
		if x.sendsLeft != y.sendsLeft {
			return int(y.sendsLeft) - int(x.sendsLeft)
		}
		return int(y.pendingUpdate) - int(x.pendingUpdate)
	})
	// Updates about joined members are added only while half of the space is left.
	reservedBytes := batch.bytesLeft / 2
	for _, r := range m.updateQueue {
		if batch.full() {
			break
		}
		if r.member.Name == to || r.sendsLeft == 0 {
			continue
		}
		detail := detailStatus
		if r.pendingUpdate == updateJoined {
			if batch.bytesLeft < reservedBytes {
				continue
			}
			detail = r.sampleDetail()
		}
		if r.hasUpdate() && batch.add(r.memberUpdate(detail)) {
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

// hasUpdate reports whether the record has an update to send. Replaced members have
// none, because the update about the later process implies it. Suspected members
// without valid witnesses have none unless they refuted.
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
