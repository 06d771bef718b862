package anvilmember

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// newsKind says what a record has to tell. Higher kinds go first among items that
// were sent equally often.
type newsKind uint8

const (
	newsNone newsKind = iota
	newsJoin
	newsRefuted
	newsSuspect
	newsDead
	newsLeaving
)

// queueNews schedules an item for piggybacking. Later news of a member takes the
// place of earlier news.
func (m *Membership) queueNews(r *record, k newsKind) {
	r.news = k
	r.newsLeft = m.newsRepeats()
	if !r.newsQueued {
		r.newsQueued = true
		m.queue = append(m.queue, r)
	}
}

// request builds a probe request to a member; target is nil for a direct probe.
func (m *Membership) request(to, target *record) ProbeRequest {
	q := ProbeRequest{From: m.ownItem()}
	if target != nil {
		q.Target = target.member.Name
	}
	b := m.newBatch(RequestSize(q))
	if target != nil {
		b.add(target.item(formFull))
	}
	if to.member.Incarnation != 0 {
		// A fresh process at that address learns its predecessor's number.
		b.add(to.item(formBrief))
	}
	m.fillNews(&b, &to.member, to)
	q.Updates = b.news
	return q
}

// reply builds the reply to a member.
func (m *Membership) reply(to anvilmodel.Member, reached bool) ProbeReply {
	p := ProbeReply{
		From:    m.ownItem(),
		Reached: reached,
	}
	b := m.newBatch(ReplySize(p))
	m.fillNews(&b, &to, m.byName[to.Name])
	p.Updates = b.news
	return p
}

// ownItem returns this node's entry. Before the announcement it has no incarnation.
func (m *Membership) ownItem() MemberUpdate {
	i := m.self
	i.Version = 1 + uint32(m.at/versionPeriod)
	if !m.announced {
		i.Member.Incarnation = 0
		i.Member.Status = anvilmodel.MemberUnknown
	}
	return i
}

// batch collects the news of one message within its limits.
type batch struct {
	news  []MemberUpdate
	items int
	bytes int
}

func (m *Membership) newBatch(used int) batch {
	return batch{
		news:  make([]MemberUpdate, 0, m.config.MaxUpdates),
		items: m.config.MaxUpdates,
		bytes: m.config.MaxMessageBytes - used,
	}
}

// add takes an item if it fits and reports whether it is in the batch.
func (b *batch) add(i MemberUpdate) bool {
	if len(b.news) >= b.items || b.has(i.Member.Name) {
		return false
	}
	n := nestedSize(itemSize(i))
	if n > b.bytes {
		return false
	}
	b.bytes -= n
	b.news = append(b.news, i)
	return true
}

func (b *batch) has(name anvilmodel.VMName) bool {
	return slices.ContainsFunc(b.news, func(i MemberUpdate) bool { return i.Member.Name == name })
}

func (b *batch) full() bool {
	return len(b.news) >= b.items || b.bytes < smallestItem
}

// fillNews adds what the receiver has to know, then queued news, then samples of
// the members' state.
func (m *Membership) fillNews(b *batch, to *anvilmodel.Member, known *record) {
	m.addConcerning(b, to, known)
	m.addQueued(b, to.Name)
	m.addSamples(b, to)
}

// addConcerning adds what the receiver has to know of itself: that it is suspect
// or dead here, or that a later process has its name, slot or address.
func (m *Membership) addConcerning(b *batch, to *anvilmodel.Member, known *record) {
	if known != nil && known.member.Incarnation != 0 {
		bad := len(known.witnesses) > 0 || known.member.Status == anvilmodel.MemberDead
		if bad || known.member.Incarnation > to.Incarnation {
			b.add(known.item(formBrief))
		}
	}
	if to.Slot == "" && !to.PeerAddress.IsValid() {
		return
	}
	for _, r := range m.records {
		if r != known && r.member.Incarnation != 0 && sameSeat(&r.member, to) && newer(&r.member, to) {
			b.add(r.item(formFull))
		}
	}
}

// addQueued adds queued news, least often sent first.
func (m *Membership) addQueued(b *batch, to anvilmodel.VMName) {
	slices.SortStableFunc(m.queue, func(x, y *record) int {
		if x.newsLeft != y.newsLeft {
			return int(y.newsLeft) - int(x.newsLeft)
		}
		return int(y.news) - int(x.news)
	})
	reserve := b.bytes / 2
	for _, r := range m.queue {
		if b.full() {
			break
		}
		if r.member.Name == to || r.newsLeft == 0 {
			continue
		}
		form := formBrief
		if r.news == newsJoin {
			if b.bytes < reserve {
				continue
			}
			form = r.sampleForm()
		}
		if r.tellable() && b.add(r.item(form)) {
			r.newsLeft--
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(r *record) bool {
		done := r.newsLeft == 0 || !r.tellable() || r.removed
		if done {
			r.newsQueued = false
		}
		return done
	})
}

// tellable reports whether there is something to say: not of members that were
// replaced, which follows from the news of the later process, and not of suspects
// whose witnesses are void unless they refuted.
func (r *record) tellable() bool {
	if r.news == newsNone || r.replaced {
		return false
	}
	switch r.member.Status {
	case anvilmodel.MemberUnknown:
		return false
	case anvilmodel.MemberSuspect:
		return len(r.witnesses) > 0 || r.news == newsRefuted
	default:
		return true
	}
}
