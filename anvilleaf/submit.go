package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// awayRetry is stated when the leaf takes no call until something outside
	// of this dispatcher changes.
	awayRetry = time.Second
	// leastRetry is the shortest retry-after time stated.
	leastRetry = time.Millisecond
)

// submit queues a call or refuses it.
func (d *Dispatcher) submit(c *anvilmodel.Call) {
	if _, ok := d.calls[c.ID]; ok {
		d.counters.Duplicates++
		return
	}
	d.counters.Submitted++
	e := d.newEntry(c)
	if !d.admits(e) {
		d.refuse(e)
		return
	}
	if d.queue.len() >= d.config.queueSize() {
		last := d.queue.last()
		if compareRank(last, e) < 0 {
			d.refuse(e)
			return
		}
		d.queue.remove(last)
		d.counters.Displaced++
		d.refuse(last)
	}
	if d.queue.position(e) < d.queue.len() {
		// The calls behind it wait longer now.
		d.shrunk = true
	}
	d.queue.insert(e)
	d.calls[c.ID] = e
	if d.breaker.state(d.now) == BreakerHalfOpen {
		d.breaker.probe = e
		d.closeIdle()
	}
	d.wakeAt(e.deadline.Add(-d.latency.fastest()))
}

// admits reports whether a new call may wait for its turn.
func (d *Dispatcher) admits(e *entry) bool {
	if d.barred(e) || d.hopeless(e) {
		return false
	}
	if e.call.Hedge && 2*d.queue.len() > d.config.queueSize() {
		d.counters.HedgesRefused++
		return false
	}
	return d.inTime(e, d.queue.position(e))
}

// barred reports whether nothing but a change from outside, or the end of the
// breaker's back-off, lets the call start.
func (d *Dispatcher) barred(e *entry) bool {
	if d.away() {
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
	return d.judgement.cold && (d.isolated || d.config.Share.ColdConcurrency == 0)
}

// hopeless reports whether the time left is shorter than the leaf's fastest
// recent call.
func (d *Dispatcher) hopeless(e *entry) bool {
	left := e.deadline.Sub(d.now)
	return left <= 0 || left < d.latency.fastest()
}

// inTime reports whether a call with the given number of calls ahead of it is
// expected to start early enough.
func (d *Dispatcher) inTime(e *entry, ahead int) bool {
	return d.wait(ahead)+d.latency.fastest() < e.deadline.Sub(d.now)
}

// wait estimates how long a call waits that has the given number ahead of it.
func (d *Dispatcher) wait(ahead int) time.Duration {
	limit := int(d.limit)
	start := time.Duration(0)
	if d.judgement.cold {
		limit = d.config.Share.ColdConcurrency
		start = max(d.quietUntil.Sub(d.now), 0)
	}
	if d.live == 0 {
		start += d.config.ConnectTime
	}
	free := max(limit-d.inFlight(), 0)
	if ahead < free || limit == 0 {
		return start
	}
	return start + time.Duration(ahead+1-free)*d.latency.recent/time.Duration(limit)
}

// retryAfter estimates when a refused call could be taken.
func (d *Dispatcher) retryAfter() time.Duration {
	if d.away() {
		return awayRetry
	}
	if d.breaker.state(d.now) == BreakerOpen {
		return max(d.breaker.retryAt.Sub(d.now), leastRetry)
	}
	if d.judgement.cold && (d.isolated || d.config.Share.ColdConcurrency == 0) {
		return awayRetry
	}
	return max(d.wait(d.queue.len()), d.latency.recent, leastRetry)
}

// prune refuses the waiting calls that can no longer start in time.
func (d *Dispatcher) prune() {
	d.shrunk = false
	for i := 0; i < d.queue.len(); {
		e := d.queue.entries[i]
		if !d.barred(e) && d.inTime(e, i) {
			i++
			continue
		}
		d.queue.removeAt(i)
		d.refuse(e)
	}
}

// cancel ends a waiting or running call for its origin.
func (d *Dispatcher) cancel(id anvilmodel.CallID) {
	e := d.calls[id]
	if e == nil || e.replied {
		return
	}
	d.counters.Cancelled++
	if !e.started() {
		d.queue.remove(e)
		d.reply(e, anvilmodel.CallReply{
			Result:   anvilmodel.CallCancelled,
			RunState: anvilmodel.RunStateNotRun,
		})
		d.recycle(e)
		return
	}
	e.cancelled = true
	d.stop(e)
	d.reply(e, anvilmodel.CallReply{
		Result:   anvilmodel.CallCancelled,
		RunState: anvilmodel.RunStateUnknown,
	})
}

// stop asks the leaf to stop a running call.
func (d *Dispatcher) stop(e *entry) {
	d.actions = append(d.actions, Action{
		Kind:       ActionCancel,
		ID:         e.call.ID,
		Connection: e.connection,
	})
}

// refuse answers a call that was never started and forgets it.
func (d *Dispatcher) refuse(e *entry) {
	d.counters.Refused++
	d.reply(e, anvilmodel.CallReply{
		Result:     anvilmodel.CallShed,
		RunState:   anvilmodel.RunStateNotRun,
		RetryAfter: d.retryAfter(),
	})
	d.recycle(e)
}

// reply hands the one reply of a call to its origin.
func (d *Dispatcher) reply(e *entry, r anvilmodel.CallReply) {
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

// newEntry takes an entry from the free list, or makes one.
func (d *Dispatcher) newEntry(c *anvilmodel.Call) *entry {
	var e *entry
	if n := len(d.free); n > 0 {
		e = d.free[n-1]
		d.free = d.free[:n-1]
	} else {
		e = &entry{}
	}
	d.sequence++
	e.call = *c
	e.deadline = d.now.Add(c.Timeout)
	e.sequence = d.sequence
	return e
}

// recycle forgets an entry that is neither waiting nor running.
func (d *Dispatcher) recycle(e *entry) {
	if d.breaker.probe == e {
		d.breaker.probe = nil
	}
	if d.calls[e.call.ID] == e {
		delete(d.calls, e.call.ID)
	}
	*e = entry{}
	d.free = append(d.free, e)
}
