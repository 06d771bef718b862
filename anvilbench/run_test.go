package anvilbench_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilbench"
)

// shortScenario returns a scenario with a different length of measurement.
func shortScenario(name string, measure time.Duration) anvilbench.Scenario {
	for _, s := range anvilbench.Scenarios() {
		if s.Name == name {
			s.Measure = measure
			return s
		}
	}
	panic("unknown scenario " + name)
}

// Example simulates one second of a scenario with the policy.
func Example() {
	r := anvilbench.Run(shortScenario("sfax/steady-0.4", time.Second), anvilbench.Policy(), 1)
	broad := r.Stream("broad")
	fmt.Println("broad queries answered in time:", broad.InTime == broad.Offered)
	fmt.Println("parts from a wrong snapshot:", r.WrongParts)
	// Output:
	// broad queries answered in time: true
	// parts from a wrong snapshot: 0
}

// TestRepeatable guards against results that depend on anything but the seed,
// such as map iteration order or the wall clock.
func TestRepeatable(t *testing.T) {
	tables := func(seed uint64) string {
		var text strings.Builder
		s := shortScenario("sfax/node-lost", 1500*time.Millisecond)
		results := []*anvilbench.Result{anvilbench.Run(s, anvilbench.Policy(), seed)}
		anvilbench.WriteStreams(&text, results)
		anvilbench.WriteRuns(&text, results)
		return text.String()
	}
	if diff := cmp.Diff(tables(7), tables(7)); diff != "" {
		t.Errorf("two runs with seed 7 differ (-first +second):\n%s", diff)
	}
	if tables(7) == tables(8) {
		t.Error("seeds 7 and 8 give the same tables")
	}
}

// TestBaselines guards against baselines that behave like the policy, and against
// a simulated leaf that does not detect calls beyond its cold concurrency.
func TestBaselines(t *testing.T) {
	s := shortScenario("sfax/cold-start-0.8", 1500*time.Millisecond)
	got := map[string][4]bool{}
	for _, v := range anvilbench.Variants() {
		r := anvilbench.Run(s, v, seed)
		got[v.Name] = [4]bool{r.Hedges > 0, r.HedgesOverBudget > 0, r.ColdViolations > 0, r.LeafSheds > 0}
	}
	want := map[string][4]bool{
		"policy":        {true, false, false, false},
		"no-hedging":    {false, false, false, false},
		"fixed-hedging": {true, true, false, false},
		"no-limits":     {true, false, true, true},
		"independent":   {true, false, true, true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("hedges, hedges over budget, cold violations, sheds with seed %d (-want +got):\n%s", seed, diff)
	}
}

// TestBounds guards against a bound that ignores the value it is named after.
func TestBounds(t *testing.T) {
	s := shortScenario("sfax/shedding-1.3", time.Second)
	holds := func(r *anvilbench.Result) map[string]bool {
		held := map[string]bool{}
		for _, b := range anvilbench.Bounds(&s, r) {
			held[b.Name] = b.Holds()
		}
		return held
	}
	holdsForEmpty := holds(&anvilbench.Result{})
	for name, r := range map[string]*anvilbench.Result{
		"not-one-final-answer":         {MultipleAnswers: 1},
		"wrong-parts":                  {WrongParts: 1},
		"wrong-coverage":               {WrongCoverage: 1},
		"false-not-run":                {FalseNotRun: 1},
		"calls-to-domain-out":          {CallsToDomainOut: 1},
		"cold-violations":              {ColdViolations: 1},
		"hedges-over-budget":           {HedgesOverBudget: 1},
		"retries-over-budget":          {RetriesOverBudget: 1},
		"calls-received":               {ShardsQueried: 100, CallsReceived: 116},
		"late-at-node":                 {Streams: []*anvilbench.StreamResult{{LateAtNode: 1}}},
		"late-at-caller":               {Streams: []*anvilbench.StreamResult{{LateAtCaller: 1}}},
		"classes-refused-out-of-order": {Streams: []*anvilbench.StreamResult{{Label: "urgent", CallsSent: 1, ShedCalls: 1}}},
	} {
		if !holdsForEmpty[name] || holds(r)[name] {
			t.Errorf("bound %s: holds for an empty result: %v, holds with its violation: %v", name, holdsForEmpty[name], holds(r)[name])
		}
	}
}
