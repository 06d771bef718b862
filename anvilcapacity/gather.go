package anvilcapacity

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilgather"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// measureGather measures the core of a query and the merging of its parts.
func measureGather(_ context.Context, seed uint64) ([]Slope, error) {
	queried := sizeList{name: "shards", list: []int{10, 33, designLeafsPerQuery}}
	rate := func(what string) Target {
		return Target{What: what, Size: designLeafsPerQuery, Factor: nodeQueries, Unit: "cores", Budget: BudgetDataCPU}
	}
	core := queried.slope("gather-cpu", "core of a query whose parts all come in, leafs chosen without cost", KindCPU, "s",
		rate("205 queries a second"))
	memory := queried.slope("gather-bytes", "allocated for the core of a query", KindCount, "bytes",
		Target{What: "205 queries a second", Size: designLeafsPerQuery, Factor: nodeQueries, Unit: "bytes/s"})
	merge := queried.slope("merge-cpu", "choosing the greatest 50 records of parts of 1,000 bytes", KindCPU, "s",
		rate("205 answers a second"))
	const queries = 2000
	for _, n := range queried.list {
		route := queryRoute(0)
		route.Shards = shardNames(n)
		run := func() {
			for range queries {
				gatherOnce(&route)
			}
		}
		core.Values = append(core.Values, leastCPU(run)/queries)
		memory.Values = append(memory.Values, allocated(run)/queries)
		parts := partsOf(n, seed)
		merge.Values = append(merge.Values, leastCPU(func() {
			for range queries {
				anvilgather.MergeTop(parts, topRecords)
			}
		})/queries)
	}
	return []Slope{core, memory, merge}, nil
}

func gatherOnce(route *anvilroute.Route) {
	now := time.Unix(1_700_000_000, 0)
	r := anvilgather.New(anvilgather.Config{
		Route:      route,
		Services:   route.Shards,
		ArrivedAt:  now,
		Timeout:    route.Timeout,
		HedgeDelay: 20 * time.Millisecond,
		Available:  func(anvilmodel.ServiceName, time.Time) bool { return true },
		Pick: func(c anvilbalance.PickRequest, _ time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
			return anvilbalance.Leaf{
				Service: c.Service,
			}, anvilbalance.PickOK
		},
	})
	var after []anvilgather.Action
	for _, a := range r.Start(now, nil) {
		after = r.HandleOutcome(a.CallIndex, anvilbalance.OutcomeGood, now.Add(10*time.Millisecond), after[:0])
	}
}

// partsOf returns the bodies of leafs: records of 16 bytes in no order.
func partsOf(count int, seed uint64) [][]byte {
	random := rand.NewChaCha8([32]byte{byte(seed)})
	parts := make([][]byte, count)
	for i := range parts {
		parts[i] = make([]byte, partBytes)
		// Reading from the generator does not fail.
		_, _ = random.Read(parts[i])
	}
	return parts
}
