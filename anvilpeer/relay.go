// Package anvilpeer carries the node-to-node protocol over drpc.
package anvilpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

// maxBatch bounds the calls or replies of one relay message, so that a long
// queue does not build a message beyond drpc's buffer limits.
const maxBatch = 128

// DialFunc opens a connection to another node.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// RelayConfig sets up a RelayClient.
type RelayConfig struct {
	Address netip.AddrPort
	// Deliver receives every reply, also those for calls that broke. It must
	// not block.
	Deliver func(anvilmodel.CallReply)
	// Dial opens a connection; nil means TCP.
	Dial DialFunc
}

// RelayClient sends leaf calls to one other node over one stream. When the
// stream breaks, every outstanding call is answered and the next call dials a
// new one.
type RelayClient struct {
	address netip.AddrPort
	deliver func(anvilmodel.CallReply)
	dial    DialFunc

	mu      sync.Mutex
	current *relayLink
	closed  bool
}

// NewRelayClient returns a client that connects when it is first used.
func NewRelayClient(c RelayConfig) *RelayClient {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	return &RelayClient{
		address: c.Address,
		deliver: c.Deliver,
		dial:    dial,
	}
}

// Send queues a call for the given incarnation of the node. Its reply, or a
// CallBroken reply, comes through Deliver.
func (r *RelayClient) Send(dispatcher anvilmodel.Incarnation, call anvilmodel.Call) {
	l := r.link()
	sent := l != nil && l.push(relayItem{
		dispatcher: dispatcher,
		call:       call,
		queued:     time.Now(),
	})
	if !sent {
		r.deliver(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
	}
}

// Cancel asks the node to cancel a call.
func (r *RelayClient) Cancel(dispatcher anvilmodel.Incarnation, id anvilmodel.CallID) {
	r.mu.Lock()
	l := r.current
	r.mu.Unlock()
	if l == nil {
		return
	}
	l.push(relayItem{
		dispatcher: dispatcher,
		cancel:     id,
		isCancel:   true,
	})
}

// Reset breaks the current stream, so that the next call dials a new one.
func (r *RelayClient) Reset() {
	r.mu.Lock()
	l := r.current
	r.current = nil
	r.mu.Unlock()
	if l != nil {
		l.stop()
	}
}

// Close breaks the stream and refuses further calls.
func (r *RelayClient) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Reset()
}

// Silence returns for how long calls have been waiting without any reply on
// the stream; zero when none is waiting.
func (r *RelayClient) Silence() time.Duration {
	r.mu.Lock()
	l := r.current
	r.mu.Unlock()
	if l == nil {
		return 0
	}
	return l.silence(time.Now())
}

func (r *RelayClient) link() *relayLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	if r.current != nil {
		return r.current
	}
	ctx, stop := context.WithCancel(context.Background())
	r.current = newRelayLink(stop)
	go r.run(ctx, r.current)
	return r.current
}

// run owns the stream of one link until it breaks.
func (r *RelayClient) run(ctx context.Context, l *relayLink) {
	defer r.fail(l)
	defer l.stop()
	conn, err := r.dial(ctx, r.address)
	if err != nil {
		return
	}
	rpc := drpcconn.NewWithOptions(conn, drpcconn.Options{
		Manager: managerOptions(),
	})
	defer func() { _ = rpc.Close() }()
	stream, err := anvilproto.NewDRPCPeerClient(rpc).Relay(ctx)
	if err != nil {
		return
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		defer l.stop()
		r.receive(stream, l)
	}()
	r.transmit(ctx, stream, l)
	l.stop()
	_ = rpc.Close()
	<-received
}

func (r *RelayClient) transmit(ctx context.Context, stream anvilproto.DRPCPeer_RelayClient, l *relayLink) {
	for {
		batch := l.take(time.Now())
		if batch != nil {
			if err := stream.Send(batch); err != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
	}
}

func (r *RelayClient) receive(stream anvilproto.DRPCPeer_RelayClient, l *relayLink) {
	for {
		replies, err := stream.Recv()
		if err != nil {
			return
		}
		for _, encoded := range replies.GetReplies() {
			reply := decodeReply(encoded)
			if l.settle(reply.ID, time.Now()) {
				r.deliver(reply)
			}
		}
	}
}

// fail answers every outstanding call. A call that was never handed to the
// stream has certainly not run.
func (r *RelayClient) fail(l *relayLink) {
	r.mu.Lock()
	if r.current == l {
		r.current = nil
	}
	r.mu.Unlock()
	for id, entry := range l.close() {
		ran := anvilmodel.RunStateNotRun
		if entry.sent {
			ran = anvilmodel.RunStateUnknown
		}
		r.deliver(brokenReply(id, entry.leaf, ran))
	}
}

func brokenReply(id anvilmodel.CallID, leaf anvilmodel.LeafName, ran anvilmodel.RunState) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:     id,
		Leaf:   leaf,
		Result: anvilmodel.CallBroken,
		Ran:    ran,
	}
}
