// Package anvilpeer carries the node-to-node protocol over drpc.
package anvilpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

const (
	// dialTimeout bounds opening a connection. Without it a call to a VM that is
	// gone would wait for the operating system, which tries for minutes.
	dialTimeout = time.Second
	// redialAfter is the time without new attempts after a node refused a
	// connection or shut down, so that calls to it do not each dial.
	redialAfter = 100 * time.Millisecond
)

// DialFunc opens a connection to another node.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// RelayClientConfig sets up a RelayClient.
type RelayClientConfig struct {
	Address netip.AddrPort
	// HandleReply receives every reply, also those for calls that broke. It must
	// not block.
	HandleReply func(anvilmodel.CallReply)
	// HandleBrokenCall receives in place of Deliver the replies to calls whose stream ended,
	// so that another node can be asked; nil means HandleReply. It must not block.
	HandleBrokenCall func(anvilmodel.CallReply)
	// Dial opens a connection; nil means TCP.
	Dial DialFunc
}

// RelayClient sends leaf calls to one other node over one stream. When the
// stream breaks, every outstanding call is answered and the next call dials a
// new one. It is safe for concurrent use.
type RelayClient struct {
	address netip.AddrPort
	deliver func(anvilmodel.CallReply)
	lost    func(anvilmodel.CallReply)
	dial    DialFunc
	// links counts the goroutines of all streams.
	links sync.WaitGroup

	mu      sync.Mutex
	current *relayLink
	// redialAt is when the next stream may be dialed.
	redialAt time.Time
	closed   bool
}

// NewRelayClient returns a client that connects when it is first used. It must
// be closed by Close.
func NewRelayClient(c RelayClientConfig) *RelayClient {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	lost := c.HandleBrokenCall
	if lost == nil {
		lost = c.HandleReply
	}
	return &RelayClient{
		address: c.Address,
		deliver: c.HandleReply,
		lost:    lost,
		dial:    dial,
	}
}

// Enqueue takes a call for the given incarnation of the node; Flush sends it with
// the others taken so far. Its reply, or a CallBroken reply, comes through
// HandleReply, possibly before Enqueue returns.
func (r *RelayClient) Enqueue(dispatcher anvilmodel.Incarnation, call anvilmodel.Call) {
	if len(call.Body) > MaxBodyBytes {
		r.deliver(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
		return
	}
	now := time.Now()
	l := r.link(now)
	taken := l != nil && l.push(relayItem{
		dispatcher: dispatcher,
		call:       call,
		queued:     now,
	})
	if !taken {
		r.deliver(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
	}
}

// Flush sends what was taken by Enqueue.
func (r *RelayClient) Flush() {
	if l := r.present(); l != nil {
		l.flush()
	}
}

// Cancel asks the node to cancel a call that was handed to Enqueue before.
func (r *RelayClient) Cancel(dispatcher anvilmodel.Incarnation, id anvilmodel.CallID) {
	l := r.present()
	if l == nil {
		return
	}
	l.push(relayItem{
		dispatcher: dispatcher,
		cancel:     id,
		isCancel:   true,
	})
	l.flush()
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

// Close breaks the stream, refuses further calls, and returns when every
// outstanding call has been answered.
func (r *RelayClient) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Reset()
	r.links.Wait()
}

// Silence returns for how long calls have been waiting while nothing was
// received on the stream; zero when none is waiting. A node that is alive sends
// something at least every 100 ms while it has calls of this stream.
func (r *RelayClient) Silence() time.Duration {
	l := r.present()
	if l == nil {
		return 0
	}
	return l.silence(time.Now())
}

func (r *RelayClient) present() *relayLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// link returns the current stream, or a new one, or nil if none may be opened.
func (r *RelayClient) link(now time.Time) *relayLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil {
		return r.current
	}
	if r.closed || now.Before(r.redialAt) {
		return nil
	}
	ctx, stop := context.WithCancel(context.Background())
	l := newRelayLink(stop)
	r.current = l
	r.links.Add(1)
	go func() {
		defer r.links.Done()
		defer stop()
		r.fail(l, r.run(ctx, l))
	}()
	return l
}

// ending says how a stream ended.
type ending int

const (
	// endingBroken leaves open what became of calls that were sent.
	endingBroken ending = iota
	// endingUnopened means that there was no stream.
	endingUnopened
	// endingDrained means that the node answered every call that it took.
	endingDrained
)

// run owns the stream of one link until it ends.
func (r *RelayClient) run(ctx context.Context, l *relayLink) ending {
	conn, err := r.open(ctx)
	if err != nil {
		return endingUnopened
	}
	rpc := drpcconn.NewWithOptions(conn, drpcconn.Options{
		Manager: managerOptions(),
	})
	defer func() { _ = rpc.Close() }()
	stream, err := anvilproto.NewDRPCPeerClient(rpc).Relay(ctx)
	if err != nil {
		return endingBroken
	}
	received := make(chan error, 1)
	go func() {
		defer l.stop()
		received <- r.receive(stream, l)
	}()
	r.transmit(ctx, stream, l)
	l.stop()
	_ = rpc.Close()
	if err := <-received; errors.Is(err, io.EOF) {
		return endingDrained
	}
	return endingBroken
}

func (r *RelayClient) open(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return r.dial(ctx, r.address)
}

func (r *RelayClient) transmit(ctx context.Context, stream anvilproto.DRPCPeer_RelayClient, l *relayLink) {
	var expired []anvilmodel.CallReply
	for {
		var batch *anvilproto.RelayBatch
		batch, expired = l.take(time.Now(), expired[:0])
		for _, reply := range expired {
			r.deliver(reply)
		}
		if batch != nil {
			if len(batch.Calls)+len(batch.Cancels) == 0 {
				continue
			}
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

// receive delivers replies until the stream ends. It returns io.EOF only if the
// node ended the stream after its last reply: drpc reports a lost connection as
// another error.
func (r *RelayClient) receive(stream anvilproto.DRPCPeer_RelayClient, l *relayLink) error {
	for {
		replies, err := stream.Recv()
		if err != nil {
			return err
		}
		l.hear(time.Now())
		for _, encoded := range replies.GetReplies() {
			reply := decodeReply(encoded)
			if l.settle(reply.ID) {
				r.deliver(reply)
			}
		}
	}
}

// fail answers every outstanding call. A call that was never handed to the
// stream, or not taken by a node that drained it, has certainly not run.
func (r *RelayClient) fail(l *relayLink, e ending) {
	r.mu.Lock()
	if r.current == l {
		r.current = nil
	}
	if e != endingBroken {
		r.redialAt = time.Now().Add(redialAfter)
	}
	r.mu.Unlock()
	for id, entry := range l.close() {
		ran := anvilmodel.RunStateUnknown
		if !entry.sent || e == endingDrained {
			ran = anvilmodel.RunStateNotRun
		}
		r.lost(brokenReply(id, entry.leaf, ran))
	}
}

func brokenReply(id anvilmodel.CallID, leaf anvilmodel.LeafName, ran anvilmodel.RunState) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:       id,
		Leaf:     leaf,
		Result:   anvilmodel.CallBroken,
		RunState: ran,
	}
}
