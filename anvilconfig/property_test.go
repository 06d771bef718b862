package anvilconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilbridge/anvilconfig"
)

// drawOverlay returns a random overlay that changes some fields of smallBase.
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

// TestSitesAgreeOnSharedObjects guards against sites with different values of
// shared fields: their nodes would choose different candidates for the same leaf
// and exceed its cold concurrency. It also guards against findings that depend on
// the order of the overlays.
func TestSitesAgreeOnSharedObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := document("base.yaml", smallBase)
		north, south := drawOverlay(t, "north"), drawOverlay(t, "south")
		configuration, findings := anvilconfig.Load(base, []anvilconfig.Document{north, south})
		_, reversedFindings := anvilconfig.Load(base, []anvilconfig.Document{south, north})
		if diff := cmp.Diff(findings, reversedFindings); diff != "" {
			t.Fatalf("the order of the overlays changes the findings:\n%s", diff)
		}
		if configuration == nil {
			return
		}
		northSettings, southSettings := *configuration.Settings("north"), *configuration.Settings("south")
		if diff := cmp.Diff(sharedSettings(northSettings), sharedSettings(southSettings), compareAddresses); diff != "" {
			t.Fatalf("the sites have different shared settings (-north +south):\n%s", diff)
		}
	})
}

// sharedSettings returns the settings that must be the same at all sites.
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
