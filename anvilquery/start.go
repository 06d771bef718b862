package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// patientHedgeFactor multiplies the hedge delay of patient queries, so that
	// they leave the hedge budget to more urgent ones.
	patientHedgeFactor = 4
	// trialInterval is how often a query whose timeout looks too short is sent
	// anyway. Without these trials a service that was slow for a while would be
	// judged by old latencies forever, because no new samples would be recorded.
	trialInterval = 100 * time.Millisecond
)

// Start begins a query and appends its first actions. For a refused request it
// appends only a Finish action. The returned query is never nil.
func (o *Origin) Start(request anvilmodel.Request, now time.Time, actions []Action) (*Query, []Action) {
	o.counters.Queries++
	q := o.newQuery()
	q.request = request
	q.now = o.sinceEpoch(now)
	q.arrivedAt = q.now
	q.deadline = q.now + request.Timeout - request.Class.ReturnReserve
	q.nextTick = q.now
	if refusal := q.validate(); refusal != nil {
		return q, q.refuse(refusal, actions)
	}
	q.pinSnapshot(q.service.selectShardMap(request.Key, q.now))
	return q, q.processDue(q.sendPrimaries(true, actions))
}

// validate returns a refusal if the request cannot be run, or else nil.
func (q *Query) validate() *anvilmodel.Refusal {
	o := q.origin
	q.service = o.services[q.request.Service]
	if q.service == nil {
		return q.permanentRefusal(anvilmodel.ReasonUnknownService, "service "+string(q.request.Service)+" is not configured", "")
	}
	if len(o.running) >= maxRunningQueries {
		return q.temporaryRefusal(anvilmodel.ReasonOverload, "too many queries are running", "")
	}
	q.service.latency.refresh(q.now)
	if refusal := q.checkTimeout(); refusal != nil {
		return refusal
	}
	pinned := q.service.selectShardMap(q.request.Key, q.now)
	if pinned == nil {
		return q.temporaryRefusal(anvilmodel.ReasonNoSnapshot, "no leaf of the service has stated a snapshot", "")
	}
	if !q.request.Class.NonIdempotent {
		return nil
	}
	if q.request.Ticket.IsZero() {
		return q.permanentRefusal(anvilmodel.ReasonBadTicket, "the class is non-idempotent and the request has no ticket", "a ticket")
	}
	if q.request.Key == "" && pinned.shardCount > 1 {
		return q.permanentRefusal(anvilmodel.ReasonBadRequest, "a non-idempotent request must address one shard", "a routing key")
	}
	return nil
}

// checkTimeout returns a refusal if no call can be answered before the deadline.
func (q *Query) checkTimeout() *anvilmodel.Refusal {
	s := q.service
	if q.deadline <= q.now {
		return q.permanentRefusal(anvilmodel.ReasonDeadline, "the timeout does not exceed the reserve for the return path",
			"a timeout over "+q.request.Class.ReturnReserve.String())
	}
	if q.hasTimeFor(s.latency.p5) {
		return nil
	}
	if q.now >= s.nextTrialAt {
		s.nextTrialAt = q.now + trialInterval
		return nil
	}
	return q.temporaryRefusal(anvilmodel.ReasonDeadline, "the timeout is shorter than the service's fast replies take",
		"a timeout over "+(s.latency.p5+q.request.Class.ReturnReserve).String())
}

// hasTimeFor reports whether the time left until the deadline is enough for a call
// that takes the given time.
func (q *Query) hasTimeFor(needed time.Duration) bool {
	left := q.deadline - q.now
	return left > 0 && left >= needed
}

// pinSnapshot pins the query to a snapshot and resets the state of all addressed
// shards.
func (q *Query) pinSnapshot(m *shardMap) {
	q.pinned = m
	q.origin.allocateBlock(q)
	clear(q.calls)
	q.calls = q.calls[:0]
	clear(q.shards)
	q.shards = q.shards[:0]
	if q.request.Key != "" {
		q.addShard(m.shardOf(q.request.Key))
	} else {
		for i := range m.shardCount {
			q.addShard(anvilmodel.Shard(i))
		}
	}
	q.unresolvedShards = len(q.shards)
	q.answeredShards = 0
	l := &q.service.latency
	queryDuration := q.deadline - q.arrivedAt
	q.hedgeDelay = l.hedgeDelay(q.origin.config.MinHedgeDelay, queryDuration)
	if q.request.Class.Mode == anvilmodel.ModePatient {
		q.hedgeDelay = min(patientHedgeFactor*q.hedgeDelay, queryDuration/2)
	}
	q.hedgeGrace = l.p75
	if q.hedgeGrace == 0 {
		q.hedgeGrace = q.hedgeDelay
	}
	q.hedges.reset(q.now + q.hedgeDelay)
}

func (q *Query) addShard(shard anvilmodel.Shard) {
	q.shards = append(q.shards, shardState{
		shard:    shard,
		lastCall: -1,
	})
}

// sendPrimaries sends the first call for each shard. It starts at a random shard,
// so that scarce hedge tokens do not always go to the same shards. Only calls for
// the first snapshot earn tokens, because the calls of a restart are additional
// load themselves.
func (q *Query) sendPrimaries(earn bool, actions []Action) []Action {
	first := q.origin.config.Random.IntN(len(q.shards))
	for k := range q.shards {
		i := (first + k) % len(q.shards)
		l := q.chooseLeaf(&q.shards[i], callPrimary)
		if l == nil {
			q.failShard(&q.shards[i])
			continue
		}
		q.origin.counters.Calls++
		if earn {
			q.service.hedgeBudget.earn()
			q.service.retryBudget.earn()
		}
		actions = q.sendCall(int32(i), l, callPrimary, actions)
	}
	return actions
}

// sendCall sends a call to a leaf for the shard at index i.
func (q *Query) sendCall(i int32, l *leaf, kind callKind, actions []Action) []Action {
	s := &q.shards[i]
	n := len(q.calls)
	q.calls = append(q.calls, callState{
		leaf:         l,
		sent:         q.now,
		timeout:      q.deadline - q.now,
		shard:        i,
		previousCall: s.lastCall,
		kind:         kind,
		probe:        l.circuitOpen,
	})
	s.lastCall = int32(n)
	s.outstanding++
	l.outstanding++
	if l.circuitOpen {
		l.beginProbe()
	}
	q.summary.sent++
	if kind == callHedge {
		s.hedged = true
		q.hedges.outstanding++
	} else if !q.request.Class.NonIdempotent {
		q.hedges.add(n, q.now+q.hedgeDelay)
	}
	return append(actions, Action{
		Kind:  ActionCall,
		Query: q,
		Call:  q.newCall(n, s, l, kind),
	})
}

func (q *Query) newCall(n int, s *shardState, l *leaf, kind callKind) anvilmodel.Call {
	r := &q.request
	return anvilmodel.Call{
		ID:            q.callID(n),
		Leaf:          l.name,
		Service:       r.Service,
		Class:         r.Class.Name,
		Priority:      r.Class.Priority,
		Snapshot:      q.pinned.snapshot,
		Shard:         s.shard,
		Timeout:       q.deadline - q.now,
		Hedge:         kind == callHedge,
		Retry:         kind == callRetry,
		NonIdempotent: r.Class.NonIdempotent,
		Ticket:        r.Ticket,
		Body:          r.Body,
	}
}

// failShard marks a shard as failed, without an answer.
func (q *Query) failShard(s *shardState) {
	s.failed = true
	q.unresolvedShards--
}
