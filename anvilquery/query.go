package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// pauseThreshold is how late a tick may be before the process counts as paused.
const pauseThreshold = time.Second

// Query is one query, from its start to its answer or refusal.
type Query struct {
	origin  *Origin
	service *service
	request anvilmodel.Request
	// pinned is the shard map of the pinned snapshot.
	pinned *shardMap
	block  int

	// Times are stored as the duration since the epoch of the origin.
	now       time.Duration
	arrivedAt time.Duration
	deadline  time.Duration
	nextTick  time.Duration
	// resumedAt is when the last process pause was detected.
	resumedAt time.Duration

	// hedgeDelay is the time after which a call is hedged, hedgeGrace the time
	// within which a hedge is expected to reply. Both are computed when a snapshot
	// is pinned.
	hedgeDelay time.Duration
	hedgeGrace time.Duration

	shards []shardState
	calls  []callState
	// unresolvedShards counts shards that have neither answered nor failed,
	// answeredShards those that have answered.
	unresolvedShards int
	answeredShards   int

	hedges    hedgeQueue
	summary   callSummary
	restarted bool
	// shardExhausted is set when a shard of the pinned snapshot has no leaf left to
	// call.
	shardExhausted bool
	done           bool
	released       bool
}

// shardState is the state of one addressed shard.
type shardState struct {
	shard anvilmodel.Shard
	// lastCall is the index of the latest call for this shard, or -1.
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

// callState is the state of one call.
type callState struct {
	leaf         *leaf
	sent         time.Duration
	timeout      time.Duration
	shard        int32
	previousCall int32
	kind         callKind
	probe        bool
	ended        bool
	// reportedError is set when the leaf ran the call and reported an error.
	reportedError bool
}

// callSummary records whether any call of the query may have run.
type callSummary struct {
	sent   int
	notRun int
	ran    bool
	shed   bool
	// retryAt is the latest retry-after time given by a leaf that shed a call.
	retryAt time.Duration
}

// runState returns the run state of a query without answers. It is not-run only if
// every call ended with a certain not-run.
func (s *callSummary) runState() anvilmodel.RunState {
	switch {
	case s.ran:
		return anvilmodel.RunStateRun
	case s.notRun == s.sent:
		return anvilmodel.RunStateNotRun
	default:
		return anvilmodel.RunStateUnknown
	}
}

// NextTick returns the time at which Tick must be called next. It is zero once the
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

// Tick appends the actions that are due at the given time.
func (q *Query) Tick(now time.Time, actions []Action) []Action {
	if q.done {
		return actions
	}
	q.advanceTime(now)
	return q.processDue(actions)
}

// advanceTime updates the current time. After a process pause, replies that arrived
// during the pause may not have been delivered yet. So no hedges are sent for one
// hedge delay, and the durations of calls sent before are not recorded as
// latencies.
func (q *Query) advanceTime(now time.Time) {
	q.now = max(q.now, q.origin.sinceEpoch(now))
	if q.done || q.now-q.nextTick <= pauseThreshold {
		return
	}
	q.origin.counters.Pauses++
	q.resumedAt = q.now
	q.hedges.holdUntil = q.now + q.hedgeDelay
}

// processDue performs all work that is due. It is called at the end of every event.
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

// scheduleNextTick computes the next time at which work is due.
func (q *Query) scheduleNextTick() {
	q.nextTick = q.deadline
	if at, ok := q.hedges.nextDue(q); ok {
		q.nextTick = min(q.nextTick, at)
	}
	if q.hasEnoughCoverage() {
		q.nextTick = min(q.nextTick, q.earlyFinishAt())
	}
}

// hasEnoughCoverage reports whether an urgent query has reached its coverage floor.
func (q *Query) hasEnoughCoverage() bool {
	class := &q.request.Class
	if class.Mode != anvilmodel.ModeUrgent || q.answeredShards == 0 {
		return false
	}
	return float64(q.answeredShards) >= class.CoverageFloor*float64(len(q.shards))-tokenTolerance
}

// earlyFinishAt returns when an urgent query with enough coverage answers: at the
// end of its hedge round. The round begins with the first calls. It ends after the
// hedge delay if no hedges were sent, or else once the hedges have ended or had the
// 75th percentile of the latency to reply.
func (q *Query) earlyFinishAt() time.Duration {
	if q.hedges.outstanding == 0 {
		return q.hedges.roundAt
	}
	return max(q.hedges.roundAt, q.hedges.graceEnd)
}

// Abandon ends the query because its caller disconnected, and appends the
// cancellations of its calls. No Finish action follows. A non-idempotent query is
// not ended, so that its outcome can be recorded; it finishes as usual.
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
