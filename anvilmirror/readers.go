package anvilmirror

import (
	"cmp"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// maxTrialNodes bounds the nodes that try to read the store in one round while readers
	// are missing. With a third of the store's callers turned away, 32 nodes include one
	// that it serves.
	maxTrialNodes = 32
	// trialInterval is the time between two such rounds. It is longer than a read of a healthy
	// store and the time in which its success reaches the other nodes.
	trialInterval = 500 * time.Millisecond
	// recentLossTime is how long the loss of the store by a node is passed on, and how long
	// the node is no root of the replication tree if there are others.
	recentLossTime = 5 * time.Second
	// unreachableTime is how long other nodes are preferred to one that did not answer.
	unreachableTime = 3 * time.Second
	// readRetention is how long the reads of a node are kept after its latest one.
	readRetention = time.Minute
	// maxPassedReads bounds the reads in a message to another node.
	maxPassedReads = 6
)

// StoreRead describes a node's latest reads of the store. Nodes pass it on to each other.
// Ages are relative to the message, so that clocks need not agree.
type StoreRead struct {
	Node anvilmodel.VMName
	// SuccessAge is the time since the last successful read; negative if there was none.
	SuccessAge time.Duration
	// Lost is set if the store has stopped answering the node since then, and LossAge is the
	// time since the node noticed it.
	Lost    bool
	LossAge time.Duration
}

// readerState is what is known of a node's reads. Times are zero if there was no such event.
type readerState struct {
	succeededAt time.Time
	lostAt      time.Time
	// unreachableAt is when the node last failed to answer this node.
	unreachableAt time.Time
}

func (s *readerState) lost() bool {
	return s.lostAt.After(s.succeededAt)
}

// active reports whether the node has read the store within the lifetime of a read, and has
// neither lost the store nor become unreachable since.
func (s *readerState) active(now time.Time, lifetime time.Duration) bool {
	return !s.succeededAt.IsZero() && now.Sub(s.succeededAt) < lifetime && !s.lost() && !s.unreachableAt.After(s.succeededAt)
}

// ReaderTable decides which nodes read the store on behalf of the fleet, by what is known of
// the nodes' reads. It is not safe for concurrent use.
//
// The readers are the first nodes by the hash of their names that the store answers. While
// fewer than wanted are known, the nodes that follow in this order try to read the store, in
// rounds of growing size. A store that turns the readers away is thus read again within a
// few rounds, and one that answers nobody gets few calls. Whether a node serves callers does
// not matter, because all may be out of service at once while leaves are lost.
type ReaderTable struct {
	config ReaderConfig
	// members are those of the last call of Role, byHash those of them that have a copy,
	// without the first, in the order of the hashes, and byName all of them.
	members []anvilmodel.Member
	byHash  []anvilmodel.Member
	byName  map[anvilmodel.VMName]anvilmodel.Member
	states  map[anvilmodel.VMName]*readerState
	// shortSince is since when fewer other readers are known than wanted; zero while there are
	// enough.
	shortSince time.Time
}

// ReaderConfig configures a ReaderTable. All fields are required.
type ReaderConfig struct {
	// Count is the number of readers, and FanOut the number of nodes that replicate from one.
	Count  int
	FanOut int
	// Lifetime returns how long a read counts: the time in which the reads of a reader reach
	// all nodes of a replication tree of the depth.
	Lifetime func(depth int) time.Duration
}

// NewReaderTable returns an empty table.
func NewReaderTable(c ReaderConfig) *ReaderTable {
	return &ReaderTable{
		config: c,
		states: make(map[anvilmodel.VMName]*readerState),
	}
}

func (t *ReaderTable) state(node anvilmodel.VMName) *readerState {
	s := t.states[node]
	if s == nil {
		s = &readerState{}
		t.states[node] = s
	}
	return s
}

// RecordSuccess records that a node has read the store.
func (t *ReaderTable) RecordSuccess(node anvilmodel.VMName, now time.Time) {
	t.state(node).succeededAt = now
}

// RecordLoss records that the store does not answer a node.
func (t *ReaderTable) RecordLoss(node anvilmodel.VMName, now time.Time) {
	t.state(node).lostAt = now
}

// RecordUnreachable records that a node did not answer this node.
func (t *ReaderTable) RecordUnreachable(node anvilmodel.VMName, now time.Time) {
	t.state(node).unreachableAt = now
}

