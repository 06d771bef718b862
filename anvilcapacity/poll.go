package anvilcapacity

import (
	"context"
	"net"
	"net/netip"

	"anvilbridge/anvilupstream"
)

// measurePolls measures reads of a leaf's state.
func measurePolls(ctx context.Context, address netip.AddrPort) ([]Slope, error) {
	sizes := []int{250, 500, 1_000}
	slope := func(name, what string, kind Kind, unit string, targets ...Target) Slope {
		return Slope{
			Name:     name,
			What:     what,
			Kind:     kind,
			Unit:     unit,
			SizeName: "polls",
			Sizes:    floats(sizes),
			Targets:  targets,
		}
	}
	target := func(what, unit string, limit float64, budget BudgetName) Target {
		return Target{What: what, Size: pollsPerSec, Rate: true, Unit: unit, Limit: limit, Budget: budget}
	}
	cpu := slope("poll-cpu", "reads of a leaf's state, the stand-in included", KindCPU, "s",
		target("polls of a second", "cores", designCPU, BudgetControlCPU))
	sent := slope("poll-sent-bytes", "requests for a leaf's state, without TCP and IP headers", KindCount, "bytes",
		target("polls of a second", "bytes/s", designBytes, BudgetControlSent))
	received := slope("poll-received-bytes", "a leaf's states, without TCP and IP headers; each Date header has 37 bytes", KindCount, "bytes",
		target("polls of a second", "bytes/s", designBytes, BudgetControlReceived))
	for _, n := range sizes {
		w := &wireCounter{}
		client := anvilupstream.New(anvilupstream.Config{
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { return w.dial(ctx, address) },
		})
		var err error
		run := func() {
			for range n {
				if err == nil {
					_, err = client.State(ctx, address)
				}
			}
		}
		run()
		sent.Values = append(sent.Values, float64(w.sent.Load()))
		received.Values = append(received.Values, float64(w.received.Load()))
		cpu.Values = append(cpu.Values, leastCPU(run))
		client.Shutdown()
		if err != nil {
			return nil, err
		}
	}
	return []Slope{cpu, sent, received}, nil
}

// measureConnections weighs open connections to a leaf.
func measureConnections(ctx context.Context, address netip.AddrPort) (Slope, error) {
	sizes := []int{50, 100, 200}
	s := Slope{
		Name:     "upstream-memory",
		What:     "idle numbered connections, heap and stacks, the stand-in included",
		Kind:     KindHeap,
		Unit:     "bytes",
		SizeName: "connections",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What: "all connections of a node's shares, 10 to each of its 22 leafs",
			Size: nodeDispatchers * serviceConnections / 3,
			Rate: true,
			Unit: "bytes",
		}},
	}
	for _, n := range sizes {
		before := liveHeap() + stacks()
		client := anvilupstream.New(anvilupstream.Config{})
		var err error
		for i := range n {
			if _, err = client.Open(ctx, address, i+1); err != nil {
				break
			}
		}
		s.Values = append(s.Values, liveHeap()+stacks()-before)
		client.Shutdown()
		if err != nil {
			return s, err
		}
	}
	return s, nil
}
