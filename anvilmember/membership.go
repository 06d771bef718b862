// Package anvilmember implements the membership protocol of the nodes: failure
// detection by direct and indirect probes, and gossip that is piggybacked on the
// probes. It does no I/O; the owner of a Membership sends the probes and replies that
// its methods return as Actions.
package anvilmember

import (
	"math/bits"
	"time"

	"anvilbridge/anvilmodel"
)

// Membership is a node's view of all members. It is not safe for concurrent use.
type Membership struct {
	config Config
	// self is this node's own entry without its version.
	self  MemberUpdate
	start time.Time
	// elapsed is the time from start to the last call.
	elapsed time.Duration
	// resumedAt is when the last pause ended.
	resumedAt time.Duration
	// peerReplied is true once a peer has replied since the start or the last pause.
	peerReplied bool
	// lastReplyAt is when a peer or the platform last replied.
	lastReplyAt time.Duration
	byName      map[anvilmodel.VMName]*record
	records     []*record
	// bySlot holds the member with the highest incarnation of each slot.
	bySlot     map[anvilmodel.SlotName]*record
	listReadAt time.Duration
	// listAvailable is false until the VM list was read and after a read that failed.
	listAvailable bool
	// listReceived is true once the VM list was read.
	listReceived bool
	// listedAsLeaving is true if the VM list marks this node as leaving and the mark
	// is not ignored.
	listedAsLeaving     bool
	ignoreListedLeaving bool

	// announced is true once the incarnation is final.
	announced  bool
	superseded bool
	// joinPeersKnown is true once there are peers to join or the VM list was read.
	joinPeersKnown bool
	// joinStartedAt is when joinPeersKnown became true, or before that the start or
	// the end of the last pause.
	joinStartedAt time.Duration
	// joinRepliers are the peers that replied before the announcement.
	joinRepliers []anvilmodel.VMName

	// attempts are the running probe attempts of this node, and relayedProbes the
	// probes that it makes on behalf of other members.
	attempts        []*probeAttempt
	relayedProbes   []relayedProbe
	lastID          uint64
	nextProbeAt     time.Duration
	nextDeadProbeAt time.Duration
	// probeOrder is the shuffled round robin, and probePosition the index of the next
	// member in it.
	probeOrder    []*record
	probePosition int
	// deadProbePosition is the index in records of the last probed dead member.
	deadProbePosition int
	// suspectCount is the number of members with the status suspect.
	suspectCount int
	// confirmationProbes counts the confirmation probes in the current probe interval.
	confirmationProbes int

	updateQueue []*record
	// scratch is a reused buffer for selections of records.
	scratch []*record
	// cachedMembers is the result of Members; nil after a change.
	cachedMembers []anvilmodel.Member
}

// New returns a Membership without members other than the node itself.
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

// Self returns this node's own entry. Its incarnation is final once Announced returns
// true.
func (m *Membership) Self() anvilmodel.Member {
	member := m.self.Member
	switch {
	case m.superseded:
		member.Status = anvilmodel.MemberDead
	case !m.announced:
		member.Status = anvilmodel.MemberUnknown
	case m.listedAsLeaving:
		member.Status = anvilmodel.MemberLeaving
	}
	return member
}

// Announced reports whether the incarnation is final. Before that it must not be sent
// to other processes, for example in the reply to an address request.
func (m *Membership) Announced() bool {
	return m.announced
}

// Superseded reports whether a later process took over this node's name, slot or
// address. The process then has to reject new work and shut down.
func (m *Membership) Superseded() bool {
	return m.superseded
}

// Members returns all known members, this node first. The caller must not modify the
// slice; each change of the members creates a new one.
func (m *Membership) Members() []anvilmodel.Member {
	if m.cachedMembers != nil {
		return m.cachedMembers
	}
	m.cachedMembers = make([]anvilmodel.Member, 0, len(m.records)+1)
	m.cachedMembers = append(m.cachedMembers, m.Self())
	for _, r := range m.records {
		member := r.member
		member.Status = r.status()
		m.cachedMembers = append(m.cachedMembers, member)
	}
	return m.cachedMembers
}

// BySlot returns the member that occupies the slot, whatever its status. If several
// members claim the slot, it returns the one with the highest incarnation.
func (m *Membership) BySlot(slot anvilmodel.SlotName) (anvilmodel.Member, bool) {
	if slot == m.self.Member.Slot && slot != "" && !m.superseded {
		return m.Self(), true
	}
	r := m.bySlot[slot]
	if r == nil {
		return anvilmodel.Member{}, false
	}
	member := r.member
	member.Status = r.status()
	return member, true
}

// CountListed returns the number of listed members other than this node, and how many
// of them have a known incarnation.
func (m *Membership) CountListed() (known, listed int) {
	for _, r := range m.records {
		if !r.isListed {
			continue
		}
		listed++
		if r.member.Incarnation != 0 {
			known++
		}
	}
	return known, listed
}

// UpdateSelf sets the state that the node reports about itself. When the node starts
// to leave, it announces that to several members at once.
func (m *Membership) UpdateSelf(state SelfState, now time.Time, a *Actions) {
	m.advanceTime(now, a)
	member := &m.self.Member
	member.Load = state.Load
	member.RequestRate = state.RequestRate
	member.ConfigRevision = state.ConfigRevision
	member.ConfigEra = state.ConfigEra
	member.Serving = state.Serving
	member.TicketEpoch = state.TicketEpoch
	m.cachedMembers = nil
	if state.Leaving && member.Status != anvilmodel.MemberLeaving {
		member.Status = anvilmodel.MemberLeaving
		m.probeRandomMembers(announcementProbes, a)
	}
}

// liveCount returns the number of live members including this node.
func (m *Membership) liveCount() int {
	n := 1
	for _, r := range m.records {
		if r.isLive() {
			n++
		}
	}
	return n
}

// aliveCount returns the number of other members that are alive and not suspected.
func (m *Membership) aliveCount() int {
	n := 0
	for _, r := range m.records {
		if r.member.Status == anvilmodel.MemberAlive {
			n++
		}
	}
	return n
}

// retransmitLimit returns how many times each queued update is sent: 3 log2(n) times
// for n live members.
func (m *Membership) retransmitLimit() uint8 {
	return uint8(3 * max(1, bits.Len(uint(m.liveCount()-1))))
}

// addRecord creates the record of a new member.
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

// removeRecord removes a member.
func (m *Membership) removeRecord(r *record) {
	r.removed = true
	delete(m.byName, r.member.Name)
	for i, other := range m.records {
		if other == r {
			m.records = append(m.records[:i], m.records[i+1:]...)
			break
		}
	}
	m.indexSlots()
	m.cachedMembers = nil
}

// indexSlots rebuilds the index of the members by slot.
func (m *Membership) indexSlots() {
	clear(m.bySlot)
	for _, r := range m.records {
		if r.member.Slot == "" || r.member.Incarnation == 0 {
			continue
		}
		occupant := m.bySlot[r.member.Slot]
		if occupant == nil || isNewer(&r.member, &occupant.member) {
			m.bySlot[r.member.Slot] = r
		}
	}
}
