package anvilcapacity

import (
	"bytes"
	"context"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilgather"
	"anvilbridge/anvilmodel"
)

// measureGather measures the core of a query and the merging of its parts.
func measureGather(_ context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{10, 33, designLeafsPerQuery}
	rate := func(what string) Target {
		return Target{What: what, Size: designLeafsPerQuery, Factor: nodeQueries, Unit: "cores", Budget: BudgetDataCPU}
	}
	core := Slope{
		Name:     "gather-cpu",
		What:     "core of a query whose parts all come in, leafs chosen without cost",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "shards",
		Sizes:    floats(sizes),
		Targets:  []Target{rate("205 queries a second")},
	}
	memory := Slope{
		Name:     "gather-bytes",
		What:     "allocated for the core of a query",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "shards",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "205 queries a second", Size: designLeafsPerQuery, Factor: nodeQueries, Unit: "bytes/s"}},
	}
	merge := Slope{
		Name:     "merge-cpu",
		What:     "choosing the greatest 50 records of parts of 1,000 bytes",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "shards",
		Sizes:    floats(sizes),
		Targets:  []Target{rate("205 answers a second")},
	}
	const queries = 2000
	for _, n := range sizes {
		run := func() {
			for range queries {
				gatherOnce(n)
			}
		}
		core.Values = append(core.Values, leastCPU(run)/queries)
		_, allocatedBytes := allocated(run)
		memory.Values = append(memory.Values, allocatedBytes/queries)
		parts := partsOf(n, seed)
		merge.Values = append(merge.Values, leastCPU(func() {
			for range queries {
				anvilgather.MergeTop(parts, topRecords)
			}
		})/queries)
	}
	return []Slope{core, memory, merge}, nil
}

func gatherOnce(shards int) {
	now := time.Unix(1_700_000_000, 0)
	route := queryRoute(0)
	route.Shards = shardsOf(shards)
	r := anvilgather.New(anvilgather.Config{
		Route:      &route,
		Services:   route.Shards,
		Arrived:    now,
		Timeout:    route.Timeout,
		HedgeDelay: 20 * time.Millisecond,
		Available:  func(anvilmodel.ServiceName, time.Time) bool { return true },
		Pick: func(c anvilbalance.Choice, _ time.Time) (anvilbalance.Leaf, anvilbalance.Verdict) {
			return anvilbalance.Leaf{
				Service: c.Service,
			}, anvilbalance.VerdictPicked
		},
	})
	var after []anvilgather.Action
	for _, a := range r.Start(now, nil) {
		after = r.Handle(a.Call, anvilbalance.OutcomeGood, now.Add(10*time.Millisecond), after[:0])
	}
}

// partsOf returns the bodies of leafs: records of 16 bytes in no order.
func partsOf(count int, seed uint64) [][]byte {
	parts := make([][]byte, count)
	for i := range parts {
		record := []byte("record-0000-0000")
		for k := range partBytes / len(record) {
			seed = seed*6364136223846793005 + 1442695040888963407
			record[7] = byte('a' + seed>>60)
			record[8] = byte('a' + seed>>56&15)
			record[12] = byte('a' + k%20)
			parts[i] = append(parts[i], bytes.Clone(record)...)
		}
	}
	return parts
}
