package anvilleaf

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// startWaitingCalls starts waiting calls while the limit and the connections allow it.
func (d *Dispatcher) startWaitingCalls() {
	for d.queue.len() > 0 && d.headroom() > 0 {
		e := d.queue.entries[0]
		if d.cannotFinishInTime(e) {
			d.queue.removeAt(0)
			d.counters.Expired++
			d.refuseCall(e)
			continue
		}
		n := d.selectConnection()
		if n == 0 {
			break
		}
		d.queue.removeAt(0)
		d.startCall(e, n)
	}
	d.openNeededConnections()
}

// headroom returns how many more calls may be started now.
func (d *Dispatcher) headroom() int {
	limit := d.startLimit(d.now)
	if limit > 0 && d.breaker.state(d.now) == BreakerHalfOpen {
		if d.breaker.probe == nil || d.breaker.probe.started() {
			return 0
		}
		if !d.health.cold {
			// Calls that were started before the breaker opened do not delay
			// the probe.
			return 1
		}
	}
	return max(limit-d.inFlight(), 0)
}

// startLimit returns the number of calls that may be in flight at the given
// time, 0 if none may start.
func (d *Dispatcher) startLimit(now time.Time) int {
	if d.outOfService() {
		return 0
	}
	if d.health.cold && now.Before(d.quietUntil) {
		return 0
	}
	switch d.breaker.state(now) {
	case BreakerOpen:
		return 0
	case BreakerHalfOpen:
		return min(d.concurrencyLimit(), 1)
	default:
		return d.concurrencyLimit()
	}
}

// concurrencyLimit returns the cold concurrency of a cold leaf, or the adaptive
// limit of a warm one.
func (d *Dispatcher) concurrencyLimit() int {
	if d.health.cold {
		return d.config.Share.ColdConcurrency
	}
	return int(d.limit)
}

// inFlight returns the number of calls that count against the limit. While the
// leaf is cold or ramping up, calls that it never answered count as well.
func (d *Dispatcher) inFlight() int {
	if d.health.cold || d.health.rampingUp {
		return len(d.running) + len(d.unanswered)
	}
	return len(d.running)
}

// startCall sends a call on connection n.
func (d *Dispatcher) startCall(e *callEntry, n int) {
	c := &d.connections[n]
	c.state = connectionBusy
	c.lastCall = e.call.ID
	e.connection = n
	e.startedAt = d.now
	e.releaseAt = e.deadline.Add(d.config.CallGracePeriod)
	e.incarnationUnknown = c.incarnation == 0
	if e.incarnationUnknown {
		d.unknownIncarnationCalls++
	}
	e.runningIndex = len(d.running)
	d.running = append(d.running, e)
	d.counters.Started++
	d.scheduleWake(e.deadline)
	d.actions = append(d.actions, Action{
		Kind:       ActionStart,
		ID:         e.call.ID,
		Connection: n,
		Call:       e.call,
	})
	d.actions[len(d.actions)-1].Call.Timeout = e.deadline.Sub(d.now)
}

// finishCall handles the end of a running call.
func (d *Dispatcher) finishCall(o *Outcome) {
	e := d.calls[o.Reply.ID]
	if e == nil || !e.started() {
		d.counters.DroppedReplies++
		d.handleLateReply(o)
		return
	}
	if o.Connection != e.connection {
		d.counters.MismatchedReplies++
	}
	answered := o.Reply.Incarnation != 0
	inFlight := d.inFlight()
	fromLatest := answered && d.observeReply(o, e.connection)
	d.removeRunning(e, !answered && o.Written)
	d.releaseConnection(e, o, answered)
	d.recordOutcome(e, o, fromLatest, inFlight)
	if e.replied {
		d.counters.DroppedReplies++
	} else {
		r := o.Reply
		r.RunState = runStateOf(o)
		d.sendReply(e, r)
	}
	d.releaseEntry(e)
}

// runStateOf returns what is certain about whether the leaf ran the call.
func runStateOf(o *Outcome) anvilmodel.RunState {
	if o.Reply.Incarnation == 0 {
		if o.Written {
			return anvilmodel.RunStateUnknown
		}
		return anvilmodel.RunStateNotRun
	}
	if o.Reply.Result == anvilmodel.CallOK {
		return anvilmodel.RunStateRun
	}
	return o.Reply.RunState
}

