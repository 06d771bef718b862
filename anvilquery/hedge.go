package anvilquery

import "time"

// hedgeQueue holds the calls of a query that may be hedged, in the order in which
// they were sent. The delay is the same for all calls of a snapshot, so they become
// due in this order. Each call passes through the queue once, which makes the cost
// of an event independent of the number of shards.
type hedgeQueue struct {
	entries []hedgeEntry
	// Entries before firstWaiting have been processed. Entries from firstWaiting up
	// to firstNotDue are due and wait for a token. The remaining entries are not
	// due yet.
	firstWaiting int
	firstNotDue  int
	// outstanding counts hedges that have not ended.
	outstanding int
	// roundAt is when the first calls become due for hedging. roundDone is set once
	// those calls have been processed.
	roundAt   time.Duration
	roundDone bool
	// graceEnd is when the last hedge that was sent has had hedgeGrace to reply.
	graceEnd time.Duration
	// holdUntil is when hedging resumes after a process pause.
	holdUntil time.Duration
	// nextTokenCheck is when the budget is checked again for a token.
	nextTokenCheck time.Duration
}

type hedgeEntry struct {
	call int32
	due  time.Duration
}

func (h *hedgeQueue) reset(roundAt time.Duration) {
	*h = hedgeQueue{
		entries:   h.entries[:0],
		roundAt:   roundAt,
		holdUntil: h.holdUntil,
	}
}

func (h *hedgeQueue) add(call int, due time.Duration) {
	h.entries = append(h.entries, hedgeEntry{
		call: int32(call),
		due:  due,
	})
}

// nextDue returns the next time at which the queue has work, or false if it has
// none.
func (h *hedgeQueue) nextDue(q *Query) (time.Duration, bool) {
	if h.roundDone && q.hasEnoughCoverage() {
		return 0, false
	}
	for h.firstWaiting == h.firstNotDue && h.firstNotDue < len(h.entries) && q.calls[h.entries[h.firstNotDue].call].ended {
		h.firstWaiting++
		h.firstNotDue++
	}
	waiting := h.firstWaiting < h.firstNotDue
	notDue := h.firstNotDue < len(h.entries)
	switch {
	case notDue && waiting:
		return max(h.holdUntil, min(h.nextTokenCheck, h.entries[h.firstNotDue].due)), true
	case notDue:
		return max(h.holdUntil, h.entries[h.firstNotDue].due), true
	default:
		return max(h.holdUntil, h.nextTokenCheck), waiting
	}
}

// sendDueHedges sends the hedges that are due and for which tokens are available.
// An urgent query with enough coverage sends only the hedges of its first round.
func (q *Query) sendDueHedges(actions []Action) []Action {
	h := &q.hedges
	if q.now < h.holdUntil || h.roundDone && q.hasEnoughCoverage() {
		return actions
	}
	actions = q.hedgeWaitingCalls(actions)
	for h.firstNotDue < len(h.entries) && h.entries[h.firstNotDue].due <= q.now {
		n := h.entries[h.firstNotDue].call
		h.firstNotDue++
		actions = q.hedgeDueCall(n, actions)
	}
	h.roundDone = h.roundDone || q.now >= h.roundAt
	if h.firstWaiting < h.firstNotDue {
		h.nextTokenCheck = q.now + max(q.hedgeDelay, (q.deadline-q.arrivedAt)/maxTokenChecks)
	}
	return actions
}

// maxTokenChecks limits how often a query without other events checks for a token.
const maxTokenChecks = 16

// hedgeWaitingCalls hedges calls that became due earlier, when no token was
// available.
func (q *Query) hedgeWaitingCalls(actions []Action) []Action {
	h := &q.hedges
	for h.firstWaiting < h.firstNotDue && q.service.hedgeBudget.hasToken() {
		n := h.entries[h.firstWaiting].call
		h.firstWaiting++
		if l := q.leafForHedge(n); l != nil {
			q.service.hedgeBudget.spend()
			actions = q.sendHedge(n, l, actions)
		}
	}
	return actions
}

// hedgeDueCall hedges a call that has just become due, if a token is available.
func (q *Query) hedgeDueCall(n int32, actions []Action) []Action {
	h := &q.hedges
	waiting := h.firstWaiting < h.firstNotDue-1
	l := q.leafForHedge(n)
	if l != nil && (waiting || !q.service.hedgeBudget.spend()) {
		q.origin.counters.HedgesRefused++
		return actions
	}
	if !waiting {
		h.firstWaiting++
	}
	if l != nil {
		actions = q.sendHedge(n, l, actions)
	}
	return actions
}

// leafForHedge returns the leaf for a hedge of a call. It returns nil if the call
// is not outstanding, its shard was already hedged, no other leaf can take it, or
// the time left is less than the median latency.
func (q *Query) leafForHedge(n int32) *leaf {
	c := &q.calls[n]
	s := &q.shards[c.shard]
	if c.ended || s.hedged || !q.hasTimeFor(q.service.latency.median) || !q.hasFreeAttempt() {
		return nil
	}
	return q.chooseLeaf(s, callHedge)
}

func (q *Query) sendHedge(n int32, l *leaf, actions []Action) []Action {
	q.origin.counters.HedgesSent++
	q.hedges.graceEnd = q.now + q.hedgeGrace
	return q.sendCall(q.calls[n].shard, l, callHedge, actions)
}

// hasFreeAttempt reports whether the query's block of attempt numbers has room for
// another call.
func (q *Query) hasFreeAttempt() bool {
	return len(q.calls) < blockSize
}
