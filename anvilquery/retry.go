package anvilquery

import "anvilbridge/anvilmodel"

// loss says what may be done about a call that brought no answer.
type loss uint8

const (
	// lossFinal allows no other call.
	lossFinal loss = iota
	// lossShed and lossBroken allow a retry within the budget.
	lossShed
	lossBroken
	// lossMoved means that the leaf no longer holds the shard of the snapshot.
	// Trying another leaf is free of the budget: each leaf says so once.
	lossMoved
)

// judge learns from a reply without an answer and says what may be done. A
// non-idempotent call may only be followed by another after a certain not-run.
func (q *Query) judge(c *callState, reply *anvilmodel.CallReply) loss {
	l := q.lossOf(c, reply)
	certain := reply.RunState == anvilmodel.RunStateNotRun && reply.Result != anvilmodel.CallFailed
	switch {
	case certain:
		q.evidence.notRun++
	case reply.RunState == anvilmodel.RunStateRun, reply.Result == anvilmodel.CallFailed:
		q.evidence.ran = true
	}
	if q.request.Class.NonIdempotent && !certain {
		return lossFinal
	}
	return l
}

func (q *Query) lossOf(c *callState, reply *anvilmodel.CallReply) loss {
	switch reply.Result {
	case anvilmodel.CallShed:
		// Dispatchers refuse hedges long before they refuse other calls, so this
		// says nothing about those.
		if c.kind != callHedge {
			q.shed(c.leaf, reply)
		}
		return lossShed
	case anvilmodel.CallSnapshotGone:
		if reply.Incarnation == 0 || reply.Incarnation == c.leaf.incarnation {
			c.leaf.stateGone(q.layout.snapshot, q.now)
		}
		return lossMoved
	case anvilmodel.CallFailed:
		c.failed = true
		return lossFinal
	case anvilmodel.CallTimeout:
		if q.timed(c) {
			q.service.latency.lost(min(q.now-c.sent, c.timeout), q.now)
		}
		if reply.RunState != anvilmodel.RunStateNotRun {
			q.blame(c)
		}
		return lossBroken
	case anvilmodel.CallBroken:
		q.blame(c)
		return lossBroken
	default:
		return lossBroken
	}
}

// shed notes until when a leaf takes no retries.
func (q *Query) shed(l *leaf, reply *anvilmodel.CallReply) {
	wait := min(reply.RetryAfter, backOffMaximum)
	if wait <= 0 {
		wait = q.origin.config.RetryAfter
	}
	l.shedUntil = max(l.shedUntil, q.now+wait)
	q.evidence.shed = true
	q.evidence.retryAt = max(q.evidence.retryAt, l.shedUntil)
}

// blame counts a failure of the leaf that was called.
func (q *Query) blame(c *callState) {
	if c.leaf.failed(c.probe, q.now) {
		q.origin.counters.CircuitsOpened++
	}
}

// lose looks for another leaf after a call was lost. While another call for the
// shard is outstanding, nothing is done.
func (q *Query) lose(n int, l loss, actions []Action) []Action {
	i := q.calls[n].shard
	s := &q.shards[i]
	if s.settled() || s.open > 0 {
		return actions
	}
	if l == lossFinal || !q.timeFor(q.service.latency.fast) || !q.room() {
		q.fail(s)
		return actions
	}
	next := q.choose(s, callRetry)
	if next == nil {
		q.stranded = q.stranded || l != lossShed && q.exhausted(s)
		q.fail(s)
		return actions
	}
	if l == lossMoved {
		q.origin.counters.Reroutes++
	} else if q.service.retry.take() {
		q.origin.counters.Retries++
	} else {
		q.origin.counters.RetriesRefused++
		q.fail(s)
		return actions
	}
	return q.send(i, next, callRetry, actions)
}

// exhausted reports whether no leaf that could still be called holds the shard.
func (q *Query) exhausted(s *shardState) bool {
	for _, l := range q.layout.holding(s.shard) {
		if l.available(q.now) && !q.tried(s, l) {
			return false
		}
	}
	return true
}

// restart begins again on a newer complete snapshot, once, if there is time for
// it. The old calls are cancelled and their replies no longer match, so that the
// answer cannot mix snapshots. An urgent query that covers enough does not take
// the time.
func (q *Query) restart(actions []Action) []Action {
	if q.restarted || q.request.Class.NonIdempotent || q.satisfied() || !q.timeFor(q.expected()) {
		return actions
	}
	m := q.service.newer(q.layout, q.now)
	if m == nil {
		return actions
	}
	q.restarted = true
	q.origin.counters.Restarts++
	actions = q.cancelOpen(actions)
	q.blameFailed()
	q.dropBlock()
	q.lay(m)
	return q.sendPrimaries(false, actions)
}
