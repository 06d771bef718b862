package anvilcapacity_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"anvilbridge/anvilcapacity"
)

// TestFitLine guards the slope, the intercept and the residuals on which every
// extrapolation rests.
func TestFitLine(t *testing.T) {
	tests := map[string]struct {
		sizes  []float64
		values []float64
		want   anvilcapacity.Fit
	}{
		"exact line": {
			sizes:  []float64{4, 16, 64, 256},
			values: []float64{17, 53, 197, 773},
			want: anvilcapacity.Fit{
				Slope:     3,
				Intercept: 5,
				RSquared:  1,
			},
		},
		"constant": {
			sizes:  []float64{1, 2, 3},
			values: []float64{7, 7, 7},
			want: anvilcapacity.Fit{
				Intercept: 7,
				RSquared:  1,
			},
		},
		"one value off": {
			sizes:  []float64{0, 1, 2},
			values: []float64{0, 3, 0},
			want: anvilcapacity.Fit{
				Intercept: 1,
				Deviation: 2.0 / 3,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := anvilcapacity.FitLine(test.sizes, test.values)
			if diff := cmp.Diff(test.want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("fit (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFitLineWithNoise guards against a fit that noise of 2% throws off: the
// known line must come out within 1%.
func TestFitLineWithNoise(t *testing.T) {
	const seed = 20250611
	random := rand.New(rand.NewPCG(seed, 0))
	var sizes, values []float64
	for i := range 400 {
		x := float64(i + 1)
		sizes = append(sizes, x)
		values = append(values, (40+2.5*x)*(1+0.02*random.NormFloat64()))
	}
	fit := anvilcapacity.FitLine(sizes, values)
	if got, want := fit.At(410), 40+2.5*410; math.Abs(got-want) > 0.01*want {
		t.Errorf("seed %d: %v at 410, want about %v", seed, got, want)
	}
	if fit.RSquared < 0.99 || fit.RSquared > 1 || fit.Deviation == 0 {
		t.Errorf("seed %d: R^2 %v and deviation %v of a noisy line", seed, fit.RSquared, fit.Deviation)
	}
}
