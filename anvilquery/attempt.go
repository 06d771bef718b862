package anvilquery

import "anvilbridge/anvilmodel"

// Attempt numbers are allocated in blocks: one block per query, and another one
// when the query restarts. The upper bits (the block) identify the query and the
// lower bits the call within it, so a reply is matched without a search. A reply to
// an earlier query or an earlier snapshot with the same request id matches nothing.
// The protocol between nodes encodes attempts in 31 bits.
const (
	blockBits  = 12
	blockSize  = 1 << blockBits
	blockCount = 1 << (31 - blockBits)
	// maxRunningQueries keeps enough blocks free that no block is reused while a
	// reply to its previous query can still arrive.
	maxRunningQueries = blockCount / 2
)

// allocateBlock assigns an unused block of attempt numbers to the query.
func (o *Origin) allocateBlock(q *Query) {
	for {
		o.lastBlock = (o.lastBlock + 1) % blockCount
		if _, taken := o.running[o.lastBlock]; !taken {
			break
		}
	}
	o.running[o.lastBlock] = q
	q.block = o.lastBlock
}

func (q *Query) releaseBlock() {
	delete(q.origin.running, q.block)
}

func (q *Query) callID(n int) anvilmodel.CallID {
	return anvilmodel.CallID{
		Request: q.request.ID,
		Origin:  q.origin.config.Incarnation,
		Attempt: q.block<<blockBits | n,
	}
}

// matchReply returns the index of the outstanding call that a reply answers. A
// reply that answers none is dropped and counted, and matchReply returns false.
func (q *Query) matchReply(reply *anvilmodel.CallReply) (int, bool) {
	o := q.origin
	n := reply.ID.Attempt & (blockSize - 1)
	block := reply.ID.Attempt >> blockBits
	sameRequest := reply.ID.Request == q.request.ID && reply.ID.Origin == o.config.Incarnation
	switch {
	case !sameRequest, block == q.block && n >= len(q.calls), block == q.block && q.calls[n].leaf.name != reply.Leaf:
		o.counters.DroppedMismatched++
		return 0, false
	case q.done, block != q.block, q.calls[n].ended:
		o.discardLateReply(o.leaves[reply.Leaf], reply, q.now)
		return 0, false
	default:
		return n, true
	}
}
