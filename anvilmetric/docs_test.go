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

// Guards against metrics that the operators' page does not list, or lists
// although they are gone.
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
	for _, row := range tableRows(t, "metric") {
		got = append(got, row[0]+" "+row[2])
	}
	slices.Sort(want)
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics of the code and of the page (-code +page):\n%s", diff)
	}
}

// Guards against log events and audit kinds that are missing on the page.
func TestDocumentedEvents(t *testing.T) {
	for table, source := range map[string]struct{ files, pattern string }{
		"event": {files: "../anvil*/*.go", pattern: `Str\("event", "([a-z-]+)"\)`},
		"kind":  {files: "../anvilaudit/*.go", pattern: `Kind\w+\s+Kind = "([a-z-]+)"`},
	} {
		want := sourceNames(t, source.files, regexp.MustCompile(source.pattern))
		got := []string{}
		for _, row := range tableRows(t, table) {
			got = append(got, strings.Trim(row[0], "`"))
		}
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("table %q (-code +page):\n%s", table, diff)
		}
	}
}

// sourceNames returns the matches of a pattern in Go files but tests and the
// demo, which is no part of a node.
func sourceNames(t *testing.T, glob string, pattern *regexp.Regexp) []string {
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

// tableRows returns the cells of the table whose first column has the name.
func tableRows(t *testing.T, column string) [][]string {
	t.Helper()
	page, err := os.ReadFile("../docs/observability.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := [][]string{}
	inside := false
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case cells[0] == column:
			inside = true
		case cells[0] == "":
			inside = false
		case inside && !strings.HasPrefix(cells[0], "---"):
			rows = append(rows, cells)
		}
	}
	return rows
}

// Guards against values that do not reach the Prometheus text form.
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
			t.Errorf("no line %q", line)
		}
	}
}
