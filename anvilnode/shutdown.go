package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilaudit"
)

const (
	// shutdownPoll is the time between two checks of what still runs.
	shutdownPoll = 20 * time.Millisecond
	// namedRequests bounds the requests that the log names as cut off.
	namedRequests = 20
)

// Shutdown leaves the fleet without cutting off a request: the node is named no
// more, serves until no caller can still hold its address, then refuses new
// queries, finishes what runs and ends Run. When the context ends or the
// shutdown limit is over, what still runs is cut off. It returns the number of
// queries and leaf calls that were cut off. A second call waits for the first.
func (n *Node) Shutdown(ctx context.Context, cause string) int {
	return n.leave(ctx, cause, false)
}

// leave shuts down. A node that was replaced refuses new work at once, but still
// answers those that hold its address.
func (n *Node) leave(ctx context.Context, cause string, replaced bool) int {
	if replaced {
		n.refusing.Store(true)
	}
	if !n.leaving.CompareAndSwap(false, true) {
		select {
		case <-n.stopped:
		case <-ctx.Done():
		}
		return int(n.cut.Load())
	}
	defer n.stop()
	n.record(anvilaudit.Event{
		Kind:    anvilaudit.KindNodeLeaving,
		Subject: string(n.config.Name),
		Cause:   cause,
	})
	ctx, cancel := context.WithTimeout(ctx, n.config.ShutdownLimit)
	defer cancel()
	n.updateSelf()
	grace := n.addressLifetime() + addressGrace
	if !replaced {
		sleep(ctx, grace)
	}
	n.refusing.Store(true)
	n.peerServer.Drain(ctx)
	for n.running() > 0 && ctx.Err() == nil {
		sleep(ctx, shutdownPoll)
	}
	if replaced {
		sleep(ctx, grace)
	}
	// The replies to the last queries may still be on their way to the callers.
	n.server.Drain(ctx)
	return n.logStopped(cause)
}

// logStopped says once what is cut off, and returns how much that is.
func (n *Node) logStopped(cause string) int {
	n.logOnce.Do(func() {
		queries, calls := n.admission.inFlight(), n.openCalls()
		n.cut.Store(int64(queries + calls))
		event := n.config.Log.Info().
			Str("event", "node-stopped").
			Str("cause", cause).
			Int("cut-off", queries+calls)
		if queries+calls > 0 {
			event = event.
				Int("queries", queries).
				Int("leaf-calls", calls).
				Strs("requests", n.runningRequests())
		}
		event.Send()
	})
	return int(n.cut.Load())
}

// running returns the queries and leaf calls in progress.
func (n *Node) running() int {
	return n.admission.inFlight() + n.openCalls()
}

// runningRequests returns the ids of some of the queries in progress.
func (n *Node) runningRequests() []string {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	ids := []string{}
	for query := range n.runs {
		if len(ids) == namedRequests {
			break
		}
		ids = append(ids, string(query.RequestID()))
	}
	return ids
}

func (n *Node) addressLifetime() time.Duration {
	if v := n.view.Load(); v != nil {
		return v.settings.Policy.AddressLifetime
	}
	return 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
