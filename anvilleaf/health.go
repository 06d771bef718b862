package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// warmUpSuccesses consecutive successful calls end the cold state, and
	// raise the limit by one during the ramp-up.
	warmUpSuccesses = 8
	// minFailureRateResults is the number of results below which the failure
	// rate is not evaluated.
	minFailureRateResults = 8
)

// leafHealth is this node's assessment of the leaf.
type leafHealth struct {
	incarnation anvilmodel.Incarnation
	// incarnationSeenAt is when the incarnation was first seen.
	incarnationSeenAt time.Time
	// coldDurationStart is when the cold duration starts: when the incarnation
	// was first seen, or when the leaf returned to service. A leaf that was
	// idle for long has lost its caches like one that has restarted.
	coldDurationStart    time.Time
	cold                 bool
	coldAt               time.Time
	warmAt               time.Time
	rampingUp            bool
	consecutiveSuccesses int
	// results holds the results of recent calls; a shed counts as a failure.
	results resultWindow
	// evidenceAt is the time of the evidence behind the assessment. It is zero
	// if the leaf counts as cold only because it is new to this node.
	evidenceAt time.Time
}

// observeIncarnation handles an incarnation that the leaf reported. openedAt is
// when the connection was opened over which it was reported, zero if unknown.
// It returns whether this is the latest known incarnation.
func (d *Dispatcher) observeIncarnation(incarnation anvilmodel.Incarnation, openedAt time.Time) bool {
	h := &d.health
	if incarnation == h.incarnation {
		return true
	}
	// A lower number belongs to an earlier process that still answers, unless
	// the connection to it was opened after the higher number was seen. In that
	// case the leaf does not number its processes in order, and this is a new
	// one.
	if incarnation == 0 || (incarnation < h.incarnation && !openedAt.After(h.incarnationSeenAt)) {
		return false
	}
	h.incarnation = incarnation
	h.incarnationSeenAt = d.now
	h.coldDurationStart = d.now
	d.recordEvent(EventNewIncarnation, "incarnation not seen before", 0)
	d.markCold("new incarnation", false)
	d.draining = false
	if d.breaker.open {
		// The failures were those of another process; allow a probe at once.
		d.breaker.retryAt = d.now
	}
	for n := range d.connections {
		c := &d.connections[n]
		if c.state == connectionIdle && c.incarnation != 0 && c.incarnation != incarnation {
			d.closeConnection(n)
		}
	}
	return true
}

// observeReply updates the state of the leaf and of the connection from a
// reply, and reports whether the reply comes from the latest incarnation.
func (d *Dispatcher) observeReply(o *Outcome, n int) bool {
	c := &d.connections[n]
	r := &o.Reply
	d.lastReplyAt = d.now
	d.clearTimeouts(c)
	c.hasReplied = true
	if c.incarnation != 0 && c.incarnation != r.Incarnation {
		d.counters.MismatchedReplies++
		c.incarnationChanged = true
	}
	c.incarnation = r.Incarnation
	if !d.observeIncarnation(r.Incarnation, c.openedAt) {
		return false
	}
	d.load = r.Load
	d.loadReportedAt = d.now
	if r.Draining {
		d.setDraining(d.now)
	}
	if r.Cold {
		d.handleColdReport("a reply reports the leaf as cold")
	}
	return true
}

// handleColdReport marks the leaf cold because the leaf itself reported so.
func (d *Dispatcher) handleColdReport(cause string) {
	if !d.health.cold {
		d.markCold(cause, true)
	}
}

// markCold marks the leaf cold. With evidence, older assessments of other
// candidates no longer count.
func (d *Dispatcher) markCold(cause string, evidence bool) {
	h := &d.health
	wasCold := h.cold
	h.cold = true
	h.rampingUp = false
	h.consecutiveSuccesses = 0
	h.coldAt = d.now
	h.results = resultWindow{}
	h.evidenceAt = time.Time{}
	if evidence {
		h.evidenceAt = d.now
	}
	d.recheckQueue = true
	if !wasCold {
		d.recordEvent(EventCold, cause, 0)
	}
}

// markWarm marks the leaf warm and starts the ramp-up.
func (d *Dispatcher) markWarm(cause string, evidenceAt time.Time) {
	h := &d.health
	h.cold = false
	h.warmAt = d.now
	h.results = resultWindow{}
	h.evidenceAt = evidenceAt
	d.latency.resetLongTermMean()
	d.startRampUp()
	d.recordEvent(EventWarm, cause, 0)
}

// startRampUp sets the limit to this node's cold concurrency, from which it
// rises to the number of slots.
func (d *Dispatcher) startRampUp() {
	h := &d.health
	d.limit = float64(min(max(d.config.Share.ColdConcurrency, 1), d.config.Slots))
	h.consecutiveSuccesses = 0
	h.rampingUp = d.limit < float64(d.config.Slots)
	d.recheckQueue = true
}

