package anvilgateway

import (
	"net/http"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// isFrom reports whether a reply comes from the leaf that was called, and not from
// another leaf that now has the address.
func (r LeafReply) isFrom(l anvilbalance.Leaf) bool {
	return !r.Misdirected && (r.Leaf == "" || r.Leaf == l.Name)
}

// availability returns whether the leaf that was called is shutting down, and for how
// long it accepts no calls from this node. Only StatusServiceUnavailable applies to the
// leaf as a whole. StatusTooManyRequests refuses just this call, and others may be
// accepted.
func (r LeafReply) availability(l anvilbalance.Leaf, status int) (leaving bool, deferral time.Duration) {
	if !r.isFrom(l) {
		return false, 0
	}
	if status == http.StatusServiceUnavailable {
		deferral = r.RetryAfter
	}
	return r.Leaving, deferral
}

// rateLimit returns the rate limit of the leaf that was called. known is false if the reply
// comes from another leaf or its limit could not be read.
func (r LeafReply) rateLimit(l anvilbalance.Leaf) (limit anvilmodel.RateLimit, known bool) {
	return r.RateLimit, r.RateLimitKnown && r.isFrom(l)
}

// acceptsNewConnection reports whether a call that was picked at the given time may be sent
// over a new connection. It may not if the leaf has meanwhile announced that it accepts no
// calls, or if it may have restarted and gets enough calls for a cold leaf.
func (g *Gateway) acceptsNewConnection(l anvilbalance.Leaf, pickedAt time.Time) bool {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	now := time.Now()
	return !g.balancer.DeclinesCalls(l, now) && g.balancer.AllowsNewConnection(l, pickedAt, now)
}

// suspectRestart reports to the balancer that the process of a leaf may have ended.
func (g *Gateway) suspectRestart(l anvilbalance.Leaf, cause string) {
	g.balancerMu.Lock()
	isNew := g.balancer.SuspectRestart(l, time.Now())
	g.balancerMu.Unlock()
	if isNew {
		g.config.Log.Info().Str("event", "leaf-restart-suspected").Str("leaf", string(l.Name)).
			Str("service", string(l.Service)).Str("cause", cause).Send()
	}
}

// recordCallResult reports the result of a call to the balancer.
func (g *Gateway) recordCallResult(r anvilbalance.CallResult, c *leafCall) {
	g.balancerMu.Lock()
	r.Overdue = c.state.Swap(callEnded) == callOverdue
	changes := g.balancer.Finish(r, time.Now())
	g.balancerMu.Unlock()
	if changes.Ejected {
		g.config.Log.Warn().Str("event", "leaf-ejected").Str("leaf", string(r.Leaf.Name)).
			Str("service", string(r.Leaf.Service)).Str("last-outcome", r.Outcome.String()).
			Dur("elapsed-ms", r.Elapsed).Send()
	}
	g.reportAvailability(r.Leaf, "reply", changes.NewDeparture, r.Deferral, changes.Deferral)
	if changes.RateLimitChanged {
		g.logRateLimit(r.Leaf.Name, r.RateLimit, "reply")
	}
}

// recordHealthReply applies what a leaf states about itself in the reply to a health
// check.
func (g *Gateway) recordHealthReply(l anvilbalance.Leaf, reply LeafReply, status int) {
	leaving, requested := reply.availability(l, status)
	limit, limitKnown := reply.rateLimit(l)
	g.balancerMu.Lock()
	now := time.Now()
	applied := g.balancer.DeferCalls(l, requested, now)
	departed := leaving && g.balancer.RecordDeparture(anvilmodel.Departure{
		Leaf:      l.Name,
		StartedAt: l.StartedAt,
	}, now)
	limitChanged := limitKnown && g.balancer.RecordRateLimit(l, limit, now)
	g.balancerMu.Unlock()
	g.reportAvailability(l, "health check", departed, requested, applied)
	if limitChanged {
		g.logRateLimit(l.Name, limit, "health check")
	}
}

// reportAvailability logs the announcements of a leaf and notifies other nodes of its
// departure. requested is the time for which the leaf announced that it accepts no calls,
// and applied the time for which it gets none.
func (g *Gateway) reportAvailability(l anvilbalance.Leaf, source string, departed bool, requested, applied time.Duration) {
	if departed {
		g.logDeparture(l.Name, source)
		g.followers.Leaves.NotifyPeers()
	}
	if applied > 0 {
		g.config.Log.Info().Str("event", "leaf-deferred").Str("leaf", string(l.Name)).
			Str("service", string(l.Service)).Dur("wanted-ms", requested).Dur("applied-ms", applied).Send()
	}
}

// announcements returns the announcements of leaves to pass on to another node that has stated
// the digest.
func (g *Gateway) announcements(crashDigest uint64) anvilmodel.LeafAnnouncements {
	now := time.Now()
	reports, ownDigest := g.quarantine.reports(crashDigest, now)
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	return anvilmodel.LeafAnnouncements{
		Departures:   g.balancer.DeparturesToAnnounce(now),
		RateLimits:   g.balancer.RateLimitsToAnnounce(now),
		CrashReports: reports,
		CrashDigest:  ownDigest,
	}
}

// mergeAnnouncements records the announcements of leaves that another node passed on, and
// reports whether a departure, or a suspected or quarantined request, was new.
func (g *Gateway) mergeAnnouncements(announced anvilmodel.LeafAnnouncements) bool {
	var departed []anvilmodel.LeafName
	var limited []anvilmodel.RateLimitNotice
	g.balancerMu.Lock()
	now := time.Now()
	for _, d := range announced.Departures {
		if g.balancer.RecordDeparture(d, now) {
			departed = append(departed, d.Leaf)
		}
	}
	for _, n := range announced.RateLimits {
		if g.balancer.MergeRateLimit(n, now) {
			limited = append(limited, n)
		}
	}
	g.balancerMu.Unlock()
	for _, name := range departed {
		g.logDeparture(name, "other node")
	}
	for _, n := range limited {
		g.logRateLimit(n.Leaf, n.RateLimit, "other node")
	}
	restricted := g.quarantine.merge(announced.CrashReports, now)
	return len(departed) > 0 || restricted
}

// logRateLimit logs a change of the rate limit that a leaf announces.
func (g *Gateway) logRateLimit(leaf anvilmodel.LeafName, limit anvilmodel.RateLimit, source string) {
	g.config.Log.Info().Str("event", "leaf-rate-limit").Str("leaf", string(leaf)).Str("source", source).
		Bool("limited", limit.Limited).Float64("per-second", limit.PerSecond).Send()
}

// reportRateLimits logs this node's calls to the leaves that announce a rate limit.
func (g *Gateway) reportRateLimits(now time.Time) {
	g.balancerMu.Lock()
	reports := g.balancer.LimitReports(now)
	g.balancerMu.Unlock()
	for _, r := range reports {
		g.config.Log.Info().Str("event", "leaf-rate-limit-calls").Str("leaf", string(r.Leaf.Name)).
			Str("service", string(r.Leaf.Service)).Float64("per-second", r.Limit.PerSecond).Dur("age-ms", r.Age).
			Int("first", r.Calls.First).Int("hedges", r.Calls.Hedges).Int("retries", r.Calls.Retries).
			Int("health-checks", r.Calls.HealthChecks).Int("withheld", r.Calls.Withheld).Float64("share", r.Share).Send()
	}
}

func (g *Gateway) logDeparture(leaf anvilmodel.LeafName, source string) {
	g.config.Log.Info().Str("event", "leaf-leaving").Str("leaf", string(leaf)).Str("source", source).Send()
}
