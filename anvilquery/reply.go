package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// HandleReply takes a reply and appends the actions that follow. Replies that do not
// answer an outstanding call of this query are dropped and counted.
func (q *Query) HandleReply(reply anvilmodel.CallReply, now time.Time, actions []Action) []Action {
	q.advance(now)
	n, ok := q.find(&reply)
	if q.done {
		return actions
	}
	if ok {
		actions = q.take(n, &reply, actions)
	}
	return q.proceed(actions)
}

// take ends the call that a reply answers and draws the conclusions.
func (q *Query) take(n int, reply *anvilmodel.CallReply, actions []Action) []Action {
	c := &q.calls[n]
	q.origin.learn(c.leaf, reply, q.now)
	q.close(c)
	if reply.Result != anvilmodel.CallOK {
		return q.lose(n, q.judge(c, reply), actions)
	}
	c.leaf.succeeded()
	if !q.matches(c, reply.Holding) {
		// The leaf answered for something else, so it no longer has what it was
		// asked for. Its answer would break the snapshot or the coverage.
		q.origin.counters.DroppedWrongHolding++
		q.evidence.ran = true
		if q.request.Class.NonIdempotent {
			return q.lose(n, lossFinal, actions)
		}
		return q.lose(n, lossMoved, actions)
	}
	return q.accept(n, reply, actions)
}

func (q *Query) matches(c *callState, h anvilmodel.Holding) bool {
	return h == anvilmodel.Holding{
		Snapshot:   q.layout.snapshot,
		Shard:      q.shards[c.shard].shard,
		ShardCount: q.layout.shards,
	}
}

// close ends an outstanding call.
func (q *Query) close(c *callState) {
	c.ended = true
	c.leaf.outstanding--
	q.shards[c.shard].open--
	if c.kind == callHedge {
		q.hedges.open--
	}
	if c.probe {
		c.leaf.endProbe(q.now)
	}
}

// accept takes the first good reply of a shard and cancels its other calls.
func (q *Query) accept(n int, reply *anvilmodel.CallReply, actions []Action) []Action {
	c := &q.calls[n]
	s := &q.shards[c.shard]
	s.answered = true
	s.body = reply.Body
	q.answered++
	q.unsettled--
	if q.timed(c) {
		q.service.latency.reply(q.now-c.sent, q.now)
	}
	if c.kind == callHedge {
		q.origin.counters.HedgesWon++
	}
	for m := s.last; m >= 0 && s.open > 0; m = q.calls[m].previous {
		loser := &q.calls[m]
		if loser.ended {
			continue
		}
		if c.kind == callHedge && loser.leaf.outrun(loser.probe, q.now) {
			q.origin.counters.CircuitsOpened++
		}
		actions = q.cancel(int(m), actions)
	}
	return actions
}

// timed reports whether the time that a call took is that of the upstream. It is
// not when this process was paused meanwhile.
func (q *Query) timed(c *callState) bool {
	return c.sent >= q.resumed
}

// cancel ends an outstanding call that is no longer needed.
func (q *Query) cancel(n int, actions []Action) []Action {
	c := &q.calls[n]
	q.close(c)
	if q.timed(c) {
		q.service.latency.lost(min(q.now-c.sent, c.timeout), q.now)
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

func (q *Query) cancelOpen(actions []Action) []Action {
	for n := range q.calls {
		if !q.calls[n].ended {
			actions = q.cancel(n, actions)
		}
	}
	return actions
}
