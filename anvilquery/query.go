package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// pauseLimit is how late a tick may be before the process counts as paused.
const pauseLimit = time.Second

// Query is one running query.
type Query struct {
	origin  *Origin
	service *service
	request anvilmodel.Request
	// layout is the map of the pinned snapshot.
	layout *shardMap
	block  int

	// Instants are times since the epoch of the origin.
	now      time.Duration
	arrived  time.Duration
	deadline time.Duration
	next     time.Duration
	// resumed is when the process was last found to have been paused.
	resumed time.Duration

	// delay is the time after which a call is hedged, grace the time in which a
	// hedge probably replies. Both are fixed when calls begin.
	delay time.Duration
	grace time.Duration

	shards []shardState
	calls  []callState
	// unsettled counts shards that may still answer, answered those that did.
	unsettled int
	answered  int

	hedges    hedgeQueue
	evidence  evidence
	restarted bool
	// stranded is set when a shard of the pinned snapshot has no leaf left.
	stranded bool
	done     bool
	released bool
}

// shardState is one addressed shard.
type shardState struct {
	shard anvilmodel.Shard
	// last is the number of its latest call, or -1.
	last     int32
	open     int32
	answered bool
	failed   bool
	hedged   bool
	body     []byte
}

func (s *shardState) settled() bool {
	return s.answered || s.failed
}

// callState is one call that was sent.
type callState struct {
	leaf     *leaf
	sent     time.Duration
	timeout  time.Duration
	shard    int32
	previous int32
	kind     callKind
	probe    bool
	ended    bool
	// failed marks a call that the leaf ran and reported an error for.
	failed bool
}

// evidence is what is known about whether any call was run.
type evidence struct {
	sent   int
	notRun int
	ran    bool
	shed   bool
	// retryAt is the latest instant that a shedding leaf named.
	retryAt time.Duration
}

// runState says whether a query without any answered shard was run. It says
// not-run only if every call ended with a certain not-run.
func (e *evidence) runState() anvilmodel.RunState {
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
	return q.origin.time(q.next)
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
	if q.layout == nil {
		return 0
	}
	return q.layout.snapshot
}

// Tick appends the actions that are due at now.
func (q *Query) Tick(now time.Time, actions []Action) []Action {
	if q.done {
		return actions
	}
	q.advance(now)
	return q.proceed(actions)
}

// advance takes over the time. After a pause the replies that arrived meanwhile
// may not have been handed over yet, so nothing is hedged for one hedge delay,
// and the time that calls took is not learned from.
func (q *Query) advance(now time.Time) {
	q.now = max(q.now, q.origin.instant(now))
	if q.done || q.now-q.next <= pauseLimit {
		return
	}
	q.origin.counters.Pauses++
	q.resumed = q.now
	q.hedges.hold = q.now + q.delay
}

// proceed does whatever is due after an event. All events end here.
func (q *Query) proceed(actions []Action) []Action {
	if q.stranded {
		q.stranded = false
		actions = q.restart(actions)
	}
	if q.unsettled == 0 || q.now >= q.deadline {
		return q.finish(actions)
	}
	actions = q.hedge(actions)
	if q.satisfied() && q.now >= q.satisfiedAt() {
		return q.finish(actions)
	}
	q.schedule()
	return actions
}

// schedule computes the next instant at which something is due.
func (q *Query) schedule() {
	q.next = q.deadline
	if at, ok := q.hedges.next(q); ok {
		q.next = min(q.next, at)
	}
	if q.satisfied() {
		q.next = min(q.next, q.satisfiedAt())
	}
}

// satisfied reports whether an urgent query covers enough to answer.
func (q *Query) satisfied() bool {
	class := &q.request.Class
	if class.Mode != anvilmodel.ModeUrgent || q.answered == 0 {
		return false
	}
	return float64(q.answered) >= class.CoverageFloor*float64(len(q.shards))-tokenTolerance
}

// satisfiedAt returns when an urgent query that covers enough answers: when its
// hedge round is over. The round begins with the first calls and ends after the
// hedge delay, if that led to no hedges, or else once these have replied or had
// the time in which three in four calls reply.
func (q *Query) satisfiedAt() time.Duration {
	if q.hedges.open == 0 {
		return q.hedges.round
	}
	return max(q.hedges.round, q.hedges.grace)
}

// Abandon ends the query because its caller is gone, and appends the
// cancellations. No Finish action follows. A non-idempotent query runs on, so
// that its outcome can be recorded; it finishes as usual.
func (q *Query) Abandon(now time.Time, actions []Action) []Action {
	if q.done || q.request.Class.NonIdempotent {
		return actions
	}
	q.advance(now)
	q.origin.counters.Abandoned++
	actions = q.cancelOpen(actions)
	q.end()
	return actions
}
