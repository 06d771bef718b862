package anvilpeer

import (
	"sync"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

// Relay serves one stream of another node: it submits the calls and sends the
// replies in the order in which they come, several in one message when they
// come faster than the stream takes them.
func (s *Server) Relay(stream anvilproto.DRPCPeer_RelayStream) error {
	o := &relayOutbox{
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		o.transmit(stream)
	}()
	defer func() {
		close(o.done)
		<-finished
	}()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return nil
		}
		s.submit(batch, o)
	}
}

func (s *Server) submit(batch *anvilproto.RelayBatch, o *relayOutbox) {
	meant := anvilmodel.Incarnation(batch.GetDispatcher()) == s.handlers.Incarnation()
	for _, encoded := range batch.GetCalls() {
		call := decodeCall(encoded)
		if !meant {
			o.add(brokenReply(call.ID, call.Leaf, anvilmodel.RunStateNotRun))
			continue
		}
		s.handlers.Submit(call, o.add)
	}
	for _, id := range batch.GetCancels() {
		if meant {
			s.handlers.Cancel(decodeCallID(id))
		}
	}
}

// relayOutbox holds the replies that wait for the stream.
type relayOutbox struct {
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	replies []anvilmodel.CallReply
}

func (o *relayOutbox) add(reply anvilmodel.CallReply) {
	o.mu.Lock()
	o.replies = append(o.replies, reply)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *relayOutbox) take() *anvilproto.RelayReplies {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := min(len(o.replies), maxBatch)
	if count == 0 {
		return nil
	}
	message := &anvilproto.RelayReplies{
		Replies: make([]*anvilproto.LeafReply, 0, count),
	}
	for _, reply := range o.replies[:count] {
		message.Replies = append(message.Replies, encodeReply(reply))
	}
	rest := copy(o.replies, o.replies[count:])
	clear(o.replies[rest:])
	o.replies = o.replies[:rest]
	return message
}

func (o *relayOutbox) transmit(stream anvilproto.DRPCPeer_RelayStream) {
	for {
		message := o.take()
		if message != nil {
			if err := stream.Send(message); err != nil {
				return
			}
			continue
		}
		select {
		case <-o.done:
			return
		case <-o.wake:
		}
	}
}
