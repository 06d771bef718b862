package anvilbench

import (
	"time"

	"anvilbridge/anvilquery"
)

// Targets that the users and the design state.
const (
	broadLatencyTarget  = 110 * time.Millisecond
	urgentLatencyTarget = 60 * time.Millisecond
	// inTimeTarget is the minimum share of queries answered in time.
	inTimeTarget = 0.99
)

// Bound is a target and the value that a run reached.
type Bound struct {
	Name string
	// Value must not exceed Limit. If IsMinimum is set, it must not be below Limit.
	Value     float64
	Limit     float64
	IsMinimum bool
}

// Holds reports whether the value is within the bound.
func (b Bound) Holds() bool {
	if b.IsMinimum {
		return b.Value >= b.Limit
	}
	return b.Value <= b.Limit
}

// Bounds returns the bounds that apply to a scenario, with the values from a run
// of the policy.
func Bounds(s *Scenario, r *Result) []Bound {
	bounds := append(invariantBounds(s, r), loadBounds(r)...)
	urgent := r.Stream("urgent")
	bounds = append(bounds,
		atMost("urgent-p99-ms", milliseconds(urgent.Latency(99)), milliseconds(urgentLatencyTarget)),
		atLeast("urgent-in-time", urgent.InTimeShare(), inTimeTarget),
	)
	if s.Load > 1 {
		bounds = append(bounds, shedOrderBound(r))
	}
	if s.Overload {
		return bounds
	}
	broad := r.Stream("broad")
	bounds = append(bounds,
		atMost("broad-p99-ms", milliseconds(broad.Latency(99)), milliseconds(broadLatencyTarget)),
		atLeast("broad-in-time", broad.InTimeShare(), inTimeTarget),
	)
	if s.Faults == nil && s.Load < highLoad {
		bounds = append(bounds, atLeast("broad-full-in-time", broad.FullInTimeShare(), inTimeTarget))
	}
	return bounds
}

// invariantBounds returns the counts that must be 0.
func invariantBounds(s *Scenario, r *Result) []Bound {
	lateAtNode, lateAtCaller := 0, 0
	for _, stream := range r.Streams {
		lateAtNode += stream.LateAtNode
		lateAtCaller += stream.LateAtCaller
	}
	bounds := []Bound{
		mustBeZero("late-at-node", lateAtNode),
		mustBeZero("late-at-caller", lateAtCaller),
		mustBeZero("not-one-final-answer", r.Unfinished+r.MultipleAnswers),
		mustBeZero("wrong-parts", r.WrongParts),
		mustBeZero("wrong-coverage", r.WrongCoverage),
		mustBeZero("false-not-run", r.FalseNotRun),
		mustBeZero("calls-to-domain-out", r.CallsToDomainOut),
	}
	if !s.SilentCacheLoss {
		bounds = append(bounds, mustBeZero("cold-violations", r.ColdViolations))
	}
	return bounds
}

// loadBounds returns the bounds on additional calls. Calls repeated at a leaf that
// still holds the snapshot (Reroutes) are exempt from the retry budget, but count
// towards the limit on all calls received.
func loadBounds(r *Result) []Bound {
	maxCallsPerShard := 1 + anvilquery.DefaultHedgeBudget + anvilquery.DefaultRetryBudget
	return []Bound{
		mustBeZero("hedges-over-budget", r.HedgesOverBudget),
		atMost("retries-over-budget", float64(r.RetriesOverBudget), float64(r.Counters.Reroutes)),
		atMost("calls-received", float64(r.CallsReceived), maxCallsPerShard*float64(r.ShardsQueried)+r.BurstAllowance),
	}
}

// shedOrderBound compares two pairs of classes. It counts the pairs in which the
// class of higher priority had a larger share of its calls refused.
func shedOrderBound(r *Result) Bound {
	urgent, broad, patient := r.Stream("urgent"), r.Stream("broad"), r.Stream("patient")
	violations := 0
	if broad.ShedShare() > patient.ShedShare() {
		violations++
	}
	if urgent.ShedShare() > broad.ShedShare() {
		violations++
	}
	return mustBeZero("classes-refused-out-of-order", violations)
}

func mustBeZero(name string, count int) Bound {
	return atMost(name, float64(count), 0)
}

func atMost(name string, value, limit float64) Bound {
	return Bound{
		Name:  name,
		Value: value,
		Limit: limit,
	}
}

func atLeast(name string, value, limit float64) Bound {
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
