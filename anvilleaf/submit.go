package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// outOfServiceRetryAfter is reported when the leaf takes no calls until
	// something outside this dispatcher changes.
	outOfServiceRetryAfter = time.Second
	// minRetryAfter is the shortest retry-after time that is reported.
	minRetryAfter = time.Millisecond
)

// submitCall queues a call or refuses it.
func (d *Dispatcher) submitCall(c *anvilmodel.Call) {
	if _, ok := d.calls[c.ID]; ok {
		d.counters.Duplicates++
		return
	}
	d.counters.Submitted++
	e := d.newEntry(c)
	if !d.admissible(e) {
		d.refuseCall(e)
		return
	}
	if d.queue.len() >= d.config.maxQueueLength() {
		last := d.queue.last()
		if compareEntries(last, e) < 0 {
			d.refuseCall(e)
			return
		}
		d.queue.remove(last)
		d.counters.Displaced++
		d.refuseCall(last)
	}
	if d.queue.position(e) < d.queue.len() {
		// The calls behind it now wait longer.
		d.recheckQueue = true
	}
	d.queue.insert(e)
	d.calls[c.ID] = e
	if d.breaker.state(d.now) == BreakerHalfOpen {
		d.breaker.probe = e
		d.closeIdleConnections()
	}
	d.scheduleWake(e.deadline.Add(-d.latency.minServiceTime()))
}

// admissible reports whether a new call may be queued.
func (d *Dispatcher) admissible(e *callEntry) bool {
	if d.blocked(e) || d.cannotFinishInTime(e) {
		return false
	}
	if e.call.Hedge && 2*d.queue.len() > d.config.maxQueueLength() {
		d.counters.HedgesRefused++
		return false
	}
	return d.startsInTime(e, d.queue.position(e))
}

// blocked reports whether the call cannot start until an external change or the
// end of the breaker's back-off.
func (d *Dispatcher) blocked(e *callEntry) bool {
	if d.outOfService() {
		return true
	}
	switch d.breaker.state(d.now) {
	case BreakerOpen:
		return true
	case BreakerHalfOpen:
		if d.breaker.probe != nil && d.breaker.probe != e {
			return true
		}
	}
	return d.health.cold && (d.isolated || d.config.Share.ColdConcurrency == 0)
}

// cannotFinishInTime reports whether the time left is shorter than the shortest
// recent service time.
func (d *Dispatcher) cannotFinishInTime(e *callEntry) bool {
	left := e.deadline.Sub(d.now)
	return left <= 0 || left < d.latency.minServiceTime()
}

// startsInTime reports whether a call with the given number of calls ahead of
// it is expected to start early enough.
func (d *Dispatcher) startsInTime(e *callEntry, ahead int) bool {
	return d.estimateWait(ahead)+d.latency.minServiceTime() < e.deadline.Sub(d.now)
}

// estimateWait estimates the waiting time of a call with the given number of
// calls ahead of it.
func (d *Dispatcher) estimateWait(ahead int) time.Duration {
	limit := int(d.limit)
	start := time.Duration(0)
	if d.health.cold {
		limit = d.config.Share.ColdConcurrency
		start = max(d.quietUntil.Sub(d.now), 0)
	}
	if d.connectionCount == 0 {
		start += d.config.ConnectTime
	}
	available := max(limit-d.inFlight(), 0)
	if ahead < available || limit == 0 {
		return start
	}
	return start + time.Duration(ahead+1-available)*d.latency.recentMean/time.Duration(limit)
}

// retryAfter estimates when a refused call could be accepted.
func (d *Dispatcher) retryAfter() time.Duration {
	if d.outOfService() {
		return outOfServiceRetryAfter
	}
	if d.breaker.state(d.now) == BreakerOpen {
		return max(d.breaker.retryAt.Sub(d.now), minRetryAfter)
	}
	if d.health.cold && (d.isolated || d.config.Share.ColdConcurrency == 0) {
		return outOfServiceRetryAfter
	}
	return max(d.estimateWait(d.queue.len()), d.latency.recentMean, minRetryAfter)
}

// refuseLateCalls refuses the waiting calls that can no longer start in time.
func (d *Dispatcher) refuseLateCalls() {
	d.recheckQueue = false
	for i := 0; i < d.queue.len(); {
		e := d.queue.entries[i]
		if !d.blocked(e) && d.startsInTime(e, i) {
			i++
			continue
		}
		d.queue.removeAt(i)
		d.refuseCall(e)
	}
}

// cancelCall ends a waiting or running call that its origin has cancelled.
func (d *Dispatcher) cancelCall(id anvilmodel.CallID) {
	e := d.calls[id]
	if e == nil || e.replied {
		return
	}
	d.counters.Cancelled++
	if !e.started() {
		d.queue.remove(e)
		d.sendReply(e, anvilmodel.CallReply{
			Result:   anvilmodel.CallCancelled,
			RunState: anvilmodel.RunStateNotRun,
		})
		d.releaseEntry(e)
		return
	}
	e.cancelled = true
	d.requestCancellation(e)
	d.sendReply(e, anvilmodel.CallReply{
		Result:   anvilmodel.CallCancelled,
		RunState: anvilmodel.RunStateUnknown,
	})
}

// requestCancellation asks the leaf to stop a running call.
func (d *Dispatcher) requestCancellation(e *callEntry) {
	d.actions = append(d.actions, Action{
		Kind:       ActionCancel,
		ID:         e.call.ID,
		Connection: e.connection,
	})
}

// refuseCall refuses a call that was never started, and releases its entry.
func (d *Dispatcher) refuseCall(e *callEntry) {
	d.counters.Refused++
	d.sendReply(e, anvilmodel.CallReply{
		Result:     anvilmodel.CallShed,
		RunState:   anvilmodel.RunStateNotRun,
		RetryAfter: d.retryAfter(),
	})
	d.releaseEntry(e)
}

// sendReply sends the only reply to a call to its origin.
func (d *Dispatcher) sendReply(e *callEntry, r anvilmodel.CallReply) {
	e.replied = true
	d.counters.Replied++
	r.ID = e.call.ID
	r.Leaf = d.config.Leaf
	d.actions = append(d.actions, Action{
		Kind:  ActionReply,
		ID:    e.call.ID,
		Reply: r,
	})
}

// newEntry takes an entry from the free list or allocates one.
func (d *Dispatcher) newEntry(c *anvilmodel.Call) *callEntry {
	var e *callEntry
	if n := len(d.freeEntries); n > 0 {
		e = d.freeEntries[n-1]
		d.freeEntries = d.freeEntries[:n-1]
	} else {
		e = &callEntry{}
	}
	d.lastSequence++
	e.call = *c
	e.deadline = d.now.Add(c.Timeout)
	e.sequence = d.lastSequence
	return e
}

// releaseEntry returns the entry of a call that neither waits nor runs to the
// free list.
func (d *Dispatcher) releaseEntry(e *callEntry) {
	if d.breaker.probe == e {
		d.breaker.probe = nil
	}
	if d.calls[e.call.ID] == e {
		delete(d.calls, e.call.ID)
	}
	*e = callEntry{}
	d.freeEntries = append(d.freeEntries, e)
}
