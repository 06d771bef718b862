package anvilleaf

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// pump starts waiting calls while the limit and the connections allow it.
func (d *Dispatcher) pump() {
	for d.queue.len() > 0 && d.headroom() > 0 {
		e := d.queue.entries[0]
		if d.hopeless(e) {
			d.queue.removeAt(0)
			d.counters.Expired++
			d.refuse(e)
			continue
		}
		n := d.pick()
		if n == 0 {
			break
		}
		d.queue.removeAt(0)
		d.start(e, n)
	}
	d.provision()
}

// headroom returns how many more calls may be in flight now.
func (d *Dispatcher) headroom() int {
	limit := d.startLimit(d.now)
	if limit > 0 && d.breaker.state(d.now) == BreakerHalfOpen {
		if d.breaker.probe == nil || d.breaker.probe.started() {
			return 0
		}
		if !d.judgement.cold {
			// Calls from before the opening do not hold up the probe.
			return 1
		}
	}
	return max(limit-d.inFlight(), 0)
}

// startLimit returns the limit under which calls may start at now.
func (d *Dispatcher) startLimit(now time.Time) int {
	if d.away() {
		return 0
	}
	if d.judgement.cold && now.Before(d.quietUntil) {
		return 0
	}
	switch d.breaker.state(now) {
	case BreakerOpen:
		return 0
	case BreakerHalfOpen:
		return min(d.limitNow(), 1)
	default:
		return d.limitNow()
	}
}

// limitNow returns the limit that goes with the judgement of the leaf.
func (d *Dispatcher) limitNow() int {
	if d.judgement.cold {
		return d.config.Share.ColdConcurrency
	}
	return int(d.limit)
}

// inFlight returns the number of calls that count against the limit. While the
// leaf is cold or ramps up, calls that it never answered count as well.
func (d *Dispatcher) inFlight() int {
	if d.judgement.cold || d.judgement.ramping {
		return len(d.running) + len(d.ghosts)
	}
	return len(d.running)
}

// start sends a call on connection n.
func (d *Dispatcher) start(e *entry, n int) {
	c := &d.connections[n]
	c.state = connectionBusy
	c.call = e.call.ID
	e.connection = n
	e.startedAt = d.now
	e.releaseAt = e.deadline.Add(d.config.CallGracePeriod)
	e.unconfirmed = c.incarnation == 0
	if e.unconfirmed {
		d.unconfirmed++
	}
	e.index = len(d.running)
	d.running = append(d.running, e)
	d.counters.Started++
	d.wakeAt(e.deadline)
	d.actions = append(d.actions, Action{
		Kind:       ActionStart,
		ID:         e.call.ID,
		Connection: n,
		Call:       e.call,
	})
	d.actions[len(d.actions)-1].Call.Timeout = e.deadline.Sub(d.now)
}

// settle takes the end of a running call.
func (d *Dispatcher) settle(o *Outcome) {
	e := d.calls[o.Reply.ID]
	if e == nil || !e.started() {
		d.counters.DroppedReplies++
		d.revive(o)
		return
	}
	if o.Connection != e.connection {
		d.counters.MismatchedReplies++
	}
	answered := o.Reply.Incarnation != 0
	inFlight := d.inFlight()
	current := answered && d.observeReply(o, e.connection)
	d.leaveRunning(e, !answered && o.Written)
	d.freeConnection(e, o, answered)
	d.judge(e, o, current, inFlight)
	if e.replied {
		d.counters.DroppedReplies++
	} else {
		r := o.Reply
		r.RunState = ranState(o)
		d.reply(e, r)
	}
	d.recycle(e)
}

// ranState returns what is certain about whether the leaf ran the call.
func ranState(o *Outcome) anvilmodel.RunState {
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

// leaveRunning takes a call out of the running ones. A call that the leaf did
// not answer is counted until its deadline and the margin have passed.
func (d *Dispatcher) leaveRunning(e *entry, counted bool) {
	last := len(d.running) - 1
	d.running[e.index] = d.running[last]
	d.running[e.index].index = e.index
	d.running[last] = nil
	d.running = d.running[:last]
	if counted && d.now.Before(e.releaseAt) {
		d.wakeAt(e.releaseAt)
		d.ghosts = append(d.ghosts, ghost{
			releaseAt:   e.releaseAt,
			unconfirmed: e.unconfirmed,
		})
		return
	}
	if e.unconfirmed {
		d.unconfirmed--
	}
}

// expire does everything that is due, and works out when the next thing is.
func (d *Dispatcher) expire() {
	if !d.paused && (d.wake.IsZero() || d.now.Before(d.wake)) {
		return
	}
	d.wake = time.Time{}
	d.expireQueue()
	d.expireRunning()
	d.expireGhosts()
	d.expireOpenings()
	if d.now.Before(d.quietUntil) {
		d.wakeAt(d.quietUntil)
	}
}

// expireQueue refuses the waiting calls whose time has run out.
func (d *Dispatcher) expireQueue() {
	fast := d.latency.fastest()
	for i := 0; i < d.queue.len(); {
		e := d.queue.entries[i]
		if d.hopeless(e) {
			d.queue.removeAt(i)
			d.counters.Expired++
			d.refuse(e)
			continue
		}
		// Hopeless begins just after this moment.
		d.wakeAt(e.deadline.Add(1 - fast))
		i++
	}
}

// expireRunning answers the running calls whose deadline has passed, and gives
// up those whose cancellation has gone unanswered as well.
func (d *Dispatcher) expireRunning() {
	for i := len(d.running) - 1; i >= 0; i-- {
		e := d.running[i]
		if d.now.Before(e.deadline) {
			d.wakeAt(e.deadline)
			continue
		}
		if !e.late {
			d.timeOut(e)
		}
		if d.now.Before(e.releaseAt) {
			d.wakeAt(e.releaseAt)
			continue
		}
		d.abandon(e)
	}
}

// timeOut deals with a running call whose deadline has passed.
func (d *Dispatcher) timeOut(e *entry) {
	e.late = true
	if d.paused {
		// The reply may have arrived during the pause, so neither the leaf nor
		// the connection is to blame yet.
		e.releaseAt = d.now.Add(d.config.CallGracePeriod)
	} else {
		d.suspect(&d.connections[e.connection])
		if !e.cancelled {
			d.blameTimeout(e)
		}
	}
	if e.replied {
		return
	}
	d.counters.TimedOut++
	d.stop(e)
	d.reply(e, anvilmodel.CallReply{
		Result:   anvilmodel.CallTimeout,
		RunState: anvilmodel.RunStateUnknown,
	})
}

// abandon gives up a call that was answered by neither its deadline nor the
// margin. Its connection takes no call until it is replaced or answers.
func (d *Dispatcher) abandon(e *entry) {
	c := &d.connections[e.connection]
	c.state = connectionStuck
	d.suspect(c)
	d.leaveRunning(e, false)
	d.recycle(e)
	d.checkSuspects()
}

// expireGhosts forgets the calls that the leaf can no longer be working on.
func (d *Dispatcher) expireGhosts() {
	d.ghosts = slices.DeleteFunc(d.ghosts, func(g ghost) bool {
		if d.now.Before(g.releaseAt) {
			d.wakeAt(g.releaseAt)
			return false
		}
		if g.unconfirmed {
			d.unconfirmed--
		}
		return true
	})
}
