package anvilleaf

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// callEntry tracks one call from its submission until the leaf is done with it.
type callEntry struct {
	call     anvilmodel.Call
	deadline time.Time
	// sequence orders calls of equal priority and deadline by arrival.
	sequence  uint64
	startedAt time.Time
	// releaseAt is when an unanswered call no longer counts as in flight.
	releaseAt time.Time
	// connection is 0 while the call waits.
	connection int
	// runningIndex is the index in Dispatcher.running.
	runningIndex int
	// incarnationUnknown marks a call that was started on a connection of
	// unknown incarnation.
	incarnationUnknown bool
	// replied is set once the origin has its reply, deadlineHandled once the
	// passed deadline has been handled, cancelled once the origin has cancelled
	// the call.
	replied         bool
	deadlineHandled bool
	cancelled       bool
}

// started reports whether the call was sent on a connection.
func (e *callEntry) started() bool {
	return e.connection != 0
}

// queue holds the waiting calls in the order in which they start.
type queue struct {
	entries []*callEntry
}

func (q *queue) len() int {
	return len(q.entries)
}

// position returns how many waiting calls start before e.
func (q *queue) position(e *callEntry) int {
	n, _ := slices.BinarySearchFunc(q.entries, e, compareEntries)
	return n
}

// insert adds e in order.
func (q *queue) insert(e *callEntry) {
	q.entries = slices.Insert(q.entries, q.position(e), e)
}

// last returns the call that is displaced first.
func (q *queue) last() *callEntry {
	return q.entries[len(q.entries)-1]
}

// removeAt removes and returns the call at index i.
func (q *queue) removeAt(i int) *callEntry {
	e := q.entries[i]
	q.entries = slices.Delete(q.entries, i, i+1)
	return e
}

func (q *queue) remove(e *callEntry) {
	q.removeAt(q.position(e))
}

// compareEntries orders by priority, then deadline, then arrival.
func compareEntries(a, b *callEntry) int {
	if a.call.Priority != b.call.Priority {
		return b.call.Priority - a.call.Priority
	}
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	if a.sequence < b.sequence {
		return -1
	}
	if a.sequence > b.sequence {
		return 1
	}
	return 0
}
