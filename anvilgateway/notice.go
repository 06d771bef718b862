package anvilgateway

import (
	"net/http"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// speaksFor reports whether what a reply says of its leaf is about the one that was
// called, and not about another one that has the address now.
func (r LeafReply) isFrom(l anvilbalance.Leaf) bool {
	return !r.Misdirected && (r.Instance == "" || r.Instance == l.ID)
}

// notices returns whether the leaf that was called leaves, and how long it wants no calls
// of this node. Only the status that says that the leaf is out of service speaks for more
// than the one call: one of StatusTooManyRequests turns away this call, and others may be
// taken.
func (r LeafReply) availability(l anvilbalance.Leaf, status int) (leaving bool, deferral time.Duration) {
	if !r.isFrom(l) {
		return false, 0
	}
	if status == http.StatusServiceUnavailable {
		deferral = r.RetryAfter
	}
	return r.Leaving, deferral
}

// declines reports whether the leaf has said that it wants no calls now.
func (g *Gateway) rejectsCalls(l anvilbalance.Leaf) bool {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	return g.balancer.Declines(l, time.Now())
}

// finishCall tells the balancer how a call ended.
func (g *Gateway) recordCallResult(r anvilbalance.Result, c *leafCall) {
	g.balancerMu.Lock()
	r.Overdue = c.state.Swap(callEnded) == callOverdue
	effect := g.balancer.Finish(r, time.Now())
	g.balancerMu.Unlock()
	if effect.Ejected {
		g.config.Log.Warn().Str("event", "leaf-ejected").Str("leaf", string(r.Leaf.ID)).
			Str("service", string(r.Leaf.Service)).Str("last-outcome", r.Outcome.String()).
			Dur("elapsed-ms", r.Elapsed).Send()
	}
	g.reportAvailability(r.Leaf, "reply", effect.Departed, r.Deferral, effect.Deferral)
}

// noteHealth takes over what a leaf says of itself in the reply to a health check.
func (g *Gateway) recordHealthReply(l anvilbalance.Leaf, reply LeafReply, status int) {
	leaving, requested := reply.availability(l, status)
	g.balancerMu.Lock()
	now := time.Now()
	applied := g.balancer.Defer(l, requested, now)
	departed := leaving && g.balancer.Depart(anvilmodel.Departure{
		Leaf:      l.ID,
		StartedAt: l.Started,
	}, now)
	g.balancerMu.Unlock()
	g.reportAvailability(l, "health check", departed, requested, applied)
}

// tellNotices logs what a leaf has said of itself and tells other nodes of a departure.
// The leaf wanted no calls for a time, of which some is applied.
func (g *Gateway) reportAvailability(l anvilbalance.Leaf, source string, departed bool, requested, applied time.Duration) {
	if departed {
		g.logDeparture(l.ID, source)
		g.followers.Leafs.Announce()
	}
	if applied > 0 {
		g.config.Log.Info().Str("event", "leaf-deferred").Str("leaf", string(l.ID)).
			Str("service", string(l.Service)).Dur("wanted-ms", requested).Dur("applied-ms", applied).Send()
	}
}

// departures returns the leafs whose departure other nodes should know of.
func (g *Gateway) departures() []anvilmodel.Departure {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	return g.balancer.Departures(time.Now())
}

// noteDepartures takes over which leafs other nodes know to leave, and reports whether
// any was new.
func (g *Gateway) mergeDepartures(reported []anvilmodel.Departure) bool {
	var added []anvilmodel.LeafName
	g.balancerMu.Lock()
	now := time.Now()
	for _, d := range reported {
		if g.balancer.Depart(d, now) {
			added = append(added, d.Leaf)
		}
	}
	g.balancerMu.Unlock()
	for _, id := range added {
		g.logDeparture(id, "other node")
	}
	return len(added) > 0
}

func (g *Gateway) logDeparture(id anvilmodel.LeafName, source string) {
	g.config.Log.Info().Str("event", "leaf-leaving").Str("leaf", string(id)).Str("source", source).Send()
}
