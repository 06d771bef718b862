package anvilbench

import (
	"container/heap"
	"time"
)

// epoch is the instant at which every run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function that runs at an instant of the virtual clock.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// clock is a virtual clock with its pending events. Instants are times since the
// epoch. Events of the same instant run in the order in which they were planned.
type clock struct {
	now      time.Duration
	sequence uint64
	pending  eventHeap
	free     []*event
}

// time returns the present instant as the cores expect it.
func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

// at plans a function for an instant; one in the past runs now.
func (c *clock) at(instant time.Duration, run func()) {
	e := &event{}
	if n := len(c.free); n > 0 {
		e = c.free[n-1]
		c.free = c.free[:n-1]
	}
	c.sequence++
	e.at = max(instant, c.now)
	e.sequence = c.sequence
	e.run = run
	heap.Push(&c.pending, e)
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
		e, _ := heap.Pop(&c.pending).(*event)
		run := e.run
		c.now = e.at
		e.run = nil
		c.free = append(c.free, e)
		run()
	}
	c.now = instant
}

// eventHeap orders events by instant, then by the order of planning.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e, _ := x.(*event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
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
