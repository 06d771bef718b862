package anvilcapacity

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

const (
	// serviceNodes is the nodes for each query service: 15 services of 99 shards with
	// 2 leafs each make up 3,000 leafs.
	serviceNodes = designNodes * designLeafsPerQuery * shardLeafs / designLeafs
	// checksPerSec is how often a gateway looks for leafs whose health is due to be
	// checked, looksPerSec how often it looks at the reach of its routes
	// (anvilgateway/gateway.go).
	checksPerSec = 20
	looksPerSec  = 5
	// routeName is that of the calls measured.
	routeName = "query-0"
)

// measureBalance measures what a gateway knows of the leafs.
func measureBalance(_ context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{300, 1000, designLeafs}
	memory := Slope{
		Name:     "balance-memory",
		What:     "what a node knows of leafs",
		Kind:     KindHeap,
		Unit:     "bytes",
		SizeName: "leafs",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "leafs", Size: designLeafs, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory}},
	}
	checks := Slope{
		Name:     "balance-checks-cpu",
		What:     "one look for leafs whose health is due to be checked",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "leafs",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "20 looks a second", Size: designLeafs, Factor: checksPerSec, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}},
	}
	reach := Slope{
		Name:     "balance-reach-cpu",
		What:     "one look whether each shard has a leaf that can be called",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "leafs",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "5 looks a second", Size: designLeafs, Factor: looksPerSec, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}},
	}
	calls := Slope{
		Name:     "balance-call-cpu",
		What:     "choosing a leaf and taking the end of the call",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "leafs",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "20,283 calls a second", Size: designLeafs, Factor: nodeCalls, Unit: "cores", Budget: BudgetDataCPU}},
	}
	const rounds = 200
	now := time.Unix(1_700_000_000, 0)
	for _, n := range sizes {
		build := func() *anvilbalance.Balancer { return balancerOf(n, seed, now) }
		memory.Values = append(memory.Values, retained(build))
		b := build()
		checks.Values = append(checks.Values, leastCPU(func() {
			for range rounds {
				b.DueChecks(now)
			}
		})/rounds)
		reach.Values = append(reach.Values, leastCPU(func() {
			for range rounds {
				for i := range n / shardLeafs {
					b.Available(shardName(i), now)
				}
			}
		})/rounds)
		count := rounds * n / shardLeafs
		calls.Values = append(calls.Values, leastCPU(func() {
			for i := range count {
				callOnce(b, i%(n/shardLeafs), now)
			}
		})/float64(count))
	}
	return []Slope{memory, checks, reach, calls}, nil
}

func balancerOf(leafs int, seed uint64, now time.Time) *anvilbalance.Balancer {
	b := anvilbalance.New(anvilbalance.Config{
		FailureDomain: domainName(0),
		Random:        rand.New(rand.NewPCG(seed, 0)),
		RetrySlack:    200,
	})
	for i := range leafs {
		b.SetLeaf(leafAt(i), now)
	}
	return b
}

func callOnce(b *anvilbalance.Balancer, shard int, now time.Time) {
	service := shardName(shard)
	b.CountRequest(service, now)
	l, verdict := b.Pick(anvilbalance.Choice{
		Service: service,
		Route:   routeName,
	}, now)
	if verdict != anvilbalance.VerdictPicked {
		return
	}
	b.Finish(anvilbalance.Result{
		Leaf:    l,
		Route:   routeName,
		Outcome: anvilbalance.OutcomeGood,
		Elapsed: 10 * time.Millisecond,
	}, now)
}

// measureConnections measures how many connections all nodes together may hold to
// a leaf, against what it accepts.
func measureConnections(_ context.Context, _ uint64) ([]Slope, error) {
	sizes := []int{4, serviceNodes, 55, designNodes}
	s := Slope{
		Name:     "connections-per-leaf",
		What:     "connections that the nodes which call a leaf may hold to it; it accepts 62",
		Kind:     KindCount,
		Unit:     "connections",
		SizeName: "nodes that call the leaf",
		Sizes:    floats(sizes),
		Targets: []Target{
			{What: "each query service is served by its own nodes", Size: serviceNodes, Unit: "connections", Limit: leafConnections},
			{What: "each node serves all query services", Size: designNodes, Unit: "connections", Limit: leafConnections},
		},
	}
	b := anvilbalance.New(anvilbalance.Config{})
	b.SetServices(servicesOf(configuration(1)))
	for _, n := range sizes {
		b.SetNodes(n)
		s.Values = append(s.Values, float64(n*b.Connections(shardName(0))))
	}
	return []Slope{s}, nil
}

// shardsOf returns the names of so many shards.
func shardsOf(count int) []anvilmodel.ServiceName {
	return slices.Collect(func(yield func(anvilmodel.ServiceName) bool) {
		for i := range count {
			if !yield(shardName(i)) {
				return
			}
		}
	})
}
