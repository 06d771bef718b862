package anvilcapacity

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilupstream"
)

// upstreamWorkers is the number of connections that carry calls at a time.
const upstreamWorkers = 8

// newLeaf starts a stand-in that answers at once.
func newLeaf() (*anvilstandin.Upstream, error) {
	return anvilstandin.NewUpstream(anvilstandin.UpstreamConfig{
		Name:    "service-00-000-a",
		Service: serviceName(0),
		Slots:   2 * upstreamWorkers,
		Holdings: []anvilmodel.Holding{{
			Snapshot: 20_250_611,
			Shards:   serviceShards,
		}},
	})
}

func leafCall(attempt int) anvilmodel.Call {
	c := designCall(attempt, callBody)
	c.Shard = 0
	// No call is to run out of time when the machine is busy.
	c.Timeout = time.Minute
	return c
}

// measureUpstream measures the HTTP client to leafs. The stand-in of the leaf is
// in the same process, so its cost is measured alone as well.
func measureUpstream(ctx context.Context, _ uint64) ([]Slope, error) {
	leaf, err := newLeaf()
	if err != nil {
		return nil, err
	}
	defer leaf.Stop()
	calls, err := measureCalls(ctx, leaf.Address())
	if err != nil {
		return nil, err
	}
	polls, err := measurePolls(ctx, leaf.Address())
	if err != nil {
		return nil, err
	}
	memory, err := measureConnections(ctx, leaf.Address())
	return append(append(calls, polls...), memory), err
}

// measureCalls measures calls by the client, and the same exchange by a bare
// TCP client against the stand-in and against a bare TCP server. The stand-in's
// part is the second less half of the third.
func measureCalls(ctx context.Context, address netip.AddrPort) ([]Slope, error) {
	client := anvilupstream.New(anvilupstream.Config{})
	defer client.Shutdown()
	whole, err := callCPU("upstream-cpu", "calls by anvilupstream to a stand-in, the stand-in included", func(worker, count int) error {
		for i := range count {
			if err := callOnce(ctx, client, address, worker+1, leafCall(worker<<20|i)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	bare, err := callCPU("upstream-bare-client-cpu", "the same requests by a bare TCP client to a stand-in", func(worker, count int) error {
		return bareCalls(address, worker, count)
	})
	if err != nil {
		return nil, err
	}
	echo, err := startBareServer()
	if err != nil {
		return nil, err
	}
	defer echo.close()
	floor, err := callCPU("upstream-bare-both-cpu", "the same requests by a bare TCP client to a bare TCP server", func(worker, count int) error {
		return bareCalls(echo.address, worker, count)
	})
	if err != nil {
		return nil, err
	}
	return []Slope{whole, bare, floor, ownPart(whole, bare, floor)}, nil
}

// callOnce makes a call. A Transport gives up a connection whose writer was not
// scheduled within 50 ms after the reply; the next call on it then fails unsent
// and is made again on a new connection, as the dispatcher does.
func callOnce(ctx context.Context, client *anvilupstream.Client, address netip.AddrPort, connection int, call anvilmodel.Call) error {
	out := client.Call(ctx, address, connection, call)
	if out.Lost && !out.BytesWritten {
		client.Close(address, connection)
		out = client.Call(ctx, address, connection, call)
	}
	if out.Reply.Result != anvilmodel.CallOK {
		return fmt.Errorf("call: %s: %w", out.Reply.Result, out.Err)
	}
	return nil
}

// ownPart estimates what of the calls is the client's.
func ownPart(whole, bare, floor Slope) Slope {
	s := whole
	s.Name = "upstream-own-cpu"
	s.What = "estimated part of anvilupstream: upstream-cpu - (upstream-bare-client-cpu - upstream-bare-both-cpu / 2)"
	s.Values = make([]float64, len(whole.Values))
	for i := range s.Values {
		s.Values[i] = whole.Values[i] - (bare.Values[i] - floor.Values[i]/2)
	}
	s.Targets = []Target{{
		What:   "calls of a second",
		Size:   nodeCalls,
		Rate:   true,
		Unit:   "cores",
		Budget: BudgetDataCPU,
	}}
	return s
}

func callCPU(name, what string, work func(worker, count int) error) (Slope, error) {
	sizes := []int{800, 1_600, 3_200}
	s := Slope{
		Name:     name,
		What:     what,
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "calls",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What: "calls of a second",
			Size: nodeCalls,
			Rate: true,
			Unit: "cores",
		}},
	}
	var mu sync.Mutex
	var first error
	run := func(calls int) {
		var tasks sync.WaitGroup
		for worker := range upstreamWorkers {
			tasks.Go(func() {
				if err := work(worker, calls/upstreamWorkers); err != nil {
					mu.Lock()
					if first == nil {
						first = err
					}
					mu.Unlock()
				}
			})
		}
		tasks.Wait()
	}
	run(sizes[0])
	for _, n := range sizes {
		s.Values = append(s.Values, leastCPU(func() { run(n) }))
	}
	return s, first
}
