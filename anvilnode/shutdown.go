package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilaudit"
)

const (
	// shutdownPollInterval is the time between two checks for queries and leaf calls in
	// progress.
	shutdownPollInterval = 20 * time.Millisecond
	// maxLoggedRequests limits the number of request ids that are logged as cut off.
	maxLoggedRequests = 20
)

// Shutdown removes the node from the fleet without cutting off requests. The node is no
// longer named in address answers, but serves until no caller can still hold its
// address. Then it refuses new queries, finishes those in progress and makes Run
// return. When the context ends or ShutdownLimit is exceeded, whatever is in progress
// is cut off. Shutdown returns the number of queries and leaf calls that were cut off.
// A second call waits for the first.
func (n *Node) Shutdown(ctx context.Context, cause string) int {
	return n.leaveFleet(ctx, cause, false)
}

// leaveFleet shuts the node down. A replaced node refuses new queries at once, but
// keeps replying until no caller can still hold its address.
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
	defer n.signalStopped()
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
	// The replies to the last queries may not be completely written yet.
	n.server.Drain(ctx)
	return n.logStopped(cause)
}

// logStopped logs once how many queries and leaf calls are cut off, and returns their
// number.
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

// inProgress returns the number of queries and leaf calls in progress.
func (n *Node) inProgress() int {
	return n.admission.inFlight() + n.pendingCalls()
}

// runningRequests returns the ids of the queries in progress, up to maxLoggedRequests.
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
	if active := n.activeConfig.Load(); active != nil {
		return active.settings.Policy.AddressLifetime
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
