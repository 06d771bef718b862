package anvilquery

import "anvilbridge/anvilmodel"

// Attempt numbers are given out in blocks, one for each query and one more when
// it restarts. The block names the query, the rest the call within it, so a
// reply is matched without a search, and a reply to an earlier query or an
// earlier snapshot with the same request id matches nothing. The protocol
// between nodes carries attempts as 31 bits.
const (
	blockBits  = 12
	blockSize  = 1 << blockBits
	blockCount = 1 << (31 - blockBits)
	// maxRunningQueries keeps enough blocks free that none is reused while a reply to
	// its last owner can still arrive.
	maxRunningQueries = blockCount / 2
)

// allocateBlock gives the query a block of attempt numbers.
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

// matchReply returns the number of the outstanding call that a reply answers. Without
// one it drops and counts the reply.
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
