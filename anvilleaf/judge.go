package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// goodCalls in a row end the cold state, and raise the limit by one while
	// it ramps up.
	goodCalls = 8
	// distressLeastCalls is the number of results below which a share of
	// failures says nothing.
	distressLeastCalls = 8
)

// judgement is what the node believes of the leaf.
type judgement struct {
	incarnation anvilmodel.Incarnation
	// seenAt is when the incarnation was first seen.
	seenAt time.Time
	// freshAt is when the cold duration begins: when the incarnation was first
	// seen, or when the leaf returned. A leaf that was without work for long has
	// lost its caches like one that has restarted.
	freshAt time.Time
	cold    bool
	coldAt  time.Time
	warmAt  time.Time
	ramping bool
	// good counts good calls in a row.
	good int
	// window holds the results of recent calls, sheds included.
	window window
	// judgedAt is when the evidence was seen that the judgement rests on. It
	// is zero if the leaf counts as cold only for being new here.
	judgedAt time.Time
}

// observeIncarnation takes the incarnation that the leaf states over something
// that began at the given time, zero if that is not known. It reports whether
// it is the latest one, as far as is known.
func (d *Dispatcher) observeIncarnation(i anvilmodel.Incarnation, began time.Time) bool {
	j := &d.judgement
	if i == j.incarnation {
		return true
	}
	// A lower number is an earlier process that still answers, unless the
	// connection to it was made after the higher one was seen: then the leaf
	// numbers its processes wrongly, and this is a new one.
	if i == 0 || (i < j.incarnation && !began.After(j.seenAt)) {
		return false
	}
	j.incarnation = i
	j.seenAt = d.now
	j.freshAt = d.now
	d.audit(EventNewIncarnation, "incarnation not seen before", 0)
	d.makeCold("new incarnation", false)
	d.draining = false
	if d.breaker.open {
		// The failures were another process's; one probe may go at once.
		d.breaker.retryAt = d.now
	}
	for n := range d.connections {
		c := &d.connections[n]
		if c.state == connectionIdle && c.incarnation != 0 && c.incarnation != i {
			d.close(n)
		}
	}
	return true
}

// observeReply takes what a reply says of the leaf and of its connection, and
// reports whether it comes from the latest incarnation.
func (d *Dispatcher) observeReply(o *Outcome, n int) bool {
	c := &d.connections[n]
	r := &o.Reply
	d.lastReplyAt = d.now
	d.clear(c)
	c.replied = true
	if c.incarnation != 0 && c.incarnation != r.Incarnation {
		d.counters.MismatchedReplies++
		c.crossed = true
	}
	c.incarnation = r.Incarnation
	if !d.observeIncarnation(r.Incarnation, c.openedAt) {
		return false
	}
	d.load = r.Load
	d.loadAt = d.now
	if r.Draining {
		d.setDraining(d.now)
	}
	if r.Cold {
		d.claimCold("a reply says so")
	}
	return true
}

// claimCold takes the leaf's word that it is cold.
func (d *Dispatcher) claimCold(cause string) {
	if !d.judgement.cold {
		d.makeCold(cause, true)
	}
}

// makeCold judges the leaf cold. With evidence, an older judgement of another
// candidate no longer counts.
func (d *Dispatcher) makeCold(cause string, evidence bool) {
	j := &d.judgement
	was := j.cold
	j.cold = true
	j.ramping = false
	j.good = 0
	j.coldAt = d.now
	j.window = window{}
	j.judgedAt = time.Time{}
	if evidence {
		j.judgedAt = d.now
	}
	d.shrunk = true
	if !was {
		d.audit(EventCold, cause, 0)
	}
}

// makeWarm judges the leaf warm. The limit begins at the share.
func (d *Dispatcher) makeWarm(cause string, judgedAt time.Time) {
	j := &d.judgement
	j.cold = false
	j.warmAt = d.now
	j.window = window{}
	j.judgedAt = judgedAt
	d.latency.restart()
	d.ramp()
	d.audit(EventWarm, cause, 0)
}

// ramp begins the limit at the share.
func (d *Dispatcher) ramp() {
	j := &d.judgement
	d.limit = float64(min(max(d.config.Share.ColdConcurrency, 1), d.config.Slots))
	j.good = 0
	j.ramping = d.limit < float64(d.config.Slots)
	d.shrunk = true
}

