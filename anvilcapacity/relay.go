package anvilcapacity

import (
	"context"
	"runtime"
	"time"
)

// measureRelay measures relayed calls.
func measureRelay(context.Context, uint64) ([]Slope, error) {
	bytes, err := measureRelayBytes()
	if err != nil {
		return nil, err
	}
	cpu, err := measureRelayCPU()
	if err != nil {
		return nil, err
	}
	memory, err := measureRelayMemory()
	return append(append(bytes, measureEncoding()), append(cpu, memory)...), err
}

// measureRelayBytes measures bytes on the connection of a relay.
func measureRelayBytes() ([]Slope, error) {
	batches := []int{1, 4, 16, 64, 128}
	bodies := []int{0, 256, 1024, 4096}
	slope := func(name, what, size string, sizes []int, target Target) Slope {
		return Slope{
			Name:     "relay-" + name,
			What:     what + ", without TCP and IP headers",
			Kind:     KindCount,
			Unit:     "bytes",
			SizeName: size,
			Sizes:    floats(sizes),
			Targets:  []Target{target},
		}
	}
	perSec := func(what string, size float64) Target {
		return Target{What: what, Size: size, Factor: nodeCalls, Unit: "bytes/s"}
	}
	calls := slope("call-bytes", "stream setup and one batch of calls with bodies of 256 bytes", "calls in the batch", batches,
		Target{What: "calls relayed in a second", Size: nodeCalls, Rate: true, Unit: "bytes/s"})
	callBodies := slope("call-body-bytes", "one call of a batch of 16", "body bytes", bodies, perSec("calls of 256 bytes relayed in a second", callBody))
	replyBodies := slope("reply-body-bytes", "one reply in a message of its own", "body bytes", bodies, perSec("replies of 1 KB in a second", replyBody))
	for _, n := range batches {
		sent, _, err := relayOnce(n, callBody, 0)
		if err != nil {
			return nil, err
		}
		calls.Values = append(calls.Values, sent)
	}
	for _, body := range bodies {
		one, _, err := relayOnce(1, body, 0)
		if err != nil {
			return nil, err
		}
		sent, received, err := relayOnce(17, body, body)
		if err != nil {
			return nil, err
		}
		callBodies.Values = append(callBodies.Values, (sent-one)/16)
		replyBodies.Values = append(replyBodies.Values, received/17)
	}
	return []Slope{calls, callBodies, replyBodies}, nil
}

// relayOnce sends one batch over a fresh stream, and the replies one by one. It
// returns the bytes of both directions.
func relayOnce(calls, body, replyBytes int) (sent, received float64, err error) {
	p, err := newRelayPair(replyBytes)
	if err != nil {
		return 0, 0, err
	}
	defer p.close()
	p.hold = true
	p.send(calls, body)
	close(p.gate)
	deadline := time.Now().Add(peerTimeout)
	for answered := 0; answered < calls; {
		if !p.release() {
			if time.Now().After(deadline) {
				return 0, 0, errNoReply
			}
			time.Sleep(100 * time.Microsecond)
			continue
		}
		if err := p.await(1); err != nil {
			return 0, 0, err
		}
		answered++
	}
	return float64(p.wire.sent.Load()), float64(p.wire.received.Load()), nil
}

// measureRelayCPU measures the way of calls and replies between two nodes.
func measureRelayCPU() ([]Slope, error) {
	sizes := []int{1, 4, 16, 64}
	cpu := Slope{
		Name:     "relay-cpu",
		What:     "a round of calls and its replies, both nodes, over one kept stream on loopback",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "calls in the round",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "calls relayed and taken in a second",
			Size:   nodeCalls,
			Rate:   true,
			Unit:   "cores",
			Budget: BudgetDataCPU,
		}, {
			What:   "cost of the rounds, 28.7 for each query",
			Size:   0,
			Factor: nodeBatches,
			Unit:   "cores",
			Budget: BudgetDataCPU,
		}},
	}
	writes := Slope{
		Name:     "relay-messages",
		What:     "messages in which the calls of a round are sent",
		Kind:     KindWall,
		Unit:     "messages",
		SizeName: "calls in the round",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What: "calls of a query to one of its dispatchers",
			Size: 4,
			Unit: "messages",
		}},
	}
	for _, n := range sizes {
		rounds := 6_000 / n
		p, err := newRelayPair(replyBody)
		if err != nil {
			return nil, err
		}
		close(p.gate)
		before := int64(0)
		run := func() {
			before = p.wire.writes.Load()
			for range rounds {
				if err != nil {
					return
				}
				p.send(n, callBody)
				err = p.await(n)
			}
		}
		run()
		cpu.Values = append(cpu.Values, leastCPU(run)/float64(rounds))
		writes.Values = append(writes.Values, float64(p.wire.writes.Load()-before)/float64(rounds))
		p.close()
		if err != nil {
			return nil, err
		}
	}
	return []Slope{cpu, writes}, nil
}

// measureRelayMemory weighs relay streams that are open and idle.
func measureRelayMemory() (Slope, error) {
	sizes := []int{25, 50, 100}
	s := Slope{
		Name:     "relay-memory",
		What:     "idle relay streams with their connections, both nodes, heap and stacks",
		Kind:     KindHeap,
		Unit:     "bytes",
		SizeName: "streams",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What: "409 streams opened and 409 taken",
			Size: designNodes - 1,
			Rate: true,
			Unit: "bytes",
		}},
	}
	for _, n := range sizes {
		before := liveHeap() + stacks()
		pairs := make([]*relayPair, 0, n)
		var err error
		for range n {
			var p *relayPair
			if p, err = newRelayPair(0); err != nil {
				break
			}
			pairs = append(pairs, p)
			close(p.gate)
			p.send(1, callBody)
			if err = p.await(1); err != nil {
				break
			}
		}
		s.Values = append(s.Values, liveHeap()+stacks()-before)
		for _, p := range pairs {
			p.close()
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

func stacks() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}
