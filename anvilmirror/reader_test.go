package anvilmirror_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
)

// Pattern: all nodes lose their leafs, or start together. Guards against a fleet
// in which each node reads the store for itself while none serves callers (889
// calls in place of 344 on a calm day of 26 nodes).
func TestReadersDoNotDependOnServing(t *testing.T) {
	var members []anvilmodel.Member
	for i := range 26 {
		members = append(members, anvilmodel.Member{
			Name:        anvilmodel.VMName(fmt.Sprint("vm-", i)),
			PeerAddress: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+i)),
			Status:      anvilmodel.MemberAlive,
			Revision:    5,
		})
	}
	readers := 0
	for i := range members {
		own := append([]anvilmodel.Member{members[i]}, members[:i]...)
		if anvilmirror.IsReader(append(own, members[i+1:]...), 2) {
			readers++
		}
	}
	if diff := cmp.Diff(2, readers); diff != "" {
		t.Errorf("readers of 26 nodes (-want +got):\n%s", diff)
	}
}

// fleet returns members that hold a copy.
func fleet(size int) []anvilmodel.Member {
	members := make([]anvilmodel.Member, 0, size)
	for i := range size {
		members = append(members, anvilmodel.Member{
			Name:        anvilmodel.VMName(fmt.Sprint("vm-", i)),
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(i%250 + 1)}), 7000),
			Status:      anvilmodel.MemberAlive,
			Revision:    5,
		})
	}
	return members
}

// seenBy returns the members as one of them lists them, itself first.
func seenBy(members []anvilmodel.Member, self int) []anvilmodel.Member {
	own := append([]anvilmodel.Member{members[self]}, members[:self]...)
	return append(own, members[self+1:]...)
}

// Pattern: 410 nodes follow the store through two readers. Guards against readers
// that spend more than the limit for control on the questions of all others, and
// against nodes that follow nobody.
func TestFollowersAreSpread(t *testing.T) {
	for _, c := range []struct{ nodes, depth int }{{4, 1}, {33, 1}, {100, 2}, {410, 2}} {
		members := fleet(c.nodes)
		followers := make(map[anvilmodel.VMName]int)
		roots, depth := 0, 0
		for i := range members {
			p := anvilmirror.TreePositionOf(seenBy(members, i), 2, anvilmirror.FanOut)
			depth = max(depth, p.Level)
			if p.Depth != c.depth {
				t.Errorf("%d nodes: %s takes the depth for %d, want %d", c.nodes, members[i].Name, p.Depth, c.depth)
			}
			if p.Level == 0 {
				roots++
				continue
			}
			followers[p.Sources[0].Name]++
		}
		if diff := cmp.Diff([]int{2, c.depth}, []int{roots, depth}); diff != "" {
			t.Errorf("%d nodes: readers and greatest level (-want +got):\n%s", c.nodes, diff)
		}
		for name, count := range followers {
			if count > anvilmirror.FanOut {
				t.Errorf("%d nodes: %d nodes follow %s, want %d at most", c.nodes, count, name, anvilmirror.FanOut)
			}
		}
	}
}

// Pattern: nodes are lost. Guards against followers of a lost node that have no
// other one to follow, and against circles of nodes that follow each other.
func TestFollowersOutliveTheirSource(t *testing.T) {
	members := fleet(100)
	for i := range members {
		p := anvilmirror.TreePositionOf(seenBy(members, i), 2, anvilmirror.FanOut)
		if len(p.Sources) < 2 {
			t.Errorf("%s has %d sources", members[i].Name, len(p.Sources))
		}
		if p.Level == 0 {
			continue
		}
		k := 0
		for members[k].Name != p.Sources[0].Name {
			k++
		}
		if above := anvilmirror.TreePositionOf(seenBy(members, k), 2, anvilmirror.FanOut); above.Level != p.Level-1 {
			t.Errorf("%s on level %d follows one on level %d", members[i].Name, p.Level, above.Level)
		}
	}
}
