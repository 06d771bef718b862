package anvilconfig_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// TestRender guards against values from the wrong document, wrong origins and
// missing defaults.
func TestRender(t *testing.T) {
	overlay := document("s.yaml", `site: south
failure-domains: {fd-2: {state: out}}
services:
  portal:
    leafs: {portal-00-b: {address: "[fd00::2]:7000"}}
classes: {buyers: {timeout: 90ms}}
`)
	otherOverlay := document("n.yaml", "site: north\nclasses: {buyers: {timeout: 2s}}\npolicy: {leaf-group-size: 3}\n")
	configuration := mustLoad(t, editedBase(t), overlay, otherOverlay)
	got, err := configuration.Render("south")
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
	if _, err := configuration.Render("east"); err == nil {
		t.Error("no error for a site that the base file does not declare")
	}
}

// checkRoundTrip renders every site and checks that loading the result as a base
// file yields the same settings.
func checkRoundTrip(tb testing.TB, configuration *anvilconfig.Configuration) {
	tb.Helper()
	for _, site := range configuration.Sites() {
		rendered, err := configuration.Render(site)
		if err != nil {
			tb.Fatal(err)
		}
		if len(rendered) > anvilconfig.MaxDocumentBytes {
			continue
		}
		reloaded, findings := anvilconfig.Load(document("rendered.yaml", string(rendered)), nil)
		if len(findings) > 0 {
			tb.Fatalf("rendered settings of site %s are not valid:\n%v\n%s", site, findings, rendered)
		}
		if diff := cmp.Diff(configuration.Settings(site), reloaded.Settings(site), compareAddresses); diff != "" {
			tb.Fatalf("settings of site %s after rendering and loading (-want +got):\n%s", site, diff)
		}
	}
}

// TestReadBack guards against names and values that lose their meaning in YAML
// without quotes, against document names that end the comment they are written
// in, and against lists that are not sorted.
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
	configuration := mustLoad(t, base, document("overlay\u2028", "site: \"true\"\npolicy: {hedge-budget: 0.00000001}\n"))
	checkRoundTrip(t, configuration)
	class, _ := configuration.Settings("true").Class("certify")
	if diff := cmp.Diff([]anvilmodel.ServiceName{"desk", "null"}, class.Services); diff != "" {
		t.Errorf("services of a class (-want +got):\n%s", diff)
	}
}

// TestExamples guards against example deployments of the wrong size, with both
// leaves of a shard in one failure domain, or that do not survive rendering and
// loading.
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
		configuration := mustLoad(t, base, overlays...)
		checkRoundTrip(t, configuration)
		for _, site := range configuration.Sites() {
			s := configuration.Settings(site)
			got := map[anvilmodel.ServiceName]int{}
			for _, service := range s.Services {
				got[service.Name] = len(service.Leaves)
				checkShardPlacement(t, service)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("leaves of %s (-want +got):\n%s", deployment, diff)
			}
			if len(s.FailureDomains) != 3 || len(s.EntrySlots) != 4 {
				t.Errorf("%s has %d failure domains and %d entry slots, want 3 and 4", deployment, len(s.FailureDomains), len(s.EntrySlots))
			}
		}
	}
}

// checkShardPlacement fails the test if both leaves of a shard are in the same
// failure domain.
func checkShardPlacement(t *testing.T, service anvilconfig.Service) {
	t.Helper()
	domainOfShard := map[string]anvilmodel.FailureDomain{}
	for _, l := range service.Leaves {
		shard, isReplica := strings.CutSuffix(string(l.Name), "-a")
		if isReplica {
			domainOfShard[shard] = l.FailureDomain
			continue
		}
		shard, isReplica = strings.CutSuffix(string(l.Name), "-b")
		if isReplica && domainOfShard[shard] == l.FailureDomain {
			t.Errorf("both leaves of %s are in %s", shard, l.FailureDomain)
		}
	}
}
