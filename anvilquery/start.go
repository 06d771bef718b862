package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// patientFactor makes patient queries hedge later than others, so that they
	// leave the budget to those in a hurry.
	patientFactor = 4
	// trialInterval is how often a query that looks too short is sent all the
	// same. Without it a service that was slow for a while would be judged by
	// old latencies forever, because nothing new would be learned.
	trialInterval = 100 * time.Millisecond
)

// Start begins a query and appends its first actions. A refused request has a
// Finish action at once. The query is never nil.
func (o *Origin) Start(request anvilmodel.Request, now time.Time, actions []Action) (*Query, []Action) {
	o.counters.Queries++
	q := o.newQuery()
	q.request = request
	q.now = o.instant(now)
	q.arrived = q.now
	q.deadline = q.now + request.Timeout - request.Class.ReturnReserve
	q.next = q.now
	if refusal := q.check(); refusal != nil {
		return q, q.refuse(refusal, actions)
	}
	q.lay(q.service.pin(request.Key, q.now))
	return q, q.proceed(q.sendPrimaries(true, actions))
}

// check returns the refusal of a request that cannot be run.
func (q *Query) check() *anvilmodel.Refusal {
	o := q.origin
	q.service = o.services[q.request.Service]
	if q.service == nil {
		return q.invalid(anvilmodel.ReasonUnknownService, "service "+string(q.request.Service)+" is not configured", "")
	}
	if len(o.running) >= runningLimit {
		return q.notRun(anvilmodel.ReasonOverload, "too many queries are running", "")
	}
	q.service.latency.refresh(q.now)
	if refusal := q.checkTime(); refusal != nil {
		return refusal
	}
	pinned := q.service.pin(q.request.Key, q.now)
	if pinned == nil {
		return q.notRun(anvilmodel.ReasonNoSnapshot, "no leaf of the service has stated a snapshot", "")
	}
	if !q.request.Class.NonIdempotent {
		return nil
	}
	if q.request.Ticket.IsZero() {
		return q.invalid(anvilmodel.ReasonBadTicket, "the class is non-idempotent and the request has no ticket", "a ticket")
	}
	if q.request.Key == "" && pinned.shards > 1 {
		return q.invalid(anvilmodel.ReasonBadRequest, "a non-idempotent request must address one shard", "a routing key")
	}
	return nil
}

// checkTime refuses a request that no call could be answered in time for.
func (q *Query) checkTime() *anvilmodel.Refusal {
	s := q.service
	if q.deadline <= q.now {
		return q.invalid(anvilmodel.ReasonDeadline, "the timeout does not exceed the reserve for the return path",
			"a timeout over "+q.request.Class.ReturnReserve.String())
	}
	if q.timeFor(s.latency.fast) {
		return nil
	}
	if q.now >= s.trialAt {
		s.trialAt = q.now + trialInterval
		return nil
	}
	return q.notRun(anvilmodel.ReasonDeadline, "the timeout is shorter than the service's fast replies take",
		"a timeout over "+(s.latency.fast+q.request.Class.ReturnReserve).String())
}

// timeFor reports whether the time left is enough for a call that takes the
// given time.
func (q *Query) timeFor(needed time.Duration) bool {
	left := q.deadline - q.now
	return left > 0 && left >= needed
}

// lay pins a snapshot and begins with all addressed shards unanswered.
func (q *Query) lay(m *shardMap) {
	q.layout = m
	q.origin.takeBlock(q)
	clear(q.calls)
	q.calls = q.calls[:0]
	clear(q.shards)
	q.shards = q.shards[:0]
	if q.request.Key != "" {
		q.addShard(m.shardOf(q.request.Key))
	} else {
		for i := range m.shards {
			q.addShard(anvilmodel.Shard(i))
		}
	}
	q.unsettled = len(q.shards)
	q.answered = 0
	l := &q.service.latency
	length := q.deadline - q.arrived
	q.delay = l.hedgeDelay(q.origin.config.MinHedgeDelay, length)
	if q.request.Class.Mode == anvilmodel.ModePatient {
		q.delay = min(patientFactor*q.delay, length/2)
	}
	q.grace = l.likely
	if q.grace == 0 {
		q.grace = q.delay
	}
	q.hedges.reset(q.now + q.delay)
}

func (q *Query) addShard(shard anvilmodel.Shard) {
	q.shards = append(q.shards, shardState{
		shard: shard,
		last:  -1,
	})
}

// sendPrimaries sends the first call for each shard, beginning at a random one,
// so that scarce hedges do not always go to the same shards. Only the calls of
// the first snapshot earn tokens: those of a restart are extra load themselves.
func (q *Query) sendPrimaries(earn bool, actions []Action) []Action {
	first := q.origin.config.Random.IntN(len(q.shards))
	for k := range q.shards {
		i := (first + k) % len(q.shards)
		l := q.choose(&q.shards[i], callPrimary)
		if l == nil {
			q.fail(&q.shards[i])
			continue
		}
		q.origin.counters.Calls++
		if earn {
			q.service.hedge.earn()
			q.service.retry.earn()
		}
		actions = q.send(int32(i), l, callPrimary, actions)
	}
	return actions
}

// send makes a call to a leaf for the shard at index i.
func (q *Query) send(i int32, l *leaf, kind callKind, actions []Action) []Action {
	s := &q.shards[i]
	n := len(q.calls)
	q.calls = append(q.calls, callState{
		leaf:     l,
		sent:     q.now,
		timeout:  q.deadline - q.now,
		shard:    i,
		previous: s.last,
		kind:     kind,
		probe:    l.open,
	})
	s.last = int32(n)
	s.open++
	l.outstanding++
	if l.open {
		l.beginProbe()
	}
	q.evidence.sent++
	if kind == callHedge {
		s.hedged = true
		q.hedges.open++
	} else if !q.request.Class.NonIdempotent {
		q.hedges.add(n, q.now+q.delay)
	}
	return append(actions, Action{
		Kind:  ActionCall,
		Query: q,
		Call:  q.call(n, s, l, kind),
	})
}

func (q *Query) call(n int, s *shardState, l *leaf, kind callKind) anvilmodel.Call {
	r := &q.request
	return anvilmodel.Call{
		ID:            q.callID(n),
		Leaf:          l.name,
		Service:       r.Service,
		Class:         r.Class.Name,
		Priority:      r.Class.Priority,
		Snapshot:      q.layout.snapshot,
		Shard:         s.shard,
		Timeout:       q.deadline - q.now,
		Hedge:         kind == callHedge,
		Retry:         kind == callRetry,
		NonIdempotent: r.Class.NonIdempotent,
		Ticket:        r.Ticket,
		Body:          r.Body,
	}
}

// fail settles a shard without an answer.
func (q *Query) fail(s *shardState) {
	s.failed = true
	q.unsettled--
}
