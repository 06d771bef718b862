package anvilbench

import (
	"encoding/binary"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// query is one query of a caller with its outcome.
type query struct {
	number      int
	result      *StreamResult
	request     anvilmodel.Request
	node        *node
	originQuery *anvilquery.Query
	timer       timer
	// tick is allocated once, because the timer is armed with every event.
	tick func()
	// sentAt is the time at which the caller sent the query, arrivedAt the time at
	// which it reached the node.
	sentAt    time.Duration
	arrivedAt time.Duration
	// measured is false for queries sent during the warm-up.
	measured bool
	// lost is set if the node stopped before it answered the query.
	lost bool
	// finishCount counts final answers. More than one is an error of the origin.
	finishCount int
	// ran is set when a leaf starts to process a call of the query; reportedNotRun
	// when the caller is told that no leaf did.
	ran            bool
	reportedNotRun bool
	// shardsCounted is set once ShardsQueried includes the shards of the query.
	shardsCounted bool
}

// queryNumber returns the number of the query that a call belongs to, from the
// body of the call.
func queryNumber(call *anvilmodel.Call) uint64 {
	return binary.BigEndian.Uint64(call.Body)
}

// sendQuery sends a query from a caller to a random advertised node.
func (sim *simulation) sendQuery(service anvilmodel.ServiceName, stream *Stream, result *StreamResult) {
	n := sim.pickAdvertisedNode()
	if n == nil {
		return
	}
	q := &query{
		number:   len(sim.queries),
		result:   result,
		node:     n,
		sentAt:   sim.clock.now,
		measured: sim.clock.now >= sim.scenario.WarmUp,
		request: anvilmodel.Request{
			Service: service,
			Class:   stream.Class,
			Timeout: stream.Class.Timeout,
		},
	}
	q.request.ID = anvilmodel.RequestID(strconv.Itoa(q.number))
	q.request.Body = binary.BigEndian.AppendUint64(nil, uint64(q.number))
	sim.queries = append(sim.queries, q)
	sim.clock.scheduleAfter(sim.network.callerDelay(), func() { n.startQuery(q) })
}

// startQuery starts a query that reached its origin.
func (n *node) startQuery(q *query) {
	sim := n.sim
	q.arrivedAt = sim.clock.now
	if n.dead {
		q.lost = true
		return
	}
	originQuery, actions := n.origin.Start(q.request, sim.clock.time(), sim.queryActions[:0])
	q.originQuery = originQuery
	q.tick = func() { n.tickQuery(q) }
	n.queries[originQuery] = q
	n.executeActions(q, actions)
}

// executeActions executes the actions that the origin returned for a query.
func (n *node) executeActions(q *query, actions []anvilquery.Action) {
	n.sim.queryActions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case anvilquery.ActionCall:
			n.countShards(q, a)
			n.sendCall(&a.Call)
		case anvilquery.ActionCancel:
			n.cancelCall(a.Call.ID)
		case anvilquery.ActionFinish:
			n.finishQuery(n.queries[a.Query], a)
		}
	}
	if q != nil && q.finishCount == 0 {
		q.timer.arm(&n.sim.clock, q.originQuery.NextTick(), q.tick)
	}
}

func (n *node) tickQuery(q *query) {
	if n.dead || q.finishCount > 0 {
		return
	}
	sim := n.sim
	n.executeActions(q, q.originQuery.Tick(sim.clock.time(), sim.queryActions[:0]))
}

// countShards adds the shards of a query to ShardsQueried, once per query.
func (n *node) countShards(q *query, a *anvilquery.Action) {
	if q.shardsCounted || !q.measured {
		return
	}
	q.shardsCounted = true
	sim := n.sim
	sim.result.ShardsQueried += sim.shardCounts[snapshotKey{
		service:  q.request.Service,
		snapshot: a.Call.Snapshot,
	}]
}

// finishQuery checks the answer to a query and records its arrival at the caller.
func (n *node) finishQuery(q *query, a *anvilquery.Action) {
	sim := n.sim
	q.finishCount++
	delete(n.queries, a.Query)
	a.Query.Release()
	if a.Answer != nil {
		sim.checkParts(a.Answer)
	}
	if a.Refusal != nil {
		q.reportedNotRun = a.Refusal.RunState == anvilmodel.RunStateNotRun
	}
	if !q.measured {
		return
	}
	deadline := q.arrivedAt + q.request.Timeout - q.request.Class.ReturnReserve
	if sim.clock.now > deadline {
		q.result.LateAtNode++
	}
	q.result.record(a, sim.clock.now+sim.network.callerDelay()-q.sentAt, q.request.Timeout)
}

// checkParts counts parts whose content is not from the stated snapshot and shard,
// and answers whose coverage does not match their parts.
func (sim *simulation) checkParts(a *anvilmodel.Answer) {
	for _, p := range a.Parts {
		h := decodePart(p.Body)
		if h.Snapshot != a.Snapshot || h.Shard != p.Shard || h.ShardCount != a.Coverage.Total {
			sim.result.WrongParts++
		}
	}
	if len(a.Parts) != a.Coverage.Covered || len(a.Parts)+len(a.Coverage.Missing) != a.Coverage.Total {
		sim.result.WrongCoverage++
	}
}
