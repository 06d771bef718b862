package anvilquery

import "time"

// hedgeQueue holds the calls of a query that may be hedged, in the order in
// which they were sent. The delay is the same for all, so this is the order in
// which they are due. Each call passes through the queue once, which keeps the
// cost of an event independent of the number of shards.
type hedgeQueue struct {
	entries []hedgeEntry
	// Entries before served are dealt with. Those from served to examined are
	// due and wait for a token. The others are not due yet.
	served   int
	examined int
	// open counts hedges that are outstanding.
	open int
	// round is when the first calls are due, passed whether that was dealt with.
	round  time.Duration
	passed bool
	// grace is when the last hedge has had the time in which it probably replies.
	grace time.Duration
	// hold is when hedging goes on after a pause.
	hold time.Duration
	// againAt is when a token is looked for again.
	againAt time.Duration
}

type hedgeEntry struct {
	call int32
	due  time.Duration
}

func (h *hedgeQueue) reset(round time.Duration) {
	*h = hedgeQueue{
		entries: h.entries[:0],
		round:   round,
		hold:    h.hold,
	}
}

func (h *hedgeQueue) add(call int, due time.Duration) {
	h.entries = append(h.entries, hedgeEntry{
		call: int32(call),
		due:  due,
	})
}

// next returns when the queue has something to do.
func (h *hedgeQueue) next(q *Query) (time.Duration, bool) {
	if h.passed && q.satisfied() {
		return 0, false
	}
	for h.served == h.examined && h.examined < len(h.entries) && q.calls[h.entries[h.examined].call].ended {
		h.served++
		h.examined++
	}
	starved := h.served < h.examined
	pending := h.examined < len(h.entries)
	switch {
	case pending && starved:
		return max(h.hold, min(h.againAt, h.entries[h.examined].due)), true
	case pending:
		return max(h.hold, h.entries[h.examined].due), true
	default:
		return max(h.hold, h.againAt), starved
	}
}

// hedge sends the hedges that are due, as far as the tokens go. An urgent query
// that covers enough sends only those of its first round.
func (q *Query) hedge(actions []Action) []Action {
	h := &q.hedges
	if q.now < h.hold || h.passed && q.satisfied() {
		return actions
	}
	actions = q.hedgeStarved(actions)
	for h.examined < len(h.entries) && h.entries[h.examined].due <= q.now {
		n := h.entries[h.examined].call
		h.examined++
		actions = q.hedgeDue(n, actions)
	}
	h.passed = h.passed || q.now >= h.round
	if h.served < h.examined {
		h.againAt = q.now + max(q.delay, (q.deadline-q.arrived)/starvedLooks)
	}
	return actions
}

// starvedLooks bounds how often a query without events looks for a token.
const starvedLooks = 16

// hedgeStarved hedges the calls that were due before and found no token.
func (q *Query) hedgeStarved(actions []Action) []Action {
	h := &q.hedges
	for h.served < h.examined && q.service.hedge.has() {
		n := h.entries[h.served].call
		h.served++
		if l := q.hedgeLeaf(n); l != nil {
			q.service.hedge.take()
			actions = q.sendHedge(n, l, actions)
		}
	}
	return actions
}

// hedgeDue hedges a call that has just become due.
func (q *Query) hedgeDue(n int32, actions []Action) []Action {
	h := &q.hedges
	waiting := h.served < h.examined-1
	l := q.hedgeLeaf(n)
	if l != nil && (waiting || !q.service.hedge.take()) {
		q.origin.counters.HedgesRefused++
		return actions
	}
	if !waiting {
		h.served++
	}
	if l != nil {
		actions = q.sendHedge(n, l, actions)
	}
	return actions
}

// hedgeLeaf returns the leaf for a hedge of a call, or nil when the call is not
// outstanding, its shard was hedged, no other leaf can take it, or the time left
// is less than what half of the replies take.
func (q *Query) hedgeLeaf(n int32) *leaf {
	c := &q.calls[n]
	s := &q.shards[c.shard]
	if c.ended || s.hedged || !q.timeFor(q.service.latency.median) || !q.room() {
		return nil
	}
	return q.choose(s, callHedge)
}

func (q *Query) sendHedge(n int32, l *leaf, actions []Action) []Action {
	q.origin.counters.HedgesSent++
	q.hedges.grace = q.now + q.grace
	return q.send(q.calls[n].shard, l, callHedge, actions)
}

// room reports whether the block of attempt numbers allows another call.
func (q *Query) room() bool {
	return len(q.calls) < blockSize
}
