package anvilconfig_test

import (
	"testing"

	"anvilbridge/anvilconfig"
)

// FuzzLoad guards against input that crashes the process, and against valid
// documents that do not survive rendering and loading unchanged.
func FuzzLoad(f *testing.F) {
	f.Add(smallBase, "site: north\nfailure-domains: {fd-1: {state: out}}\n")
	f.Add(smallBase, "site: south\nservices: {portal: {slots: 2, leafs: {portal-00-a: {address: \"[::1]:9\"}}}}\n")
	f.Add(smallBase, "site: north\npolicy: {hedge-budget: 0.0000001, cold-quiet-period: 1h}\nclasses: &a {buyers: {timeout: 70ms}}\n")
	f.Add("a: &a [b, *a]\n? c\n", "- - {x: |\n  y\n")
	f.Add("\ufeffsites: [a]\r\n", "--- !t\n...\n\t\"\\u0000\"")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		oneOverlay := []anvilconfig.Document{document("overlay.yaml", overlay)}
		for _, overlays := range [][]anvilconfig.Document{nil, oneOverlay} {
			configuration, findings := anvilconfig.Load(document("base.yaml", base), overlays)
			if (configuration == nil) == (len(findings) == 0) {
				t.Fatalf("configuration %v with findings %v", configuration, findings)
			}
			if configuration != nil {
				checkRoundTrip(t, configuration)
			}
		}
	})
}
