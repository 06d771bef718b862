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
