package anvilbench

import "time"

// epoch is the instant at which every run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function that runs at an instant of the virtual clock.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// before orders events by instant, then by the order of planning.
func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// clock is a virtual clock with its pending events. Instants are times since the
// epoch. Events of the same instant run in the order in which they were planned.
type clock struct {
	now       time.Duration
	lastOrder uint64
	// pending is a binary heap. With container/heap, a quarter of the time of a
	// run went into the heap.
	pending []event
}

// time returns the present instant as the cores expect it.
func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

// at plans a function for an instant; one in the past runs now.
func (c *clock) scheduleAt(instant time.Duration, run func()) {
	c.lastOrder++
	c.pending = append(c.pending, event{
		at:    max(instant, c.now),
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

// next takes the earliest event out.
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

// after plans a function for a time from now.
func (c *clock) scheduleAfter(wait time.Duration, run func()) {
	c.scheduleAt(c.now+wait, run)
}

// every runs a function at a fixed interval, first after the given time, until
// it returns false.
func (c *clock) scheduleEvery(first, interval time.Duration, run func() bool) {
	c.scheduleAfter(first, func() {
		if run() {
			c.scheduleEvery(interval, interval, run)
		}
	})
}

// runUntil runs all events up to and including an instant.
func (c *clock) runUntil(instant time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= instant {
		e := c.popEarliest()
		c.now = e.at
		e.run()
	}
	c.now = instant
}

// alarm is a timer of a core that states when it wants to run next. Only the
// latest setting counts.
type timer struct {
	due   time.Duration
	armed bool
}

// leastWait keeps a core that asks for the present instant from running forever.
const minTimerDelay = 10 * time.Microsecond

// arm makes sure that run happens at the given instant, unless it is already
// due earlier. The core is asked again then.
func (a *timer) arm(c *clock, next time.Time, run func()) {
	at := max(next.Sub(epoch), c.now+minTimerDelay)
	if a.armed && a.due <= at {
		return
	}
	a.armed = true
	a.due = at
	c.scheduleAt(at, func() {
		if a.armed && a.due == at {
			a.armed = false
			run()
		}
	})
}
