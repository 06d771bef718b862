// Package anvilpeer implements the protocol between nodes over drpc.
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
	// dialTimeout bounds opening a connection. Without it, a call to a VM that no
	// longer exists would wait for the operating system, which retries for minutes.
	dialTimeout = time.Second
	// redialBackoff is the time without new attempts after a connection failed or the
	// node shut down, so that not every call dials.
	redialBackoff = 100 * time.Millisecond
)

// DialFunc opens a connection to another node.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// RelayClientConfig holds the settings of a RelayClient.
type RelayClientConfig struct {
	Address netip.AddrPort
	// HandleReply is called with every reply, including CallBroken replies. It must not
	// block.
	HandleReply func(anvilmodel.CallReply)
	// HandleBrokenCall is called in place of HandleReply with the CallBroken replies to
	// calls whose stream ended, so that they can be retried on another node; nil means
	// HandleReply. It must not block.
	HandleBrokenCall func(anvilmodel.CallReply)
	// Dial opens a connection; nil means TCP.
	Dial DialFunc
}

// RelayClient sends leaf calls to one other node over one stream. When the stream
// breaks, every outstanding call gets a reply, and the next call opens a new stream. It
// is safe for concurrent use.
type RelayClient struct {
	address          netip.AddrPort
	handleReply      func(anvilmodel.CallReply)
	handleBrokenCall func(anvilmodel.CallReply)
	dial             DialFunc
	// linkTasks counts the goroutines of the links.
	linkTasks sync.WaitGroup

	mu      sync.Mutex
	current *relayLink
	// redialAt is the earliest time of the next dial.
	redialAt time.Time
	closed   bool
}

// NewRelayClient returns a RelayClient that connects when it is first used. It must be
// closed by Close.
func NewRelayClient(c RelayClientConfig) *RelayClient {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	handleBrokenCall := c.HandleBrokenCall
	if handleBrokenCall == nil {
		handleBrokenCall = c.HandleReply
	}
	return &RelayClient{
		address:          c.Address,
		handleReply:      c.HandleReply,
		handleBrokenCall: handleBrokenCall,
		dial:             dial,
	}
}

// Enqueue queues a call for an incarnation of the node; Flush sends the queue. The
// call's reply, or a CallBroken reply, is passed to HandleReply or HandleBrokenCall,
// possibly before Enqueue returns.
func (r *RelayClient) Enqueue(incarnation anvilmodel.Incarnation, call anvilmodel.Call) {
	if len(call.Body) > MaxBodyBytes {
		r.handleReply(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
		return
	}
	now := time.Now()
	l := r.openLink(now)
	queued := l != nil && l.enqueue(queueItem{
		incarnation: incarnation,
		call:        call,
		queuedAt:    now,
	})
	if !queued {
		r.handleReply(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
	}
}

// Flush sends the calls queued by Enqueue.
func (r *RelayClient) Flush() {
	if l := r.currentLink(); l != nil {
		l.wakeSender()
	}
}

// Cancel requests the cancellation of a call that was passed to Enqueue before.
func (r *RelayClient) Cancel(incarnation anvilmodel.Incarnation, id anvilmodel.CallID) {
	l := r.currentLink()
	if l == nil {
		return
	}
	l.enqueue(queueItem{
		incarnation: incarnation,
		cancelID:    id,
		isCancel:    true,
	})
	l.wakeSender()
}

// Reset ends the current stream, so that the next call opens a new one.
func (r *RelayClient) Reset() {
	r.mu.Lock()
	l := r.current
	r.current = nil
	r.mu.Unlock()
	if l != nil {
		l.stop()
	}
}

// Close ends the stream and refuses further calls. It returns when every outstanding
// call has got a reply.
func (r *RelayClient) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Reset()
	r.linkTasks.Wait()
}

// Silence returns for how long nothing has been received on the stream while calls
// were outstanding; zero if there are none. A live node sends a message at least every
// 100 ms while it has calls of the stream.
func (r *RelayClient) Silence() time.Duration {
	l := r.currentLink()
	if l == nil {
		return 0
	}
	return l.silence(time.Now())
}

func (r *RelayClient) currentLink() *relayLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// openLink returns the current link, or opens a new one. It returns nil if none may be
// opened.
func (r *RelayClient) openLink(now time.Time) *relayLink {
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
	r.linkTasks.Add(1)
	go func() {
		defer r.linkTasks.Done()
		defer stop()
		r.failOutstanding(l, r.runLink(ctx, l))
	}()
	return l
}

// streamEnd is how a stream ended.
type streamEnd int

const (
	// streamBroken means that calls that were sent may have run.
	streamBroken streamEnd = iota
	// streamNotOpened means that no connection could be opened.
	streamNotOpened
	// streamDrained means that the node answered every call that it accepted.
	streamDrained
)

// runLink opens the stream of a link and serves it until it ends.
func (r *RelayClient) runLink(ctx context.Context, l *relayLink) streamEnd {
	conn, err := r.dialWithTimeout(ctx)
	if err != nil {
		return streamNotOpened
	}
	rpc := drpcconn.NewWithOptions(conn, drpcconn.Options{
		Manager: managerOptions(),
	})
	defer func() { _ = rpc.Close() }()
	stream, err := anvilproto.NewDRPCPeerClient(rpc).Relay(ctx)
	if err != nil {
		return streamBroken
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
		return streamDrained
	}
	return streamBroken
}

func (r *RelayClient) dialWithTimeout(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return r.dial(ctx, r.address)
}

func (r *RelayClient) transmit(ctx context.Context, stream anvilproto.DRPCPeer_RelayClient, l *relayLink) {
	var expired []anvilmodel.CallReply
	for {
		var batch *anvilproto.RelayBatch
		batch, expired = l.nextBatch(time.Now(), expired[:0])
		for _, reply := range expired {
			r.handleReply(reply)
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

// receive handles replies until the stream ends. It returns io.EOF only if the node
// ended the stream after its last reply; drpc reports a lost connection as another
// error.
func (r *RelayClient) receive(stream anvilproto.DRPCPeer_RelayClient, l *relayLink) error {
	for {
		replies, err := stream.Recv()
		if err != nil {
			return err
		}
		l.recordReceive(time.Now())
		for _, encoded := range replies.GetReplies() {
			reply := decodeReply(encoded)
			if l.removeOutstanding(reply.ID) {
				r.handleReply(reply)
			}
		}
	}
}

// failOutstanding replies to every outstanding call of a link that has ended. A call
// that was never sent, or that a draining node did not accept, has certainly not run.
func (r *RelayClient) failOutstanding(l *relayLink, end streamEnd) {
	r.mu.Lock()
	if r.current == l {
		r.current = nil
	}
	if end != streamBroken {
		r.redialAt = time.Now().Add(redialBackoff)
	}
	r.mu.Unlock()
	for id, call := range l.close() {
		runState := anvilmodel.RunStateUnknown
		if !call.sent || end == streamDrained {
			runState = anvilmodel.RunStateNotRun
		}
		r.handleBrokenCall(brokenReply(id, call.leaf, runState))
	}
}

func brokenReply(id anvilmodel.CallID, leaf anvilmodel.LeafName, runState anvilmodel.RunState) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:       id,
		Leaf:     leaf,
		Result:   anvilmodel.CallBroken,
		RunState: runState,
	}
}
