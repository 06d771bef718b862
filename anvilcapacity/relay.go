package anvilcapacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilproto"
)

const (
	// callBody and replyBody are the sizes of bodies where another size varies.
	callBody  = 256
	replyBody = 1024
	// relayTimeout is sent with each call. Its encoding has three bytes whatever
	// a call waits up to a second.
	relayTimeout = 1200 * time.Millisecond
)

var errNoReply = errors.New("a relayed call got no reply in time")

// relayPair is a relay stream between two nodes in this process.
type relayPair struct {
	wire   wireCounter
	server *peerServer
	client *anvilpeer.RelayClient
	// gate holds the first connection back until it is closed.
	gate    chan struct{}
	replies chan struct{}
	body    []byte
	// pending holds the replies that the other node has not sent yet.
	mu      sync.Mutex
	pending []func()
	hold    bool
	attempt int
}

func newRelayPair(replyBytes int) (*relayPair, error) {
	p := &relayPair{
		gate:    make(chan struct{}),
		replies: make(chan struct{}, 1024),
		body:    make([]byte, replyBytes),
	}
	server, err := startPeerServer(anvilpeer.Handlers{
		Submit: p.submit,
	})
	if err != nil {
		return nil, err
	}
	p.server = server
	p.client = anvilpeer.NewRelayClient(anvilpeer.RelayConfig{
		Address: server.address,
		Deliver: func(r anvilmodel.CallReply) {
			if r.Result == anvilmodel.CallOK {
				p.replies <- struct{}{}
			}
		},
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			<-p.gate
			return p.wire.dial(ctx, address)
		},
	})
	return p, nil
}

func (p *relayPair) close() {
	p.client.Close()
	p.server.close()
}

// submit answers a call at once, or when release is called.
func (p *relayPair) submit(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	answer := func() { reply(designReply(call, p.body)) }
	p.mu.Lock()
	hold := p.hold
	if hold {
		p.pending = append(p.pending, answer)
	}
	p.mu.Unlock()
	if !hold {
		answer()
	}
}

// release sends the reply to one held call.
func (p *relayPair) release() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return false
	}
	p.pending[0]()
	p.pending = p.pending[1:]
	return true
}

func (p *relayPair) send(count, body int) {
	for range count {
		p.attempt++
		p.client.Enqueue(peerIncarnation, designCall(p.attempt, body))
	}
	p.client.Flush()
}

func (p *relayPair) await(count int) error {
	timeout := time.NewTimer(peerTimeout)
	defer timeout.Stop()
	for range count {
		select {
		case <-p.replies:
		case <-timeout.C:
			return errNoReply
		}
	}
	return nil
}

// designCall returns a call as a query at the design size makes it.
func designCall(attempt, body int) anvilmodel.Call {
	return anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "0123456789abcdef",
			Origin:  1_700_000_000_001,
			Attempt: 1<<30 + attempt,
		},
		Leaf:     anvilmodel.LeafName(fmt.Sprintf("service-00-%03d-a", attempt%serviceShards)),
		Service:  serviceName(0),
		Class:    "buyers",
		Priority: 20,
		Snapshot: 20_250_611,
		Shard:    anvilmodel.Shard(attempt % serviceShards),
		Timeout:  relayTimeout,
		Body:     make([]byte, body),
	}
}

func designReply(c anvilmodel.Call, body []byte) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:          c.ID,
		Leaf:        c.Leaf,
		Result:      anvilmodel.CallOK,
		Ran:         anvilmodel.RunStateRun,
		Incarnation: 1_700_000_000_000,
		Holding: anvilmodel.Holding{
			Snapshot: c.Snapshot,
			Shard:    c.Shard,
			Shards:   serviceShards,
		},
		Load: 1.0 / 3,
		Body: body,
	}
}

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

// measureEncoding measures protobuf alone: a batch of calls and its replies are
// encoded and decoded once each.
func measureEncoding() Slope {
	sizes := []int{1, 4, 16, 64}
	s := Slope{
		Name:     "relay-encoding-cpu",
		What:     "protobuf of calls and replies, encoded and decoded once, bodies of 256 bytes and 1 KB",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "calls in the batch",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What: "calls relayed and taken in a second",
			Size: nodeCalls,
			Rate: true,
			Unit: "cores",
		}},
	}
	for _, n := range sizes {
		calls, replies := designMessages(n)
		rounds := 10_000 / n
		s.Values = append(s.Values, leastCPU(func() {
			for range rounds {
				recode(calls, &anvilproto.RelayBatch{})
				recode(replies, &anvilproto.RelayReplies{})
			}
		})/float64(rounds))
	}
	return s
}

// recode encodes a message and decodes it into another.
func recode(from, to proto.Message) {
	// What was just encoded can be decoded.
	encoded, _ := proto.Marshal(from)
	_ = proto.Unmarshal(encoded, to)
}

// designMessages returns a batch and its replies as anvilpeer/codec.go maps them.
func designMessages(count int) (*anvilproto.RelayBatch, *anvilproto.RelayReplies) {
	calls := &anvilproto.RelayBatch{
		Dispatcher: uint64(peerIncarnation),
	}
	replies := &anvilproto.RelayReplies{}
	body := make([]byte, replyBody)
	for i := range count {
		c := designCall(i, callBody)
		r := designReply(c, body)
		id := &anvilproto.CallID{
			Request: string(c.ID.Request),
			Origin:  uint64(c.ID.Origin),
			Attempt: int32(c.ID.Attempt),
		}
		calls.Calls = append(calls.Calls, &anvilproto.LeafCall{
			Id:            id,
			Leaf:          string(c.Leaf),
			Service:       string(c.Service),
			Class:         string(c.Class),
			Priority:      int32(c.Priority),
			Snapshot:      uint64(c.Snapshot),
			Shard:         int32(c.Shard),
			TimeoutMicros: c.Timeout.Microseconds(),
			Body:          c.Body,
		})
		replies.Replies = append(replies.Replies, &anvilproto.LeafReply{
			Id:          id,
			Leaf:        string(r.Leaf),
			Result:      int32(r.Result),
			Ran:         int32(r.Ran),
			Incarnation: uint64(r.Incarnation),
			Holding: &anvilproto.Holding{
				Snapshot: uint64(r.Holding.Snapshot),
				Shard:    int32(r.Holding.Shard),
				Shards:   int32(r.Holding.Shards),
			},
			Load: r.Load,
			Body: r.Body,
		})
	}
	return calls, replies
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
			What:   "calls relayed and taken in a second, without the cost of a round",
			Size:   nodeCalls,
			Rate:   true,
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
