package anvilquery

import "anvilbridge/anvilmodel"

// followUp says what may be done about a call that brought no answer.
type followUp uint8

const (
	// followUpNone allows no other call.
	followUpNone followUp = iota
	// followUpAfterShed and lossBroken allow a retry within the budget.
	followUpAfterShed
	followUpAfterBroken
	// followUpReroute means that the leaf no longer holds the shard of the snapshot.
	// Trying another leaf is free of the budget: each leaf says so once.
	followUpReroute
)

// classifyFailure learns from a reply without an answer and says what may be done. A
// non-idempotent call may only be followed by another after a certain not-run.
func (q *Query) classifyFailure(c *callState, reply *anvilmodel.CallReply) followUp {
	l := q.followUpFor(c, reply)
	certainNotRun := reply.RunState == anvilmodel.RunStateNotRun && reply.Result != anvilmodel.CallFailed
	switch {
	case certainNotRun:
		q.summary.notRun++
	case reply.RunState == anvilmodel.RunStateRun, reply.Result == anvilmodel.CallFailed:
		q.summary.ran = true
	}
	if q.request.Class.NonIdempotent && !certainNotRun {
		return followUpNone
	}
	return l
}

func (q *Query) followUpFor(c *callState, reply *anvilmodel.CallReply) followUp {
	switch reply.Result {
	case anvilmodel.CallShed:
		// Dispatchers refuse hedges long before they refuse other calls, so this
		// says nothing about those.
		if c.kind != callHedge {
			q.recordShed(c.leaf, reply)
		}
		return followUpAfterShed
	case anvilmodel.CallSnapshotGone:
		if reply.Incarnation == 0 || reply.Incarnation == c.leaf.incarnation {
			c.leaf.dropHolding(q.pinned.snapshot, q.now)
		}
		return followUpReroute
	case anvilmodel.CallFailed:
		c.reportedError = true
		return followUpNone
	case anvilmodel.CallTimeout:
		if q.hasValidTiming(c) {
			q.service.latency.recordUnanswered(min(q.now-c.sent, c.timeout), q.now)
		}
		if reply.RunState != anvilmodel.RunStateNotRun {
			q.recordLeafFailure(c)
		}
		return followUpAfterBroken
	case anvilmodel.CallBroken:
		q.recordLeafFailure(c)
		return followUpAfterBroken
	default:
		return followUpAfterBroken
	}
}

// recordShed notes until when a leaf takes no retries.
func (q *Query) recordShed(l *leaf, reply *anvilmodel.CallReply) {
	wait := min(reply.RetryAfter, maxBackoff)
	if wait <= 0 {
		wait = q.origin.config.RetryAfter
	}
	l.shedUntil = max(l.shedUntil, q.now+wait)
	q.summary.shed = true
	q.summary.retryAt = max(q.summary.retryAt, l.shedUntil)
}

// recordLeafFailure counts a failure of the leaf that was called.
func (q *Query) recordLeafFailure(c *callState) {
	if c.leaf.recordFailure(c.probe, q.now) {
		q.origin.counters.CircuitsOpened++
	}
}

// handleFailure looks for another leaf after a call was lost. While another call for the
// shard is outstanding, nothing is done.
func (q *Query) handleFailure(n int, l followUp, actions []Action) []Action {
	i := q.calls[n].shard
	s := &q.shards[i]
	if s.resolved() || s.outstanding > 0 {
		return actions
	}
	if l == followUpNone || !q.hasTimeFor(q.service.latency.p5) || !q.hasFreeAttempt() {
		q.failShard(s)
		return actions
	}
	next := q.chooseLeaf(s, callRetry)
	if next == nil {
		q.shardExhausted = q.shardExhausted || l != followUpAfterShed && q.hasNoLeafLeft(s)
		q.failShard(s)
		return actions
	}
	if l == followUpReroute {
		q.origin.counters.Reroutes++
	} else if q.service.retryBudget.spend() {
		q.origin.counters.Retries++
	} else {
		q.origin.counters.RetriesRefused++
		q.failShard(s)
		return actions
	}
	return q.sendCall(i, next, callRetry, actions)
}

// hasNoLeafLeft reports whether no leaf that could still be called holds the shard.
func (q *Query) hasNoLeafLeft(s *shardState) bool {
	for _, l := range q.pinned.leavesOf(s.shard) {
		if l.available(q.now) && !q.alreadyCalled(s, l) {
			return false
		}
	}
	return true
}

// restartOnNewerSnapshot begins again on a newer complete snapshot, once, if there is time for
// it. The old calls are cancelled and their replies no longer match, so that the
// answer cannot mix snapshots. An urgent query that covers enough does not take
// the time.
func (q *Query) restartOnNewerSnapshot(actions []Action) []Action {
	if q.restarted || q.request.Class.NonIdempotent || q.hasEnoughCoverage() || !q.hasTimeFor(q.expectedDuration()) {
		return actions
	}
	m := q.service.newerCompleteMap(q.pinned, q.now)
	if m == nil {
		return actions
	}
	q.restarted = true
	q.origin.counters.Restarts++
	actions = q.cancelOutstanding(actions)
	q.recordReportedErrors()
	q.releaseBlock()
	q.pinSnapshot(m)
	return q.sendPrimaries(false, actions)
}
