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
// long it asks this node not to call it. Only StatusServiceUnavailable applies to the
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

// declinesCalls reports whether the leaf has announced that it currently accepts no
// calls.
func (g *Gateway) declinesCalls(l anvilbalance.Leaf) bool {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	return g.balancer.DeclinesCalls(l, time.Now())
}

// recordCallResult reports the result of a call to the balancer.
func (g *Gateway) recordCallResult(r anvilbalance.CallResult, c *leafCall) {
	g.balancerMu.Lock()
	r.Overdue = c.state.Swap(callEnded) == callOverdue
	effect := g.balancer.Finish(r, time.Now())
	g.balancerMu.Unlock()
	if effect.Ejected {
		g.config.Log.Warn().Str("event", "leaf-ejected").Str("leaf", string(r.Leaf.Name)).
			Str("service", string(r.Leaf.Service)).Str("last-outcome", r.Outcome.String()).
			Dur("elapsed-ms", r.Elapsed).Send()
	}
	g.reportAvailability(r.Leaf, "reply", effect.NewDeparture, r.Deferral, effect.Deferral)
}

// recordHealthReply applies what a leaf states about itself in the reply to a health
// check.
func (g *Gateway) recordHealthReply(l anvilbalance.Leaf, reply LeafReply, status int) {
	leaving, requested := reply.availability(l, status)
	g.balancerMu.Lock()
	now := time.Now()
	applied := g.balancer.DeferCalls(l, requested, now)
	departed := leaving && g.balancer.RecordDeparture(anvilmodel.Departure{
		Leaf:      l.Name,
		StartedAt: l.StartedAt,
	}, now)
	g.balancerMu.Unlock()
	g.reportAvailability(l, "health check", departed, requested, applied)
}

// reportAvailability logs the announcements of a leaf and notifies other nodes of its
// departure. requested is the time for which the leaf asked for no calls, and applied the
// part of it that is observed.
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

// departures returns the leaves whose departure other nodes should be notified of.
func (g *Gateway) departures() []anvilmodel.Departure {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	return g.balancer.DeparturesToAnnounce(time.Now())
}

// mergeDepartures applies the departures of leaves reported by another node, and reports
// whether any was new.
func (g *Gateway) mergeDepartures(reported []anvilmodel.Departure) bool {
	var added []anvilmodel.LeafName
	g.balancerMu.Lock()
	now := time.Now()
	for _, d := range reported {
		if g.balancer.RecordDeparture(d, now) {
			added = append(added, d.Leaf)
		}
	}
	g.balancerMu.Unlock()
	for _, name := range added {
		g.logDeparture(name, "other node")
	}
	return len(added) > 0
}

func (g *Gateway) logDeparture(leaf anvilmodel.LeafName, source string) {
	g.config.Log.Info().Str("event", "leaf-leaving").Str("leaf", string(leaf)).Str("source", source).Send()
}