// judge takes the result of a call as evidence about the leaf.
func (d *Dispatcher) judge(e *entry, o *Outcome, current bool, inFlight int) {
	if e.cancelled || e.late {
		return
	}
	if o.Reply.Incarnation != 0 {
		if current {
			d.judgeReply(e, o, inFlight)
		}
		return
	}
	switch o.Reply.Result {
	case anvilmodel.CallTimeout:
		d.counters.TimedOut++
		d.blameTimeout(e)
	case anvilmodel.CallCancelled:
	default:
		// A connection that answered before and breaks before a byte was
		// written has only been closed while idle.
		if o.Written || !d.connections[e.connection].replied {
			d.fail("calls break")
		}
	}
}

// judgeReply takes the result of a call that the leaf answered.
func (d *Dispatcher) judgeReply(e *entry, o *Outcome, inFlight int) {
	switch o.Reply.Result {
	case anvilmodel.CallOK:
		d.succeed(e, o.Reply.Cold, inFlight >= d.limitNow())
	case anvilmodel.CallShed:
		d.signOfLife()
		d.shed(e, inFlight)
	case anvilmodel.CallSnapshotGone:
		d.signOfLife()
	case anvilmodel.CallFailed:
		d.fail("calls fail")
	}
}

// succeed takes a good call.
func (d *Dispatcher) succeed(e *entry, cold, inUse bool) {
	j := &d.judgement
	j.window.add(false)
	d.closeBreaker()
	if !d.paused {
		d.latency.add(d.now.Sub(e.startedAt), !j.cold)
	}
	if cold {
		j.good = 0
		return
	}
	if e.startedAt.Before(j.coldAt) {
		// It was started under an earlier judgement.
		return
	}
	j.good++
	switch {
	case j.cold:
		if j.good >= goodCalls && !d.now.Before(j.freshAt.Add(d.config.ColdDuration)) {
			d.makeWarm("good calls", d.now)
		}
	case d.latency.distressed():
		d.makeCold("latency over 4 times the usual", true)
	case j.ramping:
		j.judgedAt = d.now
		if j.good >= goodCalls {
			d.limit++
			j.good = 0
			j.ramping = d.limit < float64(d.config.Slots)
		}
	default:
		j.judgedAt = d.now
		d.adapt(inUse, false)
	}
}

// shed takes a refusal by the leaf.
func (d *Dispatcher) shed(e *entry, inFlight int) {
	j := &d.judgement
	d.counters.Shed++
	j.good = 0
	j.window.add(true)
	if j.cold {
		return
	}
	if j.window.half(distressLeastCalls) {
		d.makeCold("half of the recent calls were refused or failed", true)
		return
	}
	// Calls sent before the last cut say nothing about the limit since.
	if !e.startedAt.Before(d.lastCut) {
		d.lastCut = d.now
		d.shedAt = inFlight
		d.adapt(true, true)
	}
}

// blameTimeout counts a timeout as a failure of the leaf, unless the call got
// less than the usual service time and the leaf answered others meanwhile.
func (d *Dispatcher) blameTimeout(e *entry) {
	if d.now.Sub(e.startedAt) < d.latency.recent && d.lastReplyAt.After(e.startedAt) {
		return
	}
	d.fail("calls time out")
}

// fail takes a failed call.
func (d *Dispatcher) fail(cause string) {
	j := &d.judgement
	j.good = 0
	j.window.add(true)
	if !j.cold {
		j.judgedAt = d.now
	}
	if !j.cold && j.window.half(distressLeastCalls) {
		d.makeCold("half of the recent calls were refused or failed", true)
	}
	if !d.breaker.fail(d.now) {
		return
	}
	d.audit(EventBreakerOpen, cause, 0)
	d.shrunk = true
	if !j.cold {
		d.ramp()
	}
}

// closeBreaker counts a good call, which ends the breaker's back-off.
func (d *Dispatcher) closeBreaker() {
	if d.breaker.succeed(d.now) {
		d.audit(EventBreakerClosed, "probe answered", 0)
	}
}

// signOfLife takes an answer that is neither good nor a failure. It ends the
// breaker's back-off, but does not count among its calls.
func (d *Dispatcher) signOfLife() {
	if d.breaker.open {
		d.closeBreaker()
	}
}
