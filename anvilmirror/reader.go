package anvilmirror

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// FanOut is the number of nodes that follow one node's copy. In a fleet of 410, which
// is then two levels deep, 16 followers cost a node 1.7 KB/s of the 4 KB/s that it may
// spend on control (docs/CAPACITY.md).
const FanOut = 16

// Readers returns the members, at most count, that read the platform's store for
// all: the first of those alive by the hash of their names. A member that states
// no revision has not read anything; whether it serves callers does not matter,
// because all may be out of service at once while leafs are lost. Nodes with the
// same view agree without exchanging anything; those with different views agree on
// most.
func Readers(members []anvilmodel.Member, count int) []anvilmodel.Member {
	usable := ranked(members)
	return usable[:min(count, len(usable))]
}

// ranked returns the members that hold a copy, by the hash of their names.
func ranked(members []anvilmodel.Member) []anvilmodel.Member {
	usable := make([]anvilmodel.Member, 0, len(members))
	for _, m := range members {
		if isUsable(m) {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(a, b anvilmodel.Member) int {
		return anvilmodel.CompareByHash(a.Name, b.Name)
	})
	return usable
}

// isUsable reports whether a member holds a copy.
func isUsable(m anvilmodel.Member) bool {
	return m.Status == anvilmodel.MemberAlive && m.Revision > 0 && m.PeerAddress.IsValid()
}

// TreePosition is where a node stands in the tree on which the copy is passed on.
type TreePosition struct {
	// Sources are the members to follow, in the order of use.
	Sources []anvilmodel.Member
	// Level is the number of steps to the store's readers, 0 for a reader, and Depth
	// the greatest level of the fleet.
	Level int
	Depth int
}

// TreePositionOf returns the place of the first member. The readers are the roots; below
// them each level has fanOut nodes for each of the level above, filled in the order
// of the hashes. A node follows one of the level above, then that one's neighbour,
// then the readers. Nodes with different views may follow each other for a moment;
// the age of the copy shows it.
func TreePositionOf(members []anvilmodel.Member, readers, fanOut int) TreePosition {
	if len(members) == 0 {
		return TreePosition{}
	}
	others := ranked(members[1:])
	rank, _ := slices.BinarySearchFunc(others, members[0], func(a, b anvilmodel.Member) int {
		return anvilmodel.CompareByHash(a.Name, b.Name)
	})
	p := TreePosition{
		Depth: newLevel(len(others), readers, fanOut).number,
	}
	roots := others[:min(readers, len(others))]
	if rank < readers {
		p.Sources = roots
		return p
	}
	l := newLevel(rank, readers, fanOut)
	p.Level = l.number
	position := rank - l.start
	for _, k := range []int{position, position + 1} {
		p.add(others[l.above+k%l.width])
	}
	for _, m := range roots {
		p.add(m)
	}
	return p
}

func (p *TreePosition) add(m anvilmodel.Member) {
	if !slices.ContainsFunc(p.Sources, func(x anvilmodel.Member) bool { return x.Name == m.Name }) {
		p.Sources = append(p.Sources, m)
	}
}

// level is one level of the tree: its number, its first rank, and the first rank
// and the width of the level above.
type level struct {
	number int
	start  int
	above  int
	width  int
}

// newLevel returns the level of a rank.
func newLevel(rank, readers, fanOut int) level {
	l := level{
		width: readers,
	}
	for size := readers; rank >= l.start+size; size *= fanOut {
		l.number++
		l.above = l.start
		l.width = size
		l.start += size
	}
	return l
}

// IsReader reports whether the first member is one of the readers. It is while
// too few others are usable, and while it is not in service itself.
func IsReader(members []anvilmodel.Member, count int) bool {
	if len(members) == 0 {
		return true
	}
	self := members[0]
	others, before := 0, 0
	for _, m := range members[1:] {
		if !isUsable(m) {
			continue
		}
		others++
		if anvilmodel.CompareByHash(m.Name, self.Name) < 0 {
			before++
		}
	}
	return others < count || self.Status == anvilmodel.MemberAlive && before < count
}
