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

const baseFile = `sites: [north]
failure-domains: {fd-1: {}, fd-2: {}}
entry-slots: {entry-1: {failure-domain: fd-1}}
services:
  desk: {slots: 2, connections: 35, leafs: {desk-00: {address: 10.0.0.1:7000, failure-domain: fd-2}}}
classes:
  clerks: {mode: patient, timeout: 1s}
`

// TestFileCommands guards against changes of the output and the exit codes that
// operators' scripts depend on.
func TestFileCommands(t *testing.T) {
	t.Chdir(t.TempDir())
	writeFile(t, "base.yaml", baseFile)
	writeFile(t, "north.yaml", "site: north\nfailure-domains: {fd-1: {state: out}}\n")
	writeFile(t, "bad.yaml", "site: north\npolicy: {hedge-budget: 2}\nlimits: {bytes: 1}\n")
	tests := map[string]struct {
		arguments string
		exitCode  int
		want      string
	}{
		"check": {
			arguments: "check --base base.yaml --overlay north.yaml --site north",
			want:      "valid: sites [north]\n",
		},
		"check with findings": {
			arguments: "check --base base.yaml --overlay bad.yaml",
			exitCode:  1,
			want: `bad.yaml:2:24: policy.hedge-budget: value out of range: "2" (accepted: number from 0 to 1)
bad.yaml:3:10: limits.bytes: unknown key (accepted: one of max-body-bytes)
`,
		},
		"check of an unknown site": {
			arguments: "check --base base.yaml --site south",
			exitCode:  1,
		},
		"check of a missing file": {
			arguments: "check --base nothing.yaml",
			exitCode:  1,
		},
		"diff": {
			arguments: "diff --base base.yaml --new-base base.yaml --new-overlay north.yaml",
			want:      "failure-domains.fd-1.state: in -> out (north)\n",
		},
		"diff with findings": {
			arguments: "diff --base base.yaml --overlay bad.yaml --new-base base.yaml",
			exitCode:  1,
		},
		"diff of an unknown site": {
			arguments: "diff --base base.yaml --new-base base.yaml --site south",
			exitCode:  1,
		},
		"render with findings": {
			arguments: "render --base base.yaml --overlay bad.yaml",
			exitCode:  1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, exitCode := run(t, test.arguments)
			if exitCode != test.exitCode {
				t.Errorf("exit code %d, want %d", exitCode, test.exitCode)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRenderReadsBack guards against a rendered file that differs from the
// documents that it was rendered from.
func TestRenderReadsBack(t *testing.T) {
	t.Chdir(t.TempDir())
	writeFile(t, "base.yaml", baseFile)
	writeFile(t, "north.yaml", "site: north\nfailure-domains: {fd-1: {state: out}}\n")
	rendered, exitCode := run(t, "render --base base.yaml --overlay north.yaml")
	if exitCode != 0 || !strings.Contains(rendered, "state: out # north.yaml:2\n") {
		t.Fatalf("exit code %d with output:\n%s", exitCode, rendered)
	}
	writeFile(t, "rendered.yaml", rendered)
	changes, exitCode := run(t, "diff --base base.yaml --overlay north.yaml --new-base rendered.yaml")
	if exitCode != 0 || changes != "" {
		t.Errorf("exit code %d with changes:\n%s", exitCode, changes)
	}
}

// run runs a command line. It fails the test unless the command writes to standard
// error exactly if it fails.
func run(t *testing.T, arguments string) (output string, exitCode int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	exitCode = anvilcommand.Run(strings.Fields(arguments), &stdout, &stderr)
	if (exitCode == 0) != (stderr.Len() == 0) {
		t.Errorf("exit code %d with standard error %q", exitCode, stderr.String())
	}
	return stdout.String(), exitCode
}

func writeFile(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Clean(name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}
