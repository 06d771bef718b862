// Package anvilmember keeps a node's view of the other nodes. It decides whom to
// probe, judges the outcomes and passes on news with the probes.
package anvilmember

import (
	"math/bits"
	"time"

	"anvilbridge/anvilmodel"
)

// Membership is a node's view of the fleet. It is not safe for concurrent use.
type Membership struct {
	config Config
	self   MemberUpdate
	start  time.Time
	// elapsed is the time of the last call, counted from start.
	elapsed   time.Duration
	resumedAt time.Duration
	// peerReplied says that a peer has peerReplied since the start or the last pause.
	peerReplied bool
	lastReplyAt time.Duration
	byName      map[anvilmodel.VMName]*record
	records     []*record
	bySlot      map[anvilmodel.SlotName]*record
	listReadAt  time.Duration
	// listAvailable is false until a list was read and after a read that failed.
	listAvailable bool
	listReceived  bool
	// listedAsLeaving is the list's leaving mark of this node, if it is not ignored.
	listedAsLeaving     bool
	ignoreListedLeaving bool

	announced  bool
	superseded bool
	// joinPeersKnown says that there is somebody to ask, joinStart since when, or since
	// when there is not.
	joinPeersKnown bool
	joinStartedAt  time.Duration
	joinRepliers   []anvilmodel.VMName

	attempts           []*probeAttempt
	relayedProbes      []relayedProbe
	lastID             uint64
	nextProbeAt        time.Duration
	nextDeadProbeAt    time.Duration
	probeOrder         []*record
	probePosition      int
	deadProbePosition  int
	suspectCount       int
	confirmationProbes int

	updateQueue   []*record
	scratch       []*record
	cachedMembers []anvilmodel.Member
}

// New returns the view of a node that has heard of nobody.
func New(c Config, now time.Time) *Membership {
	c = c.withDefaults()
	m := &Membership{
		config: c,
		self: MemberUpdate{
			Member: c.Self,
		},
		start:       now,
		lastReplyAt: never,
		resumedAt:   never,
		byName:      make(map[anvilmodel.VMName]*record),
		bySlot:      make(map[anvilmodel.SlotName]*record),
	}
	m.self.Member.Status = anvilmodel.MemberAlive
	m.self.Member.RefutationCount = 0
	return m
}

// Self returns this node's own entry. Its incarnation is final once Announced.
func (m *Membership) Self() anvilmodel.Member {
	e := m.self.Member
	switch {
	case m.superseded:
		e.Status = anvilmodel.MemberDead
	case !m.announced:
		e.Status = anvilmodel.MemberUnknown
	case m.listedAsLeaving:
		e.Status = anvilmodel.MemberLeaving
	}
	return e
}

// Announced reports whether the incarnation is final. Before that it must not be
// given to anybody, in an address answer for example.
func (m *Membership) Announced() bool {
	return m.announced
}

// Superseded reports whether a later process has this node's name, slot or
// address. The process then stops new work and shuts down.
func (m *Membership) Superseded() bool {
	return m.superseded
}

// Members returns all known members, this node first. The slice is replaced, not
// changed, when something changes; the caller must not change it.
func (m *Membership) Members() []anvilmodel.Member {
	if m.cachedMembers != nil {
		return m.cachedMembers
	}
	m.cachedMembers = make([]anvilmodel.Member, 0, len(m.records)+1)
	m.cachedMembers = append(m.cachedMembers, m.Self())
	for _, r := range m.records {
		e := r.member
		e.Status = r.status()
		m.cachedMembers = append(m.cachedMembers, e)
	}
	return m.cachedMembers
}

// BySlot returns the member that occupies the slot, whatever its status. Of
// several members that claimed the slot it is the one with the highest incarnation.
func (m *Membership) BySlot(slot anvilmodel.SlotName) (anvilmodel.Member, bool) {
	if slot == m.self.Member.Slot && slot != "" && !m.superseded {
		return m.Self(), true
	}
	r := m.bySlot[slot]
	if r == nil {
		return anvilmodel.Member{}, false
	}
	e := r.member
	e.Status = r.status()
	return e, true
}

// CountListed returns how many listed members have ever been heard of, and how many are
// listed, this node not counted.
func (m *Membership) CountListed() (heard, listed int) {
	for _, r := range m.records {
		if !r.isListed {
			continue
		}
		listed++
		if r.member.Incarnation != 0 {
			heard++
		}
	}
	return heard, listed
}

// UpdateSelf sets what the node says of itself. When the node begins to leave, it
// tells several members at once.
func (m *Membership) UpdateSelf(s SelfState, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	e := &m.self.Member
	e.Load = s.Load
	e.ConfigRevision = s.ConfigRevision
	e.Serving = s.Serving
	e.TicketEpoch = s.TicketEpoch
	m.cachedMembers = nil
	if s.Leaving && e.Status != anvilmodel.MemberLeaving {
		e.Status = anvilmodel.MemberLeaving
		m.probeRandomMembers(a)
	}
}

// liveCount counts this node and the members not known to be dead.
func (m *Membership) liveCount() int {
	n := 1
	for _, r := range m.records {
		if r.isLive() {
			n++
		}
	}
	return n
}

// retransmitLimit returns how many times each item of news is sent: 3 log2(n).
func (m *Membership) retransmitLimit() uint8 {
	return uint8(3 * max(1, bits.Len(uint(m.liveCount()-1))))
}

// addRecord creates the record of a member that is not known yet.
func (m *Membership) addRecord(name anvilmodel.VMName) *record {
	r := &record{
		updatedAt:    never,
		reachedAt:    never,
		versionEpoch: never,
	}
	r.member.Name = name
	m.byName[name] = r
	m.records = append(m.records, r)
	m.addToRotation(r)
	m.cachedMembers = nil
	return r
}

// removeRecord forgets a member.
func (m *Membership) removeRecord(r *record) {
	r.removed = true
	delete(m.byName, r.member.Name)
	for i, x := range m.records {
		if x == r {
			m.records = append(m.records[:i], m.records[i+1:]...)
			break
		}
	}
	m.indexSlots()
	m.cachedMembers = nil
}

// indexSlots finds the occupant of each slot again.
func (m *Membership) indexSlots() {
	clear(m.bySlot)
	for _, r := range m.records {
		if r.member.Slot == "" || r.member.Incarnation == 0 {
			continue
		}
		x := m.bySlot[r.member.Slot]
		if x == nil || isNewer(&r.member, &x.member) {
			m.bySlot[r.member.Slot] = r
		}
	}
}
