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
	serial  int
	stream  *StreamResult
	request anvilmodel.Request
	node    *node
	core    *anvilquery.Query
	alarm   alarm
	// tick is made once, because the alarm is set with every event.
	tick func()
	// sentAt is when the caller sent it, arrivedAt when it reached the node.
	sentAt    time.Duration
	arrivedAt time.Duration
	// measured is false for queries of the warm-up.
	measured bool
	// lost is set when the node died under the query.
	lost     bool
	finished int
	// ran is set once a leaf has begun to work for the query; notRun once the
	// caller was told that this did not happen.
	ran    bool
	notRun bool
	// needed is set once the shards of the query were counted.
	needed bool
}

// serial reads the number of the query that a call belongs to.
func serial(call *anvilmodel.Call) uint64 {
	return binary.BigEndian.Uint64(call.Body)
}

// offer makes a caller send a query to a node.
func (f *fleet) offer(service anvilmodel.ServiceName, stream *Stream, result *StreamResult) {
	n := f.pickNode()
	if n == nil {
		return
	}
	q := &query{
		serial:   len(f.queries),
		stream:   result,
		node:     n,
		sentAt:   f.clock.now,
		measured: f.clock.now >= f.scenario.WarmUp,
		request: anvilmodel.Request{
			Service: service,
			Class:   stream.Class,
			Timeout: stream.Class.Timeout,
		},
	}
	q.request.ID = anvilmodel.RequestID(strconv.Itoa(q.serial))
	q.request.Body = binary.BigEndian.AppendUint64(nil, uint64(q.serial))
	f.queries = append(f.queries, q)
	f.clock.after(f.network.toCaller(), func() { n.arrive(q) })
}

// arrive starts a query at its origin.
func (n *node) arrive(q *query) {
	f := n.fleet
	q.arrivedAt = f.clock.now
	if n.dead {
		q.lost = true
		return
	}
	core, actions := n.origin.Start(q.request, f.clock.time(), f.queryActions[:0])
	q.core = core
	q.tick = func() { n.tick(q) }
	n.queries[core] = q
	n.do(q, actions)
}

// do carries out the actions of a query.
func (n *node) do(q *query, actions []anvilquery.Action) {
	n.fleet.queryActions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case anvilquery.ActionCall:
			n.need(q, a)
			n.send(&a.Call)
		case anvilquery.ActionCancel:
			n.cancel(a.Call.ID)
		case anvilquery.ActionFinish:
			n.finish(n.queries[a.Query], a)
		}
	}
	if q != nil && q.finished == 0 {
		q.alarm.arm(&n.fleet.clock, q.core.Next(), q.tick)
	}
}

func (n *node) tick(q *query) {
	if n.dead || q.finished > 0 {
		return
	}
	f := n.fleet
	n.do(q, q.core.Tick(f.clock.time(), f.queryActions[:0]))
}

// need counts the shards that a query addresses, once.
func (n *node) need(q *query, a *anvilquery.Action) {
	if q.needed || !q.measured {
		return
	}
	q.needed = true
	f := n.fleet
	f.result.ShardsQueried += f.shards[shardsOf{
		service:  q.request.Service,
		snapshot: a.Call.Snapshot,
	}]
}

// finish checks the end of a query and sends the answer to the caller.
func (n *node) finish(q *query, a *anvilquery.Action) {
	f := n.fleet
	q.finished++
	delete(n.queries, a.Query)
	a.Query.Release()
	if a.Answer != nil {
		f.checkParts(a.Answer)
	}
	if a.Refusal != nil {
		q.notRun = a.Refusal.RunState == anvilmodel.RunStateNotRun
	}
	if !q.measured {
		return
	}
	deadline := q.arrivedAt + q.request.Timeout - q.request.Class.ReturnReserve
	if f.clock.now > deadline {
		q.stream.LateAtNode++
	}
	q.stream.finish(a, f.clock.now+f.network.toCaller()-q.sentAt, q.request.Timeout)
}

// checkParts counts parts that do not come from the answer's snapshot and shard.
func (f *fleet) checkParts(a *anvilmodel.Answer) {
	for _, p := range a.Parts {
		h := decodePart(p.Body)
		if h.Snapshot != a.Snapshot || h.Shard != p.Shard || h.ShardCount != a.Coverage.Total {
			f.result.WrongParts++
		}
	}
	if len(a.Parts) != a.Coverage.Covered || len(a.Parts)+len(a.Coverage.Missing) != a.Coverage.Total {
		f.result.WrongCoverage++
	}
}
