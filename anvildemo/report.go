package anvildemo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// report prints the results of the phases and the checked invariants.
type report struct {
	output io.Writer

	mu     sync.Mutex
	checks []checkResult
}

type checkResult struct {
	name   string
	ok     bool
	detail string
}

func newReport(output io.Writer) *report {
	return &report{
		output: output,
	}
}

// printPhase prints the table of one phase, with a row for each class.
func (r *report) printPhase(name string, results map[anvilmodel.ClassName]*classResult, before, after anvilquery.Counters) {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls := after.Calls - before.Calls
	hedges := after.HedgesSent - before.HedgesSent
	retries := after.Retries - before.Retries
	extraLoad := 0.0
	if calls > 0 {
		extraLoad = float64(hedges+retries) / float64(calls)
	}
	_, _ = fmt.Fprintf(r.output, "\n%s: %d leaf calls, %d hedges (%d won), %d retries, %.1f%% extra upstream load\n",
		name, calls, hedges, after.HedgesWon-before.HedgesWon, retries, 100*extraLoad)
	t := tabwriter.NewWriter(r.output, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  class\tanswers\tp50\tp99\tcoverage\trefused\tlate\tfailed")
	for _, c := range classLoads() {
		result := results[c.name]
		result.mu.Lock()
		coverage := 0.0
		if result.totalShards > 0 {
			coverage = float64(result.coveredShards) / float64(result.totalShards)
		}
		_, _ = fmt.Fprintf(t, "  %s\t%d\t%s\t%s\t%.2f%%\t%d\t%d\t%d\n", c.name, result.answered,
			latencyQuantile(result, 50), latencyQuantile(result, 99), 100*coverage, result.refused, result.late, result.failed)
		result.mu.Unlock()
	}
	_ = t.Flush()
}

func latencyQuantile(r *classResult, percent float64) time.Duration {
	microseconds := r.latency.ValueAtQuantile(percent)
	return (time.Duration(microseconds) * time.Microsecond).Round(100 * time.Microsecond)
}

func (r *report) addCheck(name string, ok bool, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks = append(r.checks, checkResult{
		name:   name,
		ok:     ok,
		detail: detail,
	})
}

func (r *report) addFailure(name, detail string) {
	r.addCheck(name, false, detail)
}

// finish prints the invariants and returns the number of violated ones.
func (r *report) finish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.output, "\ninvariants:")
	violated := 0
	for _, c := range r.checks {
		verdict := "held  "
		if !c.ok {
			verdict = "BROKEN"
			violated++
		}
		_, _ = fmt.Fprintf(r.output, "  %s  %s: %s\n", verdict, c.name, c.detail)
	}
	return violated
}
