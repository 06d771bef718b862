package anvilmirror

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// FanOut is the number of nodes that replicate from one node. In a fleet of 410, whose
// tree is two levels deep, 16 followers cost a node 1.7 KB/s of the 4 KB/s that it may
// spend on control traffic (docs/CAPACITY.md).
const FanOut = 16

// Readers returns the members, at most count, that read the platform's store on behalf
// of the fleet: the first by the hash of their names of those that are alive and have a
// copy. A member that reports no revision has not read anything. Whether a member serves
// callers does not matter, because all members may be out of service at once while
// leaves are lost. Nodes with the same view of the fleet choose the same readers without
// coordination; nodes with different views choose mostly the same ones.
func Readers(members []anvilmodel.Member, count int) []anvilmodel.Member {
	candidates := withCopyByHash(members)
	return candidates[:min(count, len(candidates))]
}

// withCopyByHash returns the members that have a copy, ordered by the hash of their
// names.
func withCopyByHash(members []anvilmodel.Member) []anvilmodel.Member {
	candidates := make([]anvilmodel.Member, 0, len(members))
	for _, m := range members {
		if hasCopy(m) {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b anvilmodel.Member) int {
		return anvilmodel.CompareByHash(a.Name, b.Name)
	})
	return candidates
}

// hasCopy reports whether a member is alive, reachable and has a copy.
func hasCopy(m anvilmodel.Member) bool {
	return m.Status == anvilmodel.MemberAlive && m.ConfigRevision > 0 && m.PeerAddress.IsValid()
}

// TreePosition is the position of a node in the replication tree.
type TreePosition struct {
	// Sources are the members to replicate from, in order of preference.
	Sources []anvilmodel.Member
	// Level is the number of hops to a reader of the store, 0 for a reader, and Depth
	// the highest level of the tree.
	Level int
	Depth int
}

// TreePositionOf returns the tree position of the first member. The readers are the
// roots. Each level below has fanOut nodes for each node of the level above and is
// filled in the order of the name hashes. A node replicates from a node of the level
// above, or else from the next one of that level, or else from the readers. Nodes with
// different views of the fleet may replicate from each other for a short time; the age
// of their copies shows this.
func TreePositionOf(members []anvilmodel.Member, readers, fanOut int) TreePosition {
	if len(members) == 0 {
		return TreePosition{}
	}
	others := withCopyByHash(members[1:])
	rank, _ := slices.BinarySearchFunc(others, members[0], func(a, b anvilmodel.Member) int {
		return anvilmodel.CompareByHash(a.Name, b.Name)
	})
	p := TreePosition{
		Depth: levelOfRank(len(others), readers, fanOut).number,
	}
	roots := others[:min(readers, len(others))]
	if rank < readers {
		p.Sources = roots
		return p
	}
	l := levelOfRank(rank, readers, fanOut)
	p.Level = l.number
	offset := rank - l.start
	for _, parent := range []int{offset, offset + 1} {
		p.addSource(others[l.parentStart+parent%l.parentWidth])
	}
	for _, m := range roots {
		p.addSource(m)
	}
	return p
}

// addSource appends a source unless it is listed already.
func (p *TreePosition) addSource(m anvilmodel.Member) {
	if !slices.ContainsFunc(p.Sources, func(source anvilmodel.Member) bool { return source.Name == m.Name }) {
		p.Sources = append(p.Sources, m)
	}
}

// level is a level of the tree.
type level struct {
	number int
	// start is the lowest rank of the level.
	start int
	// parentStart is the lowest rank of the level above, parentWidth its number of
	// nodes.
	parentStart int
	parentWidth int
}

// levelOfRank returns the level of the node with the rank.
func levelOfRank(rank, readers, fanOut int) level {
	l := level{
		parentWidth: readers,
	}
	for size := readers; rank >= l.start+size; size *= fanOut {
		l.number++
		l.parentStart = l.start
		l.parentWidth = size
		l.start += size
	}
	return l
}

// IsReader reports whether the first member reads the store: if fewer than count other
// members have a copy, or if it is alive and one of the first count by the hash of the
// names. It needs no copy of its own and need not serve callers.
func IsReader(members []anvilmodel.Member, count int) bool {
	if len(members) == 0 {
		return true
	}
	self := members[0]
	others, before := 0, 0
	for _, m := range members[1:] {
		if !hasCopy(m) {
			continue
		}
		others++
		if anvilmodel.CompareByHash(m.Name, self.Name) < 0 {
			before++
		}
	}
	return others < count || self.Status == anvilmodel.MemberAlive && before < count
}
