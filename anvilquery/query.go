package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// pauseThreshold is how late a tick may be before the process counts as paused.
const pauseThreshold = time.Second

// Query is one running query.
type Query struct {
	origin  *Origin
	service *service
	request anvilmodel.Request
	// pinned is the map of the pinned snapshot.
	pinned *shardMap
	block  int

	// Instants are times since the epoch of the origin.
	now       time.Duration
	arrivedAt time.Duration
	deadline  time.Duration
	nextTick  time.Duration
	// resumedAt is when the process was last found to have been paused.
	resumedAt time.Duration

	// hedgeDelay is the time after which a call is hedged, grace the time in which a
	// hedge probably replies. Both are fixed when calls begin.
	hedgeDelay time.Duration
	hedgeGrace time.Duration

	shards []shardState
	calls  []callState
	// unresolvedShards counts shards that may still answer, answered those that did.
	unresolvedShards int
	answeredShards   int

	hedges    hedgeQueue
	summary   callSummary
	restarted bool
	// shardExhausted is set when a shard of the pinned snapshot has no leaf left.
	shardExhausted bool
	done           bool
	released       bool
}

// shardState is one addressed shard.
type shardState struct {
	shard anvilmodel.Shard
	// lastCall is the number of its latest call, or -1.
	lastCall    int32
	outstanding int32
	answered    bool
	failed      bool
	hedged      bool
	body        []byte
}

func (s *shardState) resolved() bool {
	return s.answered || s.failed
}

// callState is one call that was sent.
type callState struct {
	leaf         *leaf
	sent         time.Duration
	timeout      time.Duration
	shard        int32
	previousCall int32
	kind         callKind
	probe        bool
	ended        bool
	// reportedError marks a call that the leaf ran and reported an error for.
	reportedError bool
}

// callSummary is what is known about whether any call was run.
type callSummary struct {
	sent   int
	notRun int
	ran    bool
	shed   bool
	// retryAt is the latest instant that a shedding leaf named.
	retryAt time.Duration
}

// runState says whether a query without any answered shard was run. It says
// not-run only if every call ended with a certain not-run.
func (e *callSummary) runState() anvilmodel.RunState {
	switch {
	case e.ran:
		return anvilmodel.RunStateRun
	case e.notRun == e.sent:
		return anvilmodel.RunStateNotRun
	default:
		return anvilmodel.RunStateUnknown
	}
}

// NextTick returns the next instant at which Tick must run. It is zero once the
// query is done.
func (q *Query) NextTick() time.Time {
	if q.done {
		return time.Time{}
	}
	return q.origin.timeAt(q.nextTick)
}

// Done reports whether the query has finished or was abandoned.
func (q *Query) Done() bool {
	return q.done
}

// RequestID returns the id of the request.
func (q *Query) RequestID() anvilmodel.RequestID {
	return q.request.ID
}

// Snapshot returns the pinned snapshot, or zero if there is none.
func (q *Query) Snapshot() anvilmodel.Snapshot {
	if q.pinned == nil {
		return 0
	}
	return q.pinned.snapshot
}

// Tick appends the actions that are due at now.
func (q *Query) Tick(now time.Time, actions []Action) []Action {
	if q.done {
		return actions
	}
	q.advanceTime(now)
	return q.processDue(actions)
}

// advanceTime takes over the time. After a pause the replies that arrived meanwhile
// may not have been handed over yet, so nothing is hedged for one hedge delay,
// and the time that calls took is not learned from.
func (q *Query) advanceTime(now time.Time) {
	q.now = max(q.now, q.origin.sinceEpoch(now))
	if q.done || q.now-q.nextTick <= pauseThreshold {
		return
	}
	q.origin.counters.Pauses++
	q.resumedAt = q.now
	q.hedges.holdUntil = q.now + q.hedgeDelay
}

// processDue does whatever is due after an event. All events end here.
func (q *Query) processDue(actions []Action) []Action {
	if q.shardExhausted {
		q.shardExhausted = false
		actions = q.restartOnNewerSnapshot(actions)
	}
	if q.unresolvedShards == 0 || q.now >= q.deadline {
		return q.finish(actions)
	}
	actions = q.sendDueHedges(actions)
	if q.hasEnoughCoverage() && q.now >= q.earlyFinishAt() {
		return q.finish(actions)
	}
	q.scheduleNextTick()
	return actions
}

// scheduleNextTick computes the next instant at which something is due.
func (q *Query) scheduleNextTick() {
	q.nextTick = q.deadline
	if at, ok := q.hedges.nextDue(q); ok {
		q.nextTick = min(q.nextTick, at)
	}
	if q.hasEnoughCoverage() {
		q.nextTick = min(q.nextTick, q.earlyFinishAt())
	}
}

// hasEnoughCoverage reports whether an urgent query covers enough to answer.
func (q *Query) hasEnoughCoverage() bool {
	class := &q.request.Class
	if class.Mode != anvilmodel.ModeUrgent || q.answeredShards == 0 {
		return false
	}
	return float64(q.answeredShards) >= class.CoverageFloor*float64(len(q.shards))-tokenTolerance
}

// earlyFinishAt returns when an urgent query that covers enough answers: when its
// hedge round is over. The round begins with the first calls and ends after the
// hedge delay, if that led to no hedges, or else once these have replied or had
// the time in which three in four calls reply.
func (q *Query) earlyFinishAt() time.Duration {
	if q.hedges.outstanding == 0 {
		return q.hedges.roundAt
	}
	return max(q.hedges.roundAt, q.hedges.graceEnd)
}

// Abandon ends the query because its caller is gone, and appends the
// cancellations. No Finish action follows. A non-idempotent query runs on, so
// that its outcome can be recorded; it finishes as usual.
func (q *Query) Abandon(now time.Time, actions []Action) []Action {
	if q.done || q.request.Class.NonIdempotent {
		return actions
	}
	q.advanceTime(now)
	q.origin.counters.Abandoned++
	actions = q.cancelOutstanding(actions)
	q.markDone()
	return actions
}
