package anvilpeer

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

const (
	// heartbeatInterval is the maximum time between two messages of a stream while calls
	// are outstanding. If no reply is due, an empty message is sent, so that the client
	// can distinguish a slow call from a stream that no longer delivers messages.
	heartbeatInterval = 100 * time.Millisecond
	// drainCloseTimeout bounds the wait for the client to close a drained stream.
	drainCloseTimeout = time.Second
	// drainPollInterval is the time between two checks for open streams.
	drainPollInterval = 5 * time.Millisecond
)

// Drain ends the relay streams without cutting off a call: no more calls are accepted,
// and each stream ends when its last reply has been sent. The client concludes from that
// end that its remaining calls were not run. Drain returns when all streams have ended
// or the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.drainOnce.Do(func() { close(s.draining) })
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.openStreams.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Relay implements anvilproto.DRPCPeerServer. It serves one stream of another node: it
// submits the calls and sends the replies in the order in which they are ready, several
// in one message if they are ready faster than they can be sent.
func (s *Server) Relay(stream anvilproto.DRPCPeer_RelayStream) error {
	if s.handlers.Submit == nil {
		return errNoHandler()
	}
	s.openStreams.Add(1)
	defer s.openStreams.Add(-1)
	o := newRelayOutbox()
	select {
	case <-s.draining:
		// Drain may have returned before this stream was counted, so that no call may be
		// accepted from it.
		o.stopAccepting()
	default:
	}
	receiving := &receiveState{
		done: make(chan struct{}),
	}
	s.receivers.Add(1)
	go func() {
		defer s.receivers.Done()
		defer close(receiving.done)
		receiving.err = s.receive(stream, o)
	}()
	err := s.transmit(stream, o, receiving)
	for _, id := range o.close() {
		s.handlers.Cancel(id)
	}
	return err
}

// receiveState is the state of the goroutine that receives from a stream.
type receiveState struct {
	// done is closed when the goroutine ends.
	done chan struct{}
	// err may be read once done is closed.
	err error
}

// receive submits the calls of a stream until it ends.
func (s *Server) receive(stream anvilproto.DRPCPeer_RelayStream, o *relayOutbox) error {
	reply := o.addReply
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		s.submit(batch, o, reply)
	}
}

func (s *Server) submit(batch *anvilproto.RelayBatch, o *relayOutbox, reply func(anvilmodel.CallReply)) {
	incarnation := s.handlers.Incarnation()
	addressed := incarnation != 0 && anvilmodel.Incarnation(batch.GetDispatcher()) == incarnation
	for _, encoded := range batch.GetCalls() {
		call := decodeCall(encoded)
		switch {
		case !o.accept(&call):
			// The client concludes from the end of the drained stream that the call was
			// not run.
		case !addressed:
			reply(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
		default:
			s.handlers.Submit(call, reply)
		}
	}
	if !addressed {
		return
	}
	for _, id := range batch.GetCancels() {
		s.handlers.Cancel(decodeCallID(id))
	}
}

// transmit sends replies until the stream breaks or is drained. It returns nil only for
// a drained stream, because the client concludes from a stream that ends without an
// error that its remaining calls were not run.
func (s *Server) transmit(stream anvilproto.DRPCPeer_RelayStream, o *relayOutbox, receiving *receiveState) error {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	draining := s.draining
	for {
		message, pending := o.nextMessage()
		if message != nil {
			if err := stream.Send(message); err != nil {
				return err
			}
			heartbeat.Reset(heartbeatInterval)
			continue
		}
		if draining == nil && pending == 0 {
			return finishDrained(stream, receiving)
		}
		select {
		case <-receiving.done:
			return receiving.err
		case <-draining:
			draining = nil
			o.stopAccepting()
		case <-o.wake:
		case <-heartbeat.C:
			heartbeat.Reset(heartbeatInterval)
			if pending == 0 {
				continue
			}
			if err := stream.Send(&anvilproto.RelayReplies{}); err != nil {
				return err
			}
		}
	}
}

// finishDrained ends a drained stream. It waits for the client to close it, because
// closing a connection with unread bytes would discard the end of the stream.
func finishDrained(stream anvilproto.DRPCPeer_RelayStream, receiving *receiveState) error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	timeout := time.NewTimer(drainCloseTimeout)
	defer timeout.Stop()
	select {
	case <-receiving.done:
	case <-timeout.C:
	}
	return nil
}

// relayOutbox holds the accepted calls of a stream and the replies to be sent on it.
type relayOutbox struct {
	wake chan struct{}

	mu sync.Mutex
	// pending holds the calls without a reply, and whether each may be cancelled when
	// the stream ends.
	pending map[anvilmodel.CallID]bool
	replies []anvilmodel.CallReply
	stopped bool
	closed  bool
}

func newRelayOutbox() *relayOutbox {
	return &relayOutbox{
		wake:    make(chan struct{}, 1),
		pending: make(map[anvilmodel.CallID]bool),
	}
}

// accept registers a call. It returns false if the stream accepts no more calls.
func (o *relayOutbox) accept(call *anvilmodel.Call) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return false
	}
	o.pending[call.ID] = !call.NonIdempotent
	return true
}

// stopAccepting makes accept return false from now on.
func (o *relayOutbox) stopAccepting() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
}

// close drops the replies and returns the idempotent calls without a reply, which are to
// be cancelled: the client abandons its calls when the stream ends. Non-idempotent calls
// continue, because a partial run is of no use.
func (o *relayOutbox) close() []anvilmodel.CallID {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	o.closed = true
	o.replies = nil
	var ids []anvilmodel.CallID
	for id, cancellable := range o.pending {
		if cancellable {
			ids = append(ids, id)
		}
	}
	return ids
}

// addReply queues a reply unless the stream has ended.
func (o *relayOutbox) addReply(reply anvilmodel.CallReply) {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return
	}
	delete(o.pending, reply.ID)
	o.replies = append(o.replies, reply)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// nextMessage returns the next message, or nil if there is no reply to send, and the
// number of calls without a reply.
func (o *relayOutbox) nextMessage() (message *anvilproto.RelayReplies, pending int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	count, bytes := 0, 0
	for count < min(len(o.replies), maxBatchItems) && (count == 0 || bytes+len(o.replies[count].Body) <= maxBatchBytes) {
		bytes += len(o.replies[count].Body)
		count++
	}
	if count == 0 {
		return nil, len(o.pending)
	}
	message = &anvilproto.RelayReplies{
		Replies: make([]*anvilproto.LeafReply, 0, count),
	}
	for i := range o.replies[:count] {
		message.Replies = append(message.Replies, encodeReply(&o.replies[i]))
	}
	remaining := copy(o.replies, o.replies[count:])
	clear(o.replies[remaining:])
	o.replies = o.replies[:remaining]
	return message, len(o.pending)
}
