package anvilquery

import "anvilbridge/anvilmodel"

// followUp is the action allowed after a call that ended without an answer.
type followUp uint8

const (
	// followUpNone allows no further call.
	followUpNone followUp = iota
	// followUpAfterShed and followUpAfterBroken allow a retry within the retry
	// budget.
	followUpAfterShed
	followUpAfterBroken
	// followUpReroute means that the leaf no longer holds the shard of the
	// snapshot. Calling another leaf does not use the retry budget, because each
	// leaf reports this only once.
	followUpReroute
)

// classifyFailure records the failure of a call and returns the allowed follow-up.
// A non-idempotent call may be followed by another one only after a certain
// not-run.
func (q *Query) classifyFailure(c *callState, reply *anvilmodel.CallReply) followUp {
	allowed := q.followUpFor(c, reply)
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
	return allowed
}

func (q *Query) followUpFor(c *callState, reply *anvilmodel.CallReply) followUp {
	switch reply.Result {
	case anvilmodel.CallShed:
		// Dispatchers shed hedges long before other calls, so a shed hedge does not
		// imply that other calls would be shed.
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

// recordShed sets the time until which the leaf gets no retries.
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

// handleFailure retries a failed call at another leaf if that is allowed, or else
// fails the shard. It does nothing while another call for the shard is outstanding.
func (q *Query) handleFailure(n int, allowed followUp, actions []Action) []Action {
	i := q.calls[n].shard
	s := &q.shards[i]
	if s.resolved() || s.outstanding > 0 {
		return actions
	}
	if allowed == followUpNone || !q.hasTimeFor(q.service.latency.p5) || !q.hasFreeAttempt() {
		q.failShard(s)
		return actions
	}
	next := q.chooseLeaf(s, callRetry)
	if next == nil {
		q.shardExhausted = q.shardExhausted || allowed != followUpAfterShed && q.hasNoLeafLeft(s)
		q.failShard(s)
		return actions
	}
	if allowed == followUpReroute {
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

// hasNoLeafLeft reports whether the query has already called every available leaf
// that holds the shard.
func (q *Query) hasNoLeafLeft(s *shardState) bool {
	for _, l := range q.pinned.leavesOf(s.shard) {
		if l.available(q.now) && !q.alreadyCalled(s, l) {
			return false
		}
	}
	return true
}

// restartOnNewerSnapshot restarts the query on a newer complete snapshot. It does
// so at most once, and only if enough time is left. The old calls are cancelled and
// their replies no longer match, so the answer cannot mix snapshots. An urgent
// query with enough coverage is not restarted.
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
