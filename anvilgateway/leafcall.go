package anvilgateway

import (
	"context"
	"sync/atomic"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmetric"
)

// leafCall is one call of a request to a leaf.
type leafCall struct {
	parent    *servedRequest
	callIndex int
	partIndex int
	kind      anvilbalance.CallKind
	leaf      anvilbalance.Leaf
	// deadline is the time until which the leaf may work on the call.
	deadline time.Time
	// pickedAt is when the leaf was picked.
	pickedAt time.Time
	// state ensures that an overdue call is reported to the balancer before its end, or
	// not at all.
	state atomic.Int32
}

// States of a call.
const (
	callRunning int32 = iota
	callOverdue
	callEnded
)

// reportOverdue reports to the balancer that the call is overdue, unless it has ended.
func (c *leafCall) reportOverdue() {
	g := c.parent.gateway
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	if c.state.CompareAndSwap(callRunning, callOverdue) {
		g.balancer.MarkOverdue(c.leaf)
	}
}

// run sends the call, reports its result to the balancer and passes it on to the request.
func (c *leafCall) run(ctx context.Context) {
	s := c.parent
	g := s.gateway
	start := time.Now()
	r := g.call(ctx, s.outbound, c)
	elapsed := time.Since(start)
	leaving, deferral := r.reply.availability(c.leaf, r.status)
	limit, limitKnown := r.reply.rateLimit(c.leaf)
	g.recordCallResult(anvilbalance.CallResult{
		Leaf:           c.leaf,
		Route:          s.route.Name,
		Outcome:        r.outcome,
		Elapsed:        elapsed,
		LoadKnown:      r.reply.LoadKnown,
		Load:           r.reply.Load,
		ColdFor:        r.reply.ColdFor,
		Leaving:        leaving,
		Deferral:       deferral,
		RateLimitKnown: limitKnown,
		RateLimit:      limit,
	}, c)
	g.config.Metrics.Add(anvilmetric.LeafCalls, 1, string(c.leaf.Service), c.kind.String(), r.outcome.String())
	if r.outcome != anvilbalance.OutcomeGood && r.outcome != anvilbalance.OutcomeAbandoned {
		g.config.Log.Info().Str("event", "call").Str("request", s.id).Str("leaf", string(c.leaf.Name)).
			Str("service", string(c.leaf.Service)).Str("kind", c.kind.String()).
			Str("outcome", r.outcome.String()).Int("status", r.status).Dur("elapsed-ms", elapsed).
			Dur("retry-after-ms", r.reply.RetryAfter).Err(r.err).Send()
	}
	if r.outcome == anvilbalance.OutcomeGood {
		s.recordAnswer()
	}
	s.memory.add(r.reservedBytes)
	s.completed <- completedCall{
		callIndex: c.callIndex,
		partIndex: c.partIndex,
		result:    r,
	}
	if r.outcome == anvilbalance.OutcomeLost && connectionEnded(r.err) {
		c.checkCrash()
	}
}
