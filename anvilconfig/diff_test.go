package anvilconfig_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilconfig"
)

// TestDiff guards against missing and spurious changes in the audit trail.
func TestDiff(t *testing.T) {
	before := mustLoad(t, editedBase(t)).Settings("north")
	after := mustLoad(t, editedBase(t,
		"fd-2: {}", "fd-2: {state: out}",
		"10.0.0.1:7000", "10.0.0.9:7000",
		"portal-00-b", "portal-00-c",
		"timeout: 110ms", "timeout: 0.11s, services: [portal]",
		"classes:", "policy: {hedge-budget: 0.01}\nclasses:",
	)).Settings("south")
	want := []anvilconfig.Change{
		{Path: "failure-domains.fd-2.state", Old: "in", New: "out"},
		{Path: "policy.hedge-budget", Old: "0.05", New: "0.01"},
		{Path: "services.portal.leafs.portal-00-a.address", Old: "10.0.0.1:7000", New: "10.0.0.9:7000"},
		{Path: "services.portal.leafs.portal-00-b.address", Old: "10.0.0.2:7000"},
		{Path: "services.portal.leafs.portal-00-b.failure-domain", Old: "fd-2"},
		{Path: "services.portal.leafs.portal-00-c.address", New: "10.0.0.2:7000"},
		{Path: "services.portal.leafs.portal-00-c.failure-domain", New: "fd-2"},
		{Path: "site", Old: "north", New: "south"},
	}
	if diff := cmp.Diff(want, anvilconfig.Diff(before, after)); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	if changes := anvilconfig.Diff(before, before); changes != nil {
		t.Errorf("changes between identical settings: %v", changes)
	}
	added, removed := anvilconfig.Diff(nil, before), anvilconfig.Diff(before, nil)
	if len(added) != 38 || len(removed) != len(added) {
		t.Errorf("%d fields added and %d fields removed, want 38 of each", len(added), len(removed))
	}
}

// TestDigest guards against equal digests of different documents, and against
// different digests of the same documents in another order.
func TestDigest(t *testing.T) {
	a, b := document("a", "xy"), document("b", "z")
	digest := anvilconfig.Digest([]anvilconfig.Document{a, b})
	if got := anvilconfig.Digest([]anvilconfig.Document{b, a}); got != digest {
		t.Error("the order of the documents changes the digest")
	}
	zeroLength := strings.Repeat("\x00", 8)
	for _, others := range [][]anvilconfig.Document{
		{a},
		{document("a", "x"), document("b", "yz")},
		{document("ax", "y"), b},
		{document("a", "xy"+zeroLength+"b"+zeroLength+"z")},
		{document("b", "xy"), document("a", "z")},
	} {
		if anvilconfig.Digest(others) == digest {
			t.Errorf("different documents with the same digest: %v", others)
		}
	}
}
