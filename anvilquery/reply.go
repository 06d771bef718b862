package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// HandleReply processes a reply and appends the resulting actions. Replies that do
// not answer an outstanding call of this query are dropped and counted.
func (q *Query) HandleReply(reply anvilmodel.CallReply, now time.Time, actions []Action) []Action {
	q.advanceTime(now)
	n, ok := q.matchReply(&reply)
	if q.done {
		return actions
	}
	if ok {
		actions = q.applyReply(n, &reply, actions)
	}
	return q.processDue(actions)
}

// applyReply ends the call that a reply answers and processes its result.
func (q *Query) applyReply(n int, reply *anvilmodel.CallReply, actions []Action) []Action {
	c := &q.calls[n]
	q.origin.applyReplyState(c.leaf, reply, q.now)
	q.endCall(c)
	if reply.Result != anvilmodel.CallOK {
		return q.handleFailure(n, q.classifyFailure(c, reply), actions)
	}
	c.leaf.recordSuccess()
	if !q.matchesCall(c, reply.Holding) {
		// The leaf answered for another snapshot or shard, so it no longer holds
		// the requested one. Using the reply would mix snapshots or falsify the
		// coverage.
		q.origin.counters.DroppedWrongHolding++
		q.summary.ran = true
		if q.request.Class.NonIdempotent {
			return q.handleFailure(n, followUpNone, actions)
		}
		return q.handleFailure(n, followUpReroute, actions)
	}
	return q.acceptReply(n, reply, actions)
}

func (q *Query) matchesCall(c *callState, h anvilmodel.Holding) bool {
	return h == anvilmodel.Holding{
		Snapshot:   q.pinned.snapshot,
		Shard:      q.shards[c.shard].shard,
		ShardCount: q.pinned.shardCount,
	}
}

// endCall marks an outstanding call as ended.
func (q *Query) endCall(c *callState) {
	c.ended = true
	c.leaf.outstanding--
	q.shards[c.shard].outstanding--
	if c.kind == callHedge {
		q.hedges.outstanding--
	}
	if c.probe {
		c.leaf.endProbe(q.now)
	}
}

// acceptReply stores the first good reply for a shard and cancels its other calls.
func (q *Query) acceptReply(n int, reply *anvilmodel.CallReply, actions []Action) []Action {
	c := &q.calls[n]
	s := &q.shards[c.shard]
	s.answered = true
	s.body = reply.Body
	q.answeredShards++
	q.unresolvedShards--
	if q.hasValidTiming(c) {
		q.service.latency.recordReply(q.now-c.sent, q.now)
	}
	if c.kind == callHedge {
		q.origin.counters.HedgesWon++
	}
	for m := s.lastCall; m >= 0 && s.outstanding > 0; m = q.calls[m].previousCall {
		loser := &q.calls[m]
		if loser.ended {
			continue
		}
		if c.kind == callHedge && loser.leaf.recordHedgeLoss(loser.probe, q.now) {
			q.origin.counters.CircuitsOpened++
		}
		actions = q.cancelCall(int(m), actions)
	}
	return actions
}

// hasValidTiming reports whether the measured duration of a call is that of the
// upstream. It is not if this process was paused after the call was sent.
func (q *Query) hasValidTiming(c *callState) bool {
	return c.sent >= q.resumedAt
}

// cancelCall cancels an outstanding call that is no longer needed.
func (q *Query) cancelCall(n int, actions []Action) []Action {
	c := &q.calls[n]
	q.endCall(c)
	if q.hasValidTiming(c) {
		q.service.latency.recordUnanswered(min(q.now-c.sent, c.timeout), q.now)
	}
	q.origin.counters.Cancelled++
	return append(actions, Action{
		Kind:  ActionCancel,
		Query: q,
		Call: anvilmodel.Call{
			ID:      q.callID(n),
			Leaf:    c.leaf.name,
			Service: q.request.Service,
			Class:   q.request.Class.Name,
		},
	})
}

func (q *Query) cancelOutstanding(actions []Action) []Action {
	for n := range q.calls {
		if !q.calls[n].ended {
			actions = q.cancelCall(n, actions)
		}
	}
	return actions
}
