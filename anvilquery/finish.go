package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// expectedDuration returns the expected duration of the query: until late calls
// have been hedged and the hedges have replied. Without latency samples it is a
// quarter of the query's time.
func (q *Query) expectedDuration() time.Duration {
	if q.service.latency.median == 0 {
		return (q.deadline - q.arrivedAt) / 4
	}
	return q.hedgeDelay + q.service.latency.median
}

// finish ends the query with the answers received so far.
func (q *Query) finish(actions []Action) []Action {
	if q.now >= q.deadline {
		q.recordUnansweredCalls()
	}
	q.recordReportedErrors()
	actions = q.cancelOutstanding(actions)
	if q.answeredShards == 0 {
		return q.refuse(q.buildRefusal(), actions)
	}
	q.origin.counters.Answers++
	if q.answeredShards < len(q.shards) {
		q.origin.counters.Partial++
	}
	actions = append(actions, Action{
		Kind:   ActionFinish,
		Query:  q,
		Answer: q.buildAnswer(),
	})
	q.markDone()
	return actions
}

// recordUnansweredCalls counts calls that are outstanding at the deadline as
// failures of their leaves, except calls that were sent too close to the deadline
// to get a reply or before a process pause.
func (q *Query) recordUnansweredCalls() {
	for n := range q.calls {
		c := &q.calls[n]
		if !c.ended && q.hasValidTiming(c) && c.timeout >= q.hedgeDelay {
			q.recordLeafFailure(c)
		}
	}
}

// recordReportedErrors counts calls that ended with an error reported by the leaf
// as failures of that leaf. If a query to several shards failed at all of them, the
// request itself may be the cause, and nothing is counted: otherwise one bad
// request would open the circuits of all leaves.
func (q *Query) recordReportedErrors() {
	if q.answeredShards == 0 && len(q.shards) > 1 {
		return
	}
	for n := range q.calls {
		c := &q.calls[n]
		if c.reportedError {
			q.recordLeafFailure(c)
		}
	}
}

func (q *Query) buildAnswer() *anvilmodel.Answer {
	a := &anvilmodel.Answer{
		RequestID: q.request.ID,
		Snapshot:  q.pinned.snapshot,
		Coverage: anvilmodel.Coverage{
			Covered: q.answeredShards,
			Total:   len(q.shards),
		},
		Parts:   make([]anvilmodel.Part, 0, q.answeredShards),
		Elapsed: q.now - q.arrivedAt,
	}
	if q.answeredShards < len(q.shards) {
		a.Coverage.Missing = make([]anvilmodel.Shard, 0, len(q.shards)-q.answeredShards)
	}
	for i := range q.shards {
		s := &q.shards[i]
		if !s.answered {
			a.Coverage.Missing = append(a.Coverage.Missing, s.shard)
			continue
		}
		a.Parts = append(a.Parts, anvilmodel.Part{
			Shard: s.shard,
			Body:  s.body,
		})
	}
	return a
}

// buildRefusal returns the refusal of a query that no shard answered.
func (q *Query) buildRefusal() *anvilmodel.Refusal {
	r := &anvilmodel.Refusal{
		RequestID:  q.request.ID,
		RunState:   q.summary.runState(),
		RetryAfter: q.origin.config.RetryAfter,
	}
	switch {
	case q.summary.sent == 0:
		r.Reason = anvilmodel.ReasonUpstream
		r.Detail = "no leaf of the addressed shards is usable"
		r.RetryAfter = q.timeUntilProbe()
	case q.now >= q.deadline:
		r.Reason = anvilmodel.ReasonDeadline
		r.Detail = "no shard answered in time"
	case q.summary.shed:
		r.Reason = anvilmodel.ReasonShed
		r.Detail = "the leafs that could be tried shed the calls or failed"
		r.RetryAfter = max(time.Millisecond, q.summary.retryAt-q.now)
	default:
		r.Reason = anvilmodel.ReasonUpstream
		r.Detail = "the calls to all addressed shards failed"
	}
	return r
}

// timeUntilProbe returns the time until a leaf with an open circuit is probed
// again.
func (q *Query) timeUntilProbe() time.Duration {
	wait := q.origin.config.RetryAfter
	for i := range q.shards {
		for _, l := range q.pinned.leavesOf(q.shards[i].shard) {
			if l.eligible() && l.circuitOpen && !l.probeInFlight {
				wait = min(wait, max(time.Millisecond, l.probeAt-q.now))
			}
		}
	}
	return wait
}

// temporaryRefusal returns a refusal of a request for which no call was sent, and
// which may be accepted later.
func (q *Query) temporaryRefusal(reason anvilmodel.RefusalReason, detail, accepted string) *anvilmodel.Refusal {
	r := q.permanentRefusal(reason, detail, accepted)
	r.RetryAfter = q.origin.config.RetryAfter
	return r
}

// permanentRefusal returns a refusal of a request that will not be accepted later
// either.
func (q *Query) permanentRefusal(reason anvilmodel.RefusalReason, detail, accepted string) *anvilmodel.Refusal {
	return &anvilmodel.Refusal{
		RequestID: q.request.ID,
		Reason:    reason,
		RunState:  anvilmodel.RunStateNotRun,
		Detail:    detail,
		Accepted:  accepted,
	}
}

// refuse ends the query with a refusal.
func (q *Query) refuse(refusal *anvilmodel.Refusal, actions []Action) []Action {
	q.origin.counters.Refusals++
	actions = append(actions, Action{
		Kind:    ActionFinish,
		Query:   q,
		Refusal: refusal,
	})
	q.markDone()
	return actions
}

func (q *Query) markDone() {
	q.done = true
	if q.pinned != nil {
		q.releaseBlock()
	}
}
