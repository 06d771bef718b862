package anvilpeer

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

const (
	// maxBatchItems is the maximum number of calls or replies in one relay message.
	maxBatchItems = 128
	// maxBatchBytes bounds the total size of the bodies in a relay message with several
	// calls or replies, so that large bodies do not add up to more than a message may
	// hold, and a small one does not wait long behind them.
	maxBatchBytes = 1 << 20
)

// relayLink is one stream with its queue and its outstanding calls.
type relayLink struct {
	wake chan struct{}
	stop context.CancelFunc

	mu          sync.Mutex
	outstanding map[anvilmodel.CallID]outstandingCall
	queue       []queueItem
	// lastReceived is when a message was last received, or when the first call was
	// queued after none was outstanding.
	lastReceived time.Time
	closed       bool
}

// outstandingCall is a call that waits for its reply.
type outstandingCall struct {
	leaf anvilmodel.LeafName
	sent bool
}

// queueItem is a call or a cancellation to be sent.
type queueItem struct {
	incarnation anvilmodel.Incarnation
	call        anvilmodel.Call
	queuedAt    time.Time
	cancelID    anvilmodel.CallID
	isCancel    bool
}

func newRelayLink(stop context.CancelFunc) *relayLink {
	return &relayLink{
		wake:        make(chan struct{}, 1),
		stop:        stop,
		outstanding: make(map[anvilmodel.CallID]outstandingCall),
	}
}

// enqueue queues an item and returns false if the link is closed. The cancellation of
// a call that has been answered is dropped.
func (l *relayLink) enqueue(item queueItem) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if item.isCancel {
		if _, ok := l.outstanding[item.cancelID]; !ok {
			return true
		}
	} else {
		if len(l.outstanding) == 0 {
			l.lastReceived = item.queuedAt
		}
		l.outstanding[item.call.ID] = outstandingCall{
			leaf: item.call.Leaf,
		}
	}
	l.queue = append(l.queue, item)
	return true
}

// wakeSender makes the sender send the queue.
func (l *relayLink) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes the next items for one incarnation from the queue and returns them,
// or nil if the queue is empty. The time that a call has been queued is subtracted from
// its timeout; the replies to calls with no time left are appended to expired.
func (l *relayLink) nextBatch(now time.Time, expired []anvilmodel.CallReply) (*anvilproto.RelayBatch, []anvilmodel.CallReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil, expired
	}
	batch := &anvilproto.RelayBatch{
		Dispatcher: uint64(l.queue[0].incarnation),
	}
	taken, bytes := 0, 0
	for i := range l.queue {
		item := &l.queue[i]
		if item.incarnation != l.queue[0].incarnation || taken == maxBatchItems || bytes > 0 && bytes+len(item.call.Body) > maxBatchBytes {
			break
		}
		taken++
		if item.isCancel {
			batch.Cancels = append(batch.Cancels, encodeCallID(item.cancelID))
			continue
		}
		item.call.Timeout -= now.Sub(item.queuedAt)
		if item.call.Timeout <= 0 {
			expired = append(expired, l.removeExpired(&item.call))
			continue
		}
		bytes += len(item.call.Body)
		l.outstanding[item.call.ID] = outstandingCall{
			leaf: item.call.Leaf,
			sent: true,
		}
		batch.Calls = append(batch.Calls, encodeCall(item.call))
	}
	remaining := copy(l.queue, l.queue[taken:])
	clear(l.queue[remaining:])
	l.queue = l.queue[:remaining]
	return batch, expired
}

// removeExpired removes a call whose timeout passed before it was sent, and returns its
// reply.
func (l *relayLink) removeExpired(call *anvilmodel.Call) anvilmodel.CallReply {
	delete(l.outstanding, call.ID)
	return anvilmodel.CallReply{
		ID:       call.ID,
		Leaf:     call.Leaf,
		Result:   anvilmodel.CallTimeout,
		RunState: anvilmodel.RunStateNotRun,
	}
}

// recordReceive records that a message was received.
func (l *relayLink) recordReceive(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = now
}

// removeOutstanding removes a call and reports whether it was outstanding.
func (l *relayLink) removeOutstanding(id anvilmodel.CallID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.outstanding[id]; !ok {
		return false
	}
	delete(l.outstanding, id)
	return true
}

// silence returns for how long nothing has been received while calls were outstanding.
func (l *relayLink) silence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outstanding) == 0 {
		return 0
	}
	return now.Sub(l.lastReceived)
}

// close makes enqueue refuse further items, and returns the calls without a reply.
func (l *relayLink) close() map[anvilmodel.CallID]outstandingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	outstanding := l.outstanding
	l.closed = true
	l.outstanding = nil
	l.queue = nil
	return outstanding
}
