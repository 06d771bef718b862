// Package anvilcapacity measures how the costs of the real packages grow with
// their sizes, and extrapolates them to the design size.
package anvilcapacity

import "slices"

// Kind says how far a figure depends on the machine.
type Kind string

// Kinds of figures.
const (
	// KindCount is a count of bytes, messages or allocations. It is the same on
	// every run, or nearly so for allocations.
	KindCount Kind = "count"
	// KindVirtualTime is a time on a simulated clock, the same on every run.
	KindVirtualTime Kind = "virtual time"
	// KindHeap is live heap after garbage collection. It repeats to about 1%.
	KindHeap Kind = "live heap"
	// KindCPU is CPU time of the process, user and system.
	KindCPU Kind = "CPU time"
)

// Slope is one cost, measured at several sizes.
type Slope struct {
	Name string
	// What says what the values are, and what is left out.
	What string
	Kind Kind
	// Unit is that of the values, SizeName what the sizes count.
	Unit     string
	SizeName string
	Sizes    []float64
	Values   []float64
	Fit      Fit
	Targets  []Target
}

// sizeList is what the slopes of a measurement have in common.
type sizeList struct {
	// name is what the sizes count.
	name string
	list []int
}

// slope returns a slope over the sizes that has no values yet.
func (z sizeList) slope(name, what string, kind Kind, unit string, targets ...Target) Slope {
	return Slope{
		Name:     name,
		What:     what,
		Kind:     kind,
		Unit:     unit,
		SizeName: z.name,
		Sizes:    floats(z.list),
		Targets:  targets,
	}
}

// Target is a figure at the design size.
type Target struct {
	// What says what the figure is.
	What string
	// Size is where the line is read, Factor what its value is multiplied by;
	// 0 means 1.
	Size   float64
	Factor float64
	// Rate takes the slope times the size, without the intercept: the cost of so
	// many operations a second.
	Rate bool
	// Unit is that of the figure and the limit.
	Unit string
	// Limit is 0 if there is none.
	Limit float64
	// Budget names the budget that the figure is part of, if any.
	Budget BudgetName
	// Measured says that Size was measured, and the figure does not rest on the
	// line.
	Measured bool
	Figure   float64
}

// finish fits the line and works out the targets.
func (s *Slope) finish() {
	s.Fit = FitLine(s.Sizes, s.Values)
	for i := range s.Targets {
		t := &s.Targets[i]
		value := s.Fit.At(t.Size)
		if t.Rate {
			value = s.Fit.Slope * t.Size
		} else if k := slices.Index(s.Sizes, t.Size); k >= 0 {
			t.Measured = true
			value = s.Values[k]
		}
		if t.Factor == 0 {
			t.Factor = 1
		}
		t.Figure = value * t.Factor
	}
}

// Verdict compares a figure with its limit.
type Verdict struct {
	Fits bool
	// Factor is the figure in multiples of the limit.
	Factor float64
}

// Verdict reports whether the figure fits; false if it has no limit.
func (t *Target) Verdict() (Verdict, bool) {
	return judge(t.Figure, t.Limit)
}

func judge(figure, limit float64) (Verdict, bool) {
	if limit == 0 {
		return Verdict{}, false
	}
	return Verdict{
		Fits:   figure <= limit,
		Factor: figure / limit,
	}, true
}
