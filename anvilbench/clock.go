package anvilbench

import "time"

// epoch is the instant at which every run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function that runs at an instant of the virtual clock.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// before orders events by instant, then by the order of planning.
func (e *event) before(o *event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.sequence < o.sequence
}

// clock is a virtual clock with its pending events. Instants are times since the
// epoch. Events of the same instant run in the order in which they were planned.
type clock struct {
	now      time.Duration
	sequence uint64
	// pending is a binary heap. With container/heap, a quarter of the time of a
	// run went into the heap.
	pending []event
}

// time returns the present instant as the cores expect it.
func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

// at plans a function for an instant; one in the past runs now.
func (c *clock) at(instant time.Duration, run func()) {
	c.sequence++
	c.pending = append(c.pending, event{
		at:       max(instant, c.now),
		sequence: c.sequence,
		run:      run,
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
func (c *clock) next() event {
	h := c.pending
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	c.pending = h
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h[child].before(&h[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

// after plans a function for a time from now.
func (c *clock) after(wait time.Duration, run func()) {
	c.at(c.now+wait, run)
}

// every runs a function at a fixed interval, first after the given time, until
// it returns false.
func (c *clock) every(first, interval time.Duration, run func() bool) {
	c.after(first, func() {
		if run() {
			c.every(interval, interval, run)
		}
	})
}

// runUntil runs all events up to and including an instant.
func (c *clock) runUntil(instant time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= instant {
		e := c.next()
		c.now = e.at
		e.run()
	}
	c.now = instant
}

// alarm is a timer of a core that states when it wants to run next. Only the
// latest setting counts.
type alarm struct {
	armed time.Duration
	set   bool
}

// leastWait keeps a core that asks for the present instant from running forever.
const leastWait = 10 * time.Microsecond

// arm makes sure that run happens at the given instant, unless it is already
// due earlier. The core is asked again then.
func (a *alarm) arm(c *clock, next time.Time, run func()) {
	at := max(next.Sub(epoch), c.now+leastWait)
	if a.set && a.armed <= at {
		return
	}
	a.set = true
	a.armed = at
	c.at(at, func() {
		if a.set && a.armed == at {
			a.set = false
			run()
		}
	})
}
