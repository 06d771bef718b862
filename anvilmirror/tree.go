package anvilmirror

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// FanOut is the number of nodes that replicate from one node. In a fleet of 410, whose
// tree is two levels deep, 16 followers cost a node 1.7 KB/s of the 4 KB/s that it may
// spend on control traffic (docs/CAPACITY.md).
const FanOut = 16

// withCopyByHash returns the members that have a copy, ordered by the hash of their
// names.
func withCopyByHash(members []anvilmodel.Member) []anvilmodel.Member {
	candidates := make([]anvilmodel.Member, 0, len(members))
	for _, m := range members {
		if hasCopy(m) {
			candidates = append(candidates, m)
		}
	}
	anvilmodel.SortByHash(candidates)
	return candidates
}

// rankByHash returns the number of members that come before a name in the order of the
// hashes.
func rankByHash(byHash []anvilmodel.Member, name anvilmodel.VMName) int {
	rank, _ := slices.BinarySearchFunc(byHash, name, func(m anvilmodel.Member, name anvilmodel.VMName) int {
		return anvilmodel.CompareByHash(m.Name, name)
	})
	return rank
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

// TreePositionOf returns the tree position of the first member. The roots are those given;
// if they are fewer than the number of readers, the members that follow by the hash of
// their names. Each level below has fanOut nodes for each node of the level above and is
// filled in the order of the name hashes. A node replicates from a node of the level
// above, or else from the next one of that level, or else from the roots. Nodes with
// different views of the fleet may replicate from each other for a short time; the age
// of their copies shows this.
func TreePositionOf(members []anvilmodel.Member, rootNames []anvilmodel.VMName, readers, fanOut int) TreePosition {
	if len(members) == 0 {
		return TreePosition{}
	}
	return treePosition(members[0].Name, withCopyByHash(members[1:]), rootNames, readers, fanOut)
}

// treePosition returns the position of a node among others that are ordered by hash.
func treePosition(self anvilmodel.VMName, byHash []anvilmodel.Member, rootNames []anvilmodel.VMName, readers, fanOut int) TreePosition {
	isRoot := func(m anvilmodel.Member) bool { return slices.Contains(rootNames, m.Name) }
	others := make([]anvilmodel.Member, 0, len(byHash))
	rank := 0
	selfIndex := rankByHash(byHash, self)
	for _, roots := range []bool{true, false} {
		if roots == slices.Contains(rootNames, self) {
			rank = len(others)
			for _, m := range byHash[:selfIndex] {
				if isRoot(m) == roots {
					rank++
				}
			}
		}
		for _, m := range byHash {
			if isRoot(m) == roots {
				others = append(others, m)
			}
		}
	}
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