// recordOutcome updates the health of the leaf from the result of a call.
func (d *Dispatcher) recordOutcome(e *callEntry, o *Outcome, fromLatest bool, inFlight int) {
	if e.cancelled || e.deadlineHandled {
		return
	}
	if o.Reply.Incarnation != 0 {
		if fromLatest {
			d.recordReply(e, o, inFlight)
		}
		return
	}
	switch o.Reply.Result {
	case anvilmodel.CallTimeout:
		d.counters.TimedOut++
		d.recordTimeout(e)
	case anvilmodel.CallCancelled:
	default:
		// A connection that has answered before and breaks before a byte was
		// written was closed while idle, which is not a failure.
		if o.Written || !d.connections[e.connection].hasReplied {
			d.recordFailure("connection broke")
		}
	}
}

// recordReply updates the health of the leaf from a call that it answered.
func (d *Dispatcher) recordReply(e *callEntry, o *Outcome, inFlight int) {
	switch o.Reply.Result {
	case anvilmodel.CallOK:
		d.recordSuccess(e, o.Reply.Cold, inFlight >= d.concurrencyLimit())
	case anvilmodel.CallShed:
		d.recordNeutralReply()
		d.recordShed(e, inFlight)
	case anvilmodel.CallSnapshotGone:
		d.recordNeutralReply()
	case anvilmodel.CallFailed:
		d.recordFailure("call failed")
	}
}

// recordSuccess counts a successful call.
func (d *Dispatcher) recordSuccess(e *callEntry, cold, limitReached bool) {
	h := &d.health
	h.results.add(false)
	d.recordBreakerSuccess()
	if !d.afterPause {
		d.latency.add(d.now.Sub(e.startedAt), !h.cold)
	}
	if cold {
		h.consecutiveSuccesses = 0
		return
	}
	if e.startedAt.Before(h.coldAt) {
		// The call was started before the leaf was last marked cold.
		return
	}
	h.consecutiveSuccesses++
	switch {
	case h.cold:
		if h.consecutiveSuccesses >= warmUpSuccesses && !d.now.Before(h.coldDurationStart.Add(d.config.ColdDuration)) {
			d.markWarm("enough successful calls in a row", d.now)
		}
	case d.latency.degraded():
		d.markCold("service time over 4 times the long-term mean", true)
	case h.rampingUp:
		h.evidenceAt = d.now
		if h.consecutiveSuccesses >= warmUpSuccesses {
			d.limit++
			h.consecutiveSuccesses = 0
			h.rampingUp = d.limit < float64(d.config.Slots)
		}
	default:
		h.evidenceAt = d.now
		d.updateLimit(limitReached, false)
	}
}

// recordShed counts a call that the leaf shed.
func (d *Dispatcher) recordShed(e *callEntry, inFlight int) {
	h := &d.health
	d.counters.Shed++
	h.consecutiveSuccesses = 0
	h.results.add(true)
	if h.cold {
		return
	}
	if h.results.halfFailed(minFailureRateResults) {
		d.markCold("at least half of the recent calls were shed or failed", true)
		return
	}
	// Calls started before the last reduction say nothing about the current
	// limit.
	if !e.startedAt.Before(d.limitCutAt) {
		d.limitCutAt = d.now
		d.inFlightAtShed = inFlight
		d.updateLimit(true, true)
	}
}

// recordTimeout counts a timeout as a failure of the leaf, unless the call got
// less than the mean service time and the leaf answered others meanwhile.
func (d *Dispatcher) recordTimeout(e *callEntry) {
	if d.now.Sub(e.startedAt) < d.latency.recentMean && d.lastReplyAt.After(e.startedAt) {
		return
	}
	d.recordFailure("call timed out")
}

// recordFailure counts a failed call.
func (d *Dispatcher) recordFailure(cause string) {
	h := &d.health
	h.consecutiveSuccesses = 0
	h.results.add(true)
	if !h.cold {
		h.evidenceAt = d.now
	}
	if !h.cold && h.results.halfFailed(minFailureRateResults) {
		d.markCold("at least half of the recent calls were shed or failed", true)
	}
	if !d.breaker.recordFailure(d.now) {
		return
	}
	d.recordEvent(EventBreakerOpen, cause, 0)
	d.recheckQueue = true
	if !h.cold {
		d.startRampUp()
	}
}

// recordBreakerSuccess counts a successful call for the circuit breaker, which
// closes if it is half-open.
func (d *Dispatcher) recordBreakerSuccess() {
	if d.breaker.recordSuccess(d.now) {
		d.recordEvent(EventBreakerClosed, "the leaf answered the probe", 0)
	}
}

// recordNeutralReply handles a reply that is neither a success nor a failure.
// It ends the breaker's back-off, but does not count among its results.
func (d *Dispatcher) recordNeutralReply() {
	if d.breaker.open {
		d.recordBreakerSuccess()
	}
}
