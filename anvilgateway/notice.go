package anvilgateway

import (
	"net/http"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// speaksFor reports whether what a reply says of its leaf is about the one that was
// called, and not about another one that has the address now.
func (r LeafReply) speaksFor(l anvilbalance.Leaf) bool {
	return !r.Misdirected && (r.Instance == "" || r.Instance == l.ID)
}

// notices returns whether the leaf that was called leaves, and how long it wants no calls
// of this node. Only the status that says that the leaf is out of service speaks for more
// than the one call: one of StatusTooManyRequests turns away this call, and others may be
// taken.
func (r LeafReply) notices(l anvilbalance.Leaf, status int) (leaving bool, deferral time.Duration) {
	if !r.speaksFor(l) {
		return false, 0
	}
	if status == http.StatusServiceUnavailable {
		deferral = r.RetryAfter
	}
	return r.Leaving, deferral
}

// declines reports whether the leaf has said that it wants no calls now.
func (g *Gateway) declines(l anvilbalance.Leaf) bool {
	g.balancing.Lock()
	defer g.balancing.Unlock()
	return g.balancer.DeclinesCalls(l, time.Now())
}

// finishCall tells the balancer how a call ended.
func (g *Gateway) finishCall(r anvilbalance.CallResult, c *leafCall) {
	g.balancing.Lock()
	r.Overdue = c.state.Swap(callEnded) == callOverdue
	effect := g.balancer.Finish(r, time.Now())
	g.balancing.Unlock()
	if effect.Ejected {
		g.config.Log.Warn().Str("event", "leaf-ejected").Str("leaf", string(r.Leaf.ID)).
			Str("service", string(r.Leaf.Service)).Str("last-outcome", r.Outcome.String()).
			Dur("elapsed-ms", r.Elapsed).Send()
	}
	g.tellNotices(r.Leaf, "reply", effect.NewDeparture, r.Deferral, effect.Deferral)
}

// noteHealth takes over what a leaf says of itself in the reply to a health check.
func (g *Gateway) noteHealth(l anvilbalance.Leaf, said LeafReply, status int) {
	leaving, wanted := said.notices(l, status)
	g.balancing.Lock()
	now := time.Now()
	applied := g.balancer.DeferCalls(l, wanted, now)
	departed := leaving && g.balancer.RecordDeparture(anvilmodel.Departure{
		Leaf:      l.ID,
		StartedAt: l.StartedAt,
	}, now)
	g.balancing.Unlock()
	g.tellNotices(l, "health check", departed, wanted, applied)
}

// tellNotices logs what a leaf has said of itself and tells other nodes of a departure.
// The leaf wanted no calls for a time, of which some is applied.
func (g *Gateway) tellNotices(l anvilbalance.Leaf, source string, departed bool, wanted, applied time.Duration) {
	if departed {
		g.logDeparture(l.ID, source)
		g.copies.Leaves.NotifyPeers()
	}
	if applied > 0 {
		g.config.Log.Info().Str("event", "leaf-deferred").Str("leaf", string(l.ID)).
			Str("service", string(l.Service)).Dur("wanted-ms", wanted).Dur("applied-ms", applied).Send()
	}
}

// departures returns the leafs whose departure other nodes should know of.
func (g *Gateway) departures() []anvilmodel.Departure {
	g.balancing.Lock()
	defer g.balancing.Unlock()
	return g.balancer.DeparturesToAnnounce(time.Now())
}

// noteDepartures takes over which leafs other nodes know to leave, and reports whether
// any was new.
func (g *Gateway) noteDepartures(told []anvilmodel.Departure) bool {
	var news []anvilmodel.LeafName
	g.balancing.Lock()
	now := time.Now()
	for _, d := range told {
		if g.balancer.RecordDeparture(d, now) {
			news = append(news, d.Leaf)
		}
	}
	g.balancing.Unlock()
	for _, id := range news {
		g.logDeparture(id, "other node")
	}
	return len(news) > 0
}

func (g *Gateway) logDeparture(id anvilmodel.LeafName, source string) {
	g.config.Log.Info().Str("event", "leaf-leaving").Str("leaf", string(id)).Str("source", source).Send()
}
