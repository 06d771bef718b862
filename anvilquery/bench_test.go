package anvilquery_test

import (
	"strconv"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// maxAllocationsPerCall is the maximum number of allocations per leaf call. At the
// design size of 205 queries a second per node, each to 99 leaves, 8 allocations
// per call are 162,000 a second.
const maxAllocationsPerCall = 8

// benchmark runs queries of a node with 2 leaves per shard.
type benchmark struct {
	*fleet
	buffer []anvilquery.Action
	sent   int
}

// query runs one query in which one call in twenty is late and hedged.
func (b *benchmark) query() {
	q, actions := b.origin.Start(request(anvilmodel.ModeBroad, 110*ms), b.now, b.buffer[:0])
	for i := 0; i < len(actions); i++ {
		if actions[i].Kind == anvilquery.ActionCall {
			b.sent++
			b.now = b.now.Add(3 * ms / time.Duration(b.shards[1]))
			if c := &actions[i].Call; c.Hedge || b.sent%20 != 0 {
				r := anvilmodel.CallReply{
					ID:          c.ID,
					Leaf:        c.Leaf,
					Result:      ok,
					Incarnation: 1,
					Load:        0.5,
				}
				r.Holding.Snapshot, r.Holding.Shard, r.Holding.ShardCount = c.Snapshot, c.Shard, b.shards[1]
				_, actions = b.origin.HandleReply(r, b.now, actions)
			}
		}
		for i == len(actions)-1 && !q.Done() {
			b.now = q.NextTick()
			actions = q.Tick(b.now, actions)
		}
	}
	q.Release()
	b.buffer = actions
}

// BenchmarkQuery measures the cost of a query. The cost of a call must not grow
// with the number of shards. The design size is 99.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{9, 99, 990} {
		b.Run(strconv.Itoa(shards), func(b *testing.B) {
			m := benchmark{
				fleet: grid(b, shards, 2),
			}
			b.ReportAllocs()
			for b.Loop() {
				m.query()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(m.sent), "ns/call")
			b.ReportMetric(float64(m.sent)/float64(b.N), "calls/op")
		})
	}
}

// TestAllocations guards against more allocations per query than allowed, and
// against released queries whose memory is not reused.
func TestAllocations(t *testing.T) {
	m := benchmark{
		fleet: grid(t, 99, 2),
	}
	if perQuery := testing.AllocsPerRun(100, m.query); perQuery > maxAllocationsPerCall*99 || perQuery > 16 {
		t.Errorf("%v allocations per query of %d calls; at most 16 are allowed", perQuery, m.sent/101)
	}
}
