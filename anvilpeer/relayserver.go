package anvilpeer

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

const (
	// heartbeatInterval is the longest time between two messages of a stream while calls
	// wait for their replies. An empty message tells a slow call from a stream that
	// has gone silent.
	heartbeatInterval = 100 * time.Millisecond
	// drainCloseTimeout bounds the wait for the other side to close a drained stream.
	drainCloseTimeout = time.Second
	// drainPollInterval is the time between two checks whether all streams have ended.
	drainPollInterval = 5 * time.Millisecond
)

// Drain ends the relay streams without breaking a call: nothing more is taken
// from them, and each ends when its last reply has been sent, which tells the
// other side that the remaining calls were not run. It returns when all have
// ended or the context has.
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

// Relay serves one stream of another node: it submits the calls and sends the
// replies in the order in which they come, several in one message when they
// come faster than the stream takes them.
func (s *Server) Relay(stream anvilproto.DRPCPeer_RelayStream) error {
	if s.handlers.Submit == nil {
		return errNoHandler()
	}
	s.openStreams.Add(1)
	defer s.openStreams.Add(-1)
	o := newRelayOutbox()
	select {
	case <-s.draining:
		// Drain may have found no stream, so that nothing may be taken from this one.
		o.stopAccepting()
	default:
	}
	in := &receiveState{
		done: make(chan struct{}),
	}
	s.receivers.Add(1)
	go func() {
		defer s.receivers.Done()
		defer close(in.done)
		in.err = s.receive(stream, o)
	}()
	err := s.transmit(stream, o, in)
	for _, id := range o.close() {
		s.handlers.Cancel(id)
	}
	return err
}

// receiveState is the receiving half of a stream.
type receiveState struct {
	done chan struct{}
	// err may be read once over is closed.
	err error
}

// receive submits calls until the stream ends.
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
	meant := incarnation != 0 && anvilmodel.Incarnation(batch.GetDispatcher()) == incarnation
	for _, encoded := range batch.GetCalls() {
		call := decodeCall(encoded)
		switch {
		case !o.accept(&call):
			// The end of the stream tells the origin that the call was not taken.
		case !meant:
			reply(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
		default:
			s.handlers.Submit(call, reply)
		}
	}
	if !meant {
		return
	}
	for _, id := range batch.GetCancels() {
		s.handlers.Cancel(decodeCallID(id))
	}
}

// transmit sends replies until the stream breaks or is drained. It returns nil
// only for a drained stream: drpc then ends it in a way that the other side takes
// for not-run.
func (s *Server) transmit(stream anvilproto.DRPCPeer_RelayStream, o *relayOutbox, in *receiveState) error {
	beat := time.NewTimer(heartbeatInterval)
	defer beat.Stop()
	draining := s.draining
	for {
		message, open := o.nextMessage()
		if message != nil {
			if err := stream.Send(message); err != nil {
				return err
			}
			beat.Reset(heartbeatInterval)
			continue
		}
		if draining == nil && open == 0 {
			return finishDrained(stream, in)
		}
		select {
		case <-in.done:
			return in.err
		case <-draining:
			draining = nil
			o.stopAccepting()
		case <-o.wake:
		case <-beat.C:
			beat.Reset(heartbeatInterval)
			if open == 0 {
				continue
			}
			if err := stream.Send(&anvilproto.RelayReplies{}); err != nil {
				return err
			}
		}
	}
}

// finishDrained ends a drained stream. It waits for the other side to close it, because
// closing a connection with unread bytes would discard the end of the stream.
func finishDrained(stream anvilproto.DRPCPeer_RelayStream, in *receiveState) error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	linger := time.NewTimer(drainCloseTimeout)
	defer linger.Stop()
	select {
	case <-in.done:
	case <-linger.C:
	}
	return nil
}

// relayOutbox holds the calls taken from a stream and the replies that wait for it.
type relayOutbox struct {
	wake chan struct{}

	mu sync.Mutex
	// pending holds the calls without a reply, and whether each may be cancelled when
	// the stream breaks.
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

// accept notes a call; it is false once the stream is ending.
func (o *relayOutbox) accept(call *anvilmodel.Call) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return false
	}
	o.pending[call.ID] = !call.NonIdempotent
	return true
}

// stopAccepting stops the acceptance of calls.
func (o *relayOutbox) stopAccepting() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
}

// close returns the idempotent calls without a reply. Their origin has given them
// up together with the stream. Others run on: half a run would help nobody.
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

// nextMessage returns the next message, or nil, and the number of calls without a reply.
func (o *relayOutbox) nextMessage() (message *anvilproto.RelayReplies, open int) {
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
	rest := copy(o.replies, o.replies[count:])
	clear(o.replies[rest:])
	o.replies = o.replies[:rest]
	return message, len(o.pending)
}
