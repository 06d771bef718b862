package anvilcapacity

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
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
	fleets := sizeList{name: "leafs", list: []int{300, 1000, designLeafs}}
	control := func(what string, factor float64) Target {
		return Target{What: what, Size: designLeafs, Factor: factor, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}
	}
	memory := fleets.slope("balance-memory", "what a node knows of leafs", KindHeap, "bytes",
		Target{What: "leafs", Size: designLeafs, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory})
	checks := fleets.slope("balance-checks-cpu", "one look for leafs whose health is due to be checked", KindCPU, "s",
		control("20 looks a second", checksPerSec))
	reach := fleets.slope("balance-reach-cpu", "one look whether each shard has a leaf that can be called", KindCPU, "s",
		control("5 looks a second", looksPerSec))
	calls := fleets.slope("balance-call-cpu", "choosing a leaf and taking the end of the call", KindCPU, "s",
		Target{What: "20,283 calls a second", Size: designLeafs, Factor: nodeCalls, Unit: "cores", Budget: BudgetDataCPU})
	const rounds = 200
	now := time.Unix(1_700_000_000, 0)
	for _, n := range fleets.list {
		build := func() *anvilbalance.Balancer { return balancerOf(n, seed, now) }
		memory.Values = append(memory.Values, retained(build))
		b := build()
		// The names are made before, because a gateway has them in its routes.
		shards := shardNames(n / shardLeafs)
		checks.Values = append(checks.Values, leastCPU(func() {
			for range rounds {
				b.DueHealthChecks(now)
			}
		})/rounds)
		reach.Values = append(reach.Values, leastCPU(func() {
			for range rounds {
				for _, name := range shards {
					b.ServiceAvailable(name, now)
				}
			}
		})/rounds)
		calls.Values = append(calls.Values, leastCPU(func() {
			for range rounds {
				for _, name := range shards {
					callOnce(b, name, now)
				}
			}
		})/float64(rounds*len(shards)))
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

func callOnce(b *anvilbalance.Balancer, service anvilmodel.ServiceName, now time.Time) {
	b.CountRequest(service, now)
	l, verdict := b.Pick(anvilbalance.PickRequest{
		Service: service,
		Route:   routeName,
	}, now)
	if verdict != anvilbalance.PickOK {
		return
	}
	b.Finish(anvilbalance.CallResult{
		Leaf:    l,
		Route:   routeName,
		Outcome: anvilbalance.OutcomeGood,
		Elapsed: 10 * time.Millisecond,
	}, now)
}

// measureConnections measures how many connections all nodes together may hold to
// a leaf, against what it accepts.
func measureConnections(_ context.Context, _ uint64) ([]Slope, error) {
	callers := sizeList{name: "nodes that call the leaf", list: []int{4, serviceNodes, 55, designNodes}}
	s := callers.slope("connections-per-leaf", "connections that the nodes which call a leaf may hold to it; it accepts 62", KindCount, "connections",
		Target{What: "each query service is served by its own nodes", Size: serviceNodes, Unit: "connections", Limit: leafConnections},
		Target{What: "each node serves all query services", Size: designNodes, Unit: "connections", Limit: leafConnections})
	b := anvilbalance.New(anvilbalance.Config{})
	b.SetServices(anvilroute.NewTable(configuration(1)).Services())
	for _, n := range callers.list {
		b.SetNodeCount(n)
		s.Values = append(s.Values, float64(n*b.ConnectionLimit(shardName(0))))
	}
	return []Slope{s}, nil
}
