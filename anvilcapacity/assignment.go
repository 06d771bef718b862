package anvilcapacity

import (
	"context"
	"fmt"
	"math/rand/v2"

	"anvilbridge/anvilassign"
	"anvilbridge/anvilmodel"
)

// sampledQueries is how many queries the spread over nodes is averaged over.
const sampledQueries = 2000

// measureAssignment measures building the table, and what it does to queries.
func measureAssignment(ctx context.Context, seed uint64) ([]Slope, error) {
	slopes := measureTable()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	slopes = append(slopes, measureGroups(seed)...)
	slopes = append(slopes, measureLoss()...)
	return append(slopes, measureShares()), nil
}

// measureTable builds tables of several sizes.
func measureTable() []Slope {
	leafs := []int{750, 1500, designLeafs}
	slots := []int{102, 205, designNodes}
	change := Target{
		What:   "at each configuration change",
		Factor: changesPerSec,
		Unit:   "cores",
		Limit:  designCPU,
		Budget: BudgetControlCPU,
	}
	change.Size = designLeafs
	byLeafs := Slope{
		Name:     "assignment-cpu",
		What:     "building the table for 410 slots",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "leafs",
		Sizes:    floats(leafs),
		Targets:  []Target{change},
	}
	memory := Slope{
		Name:     "assignment-memory",
		What:     "table for 410 slots",
		Kind:     KindHeap,
		Unit:     "bytes",
		SizeName: "leafs",
		Sizes:    floats(leafs),
		Targets: []Target{{
			What:   "two tables, while a new one takes over",
			Size:   designLeafs,
			Factor: 2,
			Unit:   "bytes",
			Limit:  designMemory,
			Budget: BudgetControlMemory,
		}},
	}
	for _, n := range leafs {
		c := assignConfig(designNodes, n, 0)
		byLeafs.Values = append(byLeafs.Values, leastCPU(func() { anvilassign.New(c) }))
		memory.Values = append(memory.Values, retained(func() *anvilassign.Table { return anvilassign.New(c) }))
	}
	bySlots := Slope{
		Name:     "assignment-slots-cpu",
		What:     "building the table for 3,000 leafs",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "slots",
		Sizes:    floats(slots),
		Targets: []Target{{
			What: "one build",
			Size: designNodes,
			Unit: "s",
		}},
	}
	for _, n := range slots {
		c := assignConfig(n, designLeafs, 0)
		bySlots.Values = append(bySlots.Values, leastCPU(func() { anvilassign.New(c) }))
	}
	return []Slope{byLeafs, memory, bySlots}
}

// measureGroups measures what leaf-group-size does at the design size.
func measureGroups(seed uint64) []Slope {
	sizes := []int{1, 4, 8, 10, 16, 32}
	slope := func(name, what, unit string, targets ...Target) Slope {
		return Slope{
			Name:     "assignment-" + name,
			What:     what + ", 410 slots and 3,000 leafs",
			Kind:     KindCount,
			Unit:     unit,
			SizeName: "leaf-group-size",
			Sizes:    floats(sizes),
			Targets:  targets,
		}
	}
	const defaultGroup = anvilassign.DefaultGroupSize
	spread := slope("nodes-per-query", "nodes that dispatch for one query to 99 leafs, mean", "nodes",
		Target{What: "nodes per query", Size: defaultGroup, Unit: "nodes"},
		Target{What: "batches that a node sends", Size: defaultGroup, Factor: nodeQueries, Unit: "messages/s"})
	local := slope("nodes-per-region-query", "nodes that dispatch if a query takes the leafs of one region only", "nodes",
		Target{What: "nodes per query", Size: defaultGroup, Unit: "nodes"})
	worst := slope("nodes-per-query-max", fmt.Sprintf("the most nodes of %d queries", sampledQueries), "nodes",
		Target{What: "nodes per query", Size: defaultGroup, Unit: "nodes"})
	loaded := slope("leafs-per-slot", "most leafs of a slot as first candidate over the mean", "ratio",
		Target{What: "calls of the busiest node over the mean", Size: defaultGroup, Unit: "ratio"})
	for _, size := range sizes {
		c := assignConfig(designNodes, designLeafs, size)
		t := anvilassign.New(c)
		random := rand.New(rand.NewPCG(seed, 0))
		nodes, most := dispatchers(t, c.Leafs, func(int) int { return random.IntN(serviceReplicas) })
		oneRegion, _ := dispatchers(t, c.Leafs, firstRegion)
		spread.Values = append(spread.Values, nodes)
		local.Values = append(local.Values, oneRegion)
		worst.Values = append(worst.Values, most)
		loaded.Values = append(loaded.Values, float64(mostPrimaries(t, c))/nodePrimaries)
	}
	return []Slope{spread, worst, local, loaded}
}

