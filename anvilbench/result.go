package anvilbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// Result is what one run measured. Counts are of the queries that began during
// the measurement, but for those that say otherwise.
type Result struct {
	Scenario string
	Variant  string
	Seed     uint64
	Streams  []*StreamResult

	// ShardsQueried counts the shards that the queries addressed, CallsReceived the calls
	// that the leafs received for them.
	ShardsQueried int
	CallsReceived int
	// Primaries, Hedges and Retries count the calls that the origins sent.
	Primaries int
	Hedges    int
	Retries   int

	// The following count over the whole run.

	// Counters is the sum over the origins.
	Counters anvilquery.Counters
	// HedgesOverBudget and RetriesOverBudget count hedges and retries for which the budgets of
	// the design had no token. Moves, which are free, are among the latter.
	HedgesOverBudget  int
	RetriesOverBudget int
	// LeafSheds counts calls refused by leafs, DispatcherRefusals by dispatchers.
	LeafSheds          int
	DispatcherRefusals int
	ConnectionsRefused int
	// ColdViolations counts calls that reached a cold leaf beyond what it can
	// handle.
	ColdViolations int
	// WrongParts counts parts from another snapshot or shard than the answer
	// states, WrongCoverage answers whose coverage does not match their parts.
	WrongParts    int
	WrongCoverage int
	// CallsToDomainOut counts calls that reached a leaf of a failure domain that
	// had been out for outGrace.
	CallsToDomainOut int
	// Unfinished counts queries without a final answer, MultipleAnswers those with more
	// than one, FalseNotRun those told not-run although a leaf worked for them.
	Unfinished      int
	MultipleAnswers int
	FalseNotRun     int
	// BurstAllowance is the number of extra calls that the bursts of the budgets allow.
	BurstAllowance float64
}

// StreamResult is what the callers of one stream saw.
type StreamResult struct {
	Label    string
	Deadline time.Duration
	// Offered counts queries, Lost those whose node died.
	Offered int
	Lost    int
	// Answered counts answers with data, InTime those that reached the caller
	// before its deadline, Full those with full coverage and FullInTime both.
	Answered   int
	InTime     int
	Full       int
	FullInTime int
	// Refused counts refusals by run state.
	Refused map[anvilmodel.RunState]int
	// LateAtNode counts queries that finished after their deadline less the
	// return reserve, LateAtCaller answers that arrived after the deadline.
	LateAtNode   int
	LateAtCaller int

	// CallsSent counts calls for the stream, ShedCalls those that a dispatcher or leaf
	// refused.
	CallsSent int
	ShedCalls int
	// Floor is the coverage floor, FloorMet counts answers that reach it.
	Floor    float64
	FloorMet int

	coverage float64
	latency  *hdrhistogram.Histogram
}

// Resolution of the measured latencies.
const (
	latencyUnit   = 10 * time.Microsecond
	latencyMost   = 10 * time.Second
	latencyDigits = 3
)

func newResult(s *Scenario, v *Variant, seed uint64) *Result {
	r := &Result{
		Scenario: s.Name,
		Variant:  v.Name,
		Seed:     seed,
	}
	for i := range s.Deployment.Services {
		for _, stream := range s.Deployment.Services[i].Streams {
			r.Streams = append(r.Streams, &StreamResult{
				Label:    stream.Label,
				Deadline: stream.Class.Timeout,
				Floor:    stream.Class.CoverageFloor,
				Refused:  make(map[anvilmodel.RunState]int),
				latency:  hdrhistogram.New(1, int64(latencyMost/latencyUnit), latencyDigits),
			})
		}
	}
	origins := len(s.Deployment.Nodes)
	if s.Origins > 0 {
		origins = s.Origins
	}
	bursts := float64(anvilquery.DefaultHedgeBurst + anvilquery.DefaultRetryBurst)
	r.BurstAllowance = bursts * float64(origins*len(s.Deployment.Services))
	return r
}

// stream returns the result of a stream, or nil.
func (r *Result) stream(label string) *StreamResult {
	for _, s := range r.Streams {
		if s.Label == label {
			return s
		}
	}
	return nil
}

// Stream returns the result of a stream. It is empty if there is none.
func (r *Result) Stream(label string) StreamResult {
	if s := r.stream(label); s != nil {
		return *s
	}
	return StreamResult{}
}

