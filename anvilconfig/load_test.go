package anvilconfig_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilconfig"
)

// TestFindings guards against configuration errors that are accepted, reported at
// the wrong position, or not reported because an earlier error ends the check.
func TestFindings(t *testing.T) {
	tests := map[string]struct {
		replace  []string
		overlays map[string]string
		want     string
	}{
		"valid": {},
		"errors of every kind in one document": {
			replace: []string{
				"slots: 3", "slots: many\n    slot: 3",
				"connections: 30", "connections: 70000\n    connections: 30",
				"{region: one}", "[one]",
				"timeout: 110ms", "timeout: 110",
				"10.0.0.2:7000", "leaf.example:7000",
			},
			want: `base.yaml:3:9: failure-domains.fd-1: wrong type: list (accepted: mapping)
base.yaml:9:12: services.portal.slots: wrong type: string "many" (accepted: integer from 1 to 1024)
base.yaml:10:5: services.portal.slot: unknown key (accepted: one of cold-concurrency, cold-duration, connect-time, connections, leafs, slots)
base.yaml:11:18: services.portal.connections: value out of range: "70000" (accepted: integer from 3 to 65535)
base.yaml:12:5: services.portal.connections: repeated key, first at line 11 (accepted: each key once)
base.yaml:15:30: services.portal.leafs.portal-00-b.address: not an address and port: "leaf.example:7000" (accepted: unicast IP address and port, such as 10.1.0.7:7000 or "[fd00::7]:7000")
base.yaml:17:34: classes.buyers.timeout: wrong type: integer "110" (accepted: duration from 1ms to 1m0s, such as 250ms)`,
		},
		"coverage floor above 1": {
			replace: []string{"timeout: 110ms", "timeout: 110ms, coverage-floor: 1.01"},
			want:    `base.yaml:15:57: classes.buyers.coverage-floor: value out of range: "1.01" (accepted: number from 0 to 1)`,
		},
		"timeout not above return reserve plus round trip": {
			replace: []string{"timeout: 110ms", "timeout: 5ms"},
			want:    `base.yaml:15:34: classes.buyers.timeout: timeout 5ms does not exceed the sum of return-reserve 3ms and network-round-trip 3ms (accepted: more than 6ms)`,
		},
		"timeout not above return reserve at one site": {
			overlays: map[string]string{"south.yaml": "site: south\nclasses:\n  buyers: {return-reserve: 200ms}\n"},
			want:     `south.yaml:3:28: classes.buyers.return-reserve: timeout 110ms does not exceed the sum of return-reserve 200ms and network-round-trip 3ms at site south (accepted: more than 203ms)`,
		},
		"cold concurrency above slots and connections below slots": {
			replace: []string{"slots: 3", "slots: 31\n    cold-concurrency: 32"},
			want: `base.yaml:10:23: services.portal.cold-concurrency: cold-concurrency 32 is above slots 31 (accepted: cold-concurrency up to slots)
base.yaml:11:18: services.portal.connections: connections 30 is below slots 31 (accepted: connections of slots or more)`,
		},
		"quiet period shorter than a class timeout": {
			overlays: map[string]string{"n.yaml": "site: north\npolicy: {cold-quiet-period: 499ms}\n"},
			want:     `n.yaml:2:29: policy.cold-quiet-period: cold-quiet-period 499ms is shorter than the longest class timeout 500ms of all sites at site north (accepted: 500ms or more)`,
		},
		"quiet period shorter than a class timeout of another site": {
			overlays: map[string]string{
				"n.yaml": "site: north\npolicy: {cold-quiet-period: 1s}\n",
				"s.yaml": "site: south\nclasses: {buyers: {timeout: 2s}}\n",
			},
			want: `n.yaml:2:29: policy.cold-quiet-period: cold-quiet-period 1s is shorter than the longest class timeout 2s of all sites at site north (accepted: 2s or more)`,
		},
		"undeclared and unused failure domains": {
			replace: []string{"7000, failure-domain: fd-2", "7000, failure-domain: fd-3"},
			want: `base.yaml:4:3: failure-domains.fd-2: no leaf and no entry slot is in this failure domain (accepted: failure domains in use)
base.yaml:13:61: services.portal.leafs.portal-00-b.failure-domain: failure domain fd-3 is not declared (accepted: one of fd-1, fd-2)`,
		},
		"duplicate leaf names and addresses": {
			replace: []string{"classes:", `  desk:
    slots: 1
    connections: 3
    leafs:
      portal-00-a: {address: 10.0.0.3:7000, failure-domain: fd-1}
      desk-00: {address: "[::ffff:10.0.0.3]:7000", failure-domain: fd-1}
classes:`},
			want: `base.yaml:18:7: services.desk.leafs.portal-00-a: leaf name portal-00-a is also at base.yaml:12 (accepted: each leaf with its own name and address)
base.yaml:19:26: services.desk.leafs.desk-00.address: address 10.0.0.3:7000 is also at base.yaml:18 (accepted: each leaf with its own name and address)`,
		},
		"non-idempotent class without priority": {
			replace: []string{", priority: 40", ""},
			want:    `base.yaml:16:58: classes.certify.non-idempotent: a non-idempotent class needs a priority (accepted: integer from 1 to 100)`,
		},
		"class with an unknown service": {
			replace: []string{"services: [portal]", "services: [portal, porter]"},
			want:    `base.yaml:16:88: classes.certify.services: unknown service porter (accepted: one of portal)`,
		},
		"overlay with entries that the base file does not declare": {
			overlays: map[string]string{"n.yaml": "site: east\nservices:\n  porter: {leafs: {x: {address: 10.0.0.9:1}}}\n  portal: {leafs: {y: {}}}\nclasses:\n  crews: {}\n"},
			want: `n.yaml:1:7: site: the base file does not declare site east (accepted: one of north, south)
n.yaml:3:3: services.porter: unknown service; an overlay cannot add one (accepted: one of portal)
n.yaml:4:20: services.portal.leafs.y: unknown leaf; an overlay cannot add one (accepted: one of portal-00-a, portal-00-b)
n.yaml:6:3: classes.crews: unknown class; an overlay cannot add one (accepted: one of buyers, certify)`,
		},
		"two overlays for one site": {
			overlays: map[string]string{"a.yaml": "site: north\n", "b.yaml": "# note\nsite: north\n", "c.yaml": "policy: {}\n"},
			want: `b.yaml:2:7: site: site north already has the overlay at a.yaml:1 (accepted: one overlay for a site)
c.yaml:1:1: site: the overlay names no site (accepted: one of north, south)`,
		},
		"overlays with different values of shared fields": {
			overlays: map[string]string{
				"a.yaml": "site: north\nfailure-domains: {fd-1: {state: out}}\nservices: {portal: {leafs: {portal-00-a: {address: 10.0.0.8:1}}}}\n",
				"b.yaml": "site: south\nfailure-domains: {fd-1: {state: in}}\nservices: {portal: {leafs: {portal-00-a: {address: 10.0.0.9:1}}}}\n",
			},
			want: `b.yaml:2:33: failure-domains.fd-1.state: in contradicts out at a.yaml:2 (accepted: the same value in every overlay, because it holds for the whole deployment)
b.yaml:3:52: services.portal.leafs.portal-00-a.address: 10.0.0.9:1 contradicts 10.0.0.8:1 at a.yaml:3 (accepted: the same value in every overlay, because it holds for the whole deployment)`,
		},
		"one overlay takes every failure domain out of service": {
			overlays: map[string]string{"a.yaml": "site: north\nfailure-domains:\n  fd-2: {state: out}\n  fd-1: {state: out}\n"},
			want:     `a.yaml:4:17: failure-domains: the overlay takes out every failure domain (a.yaml:4, a.yaml:3) (accepted: one failure domain or more with state in)`,
		},
		"two overlays together take every failure domain out of service": {
			overlays: map[string]string{
				"a.yaml": "site: north\nfailure-domains: {fd-1: {state: out}}\n",
				"b.yaml": "site: south\nfailure-domains: {fd-2: {state: out}}\n",
			},
			want: `b.yaml:2:33: failure-domains: every failure domain is taken out (a.yaml:2, b.yaml:2) (accepted: one failure domain or more with state in)`,
		},
		"missing fields and sections": {
			replace: []string{"    slots: 3\n", "", "sites: [north, south]", "limits: {max-body-bytes: 010}", "{failure-domain: fd-1}", "{}"},
			want: `base.yaml:1:1: sites: the list of sites is missing (accepted: list of one or more different names)
base.yaml:1:26: limits.max-body-bytes: not in plain decimal form: "010" (accepted: integer from 1 to 67108864)
base.yaml:6:3: entry-slots.entry-1.failure-domain: the field is missing (accepted: ` + nameSyntax + `)
base.yaml:8:3: services.portal.slots: the field is missing (accepted: integer from 1 to 1024)`,
		},
		"YAML syntax errors in two documents": {
			replace:  []string{"fd-2: {}", "fd-2: {"},
			overlays: map[string]string{"a.yaml": "site: north\nfailure-domains: {a: *b}\n"},
			want: `base.yaml:6:12: ',' or '}' must be specified (accepted: YAML)
a.yaml:2:22: the alias has no anchor before it (accepted: alias of an earlier anchor)`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var overlays []anvilconfig.Document
			for name, content := range test.overlays {
				overlays = append(overlays, document(name, content))
			}
			_, findings := anvilconfig.Load(editedBase(t, test.replace...), overlays)
			if diff := cmp.Diff(strings.Split(test.want, "\n"), strings.Split(findings.Error(), "\n")); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

const nameSyntax = "name of lower-case letters, digits and hyphens that begins with a letter, at most 63 characters"

// TestLoadPublished guards against treating an overlay as the base file.
func TestLoadPublished(t *testing.T) {
	overlay := document("a.yaml", "site: south\nentry-slots: {entry-1: {failure-domain: fd-2}}\n")
	configuration, findings := anvilconfig.LoadPublished([]anvilconfig.Document{overlay, editedBase(t)})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	slot, _ := configuration.Settings("north").EntrySlot("entry-1")
	if slot.FailureDomain != "fd-2" || configuration.Settings("east") != nil {
		t.Errorf("slot %v, sites %v", slot, configuration.Sites())
	}
	_, findings = anvilconfig.LoadPublished([]anvilconfig.Document{overlay})
	want := "base.yaml:1:1: the base file is not among the documents (accepted: a document named base.yaml)"
	if findings.Error() != want {
		t.Errorf("findings %q, want %q", findings.Error(), want)
	}
}
