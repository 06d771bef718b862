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

// TestExplain guards against output that lacks the lines of another gateway or the
// lines about the leaves of the request, or that contains lines of other requests.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	first := filepath.Join(dir, "first.log")
	second := filepath.Join(dir, "second.log")
	writeLogFile(t, first, `time=2026-12-04T08:00:03Z level=info event=request request=id-1 missing=s1:target-reached:leaf-a+leaf-b
time=2026-12-04T08:00:01Z level=warn event=leaf-ejected leaf=leaf-b
time=2026-12-04T08:00:02Z level=info event=call request=id-1 leaf=leaf-a outcome=lost
time=2026-12-04T08:00:02Z level=info event=call request=id-10 leaf=leaf-c outcome=lost
`)
	writeLogFile(t, second, `time=2026-12-04T08:00:00Z level=info event=leaf-entry leaf=leaf-a
time=2026-12-04T08:00:00Z level=info event=leaf-entry leaf=leaf-c
`)
	var stdout, stderr bytes.Buffer
	if code := anvilcommand.Run([]string{"explain", "--request", "id-1", first, second}, &stdout, &stderr); code != 0 {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	want := []string{
		"time=2026-12-04T08:00:00Z level=info event=leaf-entry leaf=leaf-a",
		"time=2026-12-04T08:00:01Z level=warn event=leaf-ejected leaf=leaf-b",
		"time=2026-12-04T08:00:02Z level=info event=call request=id-1 leaf=leaf-a outcome=lost",
		"time=2026-12-04T08:00:03Z level=info event=request request=id-1 missing=s1:target-reached:leaf-a+leaf-b",
	}
	if diff := cmp.Diff(want, strings.Split(strings.TrimSpace(stdout.String()), "\n")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if code := anvilcommand.Run([]string{"explain", "--request", "id-3", first}, &stdout, &stderr); code == 0 {
		t.Error("exit code 0 for a request that no line names")
	}
}

func writeLogFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
