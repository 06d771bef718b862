package anvilmetric_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmetric"
)

// Guards against metrics that are missing in the documentation, and against documented
// metrics that no longer exist.
func TestDocumentedMetrics(t *testing.T) {
	want := []string{}
	for _, d := range anvilmetric.Definitions() {
		labels := []string{}
		for _, l := range d.Labels {
			labels = append(labels, "`"+l+"`")
		}
		want = append(want, fmt.Sprintf("`anvilbridge_%s` %s", d.Name, strings.Join(labels, ", ")))
	}
	got := []string{}
	for _, row := range docsTableRows(t, "metric") {
		got = append(got, row[0]+" "+row[2])
	}
	slices.Sort(want)
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics in code and documentation differ (-code +docs):\n%s", diff)
	}
}

// Guards against log events and audit kinds that are missing in the documentation, or
// documented although they no longer exist.
func TestDocumentedEvents(t *testing.T) {
	for table, source := range map[string]struct{ files, pattern string }{
		"event": {files: "../anvil*/*.go", pattern: `Str\("event", "([a-z-]+)"\)`},
		"kind":  {files: "../anvilaudit/*.go", pattern: `Kind\w+\s+Kind = "([a-z-]+)"`},
	} {
		want := namesInSource(t, source.files, regexp.MustCompile(source.pattern))
		got := []string{}
		for _, row := range docsTableRows(t, table) {
			got = append(got, strings.Trim(row[0], "`"))
		}
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("documentation table %q differs (-code +docs):\n%s", table, diff)
		}
	}
}

// namesInSource returns the names that a pattern captures in Go files. Tests are
// skipped, and so is the demo, which is not part of a node.
func namesInSource(t *testing.T, glob string, pattern *regexp.Regexp) []string {
	t.Helper()
	files, err := filepath.Glob(glob)
	if err != nil {
		t.Fatal(err)
	}
	names := []string{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") || strings.Contains(file, "anvildemo") {
			continue
		}
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range pattern.FindAllSubmatch(content, -1) {
			names = append(names, string(match[1]))
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// docsTableRows returns the cells of the documentation tables whose first column is
// headed by the given name.
func docsTableRows(t *testing.T, column string) [][]string {
	t.Helper()
	page, err := os.ReadFile("../docs/observability.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := [][]string{}
	inTable := false
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case cells[0] == column:
			inTable = true
		case cells[0] == "":
			inTable = false
		case inTable && !strings.HasPrefix(cells[0], "---"):
			rows = append(rows, cells)
		}
	}
	return rows
}

// Guards against recorded values that are missing in the Prometheus text format.
func TestExportedNames(t *testing.T) {
	metrics := anvilmetric.New(anvilmetric.Config{
		OnError: func(err error) { t.Error(err) },
	})
	metrics.Add(anvilmetric.Queries, 3, "buyers", "answer")
	metrics.Set(anvilmetric.ConfigRevision, 7)
	metrics.ObserveRatio(anvilmetric.QueryCoverage, 0.5, "buyers")
	if err := metrics.Close(); err != nil {
		t.Fatal(err)
	}
	text := scrape(t, metrics)
	for _, line := range []string{
		`anvilbridge_queries_total{class="buyers",outcome="answer"} 3`,
		`anvilbridge_config_revision 7`,
		`anvilbridge_query_coverage_ratio_bucket{class="buyers",le="0.5"} 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("exported metrics contain no line %q", line)
		}
	}
}
