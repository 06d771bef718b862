package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// pauseGap between two events is taken for a pause of the process.
	pauseGap = time.Second
	// heartbeat is the longest time between events that the dispatcher asks
	// for, so that only a pause makes a gap.
	heartbeat = 500 * time.Millisecond
)

// Dispatcher is the queue and limiter in front of one leaf. It is not safe for
// concurrent use. Every method that takes actions appends to them and returns
// the extended slice; the edge carries them out in order.
//
// Connections are numbered from 1. The control connection, over which the edge
// reads the leaf's state and sends cancellations, is not numbered but counts
// against the share.
type Dispatcher struct {
	config Config
	// now and actions belong to the event in progress.
	now     time.Time
	actions []Action
	// paused is set during an event that follows a pause.
	paused bool
	// shrunk is set when the limit fell and waiting calls may have become hopeless.
	shrunk bool
	// wake is when something is due, zero if nothing is.
	wake time.Time

	calls    map[anvilmodel.CallID]*entry
	queue    queue
	running  []*entry
	ghosts   []ghost
	free     []*entry
	sequence uint64

	// connections is indexed by connection number; 0 is unused.
	connections []connection
	// live counts connections that are not absent.
	live int
	// suspects counts connections with an unanswered call.
	suspects int
	// probeWanted asks for a fresh connection, to tell a silent connection
	// from a leaf that answers on none.
	probeWanted bool
	openRetryAt time.Time
	openBackoff time.Duration
	lastReplyAt time.Time
	// unconfirmed counts calls that may still run and were started on a
	// connection of unknown incarnation.
	unconfirmed int

	limit float64
	// lastCut is when the limit was last cut, shedAt how many calls were in
	// flight then.
	lastCut    time.Time
	shedAt     int
	latency    latency
	breaker    breaker
	judgement  judgement
	quietUntil time.Time

	out        bool
	leaving    bool
	draining   bool
	drainingAt time.Time
	isolated   bool

	load     float64
	loadAt   time.Time
	holdings []anvilmodel.Holding
	counters Counters
}

// ghost is a call that ended here without a word from the leaf, which may
// still be working on it.
type ghost struct {
	releaseAt   time.Time
	unconfirmed bool
}

// New returns a dispatcher that judges the leaf cold and is in its quiet period.
func New(c Config, now time.Time) *Dispatcher {
	c = c.withDefaults()
	d := &Dispatcher{
		config:      c,
		now:         now,
		calls:       make(map[anvilmodel.CallID]*entry),
		connections: make([]connection, c.Share.callConnections()+1),
		limit:       1,
	}
	d.beQuiet(0)
	d.judgement.cold = true
	return d
}

// beQuiet begins a quiet period. The margin covers calls of a predecessor that
// reached the leaf late, and settle the spread of an assignment.
func (d *Dispatcher) beQuiet(settle time.Duration) {
	until := d.now.Add(d.config.QuietPeriod + d.config.CallGracePeriod + settle)
	if until.After(d.quietUntil) {
		d.quietUntil = until
		d.wakeAt(until)
	}
}

// Submit takes a call over. It is started, queued or refused at once.
func (d *Dispatcher) Submit(call anvilmodel.Call, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.submit(&call)
	return d.leave()
}

// Cancel ends a call that its origin no longer needs. A waiting call is
// answered not-run, a running one unknown; the leaf is asked to stop it.
func (d *Dispatcher) Cancel(id anvilmodel.CallID, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.cancel(id)
	return d.leave()
}

// CallFinished takes the end of a started call.
func (d *Dispatcher) CallFinished(o Outcome, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	// The outcome goes first, so that a reply that arrived is not lost to a
	// deadline that passed while it waited for its turn.
	d.settle(&o)
	d.expire()
	return d.leave()
}

// ConnectionOpened reports that a connection is usable. The incarnation is the one that
// the leaf stated over this connection, 0 if it was not read. Calls on
// connections of unknown incarnation are bounded by the cold share.
func (d *Dispatcher) ConnectionOpened(connection int, incarnation anvilmodel.Incarnation, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.opened(connection, incarnation)
	return d.leave()
}

// ConnectionClosed reports that a connection no longer exists, or could not be opened.
func (d *Dispatcher) ConnectionClosed(connection int, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.closed(connection)
	return d.leave()
}

// Tick does what is due at now.
func (d *Dispatcher) Tick(now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	return d.leave()
}

// NextTick returns when Tick has to be called at the latest. It is at most 500 ms
// after the last event, and may be earlier than necessary.
func (d *Dispatcher) NextTick() time.Time {
	next := d.now.Add(heartbeat)
	if !d.wake.IsZero() && d.wake.Before(next) {
		return d.wake
	}
	return next
}

// enter begins an event. Time never runs backwards for the dispatcher.
func (d *Dispatcher) enter(now time.Time, actions []Action) {
	if now.Before(d.now) {
		now = d.now
	}
	d.paused = now.Sub(d.now) > pauseGap
	d.now = now
	d.actions = actions
	if d.paused {
		d.counters.Pauses++
		d.isolated = true
		d.shrunk = true
		d.audit(EventPause, "no event for over 1s", 0)
	}
}

// leave ends an event: hopeless calls are refused, then calls start.
func (d *Dispatcher) leave() []Action {
	if d.shrunk {
		d.prune()
	}
	d.pump()
	actions := d.actions
	d.actions = nil
	return actions
}

// wakeAt asks for a Tick at t.
func (d *Dispatcher) wakeAt(t time.Time) {
	if d.wake.IsZero() || t.Before(d.wake) {
		d.wake = t
	}
}

// audit reports a change that the dispatcher made by itself.
func (d *Dispatcher) audit(k EventKind, cause string, connection int) {
	d.config.Audit(Event{
		At:          d.now,
		Leaf:        d.config.Leaf,
		Kind:        k,
		Cause:       cause,
		Incarnation: d.judgement.incarnation,
		Connection:  connection,
	})
}
