package anvilleaf

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// entry is one call from its submission until the leaf is done with it.
type entry struct {
	call     anvilmodel.Call
	deadline time.Time
	// sequence orders calls of equal priority and deadline by arrival.
	sequence  uint64
	startedAt time.Time
	// releaseAt is when an unanswered call is no longer counted.
	releaseAt time.Time
	// connection is 0 while the call waits.
	connection int
	// index is the position among the running calls.
	index int
	// unconfirmed marks a call started on a connection whose incarnation was
	// not known.
	unconfirmed bool
	// replied is set once the origin has its reply, late once the deadline has
	// been dealt with, cancelled once the origin has given the call up.
	replied   bool
	late      bool
	cancelled bool
}

// started reports whether the call was handed to a connection.
func (e *entry) started() bool {
	return e.connection != 0
}

// queue holds the waiting calls, the next to start first.
type queue struct {
	entries []*entry
}

// len returns the number of waiting calls.
func (q *queue) len() int {
	return len(q.entries)
}

// position returns how many waiting calls go before e.
func (q *queue) position(e *entry) int {
	n, _ := slices.BinarySearchFunc(q.entries, e, compareRank)
	return n
}

// insert puts e at its position.
func (q *queue) insert(e *entry) {
	q.entries = slices.Insert(q.entries, q.position(e), e)
}

// last returns the call that gives way first.
func (q *queue) last() *entry {
	return q.entries[len(q.entries)-1]
}

// removeAt takes the call at position i out.
func (q *queue) removeAt(i int) *entry {
	e := q.entries[i]
	q.entries = slices.Delete(q.entries, i, i+1)
	return e
}

// remove takes e out.
func (q *queue) remove(e *entry) {
	q.removeAt(q.position(e))
}

// compareRank orders by priority, then deadline, then arrival.
func compareRank(a, b *entry) int {
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
