package anvilcapacity_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"anvilbridge/anvilcapacity"
)

// TestWrite guards the form of the text that docs/CAPACITY.md quotes: sizes,
// values, line, residuals, figure, limit and verdict.
func TestWrite(t *testing.T) {
	r := anvilcapacity.Report{
		Commit:     "0123456789ab",
		GoVersion:  "go1.26",
		Processors: 4,
		Took:       1500 * time.Millisecond,
		Slopes: []anvilcapacity.Slope{{
			Name:     "state-bytes",
			What:     "one exchange",
			Kind:     anvilcapacity.KindCount,
			Unit:     "bytes",
			SizeName: "states",
			Sizes:    []float64{1, 2, 4},
			Values:   []float64{12, 14, 18},
			Fit: anvilcapacity.Fit{
				Slope:     2,
				Intercept: 10,
				RSquared:  1,
			},
			Targets: []anvilcapacity.Target{
				{What: "sent", Size: 20, Factor: 2, Unit: "bytes/s", Limit: 50, Figure: 100},
				{What: "small", Size: 4, Factor: 1, Unit: "bytes", Limit: 36, Figure: 18, Measured: true},
				{What: "rate", Size: 3, Factor: 1, Unit: "bytes/s", Figure: 6, Rate: true},
			},
		}},
		Budgets: []anvilcapacity.Budget{{
			Name:  anvilcapacity.BudgetControlSent,
			Unit:  "bytes/s",
			Limit: 50,
			Total: 100,
			Items: []anvilcapacity.BudgetItem{{Slope: "state-bytes", What: "sent", Figure: 100}},
		}},
	}
	var got bytes.Buffer
	if err := r.Write(&got); err != nil {
		t.Fatal(err)
	}
	want := `commit 0123456789ab, go1.26, 4 processors, took 1.5s

state-bytes (count): one exchange
    states   1   2   4
     bytes  12  14  18
  line: 10 +2 for each of states; R^2 1.0000, largest deviation 0.0%
  design: sent: 100 bytes/s (from the line at 20, times 2); limit 50: does not fit, 2 times the limit
  design: small: 18 bytes (measured at 4); limit 36: fits, 0.5 of the limit
  design: rate: 6 bytes/s (slope times 3)

total control bytes sent, bytes/s per node at the design size
  100  state-bytes  sent
  100  total        limit 50: does not fit, 2 times the limit
`
	if diff := cmp.Diff(want, got.String()); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
}

// TestFigure guards against figures that lose digits or turn unreadable.
func TestFigure(t *testing.T) {
	tests := map[float64]string{
		0:         "0",
		410:       "410",
		20282.93:  "20283",
		28.684:    "28.68",
		0.0210449: "0.02104",
		1.9e-06:   "1.9e-06",
		-0.5:      "-0.5000",
	}
	for value, want := range tests {
		if got := anvilcapacity.Figure(value); got != want {
			t.Errorf("Figure(%v) = %q, want %q", value, got, want)
		}
	}
}

// TestUnknownName guards against a misspelt name that measures nothing.
func TestUnknownName(t *testing.T) {
	_, err := anvilcapacity.Run(t.Context(), anvilcapacity.Config{
		Only: "nothing",
	})
	if !errorx.IsOfType(err, anvilcapacity.UnknownMeasurement) {
		t.Errorf("error %v", err)
	}
}

// BenchmarkCounts bounds the counts and virtual times that must stay within the
// limits of the design size. Those that do not fit are in docs/CAPACITY.md.
func BenchmarkCounts(b *testing.B) {
	bounded := map[string][]string{
		"membership":  {"membership-bytes"},
		"connections": {"connections-per-leaf"},
		"copy":        {"store-reads", "copy-answer-bytes"},
	}
	for name, slopes := range bounded {
		b.Run(name, func(b *testing.B) {
			var report *anvilcapacity.Report
			for b.Loop() {
				var err error
				report, err = anvilcapacity.Run(b.Context(), anvilcapacity.Config{
					Only: name,
					Seed: 1,
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			for _, s := range slopes {
				checkBound(b, report, s)
			}
		})
	}
}

func checkBound(b *testing.B, r *anvilcapacity.Report, name string) {
	b.Helper()
	for _, s := range r.Slopes {
		if s.Name != name {
			continue
		}
		t := s.Targets[0]
		b.ReportMetric(t.Figure, name)
		if v, limited := t.Verdict(); !limited || !v.Fits {
			b.Errorf("%s: %s", name, t)
		}
		return
	}
	b.Errorf("there is no slope %s", name)
}