// removeRunning removes a call from the running ones. A call that the leaf may
// still be running counts until its deadline and the grace period have passed.
func (d *Dispatcher) removeRunning(e *callEntry, mayStillRun bool) {
	last := len(d.running) - 1
	d.running[e.runningIndex] = d.running[last]
	d.running[e.runningIndex].runningIndex = e.runningIndex
	d.running[last] = nil
	d.running = d.running[:last]
	if mayStillRun && d.now.Before(e.releaseAt) {
		d.scheduleWake(e.releaseAt)
		d.unanswered = append(d.unanswered, unansweredCall{
			releaseAt:          e.releaseAt,
			incarnationUnknown: e.incarnationUnknown,
		})
		return
	}
	if e.incarnationUnknown {
		d.unknownIncarnationCalls--
	}
}

// processDeadlines handles everything that is due, and computes when something
// is due next.
func (d *Dispatcher) processDeadlines() {
	if !d.afterPause && (d.nextWake.IsZero() || d.now.Before(d.nextWake)) {
		return
	}
	d.nextWake = time.Time{}
	d.expireQueue()
	d.expireRunning()
	d.expireUnanswered()
	d.expireConnectAttempts()
	if d.now.Before(d.quietUntil) {
		d.scheduleWake(d.quietUntil)
	}
}

// expireQueue refuses the waiting calls that can no longer finish in time.
func (d *Dispatcher) expireQueue() {
	minServiceTime := d.latency.minServiceTime()
	for i := 0; i < d.queue.len(); {
		e := d.queue.entries[i]
		if d.cannotFinishInTime(e) {
			d.queue.removeAt(i)
			d.counters.Expired++
			d.refuseCall(e)
			continue
		}
		// From this time on, the call cannot finish in time.
		d.scheduleWake(e.deadline.Add(1 - minServiceTime))
		i++
	}
}

// expireRunning answers the running calls whose deadline has passed, and
// abandons those that are still unanswered after the grace period.
func (d *Dispatcher) expireRunning() {
	for i := len(d.running) - 1; i >= 0; i-- {
		e := d.running[i]
		if d.now.Before(e.deadline) {
			d.scheduleWake(e.deadline)
			continue
		}
		if !e.deadlineHandled {
			d.handleDeadline(e)
		}
		if d.now.Before(e.releaseAt) {
			d.scheduleWake(e.releaseAt)
			continue
		}
		d.abandonCall(e)
	}
}

// handleDeadline handles a running call whose deadline has passed.
func (d *Dispatcher) handleDeadline(e *callEntry) {
	e.deadlineHandled = true
	if d.afterPause {
		// The reply may have arrived during the pause, so the timeout does not
		// yet count against the leaf or the connection.
		e.releaseAt = d.now.Add(d.config.CallGracePeriod)
	} else {
		d.recordUnanswered(&d.connections[e.connection])
		if !e.cancelled {
			d.recordTimeout(e)
		}
	}
	if e.replied {
		return
	}
	d.counters.TimedOut++
	d.requestCancellation(e)
	d.sendReply(e, anvilmodel.CallReply{
		Result:   anvilmodel.CallTimeout,
		RunState: anvilmodel.RunStateUnknown,
	})
}

// abandonCall abandons a call that was answered neither by its deadline nor in
// the grace period. Its connection carries no other call until it is replaced
// or answers.
func (d *Dispatcher) abandonCall(e *callEntry) {
	c := &d.connections[e.connection]
	c.state = connectionStuck
	d.recordUnanswered(c)
	d.removeRunning(e, false)
	d.releaseEntry(e)
	d.replaceSilentConnections()
}

// expireUnanswered removes the unanswered calls that the leaf can no longer be
// running.
func (d *Dispatcher) expireUnanswered() {
	d.unanswered = slices.DeleteFunc(d.unanswered, func(c unansweredCall) bool {
		if d.now.Before(c.releaseAt) {
			d.scheduleWake(c.releaseAt)
			return false
		}
		if c.incarnationUnknown {
			d.unknownIncarnationCalls--
		}
		return true
	})
}
