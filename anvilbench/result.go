package anvilbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// Result holds the measurements of one run. Unless stated otherwise, counts refer
// to queries that were sent during the measurement.
type Result struct {
	Scenario string
	Variant  string
	Seed     uint64
	Streams  []*StreamResult

	// ShardsQueried counts the shards that the queries addressed; CallsReceived
	// counts the calls that the leaves received for them.
	ShardsQueried int
	CallsReceived int
	// Primaries, Hedges and Retries count the calls that the origins sent.
	Primaries int
	Hedges    int
	Retries   int

	// The following fields refer to the whole run.

	// Counters is the sum of the counters of all origins.
	Counters anvilquery.Counters
	// HedgesOverBudget and RetriesOverBudget count hedges and retries for which the
	// budgets of the design had no token. RetriesOverBudget includes reroutes, which
	// are exempt from the budget.
	HedgesOverBudget  int
	RetriesOverBudget int
	// LeafSheds counts calls refused by leaves; DispatcherRefusals counts calls
	// refused by dispatchers.
	LeafSheds          int
	DispatcherRefusals int
	ConnectionsRefused int
	// ColdViolations counts calls that exceeded the cold concurrency of a leaf.
	ColdViolations int
	// WrongParts counts parts from a snapshot or shard other than the answer
	// states; WrongCoverage counts answers whose coverage does not match their
	// parts.
	WrongParts    int
	WrongCoverage int
	// CallsToDomainOut counts calls that reached a leaf of a failure domain that
	// had been out of service for domainOutGrace.
	CallsToDomainOut int
	// Unfinished counts queries without a final answer, MultipleAnswers those with
	// more than one, and FalseNotRun those that were reported as not run although a
	// leaf started to process them.
	Unfinished      int
	MultipleAnswers int
	FalseNotRun     int
	// BurstAllowance is the number of additional calls that the bursts of the
	// budgets allow.
	BurstAllowance float64
}

// StreamResult holds the measurements of one stream, as seen by its callers.
type StreamResult struct {
	Label    string
	Deadline time.Duration
	// Offered counts queries; Lost counts those whose node stopped before it
	// answered.
	Offered int
	Lost    int
	// Answered counts answers with data, InTime those that reached the caller
	// before its deadline, Full those with full coverage, and FullInTime those with
	// both properties.
	Answered   int
	InTime     int
	Full       int
	FullInTime int
	// Refused counts refusals by run state.
	Refused map[anvilmodel.RunState]int
	// LateAtNode counts queries that finished after their deadline less the return
	// reserve; LateAtCaller counts answers that reached the caller after the
	// deadline.
	LateAtNode   int
	LateAtCaller int

	// CallsSent counts the calls for the stream; ShedCalls counts those that a
	// dispatcher or a leaf refused.
	CallsSent int
	ShedCalls int
	// Floor is the coverage floor; FloorMet counts the answers that reach it.
	Floor    float64
	FloorMet int

	coverage float64
	latency  *hdrhistogram.Histogram
}

// Resolution and range of the latency histograms.
const (
	latencyUnit               = 10 * time.Microsecond
	maxLatency                = 10 * time.Second
	latencySignificantFigures = 3
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
				latency:  hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencySignificantFigures),
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

// findStream returns the result of a stream, or nil.
func (r *Result) findStream(label string) *StreamResult {
	for _, s := range r.Streams {
		if s.Label == label {
			return s
		}
	}
	return nil
}

// Stream returns the result of a stream, or an empty result if there is no such
// stream.
func (r *Result) Stream(label string) StreamResult {
	if s := r.findStream(label); s != nil {
		return *s
	}
	return StreamResult{}
}

// ExtraLoad returns the number of calls that the leaves received in addition to
// one for each shard, as a share of the shards.
func (r *Result) ExtraLoad() float64 {
	if r.ShardsQueried == 0 {
		return 0
	}
	return float64(r.CallsReceived)/float64(r.ShardsQueried) - 1
}

// record adds the outcome of a query that reached the caller after latency.
func (s *StreamResult) record(a *anvilquery.Action, latency, timeout time.Duration) {
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
	// Cannot fail, because maxLatency is far above every timeout.
	_ = s.latency.RecordValue(int64(latency / latencyUnit))
	if latency > timeout {
		s.LateAtCaller++
		return
	}
	s.InTime++
	if full {
		s.FullInTime++
	}
}

// Latency returns a percentile of the time from sending a query to receiving its
// answer.
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

// InTimeShare returns the share of the queries that were answered in time. Lost
// queries are not counted.
func (s *StreamResult) InTimeShare() float64 {
	return ratio(float64(s.InTime), s.Offered-s.Lost)
}

// FullInTimeShare returns the share of the queries that were answered in time
// with full coverage. Lost queries are not counted.
func (s *StreamResult) FullInTimeShare() float64 {
	return ratio(float64(s.FullInTime), s.Offered-s.Lost)
}

// FloorMetShare returns the share of answers that reach the coverage floor.
func (s *StreamResult) FloorMetShare() float64 {
	return ratio(float64(s.FloorMet), s.Answered)
}

// ShedShare returns the share of the calls that a dispatcher or a leaf refused.
func (s *StreamResult) ShedShare() float64 {
	return ratio(float64(s.ShedCalls), s.CallsSent)
}

func ratio(part float64, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return part / float64(whole)
}

// collectResults adds the counts that are known only at the end of the run.
func (sim *simulation) collectResults() {
	r := sim.result
	for _, q := range sim.queries {
		sim.collectQuery(q)
	}
	for _, n := range sim.nodesByIncarnation {
		addCounters(&r.Counters, n.origin.Counters())
		for _, m := range n.budgets {
			r.HedgesOverBudget += m.hedge.exceeded
			r.RetriesOverBudget += m.retry.exceeded
		}
	}
	for _, l := range sim.leaves {
		for _, runner := range sim.runners[l.index] {
			if runner != nil {
				r.DispatcherRefusals += int(runner.dispatcher.Status(sim.clock.time()).Counters.Refused)
			}
		}
	}
}

func (sim *simulation) collectQuery(q *query) {
	r := sim.result
	if q.measured {
		q.result.Offered++
		if q.lost {
			q.result.Lost++
		}
	}
	switch {
	case q.finishCount > 1:
		r.MultipleAnswers++
	case q.finishCount == 0 && !q.lost:
		r.Unfinished++
	}
	if q.reportedNotRun && q.ran {
		r.FalseNotRun++
	}
}

// addCounters adds the counters that the results report.
func addCounters(sum *anvilquery.Counters, c anvilquery.Counters) {
	sum.Reroutes += c.Reroutes
	sum.Restarts += c.Restarts
	sum.HedgesWon += c.HedgesWon
	sum.HedgesRefused += c.HedgesRefused
	sum.RetriesRefused += c.RetriesRefused
	sum.DroppedMismatched += c.DroppedMismatched
	sum.DroppedWrongHolding += c.DroppedWrongHolding
	sum.CircuitsOpened += c.CircuitsOpened
}
