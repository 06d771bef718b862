package anvilbench

import "time"

// epoch is the wall-clock time that corresponds to simulation time 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function that runs at a given time of the virtual clock.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// before reports whether e runs before other: at an earlier time, or at the same
// time and scheduled earlier.
func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// clock is a virtual clock with an event queue. Times are durations since the
// epoch. Events for the same time run in the order in which they were scheduled.
type clock struct {
	now       time.Duration
	lastOrder uint64
	// pending is a binary heap, implemented here because container/heap took a
	// quarter of the time of a run.
	pending []event
}

// time returns the current time as the query and dispatcher state machines
// expect it.
func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

// scheduleAt schedules a function for the given time, or for now if that time has
// passed.
func (c *clock) scheduleAt(at time.Duration, run func()) {
	c.lastOrder++
	c.pending = append(c.pending, event{
		at:    max(at, c.now),
		order: c.lastOrder,
		run:   run,
	})
	h := c.pending
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(&h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// popEarliest removes and returns the earliest event.
func (c *clock) popEarliest() event {
	h := c.pending
	earliest := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	c.pending = h
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h[child].before(&h[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return earliest
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
}

// scheduleAfter schedules a function to run after a delay.
func (c *clock) scheduleAfter(wait time.Duration, run func()) {
	c.scheduleAt(c.now+wait, run)
}

// scheduleEvery runs a function after a first delay and then at a fixed interval,
// until the function returns false.
func (c *clock) scheduleEvery(first, interval time.Duration, run func() bool) {
	c.scheduleAfter(first, func() {
		if run() {
			c.scheduleEvery(interval, interval, run)
		}
	})
}

// runUntil runs all events up to and including the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		e := c.popEarliest()
		c.now = e.at
		e.run()
	}
	c.now = end
}

// timer wakes a state machine at the time that the state machine asks for. It
// has at most one due time.
type timer struct {
	due   time.Duration
	armed bool
}

// minTimerDelay prevents an endless loop when a state machine asks to run at the
// current time.
const minTimerDelay = 10 * time.Microsecond

// arm schedules run for the given time, unless the timer is already due earlier.
// In that case run arms the timer again, for the time that the state machine asks
// for then.
func (t *timer) arm(c *clock, next time.Time, run func()) {
	at := max(next.Sub(epoch), c.now+minTimerDelay)
	if t.armed && t.due <= at {
		return
	}
	t.armed = true
	t.due = at
	c.scheduleAt(at, func() {
		if t.armed && t.due == at {
			t.armed = false
			run()
		}
	})
}
