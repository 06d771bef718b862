package anvilcommand_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilcommand"
)

const base = `sites: [north]
failure-domains: {fd-1: {}, fd-2: {}}
entry-slots: {entry-1: {failure-domain: fd-1}}
services:
  desk: {slots: 2, connections: 35, leafs: {desk-00: {address: 10.0.0.1:7000, failure-domain: fd-2}}}
classes:
  clerks: {mode: patient, timeout: 1s}
`

// TestFileCommands guards the output and the exit codes that operators' scripts
// rely on.
func TestFileCommands(t *testing.T) {
	t.Chdir(t.TempDir())
	write(t, "base.yaml", base)
	write(t, "north.yaml", "site: north\nfailure-domains: {fd-1: {state: out}}\n")
	write(t, "bad.yaml", "site: north\npolicy: {hedge-budget: 2}\nlimits: {bytes: 1}\n")
	tests := map[string]struct {
		arguments string
		code      int
		want      string
	}{
		"check": {
			arguments: "check --base base.yaml --overlay north.yaml --site north",
			want:      "valid: sites [north]\n",
		},
		"check with findings": {
			arguments: "check --base base.yaml --overlay bad.yaml",
			code:      1,
			want: `bad.yaml:2:24: policy.hedge-budget: value out of range: "2" (accepted: number from 0 to 1)
bad.yaml:3:10: limits.bytes: unknown key (accepted: one of max-body-bytes)
`,
		},
		"check of another site": {
			arguments: "check --base base.yaml --site south",
			code:      1,
		},
		"check of a missing file": {
			arguments: "check --base nothing.yaml",
			code:      1,
		},
		"diff": {
			arguments: "diff --base base.yaml --new-base base.yaml --new-overlay north.yaml",
			want:      "failure-domains.fd-1.state: in -> out (north)\n",
		},
		"diff with findings": {
			arguments: "diff --base base.yaml --overlay bad.yaml --new-base base.yaml",
			code:      1,
		},
		"diff of another site": {
			arguments: "diff --base base.yaml --new-base base.yaml --site south",
			code:      1,
		},
		"render with findings": {
			arguments: "render --base base.yaml --overlay bad.yaml",
			code:      1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, code := run(t, test.arguments)
			if code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRenderReadsBack guards against a rendered file that differs from what it
// was rendered from.
func TestRenderReadsBack(t *testing.T) {
	t.Chdir(t.TempDir())
	write(t, "base.yaml", base)
	write(t, "north.yaml", "site: north\nfailure-domains: {fd-1: {state: out}}\n")
	rendered, code := run(t, "render --base base.yaml --overlay north.yaml")
	if code != 0 || !strings.Contains(rendered, "state: out # north.yaml:2\n") {
		t.Fatalf("exit code %d with:\n%s", code, rendered)
	}
	write(t, "rendered.yaml", rendered)
	changes, code := run(t, "diff --base base.yaml --overlay north.yaml --new-base rendered.yaml")
	if code != 0 || changes != "" {
		t.Errorf("exit code %d with changes:\n%s", code, changes)
	}
}

func run(t *testing.T, arguments string) (stdout string, code int) {
	t.Helper()
	var out, errors bytes.Buffer
	code = anvilcommand.Run(strings.Fields(arguments), &out, &errors)
	if (code == 0) != (errors.Len() == 0) {
		t.Errorf("exit code %d with error output %q", code, errors.String())
	}
	return out.String(), code
}

func write(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Clean(name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}
