package anvilgateway

import (
	"context"
	"net/netip"
	"time"
)

const (
	// addressExpiryMargin is how long callers may still arrive after the expiry of the
	// last address answer that lists this node.
	addressExpiryMargin = 500 * time.Millisecond
	// quietPeriod is the time without a new request after which a node that is shutting
	// down may end.
	quietPeriod = 400 * time.Millisecond
	// finishReserve is the part of the grace period reserved for the requests that were
	// accepted last.
	finishReserve = 1300 * time.Millisecond
	// finishMargin is how many times the usual time of a call must be left for a request to be
	// accepted by a node that is shutting down, because calls of the same route vary.
	finishMargin = 2
	// exitReserve is the part of the grace period reserved for the process to exit.
	exitReserve = 250 * time.Millisecond
	// responseReserve is the part of the grace period, before exitReserve, in which the
	// remaining requests receive their final answer.
	responseReserve = 150 * time.Millisecond
	// serverCloseTimeout bounds closing a server, including the requests that have just
	// arrived.
	serverCloseTimeout = 100 * time.Millisecond
	// idlePollInterval is how often waitIdle checks whether requests are left.
	idlePollInterval = 5 * time.Millisecond
	// shutdownPollInterval is how often serveUntilQuiet checks whether the node may end.
	shutdownPollInterval = 50 * time.Millisecond
)

// Shutdown ends the gateway gracefully. The node notifies the others, is no longer listed
// to callers, and keeps serving callers that still arrive, until none has arrived for
// quietPeriod or the grace period is nearly over. Requests that are still in flight are
// then answered with the replies received so far. Shutdown returns when Run may return.
func (g *Gateway) Shutdown(ctx context.Context, cause string) {
	if g.shuttingDown.Swap(true) {
		return
	}
	start := time.Now()
	g.config.Log.Info().Str("event", "leaving").Str("cause", cause).Int64("requests", g.inFlight.Load()).Send()
	g.updateSelfState()
	deadline := start.Add(g.config.GracePeriod - exitReserve)
	finishBy := deadline.Add(-responseReserve)
	g.finishBy.Store(&finishBy)
	g.serveUntilQuiet(ctx, start, deadline)
	g.refusing.Store(true)
	g.waitIdle(ctx, finishBy)
	unfinished := g.inFlight.Load()
	close(g.finishNow)
	g.waitIdle(ctx, deadline)
	g.config.Log.Info().Str("event", "ending").Int64("requests-ended", unfinished).
		Int64("requests-cut", g.inFlight.Load()).Dur("after-ms", time.Since(start)).Send()
	g.stop()
}

// serveUntilQuiet serves the callers of a node that is shutting down until none has
// arrived for quietPeriod, and refuses new requests once only finishReserve is left.
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

// canFinish reports whether a request can be answered before the node ends. Otherwise it must
// be refused before it is sent to a leaf, so that the caller can repeat it elsewhere. A
// request whose route has no known call time counts as too long if it must not run twice.
func (s *servedRequest) canFinish(now time.Time) bool {
	finishBy := s.gateway.finishBy.Load()
	if finishBy == nil || !s.outbound.deadline.After(*finishBy) {
		return true
	}
	s.gateway.balancerMu.Lock()
	callTime, known := s.gateway.balancer.CallTime(s.route.Name)
	s.gateway.balancerMu.Unlock()
	if !known {
		return !s.route.NonIdempotent
	}
	return finishBy.Sub(now) >= finishMargin*callTime
}

// waitIdle waits until no request is in flight.
func (g *Gateway) waitIdle(ctx context.Context, deadline time.Time) {
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, idlePollInterval)
	}
}

// Reload applies new settings. Addresses cannot be changed.
func (g *Gateway) Reload(seeds []netip.AddrPort) {
	g.setSeeds(seeds)
	g.config.Log.Info().Str("event", "settings-reloaded").Int("seeds", len(seeds)).Send()
}