// dispatchers returns the mean and the largest number of nodes that dispatch
// for a query to one leaf of each shard of a service, the given replica of it.
func dispatchers(t *anvilassign.Table, leafs []anvilmodel.Leaf, replica func(shard int) int) (nodes, most float64) {
	const perService = serviceShards * serviceReplicas
	services := len(leafs) / perService
	total := 0
	for q := range sampledQueries {
		service := leafs[q%services*perService:][:perService]
		used := make(map[anvilmodel.SlotName]bool)
		for shard := range serviceShards {
			l := service[shard*serviceReplicas+replica(shard)]
			used[t.Candidates(l.Name)[0].Slot] = true
		}
		total += len(used)
		most = max(most, float64(len(used)))
	}
	return float64(total) / sampledQueries, most
}

// firstRegion returns the replica of a shard that is in the first region.
func firstRegion(shard int) int {
	return regionOf(shard)
}

func mostPrimaries(t *anvilassign.Table, c anvilassign.Config) int {
	most := 0
	for _, n := range primaries(t, c, nil) {
		most = max(most, n)
	}
	return most
}

// primaries counts the leafs that each slot dispatches for when some slots have
// no node.
func primaries(t *anvilassign.Table, c anvilassign.Config, lost map[anvilmodel.SlotName]bool) map[anvilmodel.SlotName]int {
	counts := make(map[anvilmodel.SlotName]int)
	for _, l := range c.Leafs {
		for _, k := range t.Candidates(l.Name) {
			if !lost[k.Slot] {
				counts[k.Slot]++
				break
			}
		}
	}
	return counts
}

// measureLoss takes nodes of one failure domain away.
func measureLoss() []Slope {
	sizes := []int{1, 5, 20, 50, 103}
	slope := func(name, what string, targets ...Target) Slope {
		return Slope{
			Name:     "assignment-loss-" + name,
			What:     what + ", 410 slots and 3,000 leafs that all still answer",
			Kind:     KindCount,
			Unit:     "leafs",
			SizeName: "lost nodes of one failure domain",
			Sizes:    floats(sizes),
			Targets:  targets,
		}
	}
	moved := slope("moved", "leafs that move to another candidate",
		Target{What: "one node lost", Size: 1, Unit: "leafs"},
		Target{What: "moves of an ordinary day, there and back, at the mean", Size: 103, Factor: 2.0 * (designFailures + designReplacements) / 103, Unit: "moves/day"},
		Target{What: "a rack of 20 nodes lost", Size: 20, Unit: "leafs"})
	most := slope("most", "most leafs of one remaining node",
		Target{What: "all nodes of a failure domain lost", Size: 103, Unit: "leafs"})
	orphans := slope("orphans", "leafs without a candidate",
		Target{What: "all nodes of a failure domain lost", Size: 103, Unit: "leafs"})
	c := assignConfig(designNodes, designLeafs, 0)
	t := anvilassign.New(c)
	before := primaries(t, c, nil)
	for _, n := range sizes {
		lost := make(map[anvilmodel.SlotName]bool)
		gone := 0
		for i := 0; len(lost) < n; i += designDomains {
			lost[slotName(i)] = true
			gone += before[slotName(i)]
		}
		after := primaries(t, c, lost)
		served, largest := 0, 0
		for _, k := range after {
			served += k
			largest = max(largest, k)
		}
		moved.Values = append(moved.Values, float64(gone-(designLeafs-served)))
		most.Values = append(most.Values, float64(largest))
		orphans.Values = append(orphans.Values, float64(designLeafs-served))
	}
	return []Slope{moved, most, orphans}
}

// measureShares adds up the connections that the candidates of a leaf may open.
func measureShares() Slope {
	limits := []int{25, 30, 35, 100}
	s := Slope{
		Name:     "connections-per-leaf",
		What:     "connections that the three candidates of a leaf may open together, control connections included",
		Kind:     KindCount,
		Unit:     "connections",
		SizeName: "connection limit of the leaf",
		Sizes:    floats(limits),
		Targets: []Target{{
			What:  "all candidates at their shares",
			Size:  25,
			Unit:  "connections",
			Limit: 25,
		}},
	}
	for _, limit := range limits {
		c := assignConfig(designNodes, designLeafs, 0)
		for name, l := range c.Limits {
			l.Connections = limit
			c.Limits[name] = l
		}
		t := anvilassign.New(c)
		most := 0
		for _, l := range c.Leafs {
			sum := 0
			for _, k := range t.Candidates(l.Name) {
				sum += k.Connections
			}
			most = max(most, sum)
		}
		s.Values = append(s.Values, float64(most))
	}
	return s
}
