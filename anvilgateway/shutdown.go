package anvilgateway

import (
	"context"
	"net/netip"
	"time"
)

const (
	// settleMargin is how long after the lifetime of an address answer from before the
	// signal to stop callers may still come.
	addressExpiryMargin = 500 * time.Millisecond
	// quietTime without a request ends a node that is leaving.
	quietPeriod = 400 * time.Millisecond
	// finishReserve is the part of the grace that is left for requests that were
	// accepted last.
	finishReserve = 1300 * time.Millisecond
	// exitReserve is the part of the grace that is left for the process to end.
	exitReserve = 250 * time.Millisecond
	// answerReserve is the part of the grace before it in which requests that are still
	// worked on get their last answer.
	responseReserve = 150 * time.Millisecond
	// closeTime bounds the end of a server with the requests that have just arrived.
	serverCloseTimeout = 100 * time.Millisecond
	// endPoll is how often a node that ends looks whether requests are left.
	idlePollInterval = 5 * time.Millisecond
	// leavePoll is how often a leaving node looks whether it may end.
	shutdownPollInterval = 50 * time.Millisecond
)

// Shutdown ends the gateway gracefully. The node tells the others, is no longer
// named to callers, and serves those that come all the same until none has come
// for a while or the grace is nearly over. Requests that are still worked on then
// are answered with what is there. It returns when Run may return.
func (g *Gateway) Shutdown(ctx context.Context, cause string) {
	if g.shuttingDown.Swap(true) {
		return
	}
	start := time.Now()
	g.config.Log.Info().Str("event", "leaving").Str("cause", cause).Int64("requests", g.inFlight.Load()).Send()
	g.updateSelfState()
	deadline := start.Add(g.config.GracePeriod - exitReserve)
	g.serveUntilQuiet(ctx, start, deadline)
	g.refusing.Store(true)
	g.waitIdle(ctx, deadline.Add(-responseReserve))
	unfinished := g.inFlight.Load()
	close(g.finishNow)
	g.waitIdle(ctx, deadline)
	g.config.Log.Info().Str("event", "ending").Int64("requests-ended", unfinished).
		Int64("requests-cut", g.inFlight.Load()).Dur("after-ms", time.Since(start)).Send()
	g.stop()
}

// serveLast serves callers of a leaving node until none has come for a while.
func (g *Gateway) serveUntilQuiet(ctx context.Context, start, deadline time.Time) {
	earliest := start.Add(g.config.AddressLifetime + addressExpiryMargin)
	refuseAfter := start.Add(g.config.GracePeriod - finishReserve)
	for ctx.Err() == nil {
		now := time.Now()
		if !now.Before(refuseAfter) && !g.refusing.Swap(true) {
			g.config.Log.Info().Str("event", "refusing").Int64("requests", g.inFlight.Load()).Send()
		}
		idle := g.inFlight.Load() == 0
		quiet := now.Sub(time.Unix(0, g.lastRequest.Load())) > quietPeriod
		if idle && quiet && now.After(earliest) || !now.Before(deadline.Add(-responseReserve)) {
			return
		}
		sleep(ctx, shutdownPollInterval)
	}
}

// waitIdle waits until no request is worked on.
func (g *Gateway) waitIdle(ctx context.Context, deadline time.Time) {
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, idlePollInterval)
	}
}

// Reload takes new settings over. Addresses cannot be changed.
func (g *Gateway) Reload(seeds []netip.AddrPort) {
	g.setSeeds(seeds)
	g.config.Log.Info().Str("event", "settings-reloaded").Int("seeds", len(seeds)).Send()
}
