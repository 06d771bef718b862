package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilaudit"
)

// shutdownPoll is the time between two checks of what still runs.
const shutdownPoll = 20 * time.Millisecond

// Shutdown leaves the fleet without cutting off a request: the node is named no
// more, serves until no caller can still hold its address, then refuses new
// queries, finishes what runs and ends Run. When the context ends or the
// shutdown limit is over, what still runs is cut off. It returns the number of
// queries and leaf calls that were cut off.
func (n *Node) Shutdown(ctx context.Context, cause string) int {
	if !n.leaving.CompareAndSwap(false, true) {
		<-n.stopped
		return 0
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
	sleep(ctx, n.addressLifetime()+addressGrace)
	n.refusing.Store(true)
	for n.running() > 0 && ctx.Err() == nil {
		sleep(ctx, shutdownPoll)
	}
	return n.logStopped(cause)
}

// logStopped says once what is cut off, and returns it.
func (n *Node) logStopped(cause string) int {
	cut := n.running()
	n.logOnce.Do(func() {
		n.config.Log.Info().
			Str("event", "node-stopped").
			Str("cause", cause).
			Int("cut-off", cut).
			Send()
	})
	return cut
}

// running returns the queries and leaf calls in progress.
func (n *Node) running() int {
	count := n.admission.inFlight()
	for _, r := range n.allRunners() {
		s := r.currentStatus()
		count += s.Queue + s.InFlight
	}
	return count
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
