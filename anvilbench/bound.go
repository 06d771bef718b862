package anvilbench

import (
	"time"

	"anvilbridge/anvilquery"
)

// Targets that the users and the design state.
const (
	broadTarget  = 110 * time.Millisecond
	urgentTarget = 60 * time.Millisecond
	// answeredTarget is the share of queries answered within the target.
	answeredTarget = 0.99
)

// Bound is a stated target and the figure that a run reached.
type Bound struct {
	Name string
	// Value must not be over Limit, or not under it if IsMinimum is set.
	Value     float64
	Limit     float64
	IsMinimum bool
}

// Holds reports whether the target was reached.
func (b Bound) Holds() bool {
	if b.IsMinimum {
		return b.Value >= b.Limit
	}
	return b.Value <= b.Limit
}

// Bounds returns the bounds of a scenario with the figures of a run of the
// policy.
func Bounds(s *Scenario, r *Result) []Bound {
	bounds := append(invariantBounds(s, r), loadBounds(r)...)
	urgent := r.Stream("urgent")
	bounds = append(bounds,
		most("urgent-p99-ms", milliseconds(urgent.Latency(99)), milliseconds(urgentTarget)),
		least("urgent-in-time", urgent.InTimeShare(), answeredTarget),
	)
	if s.Load > 1 {
		bounds = append(bounds, classOrder(r))
	}
	if s.Overload {
		return bounds
	}
	broad := r.Stream("broad")
	bounds = append(bounds,
		most("broad-p99-ms", milliseconds(broad.Latency(99)), milliseconds(broadTarget)),
		least("broad-in-time", broad.InTimeShare(), answeredTarget),
	)
	if s.Faults == nil && s.Load < fullLoad {
		bounds = append(bounds, least("broad-full-in-time", broad.FullInTimeShare(), answeredTarget))
	}
	return bounds
}

// invariantBounds returns the counts that must be 0.
func invariantBounds(s *Scenario, r *Result) []Bound {
	lateAtNode, lateAtCaller := 0, 0
	for _, k := range r.Streams {
		lateAtNode += k.LateAtNode
		lateAtCaller += k.LateAtCaller
	}
	bounds := []Bound{
		none("late-at-node", lateAtNode),
		none("late-at-caller", lateAtCaller),
		none("not-one-final-answer", r.Unfinished+r.MultipleAnswers),
		none("wrong-parts", r.WrongParts),
		none("wrong-coverage", r.WrongCoverage),
		none("false-not-run", r.FalseNotRun),
		none("calls-to-domain-out", r.CallsToDomainOut),
	}
	if !s.SilentCacheLoss {
		bounds = append(bounds, none("cold-violations", r.ColdViolations))
	}
	return bounds
}

// loadBounds returns the bounds on extra calls. Moves to a leaf that still holds
// the snapshot are free of the retry budget, but not of the whole.
func loadBounds(r *Result) []Bound {
	whole := 1 + anvilquery.DefaultHedgeBudget + anvilquery.DefaultRetryBudget
	return []Bound{
		none("hedges-over-budget", r.HedgesOverBudget),
		most("retries-over-budget", float64(r.RetriesOverBudget), float64(r.Counters.Moves)),
		most("calls-received", float64(r.CallsReceived), whole*float64(r.ShardsQueried)+r.BurstAllowance),
	}
}

// classOrder says in how many of two pairs of classes the higher one was refused
// a larger share of its calls.
func classOrder(r *Result) Bound {
	urgent, broad, patient := r.Stream("urgent"), r.Stream("broad"), r.Stream("patient")
	wrong := 0
	if broad.ShedShare() > patient.ShedShare() {
		wrong++
	}
	if urgent.ShedShare() > broad.ShedShare() {
		wrong++
	}
	return none("classes-refused-out-of-order", wrong)
}

func none(name string, count int) Bound {
	return most(name, float64(count), 0)
}

func most(name string, value, limit float64) Bound {
	return Bound{
		Name:  name,
		Value: value,
		Limit: limit,
	}
}

func least(name string, value, limit float64) Bound {
	return Bound{
		Name:      name,
		Value:     value,
		Limit:     limit,
		IsMinimum: true,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
