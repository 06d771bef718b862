package anvilbench_test

import (
	"fmt"
	"os"
	"testing"

	"anvilbridge/anvilbench"
)

// seed is used for all benchmark runs.
const seed = 1

// cachedResults holds the results by scenario and variant, so that the tables and
// the bounds use the same runs.
var cachedResults = map[string]*anvilbench.Result{}

// figureResults and decisionResults hold the results for the tables, in the order
// of the runs.
var figureResults, decisionResults []*anvilbench.Result

func cachedRun(s anvilbench.Scenario, v anvilbench.Variant) *anvilbench.Result {
	key := s.Name + "/" + v.Name
	if cachedResults[key] == nil {
		cachedResults[key] = anvilbench.Run(s, v, seed)
	}
	return cachedResults[key]
}

func reportMetrics(b *testing.B, r *anvilbench.Result) {
	b.Helper()
	for _, s := range r.Streams {
		b.ReportMetric(s.Latency(99).Seconds()*1000, s.Label+"-p99-ms")
		b.ReportMetric(s.FullInTimeShare(), s.Label+"-full-in-time")
	}
	b.ReportMetric(r.ExtraLoad(), "extra-load")
	b.ReportMetric(float64(r.ColdViolations), "cold-violations")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFigures runs every scenario with the policy and its baselines.
func BenchmarkFigures(b *testing.B) {
	for _, s := range anvilbench.Scenarios() {
		for _, v := range anvilbench.Variants() {
			b.Run(s.Name+"/"+v.Name, func(b *testing.B) {
				var r *anvilbench.Result
				for b.Loop() {
					r = cachedRun(s, v)
				}
				reportMetrics(b, r)
				figureResults = append(figureResults, r)
			})
		}
	}
}

// BenchmarkDecisions runs the alternatives of each design decision.
func BenchmarkDecisions(b *testing.B) {
	scenarios := map[string]anvilbench.Scenario{}
	for _, s := range anvilbench.Scenarios() {
		scenarios[s.Name] = s
	}
	for _, d := range anvilbench.Decisions() {
		for _, v := range d.Alternatives {
			b.Run(d.Name+"/"+d.Scenario+"/"+v.Name, func(b *testing.B) {
				var r *anvilbench.Result
				for b.Loop() {
					r = cachedRun(scenarios[d.Scenario], v)
				}
				reportMetrics(b, r)
				labelled := *r
				labelled.Variant = d.Name + ": " + v.Name
				decisionResults = append(decisionResults, &labelled)
			})
		}
	}
}

// BenchmarkBounds fails if the policy misses a target. Each bound is a benchmark
// of its own.
func BenchmarkBounds(b *testing.B) {
	for _, s := range anvilbench.Scenarios() {
		b.Run(s.Name, func(b *testing.B) {
			for _, bound := range anvilbench.Bounds(&s, cachedRun(s, anvilbench.Policy())) {
				b.Run(bound.Name, func(b *testing.B) {
					for b.Loop() {
						if !bound.Holds() {
							b.Fatalf("value %v violates the bound %v (seed %d)", bound.Value, bound.Limit, seed)
						}
					}
				})
			}
		})
	}
}

// writeTables prints the tables that docs/measurements.md summarizes.
func writeTables() {
	if len(figureResults) > 0 {
		fmt.Fprint(os.Stdout, "\nAll classes:\n\n")
		anvilbench.WriteStreams(os.Stdout, figureResults)
		fmt.Fprint(os.Stdout, "\nAll runs:\n\n")
		anvilbench.WriteRuns(os.Stdout, figureResults)
	}
	if len(decisionResults) > 0 {
		fmt.Fprint(os.Stdout, "\nDecisions:\n\n")
		anvilbench.WriteRuns(os.Stdout, decisionResults)
	}
}
