package anvilcapacity

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilupstream"
	"anvilbridge/anvilwire"
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
			out := client.Call(ctx, address, worker+1, leafCall(worker<<20|i))
			if out.Reply.Result != anvilmodel.CallOK {
				return fmt.Errorf("call: %s: %w", out.Reply.Result, out.Err)
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
	sizes := []int{1_000, 2_000, 4_000}
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

// bareCalls sends the requests of calls as bytes and reads replies as bytes.
func bareCalls(address netip.AddrPort, worker, count int) error {
	conn, err := net.DialTimeout("tcp", address.String(), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reply := make([]byte, 16<<10)
	for i := range count {
		if _, err := conn.Write(bareRequest(leafCall(worker<<20|i), address)); err != nil {
			return err
		}
		// The reply is small and was written at once.
		if _, err := conn.Read(reply); err != nil {
			return err
		}
	}
	return nil
}

func bareRequest(c anvilmodel.Call, address netip.AddrPort) []byte {
	b := make([]byte, 0, 1024)
	b = fmt.Appendf(b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", anvilwire.PathLeafCall, address, len(c.Body))
	for name, values := range anvilwire.CallHeader(&c) {
		b = fmt.Appendf(b, "%s: %s\r\n", name, values[0])
	}
	return append(append(b, "\r\n"...), c.Body...)
}

// bareServer answers each read with one reply.
type bareServer struct {
	listener net.Listener
	address  netip.AddrPort
	tasks    sync.WaitGroup
}

func startBareServer() (*bareServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &bareServer{
		listener: listener,
		address:  listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	s.tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.tasks.Go(func() { answerBare(conn) })
		}
	})
	return s, nil
}

func answerBare(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reply := []byte("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + string(make([]byte, 400)))
	request := make([]byte, 16<<10)
	for {
		if _, err := conn.Read(request); err != nil {
			return
		}
		if _, err := conn.Write(reply); err != nil {
			return
		}
	}
}

func (s *bareServer) close() {
	_ = s.listener.Close()
	s.tasks.Wait()
}

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
