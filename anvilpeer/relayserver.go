package anvilpeer

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

const (
	// heartbeat is the longest time between two messages of a stream while calls
	// wait for their replies. An empty message tells a slow call from a stream that
	// has gone silent.
	heartbeat = 100 * time.Millisecond
	// drainLinger bounds the wait for the other side to close a drained stream.
	drainLinger = time.Second
	// drainPoll is the time between two checks whether all streams have ended.
	drainPoll = 5 * time.Millisecond
)

// Drain ends the relay streams without breaking a call: nothing more is taken
// from them, and each ends when its last reply has been sent, which tells the
// other side that the remaining calls were not run. It returns when all have
// ended or the context has.
func (s *Server) Drain(ctx context.Context) {
	s.drainOnce.Do(func() { close(s.draining) })
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.streams.Load() > 0 {
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
	s.streams.Add(1)
	defer s.streams.Add(-1)
	o := newRelayOutbox()
	select {
	case <-s.draining:
		// Drain may have found no stream, so that nothing may be taken from this one.
		o.refuse()
	default:
	}
	in := &reading{
		over: make(chan struct{}),
	}
	s.readers.Add(1)
	go func() {
		defer s.readers.Done()
		defer close(in.over)
		in.err = s.receive(stream, o)
	}()
	err := s.transmit(stream, o, in)
	for _, id := range o.close() {
		s.handlers.Cancel(id)
	}
	return err
}

// reading is the receiving half of a stream.
type reading struct {
	over chan struct{}
	// err may be read once over is closed.
	err error
}

// receive submits calls until the stream ends.
func (s *Server) receive(stream anvilproto.DRPCPeer_RelayStream, o *relayOutbox) error {
	reply := o.add
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
func (s *Server) transmit(stream anvilproto.DRPCPeer_RelayStream, o *relayOutbox, in *reading) error {
	beat := time.NewTimer(heartbeat)
	defer beat.Stop()
	draining := s.draining
	for {
		message, open := o.take()
		if message != nil {
			if err := stream.Send(message); err != nil {
				return err
			}
			beat.Reset(heartbeat)
			continue
		}
		if draining == nil && open == 0 {
			return finish(stream, in)
		}
		select {
		case <-in.over:
			return in.err
		case <-draining:
			draining = nil
			o.refuse()
		case <-o.wake:
		case <-beat.C:
			beat.Reset(heartbeat)
			if open == 0 {
				continue
			}
			if err := stream.Send(&anvilproto.RelayReplies{}); err != nil {
				return err
			}
		}
	}
}

// finish ends a drained stream. It waits for the other side to close it, because
// closing a connection with unread bytes would discard the end of the stream.
func finish(stream anvilproto.DRPCPeer_RelayStream, in *reading) error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	linger := time.NewTimer(drainLinger)
	defer linger.Stop()
	select {
	case <-in.over:
	case <-linger.C:
	}
	return nil
}

// relayOutbox holds the calls taken from a stream and the replies that wait for it.
type relayOutbox struct {
	wake chan struct{}

	mu sync.Mutex
	// open holds the calls without a reply, and whether each may be cancelled when
	// the stream breaks.
	open     map[anvilmodel.CallID]bool
	replies  []anvilmodel.CallReply
	refusing bool
	closed   bool
}

func newRelayOutbox() *relayOutbox {
	return &relayOutbox{
		wake: make(chan struct{}, 1),
		open: make(map[anvilmodel.CallID]bool),
	}
}

// accept notes a call; it is false once the stream is ending.
func (o *relayOutbox) accept(call *anvilmodel.Call) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refusing {
		return false
	}
	o.open[call.ID] = !call.NonIdempotent
	return true
}

// refuse stops the acceptance of calls.
func (o *relayOutbox) refuse() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusing = true
}

// close returns the idempotent calls without a reply. Their origin has given them
// up together with the stream. Others run on: half a run would help nobody.
func (o *relayOutbox) close() []anvilmodel.CallID {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusing = true
	o.closed = true
	o.replies = nil
	var ids []anvilmodel.CallID
	for id, cancellable := range o.open {
		if cancellable {
			ids = append(ids, id)
		}
	}
	return ids
}

func (o *relayOutbox) add(reply anvilmodel.CallReply) {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return
	}
	delete(o.open, reply.ID)
	o.replies = append(o.replies, reply)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take returns the next message, or nil, and the number of calls without a reply.
func (o *relayOutbox) take() (message *anvilproto.RelayReplies, open int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	count, bytes := 0, 0
	for count < min(len(o.replies), maxBatch) && (count == 0 || bytes+len(o.replies[count].Body) <= batchBytes) {
		bytes += len(o.replies[count].Body)
		count++
	}
	if count == 0 {
		return nil, len(o.open)
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
	return message, len(o.open)
}
