package anvilbench_test

import (
	"fmt"
	"os"
	"testing"

	"anvilbridge/anvilbench"
)

// seed is the seed of all runs.
const seed = 1

// runs keeps the results for the tables and for the bounds.
var runs = map[string]*anvilbench.Result{}

// figures, decisions hold the results in the order of the runs.
var figures, decisions []*anvilbench.Result

func run(s anvilbench.Scenario, v anvilbench.Variant) *anvilbench.Result {
	key := s.Name + "/" + v.Name
	if runs[key] == nil {
		runs[key] = anvilbench.Run(s, v, seed)
	}
	return runs[key]
}

func report(b *testing.B, r *anvilbench.Result) {
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
					r = run(s, v)
				}
				report(b, r)
				figures = append(figures, r)
			})
		}
	}
}

// BenchmarkDecisions runs the alternatives of single decisions.
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
					r = run(scenarios[d.Scenario], v)
				}
				report(b, r)
				labelled := *r
				labelled.Variant = d.Name + ": " + v.Name
				decisions = append(decisions, &labelled)
			})
		}
	}
}

// BenchmarkBounds fails where the policy misses a stated target, one benchmark
// for each bound.
func BenchmarkBounds(b *testing.B) {
	for _, s := range anvilbench.Scenarios() {
		b.Run(s.Name, func(b *testing.B) {
			for _, bound := range anvilbench.Bounds(&s, run(s, anvilbench.Policy())) {
				b.Run(bound.Name, func(b *testing.B) {
					for b.Loop() {
						if !bound.Holds() {
							b.Fatalf("%v, the bound is %v (seed %d)", bound.Value, bound.Limit, seed)
						}
					}
				})
			}
		})
	}
}

// writeTables prints the tables that docs/measurements.md sums up.
func writeTables() {
	if len(figures) > 0 {
		fmt.Fprint(os.Stdout, "\nAll classes:\n\n")
		anvilbench.WriteStreams(os.Stdout, figures)
		fmt.Fprint(os.Stdout, "\nAll runs:\n\n")
		anvilbench.WriteRuns(os.Stdout, figures)
	}
	if len(decisions) > 0 {
		fmt.Fprint(os.Stdout, "\nDecisions:\n\n")
		anvilbench.WriteRuns(os.Stdout, decisions)
	}
}
