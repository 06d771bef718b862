package anvilcommand_test

import (
	"encoding/json"
	"testing"
)

// TestCapacityJSON guards against changed field names in the JSON output, which
// scripts parse, and against slopes that are fitted to fewer than three sizes.
func TestCapacityJSON(t *testing.T) {
	output, exitCode := run(t, "capacity --only routes --json")
	if exitCode != 0 {
		t.Fatalf("exit code %d, want 0", exitCode)
	}
	var report struct {
		GoVersion string `json:"go-version"`
		Slopes    []struct {
			Name   string    `json:"name"`
			Kind   string    `json:"kind"`
			Sizes  []float64 `json:"sizes"`
			Values []float64 `json:"values"`
			Slope  float64   `json:"slope"`
			Design []struct {
				Figure  float64 `json:"figure"`
				Verdict *struct {
					Limit float64 `json:"limit"`
					Fits  bool    `json:"fits"`
				} `json:"verdict"`
			} `json:"design"`
		} `json:"slopes"`
	}
	if err := json.Unmarshal([]byte(output), &report); err != nil {
		t.Fatal(err)
	}
	if report.GoVersion == "" || len(report.Slopes) == 0 {
		t.Fatalf("incomplete report: %+v", report)
	}
	for _, s := range report.Slopes {
		if s.Name == "" || s.Kind == "" || len(s.Sizes) < 3 || len(s.Values) != len(s.Sizes) || s.Slope == 0 || len(s.Design) == 0 {
			t.Errorf("incomplete slope: %+v", s)
		}
	}
	if v := report.Slopes[0].Design[0].Verdict; v == nil || v.Limit == 0 {
		t.Errorf("verdict %+v of slope %s, want one with a limit", v, report.Slopes[0].Name)
	}
}

// TestCapacityOfUnknownName guards against a misspelt name for which nothing is
// measured and the command succeeds.
func TestCapacityOfUnknownName(t *testing.T) {
	if _, exitCode := run(t, "capacity --only nothing"); exitCode != 1 {
		t.Errorf("exit code %d, want 1", exitCode)
	}
}
