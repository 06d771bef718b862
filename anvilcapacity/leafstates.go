package anvilcapacity

import (
	"context"
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// designState is a leaf state as a node passes it on.
func designState(i int) anvilmodel.LeafState {
	l := deploymentLeafs(i + 1)[i]
	return anvilmodel.LeafState{
		Leaf:        l.Name,
		Incarnation: 1_700_000_000_000,
		Load:        1.0 / 3,
		Judged:      true,
		Age:         250 * time.Millisecond,
		Holdings: []anvilmodel.Holding{{
			Snapshot: 20_250_611,
			Shard:    anvilmodel.Shard(i % serviceShards),
			Shards:   serviceShards,
		}},
	}
}

// measureStates measures the exchange of leaf states.
func measureStates(ctx context.Context, server netip.AddrPort, states *[]anvilmodel.LeafState) ([]Slope, error) {
	sizes := []int{0, 8, 22, 44}
	ask := func(ctx context.Context, c *anvilpeer.Client, to netip.AddrPort) error {
		_, _, err := c.LeafStates(ctx, to, 1_000_000)
		return err
	}
	rate := func(what string, size float64, budget BudgetName) Target {
		return Target{What: what, Size: size, Factor: exchangesPerSec, Unit: "bytes/s", Limit: designBytes, Budget: budget}
	}
	bytes := Slope{
		Name:     "leafstates-bytes",
		What:     "one exchange on a fresh connection, both directions together, without TCP and IP headers",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "changed states",
		Sizes:    floats(sizes),
		Targets: []Target{
			rate("sent, no state changed", 0, BudgetControlSent),
			rate("received, no state changed", 0, BudgetControlReceived),
			rate("sent while every leaf changes its snapshot", nodeDispatchers, ""),
		},
	}
	for _, n := range sizes {
		*states = nil
		for i := range n {
			*states = append(*states, designState(i))
		}
		w := &wireCounter{}
		if err := exchange(ctx, w, server, 1, ask); err != nil {
			return nil, err
		}
		bytes.Values = append(bytes.Values, w.bytes())
	}
	*states = (*states)[:22]
	cpu, err := exchangeCPU(ctx, server, "leafstates-cpu", "exchanges of 22 states, both nodes, each on a fresh connection",
		Target{What: "exchanges asked and answered in a second", Size: exchangesPerSec, Rate: true, Unit: "cores", Limit: designCPU}, ask)
	if err != nil {
		return nil, err
	}
	*states = nil
	empty, err := exchangeCPU(ctx, server, "leafstates-empty-cpu", "exchanges of no state, both nodes, each on a fresh connection",
		Target{What: "exchanges asked and answered in a second", Size: exchangesPerSec, Rate: true, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}, ask)
	if err != nil {
		return nil, err
	}
	pooled, err := measurePooled(ctx, server)
	return []Slope{bytes, cpu, empty, pooled}, err
}

// measurePooled measures exchanges on one kept connection, for comparison.
func measurePooled(ctx context.Context, server netip.AddrPort) (Slope, error) {
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{})
	defer func() { _ = client.Close() }()
	return exchangeCPU(ctx, server, "leafstates-kept-cpu", "exchanges of no state, both nodes, on one kept connection",
		Target{What: "exchanges asked and answered in a second", Size: exchangesPerSec, Rate: true, Unit: "cores", Limit: designCPU},
		func(ctx context.Context, _ *anvilpeer.Client, _ netip.AddrPort) error {
			_, _, err := client.LeafStates(ctx, server, 1_000_000)
			return err
		})
}
