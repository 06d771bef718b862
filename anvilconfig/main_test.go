package anvilconfig_test

import (
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"

	"anvilbridge/anvilconfig"
)

// TestMain sets a fixed seed for the property tests, so that failures are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func document(name, content string) anvilconfig.Document {
	return anvilconfig.Document{
		Name:    name,
		Content: []byte(content),
	}
}

// readExample reads the base file and the overlays of an example deployment.
func readExample(tb testing.TB, deployment string) (base anvilconfig.Document, overlays []anvilconfig.Document) {
	tb.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "examples", deployment, "*.yaml"))
	if err != nil || len(paths) == 0 {
		tb.Fatalf("no documents of the example %s: %v", deployment, err)
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			tb.Fatal(err)
		}
		example := document(filepath.Base(path), string(content))
		if example.Name == anvilconfig.BaseFileName {
			base = example
		} else {
			overlays = append(overlays, example)
		}
	}
	return base, overlays
}

// mustLoad loads the documents and fails the test if they have findings.
func mustLoad(tb testing.TB, base anvilconfig.Document, overlays ...anvilconfig.Document) *anvilconfig.Configuration {
	tb.Helper()
	configuration, findings := anvilconfig.Load(base, overlays)
	if len(findings) > 0 {
		tb.Fatalf("unexpected findings:\n%v", findings)
	}
	return configuration
}

// smallBase is a valid base file.
const smallBase = `sites: [north, south]
failure-domains:
  fd-1: {region: one}
  fd-2: {}
entry-slots:
  entry-1: {failure-domain: fd-1}
services:
  portal:
    slots: 3
    connections: 30
    leafs:
      portal-00-a: {address: 10.0.0.1:7000, failure-domain: fd-1}
      portal-00-b: {address: 10.0.0.2:7000, failure-domain: fd-2}
classes:
  buyers: {mode: broad, timeout: 110ms}
  certify: {mode: broad, timeout: 500ms, priority: 40, non-idempotent: true, services: [portal]}
`

// editedBase returns smallBase with replacements, given as pairs of the old and
// the new text.
func editedBase(tb testing.TB, replacements ...string) anvilconfig.Document {
	tb.Helper()
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(smallBase, replacements[i]) {
			tb.Fatalf("smallBase does not contain %q", replacements[i])
		}
	}
	return document("base.yaml", strings.NewReplacer(replacements...).Replace(smallBase))
}

var compareAddresses = cmpopts.EquateComparable(netip.AddrPort{})
