package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// pauseThreshold is the gap between two events above which the process is
	// assumed to have been paused.
	pauseThreshold = time.Second
	// maxTickInterval is the longest time between events that the dispatcher
	// requests, so that only a pause causes a longer gap.
	maxTickInterval = 500 * time.Millisecond
)

// Dispatcher is the queue and limiter in front of one leaf. It is not safe for
// concurrent use. Every method that takes actions appends to them and returns
// the extended slice; the owner executes them in order.
//
// Connections are numbered from 1. The control connection, over which the owner
// reads the leaf's state and sends cancellations, has no number but counts
// against the share.
type Dispatcher struct {
	config Config
	// now and actions are those of the event that is being handled.
	now     time.Time
	actions []Action
	// afterPause is set during an event that follows a pause of the process.
	afterPause bool
	// recheckQueue is set when waiting calls may no longer start in time, for
	// example because the limit fell.
	recheckQueue bool
	// nextWake is when something is due next, zero if nothing is.
	nextWake time.Time

	calls        map[anvilmodel.CallID]*callEntry
	queue        queue
	running      []*callEntry
	unanswered   []unansweredCall
	freeEntries  []*callEntry
	lastSequence uint64

	// connections is indexed by connection number; 0 is unused.
	connections []connection
	// connectionCount counts connections that are not absent.
	connectionCount int
	// suspectCount counts connections with an unanswered call or cancellation.
	suspectCount int
	// testConnectionNeeded requests a new connection, to distinguish a silent
	// connection from a leaf that answers on none.
	testConnectionNeeded bool
	openRetryAt          time.Time
	openBackoff          time.Duration
	lastReplyAt          time.Time
	// unknownIncarnationCalls counts calls that may still run and were started on a
	// connection of unknown incarnation.
	unknownIncarnationCalls int

	limit float64
	// limitCutAt is when the limit was last reduced because of a shed,
	// inFlightAtShed how many calls were in flight then.
	limitCutAt     time.Time
	inFlightAtShed int
	latency        latencyEstimator
	breaker        breaker
	health         leafHealth
	quietUntil     time.Time

	domainOut          bool
	leaving            bool
	draining           bool
	drainingReportedAt time.Time
	isolated           bool

	load           float64
	loadReportedAt time.Time
	holdings       []anvilmodel.Holding
	counters       Counters
}

// unansweredCall is a call that ended here without a reply from the leaf, which
// may still be running it.
type unansweredCall struct {
	releaseAt          time.Time
	incarnationUnknown bool
}

// New returns a dispatcher that considers the leaf cold and starts with a quiet
// period.
func New(c Config, now time.Time) *Dispatcher {
	c = c.withDefaults()
	d := &Dispatcher{
		config:      c,
		now:         now,
		calls:       make(map[anvilmodel.CallID]*callEntry),
		connections: make([]connection, c.Share.maxCallConnections()+1),
		limit:       1,
	}
	d.startQuietPeriod(0)
	d.health.cold = true
	return d
}

// startQuietPeriod starts a quiet period. The grace period covers calls of
// another node that reached the leaf late, propagationTime the time until all
// nodes know an assignment.
func (d *Dispatcher) startQuietPeriod(propagationTime time.Duration) {
	until := d.now.Add(d.config.QuietPeriod + d.config.CallGracePeriod + propagationTime)
	if until.After(d.quietUntil) {
		d.quietUntil = until
		d.scheduleWake(until)
	}
}

// Submit accepts a call. It is started, queued or refused at once.
func (d *Dispatcher) Submit(call anvilmodel.Call, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.submitCall(&call)
	return d.endEvent()
}

// Cancel ends a call that its origin no longer needs. A waiting call is
// answered not-run, a running one unknown; the leaf is asked to stop it.
func (d *Dispatcher) Cancel(id anvilmodel.CallID, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.cancelCall(id)
	return d.endEvent()
}

// CallFinished reports the end of a started call.
func (d *Dispatcher) CallFinished(o Outcome, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	// The outcome is handled before the deadlines, so that a reply that arrived
	// in time is not lost because its deadline passed before it was processed.
	d.finishCall(&o)
	d.processDeadlines()
	return d.endEvent()
}

// ConnectionOpened reports that a connection is usable. The incarnation is the
// one that the leaf reported over this connection, 0 if it was not read. Calls
// on connections of unknown incarnation are bounded by Share.ColdConcurrency.
func (d *Dispatcher) ConnectionOpened(connection int, incarnation anvilmodel.Incarnation, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.handleOpened(connection, incarnation)
	return d.endEvent()
}

// ConnectionClosed reports that a connection no longer exists, or could not be opened.
func (d *Dispatcher) ConnectionClosed(connection int, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.handleClosed(connection)
	return d.endEvent()
}

// Tick handles what is due at the given time.
func (d *Dispatcher) Tick(now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	return d.endEvent()
}

// NextTick returns the time by which Tick must be called. It is at most 500 ms
// after the last event, and may be earlier than necessary.
func (d *Dispatcher) NextTick() time.Time {
	next := d.now.Add(maxTickInterval)
	if !d.nextWake.IsZero() && d.nextWake.Before(next) {
		return d.nextWake
	}
	return next
}

// beginEvent starts the handling of an event. The dispatcher's time never runs
// backwards.
func (d *Dispatcher) beginEvent(now time.Time, actions []Action) {
	if now.Before(d.now) {
		now = d.now
	}
	d.afterPause = now.Sub(d.now) > pauseThreshold
	d.now = now
	d.actions = actions
	if d.afterPause {
		d.counters.Pauses++
		d.isolated = true
		d.recheckQueue = true
		d.recordEvent(EventPause, "no event for over 1 s", 0)
	}
}

// endEvent refuses calls that can no longer start in time, then starts waiting
// calls.
func (d *Dispatcher) endEvent() []Action {
	if d.recheckQueue {
		d.refuseLateCalls()
	}
	d.startWaitingCalls()
	actions := d.actions
	d.actions = nil
	return actions
}

// scheduleWake requests a Tick at t.
func (d *Dispatcher) scheduleWake(t time.Time) {
	if d.nextWake.IsZero() || t.Before(d.nextWake) {
		d.nextWake = t
	}
}

// recordEvent reports a state change that the dispatcher made on its own.
func (d *Dispatcher) recordEvent(k EventKind, cause string, connection int) {
	d.config.Audit(Event{
		At:          d.now,
		Leaf:        d.config.Leaf,
		Kind:        k,
		Cause:       cause,
		Incarnation: d.health.incarnation,
		Connection:  connection,
	})
}
