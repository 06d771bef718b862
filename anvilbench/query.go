package anvilbench

import (
	"encoding/binary"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// query is one query of a caller and what became of it.
type query struct {
	number  int
	result  *StreamResult
	request anvilmodel.Request
	node    *node
	core    *anvilquery.Query
	timer   timer
	// tick is made once, because the alarm is set with every event.
	tick func()
	// sentAt is when the caller sent it, arrivedAt when it reached the node.
	sentAt    time.Duration
	arrivedAt time.Duration
	// measured is false for queries of the warm-up.
	measured bool
	// lost is set when the node died under the query.
	lost        bool
	finishCount int
	// ran is set once a leaf has begun to work for the query; notRun once the
	// caller was told that this did not happen.
	ran            bool
	reportedNotRun bool
	// needed is set once the shards of the query were counted.
	shardsCounted bool
}

// serial reads the number of the query that a call belongs to.
func queryNumber(call *anvilmodel.Call) uint64 {
	return binary.BigEndian.Uint64(call.Body)
}

// offer makes a caller send a query to a node.
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

// arrive starts a query at its origin.
func (n *node) startQuery(q *query) {
	sim := n.sim
	q.arrivedAt = sim.clock.now
	if n.dead {
		q.lost = true
		return
	}
	core, actions := n.origin.Start(q.request, sim.clock.time(), sim.queryActions[:0])
	q.core = core
	q.tick = func() { n.tickQuery(q) }
	n.queries[core] = q
	n.executeActions(q, actions)
}

// do carries out the actions of a query.
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
		q.timer.arm(&n.sim.clock, q.core.Next(), q.tick)
	}
}

func (n *node) tickQuery(q *query) {
	if n.dead || q.finishCount > 0 {
		return
	}
	sim := n.sim
	n.executeActions(q, q.core.Tick(sim.clock.time(), sim.queryActions[:0]))
}

// need counts the shards that a query addresses, once.
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

// finish checks the end of a query and sends the answer to the caller.
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

// checkParts counts parts that do not come from the answer's snapshot and shard.
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
