package anviladdress_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmodel"
)

// newFleet returns serving members in three failure domains.
func newFleet(size int) []anvilmodel.Member {
	var members []anvilmodel.Member
	for i := range size {
		members = append(members, anvilmodel.Member{
			Name:          anvilmodel.VMName(fmt.Sprint("vm-", i)),
			FailureDomain: anvilmodel.FailureDomain(fmt.Sprint("domain-", i%3)),
			CallerAddress: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 8000+i)),
			Incarnation:   1,
			Status:        anvilmodel.MemberAlive,
			Serving:       true,
		})
	}
	return members
}

// Guards against sending all callers to one failure domain, and against including nodes of
// a failure domain that is lost.
func TestSubsetSpreadsOverDomains(t *testing.T) {
	members := newFleet(33)
	counts := make(map[anvilmodel.FailureDomain]int)
	for _, m := range anviladdress.Subset(members, 6) {
		counts[m.FailureDomain]++
	}
	want := map[anvilmodel.FailureDomain]int{
		"domain-0": 2,
		"domain-1": 2,
		"domain-2": 2,
	}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Errorf("members by failure domain (-want +got):\n%s", diff)
	}
	for i := range members {
		if members[i].FailureDomain == "domain-0" {
			members[i].Status = anvilmodel.MemberDead
		}
	}
	for _, m := range anviladdress.Subset(members, 6) {
		if m.FailureDomain == "domain-0" {
			t.Errorf("subset contains %s although its failure domain is lost", m.Name)
		}
	}
}

// Guards against nodes that choose different subsets although they have the same members.
func TestSubsetDoesNotDependOnOrder(t *testing.T) {
	members := newFleet(20)
	want := anviladdress.Subset(members, 6)
	members = append(members[7:], members[:7]...)
	if diff := cmp.Diff(want, anviladdress.Subset(members, 6), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("members of the subset (-want +got):\n%s", diff)
	}
}

// Guards against an empty subset when only suspects are left.
func TestSubsetTakesSuspectsLast(t *testing.T) {
	members := newFleet(3)
	for i := range members {
		members[i].Status = anvilmodel.MemberSuspect
	}
	if diff := cmp.Diff(3, len(anviladdress.Subset(members, 6))); diff != "" {
		t.Errorf("number of members in the subset (-want +got):\n%s", diff)
	}
}

// Guards against sending callers to small nodes while larger ones are idle.
func TestSubsetPrefersLargeNodes(t *testing.T) {
	members := newFleet(33)
	for i := range members {
		members[i].CPUCapacity = 46
	}
	for _, i := range []int{7, 12, 14, 23, 27, 31} {
		members[i].CPUCapacity = 80
	}
	for _, m := range anviladdress.Subset(members, 6) {
		if m.CPUCapacity != 80 {
			t.Errorf("subset contains %s with a capacity of %d hundredths of a core, want 80", m.Name, m.CPUCapacity)
		}
	}
}
