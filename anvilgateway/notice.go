package anvilgateway

import (
	"net/http"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// deferral returns how long the leaf wants no calls of this node. Only the status that
// says that the leaf is out of service speaks for more than the one call: one of
// StatusTooManyRequests turns away this call, and others may be taken.
func deferral(said LeafReply, status int) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	return said.RetryAfter
}

// speaksFor reports whether what a reply says of its leaf is about the one that was
// called, and not about another one that has the address now.
func (r LeafReply) speaksFor(l anvilbalance.Leaf) bool {
	return !r.Misdirected && (r.Instance == "" || r.Instance == l.ID)
}

// declines reports whether the leaf has said that it wants no calls now.
func (g *Gateway) declines(l anvilbalance.Leaf) bool {
	g.balancing.Lock()
	defer g.balancing.Unlock()
	return g.balancer.Declines(l, time.Now())
}

// finishCall tells the balancer how a call ended.
func (g *Gateway) finishCall(r anvilbalance.Result, c *leafCall) {
	g.balancing.Lock()
	r.Overdue = c.state.Swap(callEnded) == callOverdue
	effect := g.balancer.Finish(r, time.Now())
	g.balancing.Unlock()
	if effect.Ejected {
		g.config.Log.Warn().Str("event", "leaf-ejected").Str("leaf", string(r.Leaf.ID)).
			Str("service", string(r.Leaf.Service)).Str("last-outcome", r.Outcome.String()).
			Dur("elapsed-ms", r.Elapsed).Send()
	}
	if effect.Departed {
		g.logDeparture(r.Leaf.ID, "reply")
		g.copies.Leafs.Announce()
	}
	if effect.Deferral > 0 {
		g.logDeferral(r.Leaf, r.Deferral, effect.Deferral)
	}
}

// noteHealth takes over what a leaf says of itself in the reply to a health check.
func (g *Gateway) noteHealth(l anvilbalance.Leaf, said LeafReply, status int) {
	wanted := deferral(said, status)
	g.balancing.Lock()
	now := time.Now()
	applied := g.balancer.Defer(l, wanted, now)
	departed := said.Leaving && g.balancer.Depart(anvilmodel.Departure{
		Leaf:    l.ID,
		Started: l.Started,
	}, now)
	g.balancing.Unlock()
	if departed {
		g.logDeparture(l.ID, "health check")
		g.copies.Leafs.Announce()
	}
	if applied > 0 {
		g.logDeferral(l, wanted, applied)
	}
}

// departures returns the leafs whose departure other nodes should know of.
func (g *Gateway) departures() []anvilmodel.Departure {
	g.balancing.Lock()
	defer g.balancing.Unlock()
	return g.balancer.Departures(time.Now())
}

// noteDepartures takes over which leafs other nodes know to leave, and reports whether
// any was new.
func (g *Gateway) noteDepartures(told []anvilmodel.Departure) bool {
	var news []anvilmodel.LeafName
	g.balancing.Lock()
	now := time.Now()
	for _, d := range told {
		if g.balancer.Depart(d, now) {
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

func (g *Gateway) logDeferral(l anvilbalance.Leaf, wanted, applied time.Duration) {
	g.config.Log.Info().Str("event", "leaf-deferred").Str("leaf", string(l.ID)).
		Str("service", string(l.Service)).Dur("wanted-ms", wanted).Dur("applied-ms", applied).Send()
}
