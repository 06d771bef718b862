package anvilconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilbridge/anvilconfig"
)

// drawOverlay writes an overlay of the small base file that changes some fields.
func drawOverlay(t *rapid.T, site string) anvilconfig.Document {
	var b strings.Builder
	fmt.Fprintf(&b, "site: %s\n", site)
	if rapid.Bool().Draw(t, "state") {
		domain := rapid.SampledFrom([]string{"fd-1", "fd-2"}).Draw(t, "domain")
		state := rapid.SampledFrom([]string{"in", "out"}).Draw(t, "state")
		fmt.Fprintf(&b, "failure-domains: {%s: {state: %s}}\n", domain, state)
	}
	if rapid.Bool().Draw(t, "services") {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		port := rapid.IntRange(7000, 7002).Draw(t, "port")
		fmt.Fprintf(&b, "services: {portal: {slots: %d, leafs: {portal-00-a: {address: \"10.0.0.2:%d\"}}}}\n", slots, port)
	}
	if rapid.Bool().Draw(t, "policy") {
		budget := rapid.IntRange(0, 12).Draw(t, "budget")
		size := rapid.IntRange(1, 3).Draw(t, "size")
		fmt.Fprintf(&b, "policy: {hedge-budget: %g, leaf-group-size: %d}\n", float64(budget)/10, size)
	}
	return document(site+".yaml", b.String())
}

// TestSitesAgreeOnSharedObjects guards against two sites with different ideas
// of the leafs: their nodes would assign the same leaf to different candidates
// and exceed its cold concurrency. It also guards against a verdict that
// depends on the order in which the documents are handed over.
func TestSitesAgreeOnSharedObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := document("base.yaml", smallBase)
		north, south := drawOverlay(t, "north"), drawOverlay(t, "south")
		release, findings := anvilconfig.Load(base, []anvilconfig.Document{north, south})
		_, reversed := anvilconfig.Load(base, []anvilconfig.Document{south, north})
		if diff := cmp.Diff(findings, reversed); diff != "" {
			t.Fatalf("the order of the overlays changes the findings:\n%s", diff)
		}
		if release == nil {
			return
		}
		a, b := *release.Settings("north"), *release.Settings("south")
		if diff := cmp.Diff(sharedSettings(a), sharedSettings(b), compareAddresses); diff != "" {
			t.Fatalf("the sites disagree:\n%s", diff)
		}
	})
}

// sharedSettings returns the part of the settings that all sites must agree on.
func sharedSettings(s anvilconfig.Settings) anvilconfig.Settings {
	return anvilconfig.Settings{
		FailureDomains: s.FailureDomains,
		EntrySlots:     s.EntrySlots,
		Services:       s.Services,
		Limits:         s.Limits,
		Policy: anvilconfig.Policy{
			LeafGroupSize:   s.Policy.LeafGroupSize,
			AddressLifetime: s.Policy.AddressLifetime,
		},
	}
}
