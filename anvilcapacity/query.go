package anvilcapacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// latePart makes one call in twenty late, so that it is hedged.
const latePart = 20

// queryOrigin is an origin with leafs that have stated what they hold.
type queryOrigin struct {
	origin *anvilquery.Origin
	now    time.Time
	shards int
	sent   int
}

func newQueryOrigin(shards int, seed uint64) *queryOrigin {
	o := &queryOrigin{
		origin: anvilquery.NewOrigin(anvilquery.Config{
			Incarnation: 7,
			Random:      rand.New(rand.NewPCG(seed, 0)),
		}),
		now:    time.Unix(1_700_000_000, 0),
		shards: shards,
	}
	leafs := make([]anvilmodel.Leaf, shards*serviceReplicas)
	for i := range leafs {
		leafs[i] = anvilmodel.Leaf{
			Name:    anvilmodel.LeafName(fmt.Sprintf("service-00-%03d-%c", i/serviceReplicas, 'a'+i%serviceReplicas)),
			Service: serviceName(0),
		}
	}
	o.origin.SetLeafs(leafs)
	for i, l := range leafs {
		o.origin.ObserveState(anvilmodel.LeafState{
			Leaf:        l.Name,
			Incarnation: 1,
			Holdings:    []anvilmodel.Holding{o.holding(anvilmodel.Shard(i / serviceReplicas))},
		}, o.now)
	}
	return o
}

func (o *queryOrigin) holding(shard anvilmodel.Shard) anvilmodel.Holding {
	return anvilmodel.Holding{
		Snapshot: 1,
		Shard:    shard,
		Shards:   o.shards,
	}
}

func (o *queryOrigin) request() anvilmodel.Request {
	return anvilmodel.Request{
		ID:      "0123456789abcdef",
		Service: serviceName(0),
		Class: anvilmodel.Class{
			Mode:          anvilmodel.ModeBroad,
			ReturnReserve: 2 * time.Millisecond,
		},
		Timeout: 110 * time.Millisecond,
	}
}

// start begins a query with slices of its own, as the node does.
func (o *queryOrigin) start() (*anvilquery.Query, []anvilquery.Action) {
	return o.origin.Start(o.request(), o.now, nil)
}

// query runs a query to its end.
func (o *queryOrigin) query() {
	q, actions := o.start()
	for !q.Done() {
		var next []anvilquery.Action
		for i := range actions {
			if actions[i].Kind == anvilquery.ActionCall {
				next = append(next, o.answer(&actions[i].Call)...)
			}
		}
		if len(next) == 0 && !q.Done() {
			o.now = q.Next()
			next = q.Tick(o.now, nil)
		}
		actions = next
	}
	q.Release()
}

// answer delivers the reply to a call, unless the call is late.
func (o *queryOrigin) answer(c *anvilmodel.Call) []anvilquery.Action {
	o.sent++
	o.now = o.now.Add(30 * time.Microsecond)
	if !c.Hedge && o.sent%latePart == 0 {
		return nil
	}
	_, actions := o.origin.Handle(anvilmodel.CallReply{
		ID:          c.ID,
		Leaf:        c.Leaf,
		Result:      anvilmodel.CallOK,
		Ran:         anvilmodel.RunStateRun,
		Incarnation: 1,
		Holding:     o.holding(c.Shard),
		Load:        0.5,
	}, o.now, nil)
	return actions
}

// measureQuery measures the core of one query against its shards.
func measureQuery(_ context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{20, 50, designLeafsPerQuery, 198}
	slope := func(name, what string, kind Kind, unit string, targets ...Target) Slope {
		return Slope{
			Name:     "query-" + name,
			What:     what,
			Kind:     kind,
			Unit:     unit,
			SizeName: "shards",
			Sizes:    floats(sizes),
			Targets:  targets,
		}
	}
	cpu := slope("cpu", "core of one query with one call in twenty late", KindCPU, "s",
		Target{What: "query core", Size: designLeafsPerQuery, Factor: nodeQueries, Unit: "cores", Budget: BudgetDataCPU})
	count := slope("allocations", "allocations of the core for one query", KindCount, "allocations",
		Target{What: "allocations", Size: designLeafsPerQuery, Factor: nodeQueries, Unit: "allocations/s"})
	bytes := slope("allocated-bytes", "allocated by the core for one query, without bodies", KindCount, "bytes",
		Target{What: "allocated", Size: designLeafsPerQuery, Factor: nodeQueries, Unit: "bytes/s"})
	memory := slope("memory", "core of one query in flight, without bodies", KindHeap, "bytes",
		Target{What: "23 queries in flight, all 110 ms old", Size: designLeafsPerQuery, Factor: nodeQueries * 0.110, Unit: "bytes"})
	for _, n := range sizes {
		o := newQueryOrigin(n, seed)
		queries := 40_000 / n
		run := func() {
			for range queries {
				o.query()
			}
		}
		run()
		cpu.Values = append(cpu.Values, leastCPU(run)/float64(queries))
		allocations, allocatedBytes := allocated(run)
		count.Values = append(count.Values, allocations/float64(queries))
		bytes.Values = append(bytes.Values, allocatedBytes/float64(queries))
		memory.Values = append(memory.Values, inFlightMemory(newQueryOrigin(n, seed)))
	}
	answer, size, err := measureAnswer()
	return []Slope{cpu, count, bytes, memory, measureLeafChange(), answer, size}, err
}

// inFlightMemory returns what one query keeps alive while it waits for replies.
func inFlightMemory(o *queryOrigin) float64 {
	const queries = 64
	heap := retained(func() *queryOrigin {
		for range queries {
			o.start()
		}
		return o
	})
	return heap / queries
}

// measureLeafChange measures what an origin does at a configuration change.
// Queries wait meanwhile.
func measureLeafChange() Slope {
	sizes := []int{750, 1500, designLeafs}
	s := Slope{
		Name:     "query-leafs-cpu",
		What:     "handing the origin all leafs of a new revision, under its lock",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "leafs",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "at each configuration change",
			Size:   designLeafs,
			Factor: changesPerSec,
			Unit:   "cores",
			Limit:  designCPU,
			Budget: BudgetControlCPU,
		}},
	}
	const changes = 10
	for _, n := range sizes {
		leafs := deploymentLeafs(n)
		o := anvilquery.NewOrigin(anvilquery.Config{
			Incarnation: 7,
		})
		s.Values = append(s.Values, leastCPU(func() {
			for range changes {
				o.SetLeafs(leafs)
				for _, l := range leafs {
					o.SetUsable(l.Name, true)
				}
			}
		})/changes)
		runtime.KeepAlive(o)
	}
	return s
}
