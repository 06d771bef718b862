package anvilconfig_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// TestRender guards against a value of the wrong document, a wrong origin, and
// a default that is not shown.
func TestRender(t *testing.T) {
	overlay := document("s.yaml", `site: south
failure-domains: {fd-2: {state: out}}
services:
  portal:
    leafs: {portal-00-b: {address: "[fd00::2]:7000"}}
classes: {buyers: {timeout: 90ms}}
`)
	other := document("n.yaml", "site: north\nclasses: {buyers: {timeout: 2s}}\npolicy: {leaf-group-size: 3}\n")
	release := mustLoad(t, editedBase(t), overlay, other)
	got, err := release.Render("south")
	if err != nil {
		t.Fatal(err)
	}
	want := `sites: [south] # base.yaml:1
failure-domains:
  fd-1:
    region: one # base.yaml:3
    state: in # default
  fd-2:
    region: main # default
    state: out # s.yaml:2
entry-slots:
  entry-1:
    failure-domain: fd-1 # base.yaml:6
services:
  portal:
    slots: 3 # base.yaml:9
    connections: 30 # base.yaml:10
    cold-concurrency: 1 # default
    cold-duration: 30s # default
    connect-time: 6ms # default
    leafs:
      portal-00-a: {address: 10.0.0.1:7000, failure-domain: fd-1} # base.yaml:12
      portal-00-b: {address: "[fd00::2]:7000", failure-domain: fd-2} # address s.yaml:5, failure-domain base.yaml:13
classes:
  buyers:
    mode: broad # base.yaml:15
    priority: 20 # default
    timeout: 90ms # s.yaml:6
    coverage-floor: 1 # default
    return-reserve: 3ms # default
    non-idempotent: false # default
    services: [portal] # default
  certify:
    mode: broad # base.yaml:16
    priority: 40 # base.yaml:16
    timeout: 500ms # base.yaml:16
    coverage-floor: 1 # default
    return-reserve: 3ms # default
    non-idempotent: true # base.yaml:16
    services: [portal] # base.yaml:16
policy:
  hedge-quantile: 0.95 # default
  hedge-budget: 0.05 # default
  retry-budget: 0.1 # default
  leaf-group-size: 3 # n.yaml:3
  queue-per-slot: 4 # default
  cold-quiet-period: 2s # default
  address-lifetime: 2s # default
  network-round-trip: 3ms # default
limits:
  max-body-bytes: 1048576 # default
`
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("rendered (-want +got):\n%s", diff)
	}
	if _, err := release.Render("east"); err == nil {
		t.Error("no error for a site that the base file does not declare")
	}
}

// checkRoundTrip renders every site and loads the result as a base file.
func checkRoundTrip(tb testing.TB, release *anvilconfig.Configuration) {
	tb.Helper()
	for _, site := range release.Sites() {
		rendered, err := release.Render(site)
		if err != nil {
			tb.Fatal(err)
		}
		if len(rendered) > anvilconfig.MaxDocumentBytes {
			continue
		}
		again, findings := anvilconfig.Load(document("rendered.yaml", string(rendered)), nil)
		if len(findings) > 0 {
			tb.Fatalf("site %s does not read back:\n%v\n%s", site, findings, rendered)
		}
		if diff := cmp.Diff(release.Settings(site), again.Settings(site), compareAddresses); diff != "" {
			tb.Fatalf("site %s reads back differently (-want +got):\n%s", site, diff)
		}
	}
}

// TestReadBack guards against names and values that YAML reads as something
// else when they are written plainly, against document names that break out of
// a comment, and against lists that keep the order of the document.
func TestReadBack(t *testing.T) {
	base := editedBase(t,
		"  portal:", "  \"null\":",
		"[portal]", "[\"null\", desk]",
		"fd-1", "\"on\"",
		"sites: [north, south]", "sites: ['true']",
		"10.0.0.2:7000", "'[fd00::2]:7000'",
		"classes:", "  desk: {slots: 1, connections: 3, leafs: {y: {address: 10.0.0.3:1, failure-domain: fd-2}}}\nclasses:",
	)
	base.Name = "base\nsites: [x]"
	release := mustLoad(t, base, document("overlay\u2028", "site: \"true\"\npolicy: {hedge-budget: 0.00000001}\n"))
	checkRoundTrip(t, release)
	c, _ := release.Settings("true").Class("certify")
	if diff := cmp.Diff([]anvilmodel.ServiceName{"desk", "null"}, c.Services); diff != "" {
		t.Errorf("services of a class (-want +got):\n%s", diff)
	}
}

// TestExamples guards the example deployments: their sizes, the placement of
// the leafs of a shard, and that they render and read back.
func TestExamples(t *testing.T) {
	tests := map[string]map[anvilmodel.ServiceName]int{
		"sfax": {
			"registry-portal":     40,
			"grade-certification": 60,
			"archive-desk":        13,
			"dues-ledger":         6,
		},
		"scotland": {
			"grinding-planner": 40,
			"asset-ledger":     60,
			"depot-desk":       20,
			"crew-roster":      10,
		},
	}
	for deployment, want := range tests {
		base, overlays := readExample(t, deployment)
		release := mustLoad(t, base, overlays...)
		checkRoundTrip(t, release)
		for _, site := range release.Sites() {
			s := release.Settings(site)
			got := map[anvilmodel.ServiceName]int{}
			for _, service := range s.Services {
				got[service.Name] = len(service.Leaves)
				checkShardPlacement(t, service)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("leafs of %s (-want +got):\n%s", deployment, diff)
			}
			if len(s.FailureDomains) != 3 || len(s.EntrySlots) != 4 {
				t.Errorf("%s has %d failure domains and %d entry slots", deployment, len(s.FailureDomains), len(s.EntrySlots))
			}
		}
	}
}

// checkShardPlacement reports shards whose two leafs can fail together.
func checkShardPlacement(t *testing.T, service anvilconfig.Service) {
	t.Helper()
	domains := map[string]anvilmodel.FailureDomain{}
	for _, l := range service.Leaves {
		shard, paired := strings.CutSuffix(string(l.Name), "-a")
		if paired {
			domains[shard] = l.FailureDomain
			continue
		}
		shard, paired = strings.CutSuffix(string(l.Name), "-b")
		if paired && domains[shard] == l.FailureDomain {
			t.Errorf("both leafs of %s are in %s", shard, l.FailureDomain)
		}
	}
}