// IsUnreachable reports whether a node has recently failed to answer this node.
func (t *ReaderTable) IsUnreachable(node anvilmodel.VMName, now time.Time) bool {
	s := t.states[node]
	return s != nil && !s.unreachableAt.IsZero() && now.Sub(s.unreachableAt) < unreachableTime
}

// Merge records what another node passed on.
func (t *ReaderTable) Merge(reads []StoreRead, now time.Time) {
	for _, r := range reads {
		s := t.state(r.Node)
		succeededAt := time.Time{}
		if r.SuccessAge >= 0 {
			succeededAt = now.Add(-r.SuccessAge)
		}
		lostAt := now.Add(-max(r.LossAge, 0))
		if r.Lost && lostAt.After(s.lostAt) && lostAt.After(s.succeededAt) {
			// The message of a loss also holds the exact time of the last success.
			s.lostAt = lostAt
			s.succeededAt = succeededAt
		}
		if succeededAt.After(s.succeededAt) {
			s.succeededAt = succeededAt
		}
	}
}

// Reads returns what to pass on to another node: the reads of the nodes that read the store,
// and the recent losses, the latest first.
func (t *ReaderTable) Reads(readers []anvilmodel.VMName, now time.Time) []StoreRead {
	var passed []StoreRead
	for _, name := range readers {
		passed = append(passed, t.read(name, now))
	}
	var lost []StoreRead
	for name, s := range t.states {
		if s.lost() && now.Sub(s.lostAt) < recentLossTime {
			lost = append(lost, t.read(name, now))
		}
	}
	slices.SortFunc(lost, func(a, b StoreRead) int {
		return cmp.Or(cmp.Compare(a.LossAge, b.LossAge), cmp.Compare(a.Node, b.Node))
	})
	passed = append(passed, lost...)
	return passed[:min(len(passed), maxPassedReads)]
}

func (t *ReaderTable) read(node anvilmodel.VMName, now time.Time) StoreRead {
	r := StoreRead{
		Node:       node,
		SuccessAge: -1,
	}
	s := t.state(node)
	if !s.succeededAt.IsZero() {
		r.SuccessAge = now.Sub(s.succeededAt)
	}
	if s.lost() {
		r.Lost = true
		r.LossAge = now.Sub(s.lostAt)
	}
	return r
}

// Outage returns since when no node is known to have read the store. ok is false unless a
// node has lost the store since: nodes that merely became unreachable are no evidence of an
// outage.
func (t *ReaderTable) Outage() (since time.Time, ok bool) {
	var lostAt time.Time
	for _, s := range t.states {
		if s.succeededAt.After(since) {
			since = s.succeededAt
		}
		if s.lostAt.After(lostAt) {
			lostAt = s.lostAt
		}
	}
	return since, lostAt.After(since)
}

// ReaderRole is the role of a node at a moment.
type ReaderRole struct {
	// Readers are the members that read the store, at most the wanted number, the first by
	// the hash of their names.
	Readers []anvilmodel.VMName
	// Roots are the members from which the fleet replicates: the readers, and others as long
	// as there are too few.
	Roots []anvilmodel.VMName
	// Position is the position in the replication tree.
	Position TreePosition
	// Reads is set if this node reads the store or has to try, and Active if the store has
	// answered it lately. If Permanent is set, it has to try again soon after each failure.
	Reads     bool
	Active    bool
	Permanent bool
	// NextTrialAt is when this node has to try to read the store; zero if it has not.
	NextTrialAt time.Time
}

