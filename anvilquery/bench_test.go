package anvilquery_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// benchmark is a node's query path at the design size: 99 shards of 2 leafs.
type benchmark struct {
	origin  *anvilquery.Origin
	now     time.Time
	random  *rand.Rand
	actions []anvilquery.Action
	replies []anvilquery.Action
	request anvilmodel.Request
	body    []byte
}

const (
	benchmarkShards = 99
	// allocationBound is the most allocations per leaf call. At 205 queries per
	// second and node, 8 are 162,000 a second.
	allocationBound = 8
)

func newBenchmark() *benchmark {
	b := &benchmark{
		origin:  anvilquery.NewOrigin(anvilquery.Config{Incarnation: 7, Random: rand.New(rand.NewPCG(1, 2))}),
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(3, 4)),
		request: request(broad, 110*ms),
		body:    []byte("reply"),
	}
	var leafs []anvilmodel.Leaf
	for i := range 2 * benchmarkShards {
		leafs = append(leafs, anvilmodel.Leaf{Name: leafName(i/2, i%2), Service: "s"})
	}
	b.origin.SetLeafs(leafs)
	for i, l := range leafs {
		b.origin.ObserveState(anvilmodel.LeafState{
			Leaf:        l.Name,
			Incarnation: 1,
			Holdings:    []anvilmodel.Holding{{Snapshot: 1, Shard: anvilmodel.Shard(i / 2), Shards: benchmarkShards}},
		}, b.now)
	}
	return b
}

// query runs one query in which one call in twenty is late and hedged. It
// returns the number of leaf calls.
func (b *benchmark) query() (calls int) {
	q, actions := b.origin.Start(b.request, b.now, b.actions[:0])
	b.replies = append(b.replies[:0], actions...)
	for i := 0; i < len(b.replies); i++ {
		if b.replies[i].Kind != anvilquery.ActionCall {
			continue
		}
		calls++
		c := &b.replies[i].Call
		if !c.Hedge && b.random.IntN(20) == 0 {
			continue
		}
		_, actions = b.origin.Handle(anvilmodel.CallReply{
			ID: c.ID, Leaf: c.Leaf, Result: ok, Ran: run, Incarnation: 1, Load: 0.5, Body: b.body,
			Holding: anvilmodel.Holding{Snapshot: 1, Shard: c.Shard, Shards: benchmarkShards},
		}, b.now, actions[:0])
		b.now = b.now.Add(time.Duration(b.random.IntN(60)) * time.Microsecond)
		b.replies = append(b.replies, actions...)
		if i == len(b.replies)-1 && !q.Done() {
			b.now = q.Next()
			b.replies = append(b.replies, q.Tick(b.now, actions[:0])...)
		}
	}
	for !q.Done() {
		b.now = q.Next()
		actions = q.Tick(b.now, actions[:0])
	}
	q.Release()
	b.actions = actions
	return calls
}

func BenchmarkQuery(b *testing.B) {
	m := newBenchmark()
	calls := 0
	b.ReportAllocs()
	for b.Loop() {
		calls += m.query()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(calls), "ns/call")
	b.ReportMetric(float64(calls)/float64(b.N), "calls/op")
}

// TestAllocations guards the allocation bound of the query path, and that the
// memory of released queries is used again.
func TestAllocations(t *testing.T) {
	m := newBenchmark()
	for range 100 {
		m.query()
	}
	calls := 0
	allocations := testing.AllocsPerRun(100, func() { calls += m.query() })
	if perCall := allocations * 101 / float64(calls); perCall > allocationBound || allocations > 16 {
		t.Errorf("%v allocations per query, %.2f per call", allocations, perCall)
	}
}
