package anvilconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"anvilbridge/anvilconfig"
)

// designLeaves is the number of leaves at the design size, which is the size of
// deployment that the system is designed for.
const designLeaves = 3_000

// designBase returns a base file of the design size. It has about 1 MB, with 4
// failure domains and 410 entry slots.
func designBase() anvilconfig.Document {
	var b strings.Builder
	b.WriteString("sites: [a, b, c, d]\nfailure-domains: {fd-0: {}, fd-1: {}, fd-2: {}, fd-3: {}}\nentry-slots:\n")
	for i := range 410 {
		fmt.Fprintf(&b, "  entry-%d: {failure-domain: fd-%d}\n", i, i%4)
	}
	b.WriteString("services:\n")
	for service := range 10 {
		fmt.Fprintf(&b, "  service-%d:\n    slots: 3\n    connections: 30\n    leafs:\n", service)
		for i := range designLeaves / 10 {
			fmt.Fprintf(&b, "      # %s\n", strings.Repeat("padding ", 30))
			fmt.Fprintf(&b, "      service-%d-%04d: {address: 10.%d.%d.%d:7000, failure-domain: fd-%d}\n",
				service, i, service, i/250, i%250, i%4)
		}
	}
	b.WriteString("classes:\n  buyers: {mode: broad, timeout: 110ms}\n")
	return document("base.yaml", b.String())
}

// BenchmarkLoad measures loading a configuration of the design size, which a node
// does on each configuration change.
func BenchmarkLoad(b *testing.B) {
	base := designBase()
	overlays := []anvilconfig.Document{
		document("a.yaml", "site: a\nfailure-domains: {fd-1: {state: out}}\n"),
		document("b.yaml", "site: b\npolicy: {hedge-budget: 0.01}\n"),
	}
	b.SetBytes(int64(len(base.Content)))
	for b.Loop() {
		mustLoad(b, base, overlays...)
	}
	b.ReportMetric(designLeaves, "leafs")
}

// BenchmarkDiff measures comparing two configurations of the design size, which a
// node does for the audit trail.
func BenchmarkDiff(b *testing.B) {
	base := designBase()
	before := mustLoad(b, base).Settings("a")
	after := mustLoad(b, base, document("a.yaml", "site: a\nfailure-domains: {fd-1: {state: out}}\n")).Settings("a")
	for b.Loop() {
		if len(anvilconfig.Diff(before, after)) != 1 {
			b.Fatal("number of changes is not 1")
		}
	}
}

// BenchmarkLeaf measures the lookup of one leaf at the design size.
func BenchmarkLeaf(b *testing.B) {
	s := mustLoad(b, designBase()).Settings("a")
	for b.Loop() {
		if _, found := s.Leaf("service-9-0123"); !found {
			b.Fatal("leaf not found")
		}
	}
}
