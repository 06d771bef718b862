package anvilpeer

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

// relayLink is one stream and the calls that wait for a reply on it.
type relayLink struct {
	wake chan struct{}
	stop context.CancelFunc

	mu          sync.Mutex
	outstanding map[anvilmodel.CallID]*relayEntry
	queue       []relayItem
	// heard is the last time of a reply, or of the first call since none waited.
	heard  time.Time
	closed bool
}

type relayEntry struct {
	leaf anvilmodel.LeafName
	sent bool
}

type relayItem struct {
	dispatcher anvilmodel.Incarnation
	call       anvilmodel.Call
	queued     time.Time
	cancel     anvilmodel.CallID
	isCancel   bool
}

func newRelayLink(stop context.CancelFunc) *relayLink {
	return &relayLink{
		wake:        make(chan struct{}, 1),
		stop:        stop,
		outstanding: make(map[anvilmodel.CallID]*relayEntry),
	}
}

// push queues an item and reports false when the link is closed.
func (l *relayLink) push(item relayItem) bool {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	if !item.isCancel {
		if len(l.outstanding) == 0 {
			l.heard = item.queued
		}
		l.outstanding[item.call.ID] = &relayEntry{
			leaf: item.call.Leaf,
		}
	}
	l.queue = append(l.queue, item)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// take returns the next queued items for one incarnation, or nil. The time
// that a call has waited here is taken off its timeout.
func (l *relayLink) take(now time.Time) *anvilproto.RelayBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil
	}
	dispatcher := l.queue[0].dispatcher
	batch := &anvilproto.RelayBatch{
		Dispatcher: uint64(dispatcher),
	}
	taken := 0
	for _, item := range l.queue {
		if item.dispatcher != dispatcher || taken == maxBatch {
			break
		}
		taken++
		if item.isCancel {
			batch.Cancels = append(batch.Cancels, encodeCallID(item.cancel))
			continue
		}
		item.call.Timeout -= now.Sub(item.queued)
		batch.Calls = append(batch.Calls, encodeCall(item.call))
		if entry, ok := l.outstanding[item.call.ID]; ok {
			entry.sent = true
		}
	}
	rest := copy(l.queue, l.queue[taken:])
	clear(l.queue[rest:])
	l.queue = l.queue[:rest]
	return batch
}

// settle forgets a call and reports whether it was outstanding.
func (l *relayLink) settle(id anvilmodel.CallID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
	if _, ok := l.outstanding[id]; !ok {
		return false
	}
	delete(l.outstanding, id)
	return true
}

func (l *relayLink) silence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outstanding) == 0 {
		return 0
	}
	return now.Sub(l.heard)
}

// close returns the calls without a reply and refuses further items.
func (l *relayLink) close() map[anvilmodel.CallID]*relayEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	outstanding := l.outstanding
	l.closed = true
	l.outstanding = nil
	l.queue = nil
	return outstanding
}