// Role returns the role of the first member. A member that is not settled has not yet had the
// time to learn which others read the store, and does not stand in for them.
func (t *ReaderTable) Role(members []anvilmodel.Member, settled bool, now time.Time) ReaderRole {
	if len(members) == 0 {
		return ReaderRole{
			Reads:     true,
			Active:    true,
			Permanent: true,
		}
	}
	t.setMembers(members, now)
	self := members[0]
	isCandidate := self.Status == anvilmodel.MemberAlive
	rank := rankByHash(t.byHash, self.Name)
	lifetime := t.config.Lifetime(max(levelOfRank(len(t.byHash), t.config.Count, t.config.FanOut).number, 1))
	var role ReaderRole
	if s := t.states[self.Name]; s != nil {
		role.Active = s.active(now, lifetime)
	}
	others := t.activeOthers(lifetime, now)
	before, _ := slices.BinarySearchFunc(others, self.Name, anvilmodel.CompareByHash)
	role.Readers = slices.Clone(others)
	if role.Active && isCandidate {
		role.Readers = slices.Insert(role.Readers, before, self.Name)
	}
	role.Readers = role.Readers[:min(t.config.Count, len(role.Readers))]
	role.Roots = t.roots(role.Readers, now)
	role.Position = treePosition(self.Name, t.withRoots(role.Roots), role.Roots, t.config.Count, t.config.FanOut)
	if len(others) >= t.config.Count || !settled {
		t.shortSince = time.Time{}
	} else if t.shortSince.IsZero() {
		t.shortSince = now
	}
	switch {
	case len(t.byHash) < t.config.Count:
		role.Reads = true
		role.Permanent = true
	case !isCandidate || before >= t.config.Count:
	case rank < t.config.Count:
		role.Reads = true
		role.Permanent = true
	case role.Active:
		role.Reads = true
	case !t.shortSince.IsZero():
		role.NextTrialAt = t.shortSince.Add(time.Duration(trialRound(rank, t.config.Count)) * trialInterval)
		role.Reads = !now.Before(role.NextTrialAt)
	}
	return role
}

// setMembers updates what depends on the members only.
func (t *ReaderTable) setMembers(members []anvilmodel.Member, now time.Time) {
	if len(t.members) == len(members) && &t.members[0] == &members[0] {
		return
	}
	t.members = members
	t.byHash = withCopyByHash(members[1:])
	t.byName = make(map[anvilmodel.VMName]anvilmodel.Member, len(members))
	for _, m := range members {
		t.byName[m.Name] = m
	}
	t.prune(now)
}

// activeOthers returns the names of the other nodes that read the store, in the order of the
// hashes. In a large fleet a node learns of reads before it knows all members and their
// copies, so only members that are known to be out of use do not count.
func (t *ReaderTable) activeOthers(lifetime time.Duration, now time.Time) []anvilmodel.VMName {
	var names []anvilmodel.VMName
	for name, s := range t.states {
		m, known := t.byName[name]
		outOfUse := known && m.Status != anvilmodel.MemberAlive && m.Status != anvilmodel.MemberUnknown
		if name != t.members[0].Name && !outOfUse && s.active(now, lifetime) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, anvilmodel.CompareByHash)
	return names
}

// withRoots returns the members that have a copy, those of the roots included that are not
// known to have one.
func (t *ReaderTable) withRoots(roots []anvilmodel.VMName) []anvilmodel.Member {
	candidates := t.byHash
	for _, name := range roots {
		m, known := t.byName[name]
		if !known || name == t.members[0].Name || hasCopy(m) || m.Status != anvilmodel.MemberAlive || !m.PeerAddress.IsValid() {
			continue
		}
		candidates = slices.Insert(slices.Clone(candidates), rankByHash(candidates, name), m)
	}
	return candidates
}

// roots returns the readers, and in addition the first of the other members that have not
// failed lately.
func (t *ReaderTable) roots(readers []anvilmodel.VMName, now time.Time) []anvilmodel.VMName {
	roots := slices.Clone(readers)
	for _, m := range t.byHash {
		if len(roots) >= t.config.Count {
			break
		}
		s := t.states[m.Name]
		failed := s != nil && (s.lost() && now.Sub(s.lostAt) < recentLossTime || t.IsUnreachable(m.Name, now))
		if !failed && !slices.Contains(roots, m.Name) {
			roots = append(roots, m.Name)
		}
	}
	return roots
}

// trialRound returns the round in which the node with the rank tries to read the store. Each
// round has twice the nodes of the one before, but at most maxTrialNodes.
func trialRound(rank, count int) int {
	round := 0
	size := 2 * count
	for start := count; rank >= start+size; round++ {
		start += size
		size = min(2*size, maxTrialNodes)
	}
	return round
}

// prune drops the reads of nodes that have not read the store for long.
func (t *ReaderTable) prune(now time.Time) {
	if len(t.states) <= len(t.members) {
		return
	}
	for name, s := range t.states {
		latest := s.succeededAt
		for _, at := range []time.Time{s.lostAt, s.unreachableAt} {
			if at.After(latest) {
				latest = at
			}
		}
		if now.Sub(latest) > readRetention {
			delete(t.states, name)
		}
	}
}
