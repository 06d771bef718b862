package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// expected returns the time that a query probably takes: until the late calls
// are hedged and these hedges have replied. Before anything was learned it is a
// quarter of the query's time.
func (q *Query) expected() time.Duration {
	if q.service.latency.median == 0 {
		return (q.deadline - q.arrived) / 4
	}
	return q.delay + q.service.latency.median
}

// finish ends the query with what it has.
func (q *Query) finish(actions []Action) []Action {
	if q.now >= q.deadline {
		q.blameSilent()
	}
	q.blameFailed()
	actions = q.cancelOpen(actions)
	if q.answered == 0 {
		return q.refuse(q.refusal(), actions)
	}
	q.origin.counters.Answers++
	if q.answered < len(q.shards) {
		q.origin.counters.Partial++
	}
	actions = append(actions, Action{
		Kind:   ActionFinish,
		Query:  q,
		Answer: q.answer(),
	})
	q.end()
	return actions
}

// blameSilent counts calls that are outstanding at the deadline as failures of
// their leafs, unless they were sent too late to tell.
func (q *Query) blameSilent() {
	for n := range q.calls {
		c := &q.calls[n]
		if !c.ended && q.timed(c) && c.timeout >= q.delay {
			q.blame(c)
		}
	}
}

// blameFailed counts calls that leafs reported an error for as failures of these
// leafs, unless the request itself may be the cause: when it failed at every
// shard of several. Otherwise one bad request would set all leafs aside.
func (q *Query) blameFailed() {
	if q.answered == 0 && len(q.shards) > 1 {
		return
	}
	for n := range q.calls {
		c := &q.calls[n]
		if c.failed {
			q.blame(c)
		}
	}
}

func (q *Query) answer() *anvilmodel.Answer {
	a := &anvilmodel.Answer{
		RequestID: q.request.ID,
		Snapshot:  q.layout.snapshot,
		Coverage: anvilmodel.Coverage{
			Covered: q.answered,
			Total:   len(q.shards),
		},
		Parts:   make([]anvilmodel.Part, 0, q.answered),
		Elapsed: q.now - q.arrived,
	}
	if q.answered < len(q.shards) {
		a.Coverage.Missing = make([]anvilmodel.Shard, 0, len(q.shards)-q.answered)
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

// refusal returns the refusal of a query that no shard answered.
func (q *Query) refusal() *anvilmodel.Refusal {
	r := &anvilmodel.Refusal{
		RequestID:  q.request.ID,
		RunState:   q.evidence.runState(),
		RetryAfter: q.origin.config.RetryAfter,
	}
	switch {
	case q.evidence.sent == 0:
		r.Reason = anvilmodel.ReasonUpstream
		r.Detail = "no leaf of the addressed shards is usable"
		r.RetryAfter = q.probeIn()
	case q.now >= q.deadline:
		r.Reason = anvilmodel.ReasonDeadline
		r.Detail = "no shard answered in time"
	case q.evidence.shed:
		r.Reason = anvilmodel.ReasonShed
		r.Detail = "the leafs that could be tried shed the calls or failed"
		r.RetryAfter = max(time.Millisecond, q.evidence.retryAt-q.now)
	default:
		r.Reason = anvilmodel.ReasonUpstream
		r.Detail = "the calls to all addressed shards failed"
	}
	return r
}

// probeIn returns the time until a leaf that was set aside is tried again.
func (q *Query) probeIn() time.Duration {
	wait := q.origin.config.RetryAfter
	for i := range q.shards {
		for _, l := range q.layout.holding(q.shards[i].shard) {
			if l.eligible() && l.open && !l.probing {
				wait = min(wait, max(time.Millisecond, l.probeAt-q.now))
			}
		}
	}
	return wait
}

// notRun returns a refusal of a request of which no call was sent, and which may
// be accepted later.
func (q *Query) notRun(reason anvilmodel.RefusalReason, detail, accepted string) *anvilmodel.Refusal {
	r := q.invalid(reason, detail, accepted)
	r.RetryAfter = q.origin.config.RetryAfter
	return r
}

// invalid returns a refusal of a request that is not accepted later either.
func (q *Query) invalid(reason anvilmodel.RefusalReason, detail, accepted string) *anvilmodel.Refusal {
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
	q.end()
	return actions
}

func (q *Query) end() {
	q.done = true
	if q.layout != nil {
		q.dropBlock()
	}
}
