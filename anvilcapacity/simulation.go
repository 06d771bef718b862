package anvilcapacity

import (
	"container/heap"
	"time"
)

// networkDelay is one way between failure domains, in simulations.
const networkDelay = 1500 * time.Microsecond

// simulation runs events in the order of a virtual clock.
type simulation struct {
	now      time.Duration
	queue    eventQueue
	sequence int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// after schedules an event. Events of one time run in the order of scheduling.
func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{
		at:       s.now + max(delay, 0),
		sequence: s.sequence,
		run:      run,
	})
}

// runUntil runs the events up to a time, or until done returns true.
func (s *simulation) runUntil(end time.Duration, done func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
		if done != nil && done() {
			return
		}
	}
	s.now = end
}

// time returns the virtual time as a clock reading.
func (s *simulation) time() time.Time {
	return time.Unix(1_700_000_000, 0).Add(s.now)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
