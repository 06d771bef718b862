package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilaudit"
)

const (
	// shutdownPoll is the time between two checks of what still runs.
	shutdownPollInterval = 20 * time.Millisecond
	// namedRequests bounds the requests that the log names as cut off.
	maxLoggedRequests = 20
)

// Shutdown leaves the fleet without cutting off a request: the node is named no
// more, serves until no caller can still hold its address, then refuses new
// queries, finishes what runs and ends Run. When the context ends or the
// shutdown limit is over, what still runs is cut off. It returns the number of
// queries and leaf calls that were cut off. A second call waits for the first.
func (n *Node) Shutdown(ctx context.Context, cause string) int {
	return n.leaveFleet(ctx, cause, false)
}

// leave shuts down. A node that was replaced refuses new work at once, but still
// answers those that hold its address.
func (n *Node) leaveFleet(ctx context.Context, cause string, replaced bool) int {
	if replaced {
		n.refusingQueries.Store(true)
	}
	if !n.leaving.CompareAndSwap(false, true) {
		select {
		case <-n.stopped:
		case <-ctx.Done():
		}
		return int(n.cutOffCount.Load())
	}
	defer n.stop()
	n.recordEvent(anvilaudit.Event{
		Kind:    anvilaudit.KindNodeLeaving,
		Subject: string(n.config.Name),
		Cause:   cause,
	})
	ctx, cancel := context.WithTimeout(ctx, n.config.ShutdownLimit)
	defer cancel()
	n.updateSelf()
	addressExpiry := n.addressLifetime() + addressGracePeriod
	if !replaced {
		sleep(ctx, addressExpiry)
	}
	n.refusingQueries.Store(true)
	n.peerServer.Drain(ctx)
	for n.inProgress() > 0 && ctx.Err() == nil {
		sleep(ctx, shutdownPollInterval)
	}
	if replaced {
		sleep(ctx, addressExpiry)
	}
	// The replies to the last queries may still be on their way to the callers.
	n.server.Drain(ctx)
	return n.logStopped(cause)
}

// logStopped says once what is cut off, and returns how much that is.
func (n *Node) logStopped(cause string) int {
	n.logOnce.Do(func() {
		queries, calls := n.admission.inFlight(), n.pendingCalls()
		n.cutOffCount.Store(int64(queries + calls))
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
	return int(n.cutOffCount.Load())
}

// running returns the queries and leaf calls in progress.
func (n *Node) inProgress() int {
	return n.admission.inFlight() + n.pendingCalls()
}

// runningRequests returns the ids of some of the queries in progress.
func (n *Node) runningRequests() []string {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	ids := []string{}
	for query := range n.queryRuns {
		if len(ids) == maxLoggedRequests {
			break
		}
		ids = append(ids, string(query.RequestID()))
	}
	return ids
}

func (n *Node) addressLifetime() time.Duration {
	if v := n.activeConfig.Load(); v != nil {
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