// ExtraLoad returns the calls that the leafs received beyond one for each shard, as
// a share of the shards.
func (r *Result) ExtraLoad() float64 {
	if r.ShardsQueried == 0 {
		return 0
	}
	return float64(r.CallsReceived)/float64(r.ShardsQueried) - 1
}

// finish counts the end of a query that the caller learns after took.
func (s *StreamResult) finish(a *anvilquery.Action, took, timeout time.Duration) {
	if a.Refusal != nil {
		s.Refused[a.Refusal.RunState]++
		return
	}
	s.Answered++
	s.coverage += a.Answer.Coverage.Ratio()
	if a.Answer.Coverage.Ratio() >= s.Floor {
		s.FloorMet++
	}
	full := a.Answer.Coverage.Covered == a.Answer.Coverage.Total
	if full {
		s.Full++
	}
	// The largest latency is far over every timeout, so this cannot fail.
	_ = s.latency.RecordValue(int64(took / latencyUnit))
	if took > timeout {
		s.LateAtCaller++
		return
	}
	s.InTime++
	if full {
		s.FullInTime++
	}
}

// Latency returns a percentile of the time from sending a query to its answer.
func (s *StreamResult) Latency(percent float64) time.Duration {
	if s.latency == nil || s.Answered == 0 {
		return 0
	}
	return time.Duration(s.latency.ValueAtQuantile(percent)) * latencyUnit
}

// Coverage returns the mean coverage of the answers.
func (s *StreamResult) Coverage() float64 {
	return ratio(s.coverage, s.Answered)
}

// FullCoverageShare returns the share of answers with full coverage.
func (s *StreamResult) FullCoverageShare() float64 {
	return ratio(float64(s.Full), s.Answered)
}

// InTimeShare returns the share of the queries that were answered in time,
// without those whose node died.
func (s *StreamResult) InTimeShare() float64 {
	return ratio(float64(s.InTime), s.Offered-s.Lost)
}

// FullInTimeShare returns the share of the queries that were answered in time
// with full coverage, without those whose node died.
func (s *StreamResult) FullInTimeShare() float64 {
	return ratio(float64(s.FullInTime), s.Offered-s.Lost)
}

// FloorMetShare returns the share of answers that reach the coverage floor.
func (s *StreamResult) FloorMetShare() float64 {
	return ratio(float64(s.FloorMet), s.Answered)
}

// ShedShare returns the share of the calls that a dispatcher or leaf refused.
func (s *StreamResult) ShedShare() float64 {
	return ratio(float64(s.ShedCalls), s.CallsSent)
}

func ratio(part float64, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return part / float64(whole)
}

// settle counts what can only be told at the end.
func (f *fleet) settle() {
	r := f.result
	for _, q := range f.queries {
		f.settleQuery(q)
	}
	for _, n := range f.byIncarnation {
		addCounters(&r.Counters, n.origin.Counters())
		for _, m := range n.meters {
			r.HedgesOverBudget += m.hedge.over
			r.RetriesOverBudget += m.retry.over
		}
	}
	for _, l := range f.leafs {
		for _, k := range f.runners[l.index] {
			if k != nil {
				r.DispatcherRefusals += int(k.dispatcher.Status(f.clock.time()).Counters.Refused)
			}
		}
	}
}

func (f *fleet) settleQuery(q *query) {
	r := f.result
	if q.measured {
		q.stream.Offered++
		if q.lost {
			q.stream.Lost++
		}
	}
	switch {
	case q.finished > 1:
		r.MultipleAnswers++
	case q.finished == 0 && !q.lost:
		r.Unfinished++
	}
	if q.notRun && q.ran {
		r.FalseNotRun++
	}
}

// addCounters adds the counters that the results show.
func addCounters(sum *anvilquery.Counters, c anvilquery.Counters) {
	sum.Moves += c.Moves
	sum.Restarts += c.Restarts
	sum.HedgesWon += c.HedgesWon
	sum.HedgesRefused += c.HedgesRefused
	sum.RetriesRefused += c.RetriesRefused
	sum.DroppedCrossed += c.DroppedCrossed
	sum.DroppedSnapshot += c.DroppedSnapshot
	sum.CircuitsOpened += c.CircuitsOpened
}
