package anvilbench

import (
	"slices"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// Variant is a way to configure the cores, or to do without one of them.
type Variant struct {
	Name string
	// HedgeBudget and RetryBudget are those of the origins.
	HedgeBudget float64
	RetryBudget float64
	// FixedHedgeDelay is the delay after which every unanswered call is sent to
	// another leaf as well, outside of the query core; 0 leaves that out.
	FixedHedgeDelay time.Duration
	// AllNodesDispatch gives every node a dispatcher of its own for every leaf.
	AllNodesDispatch bool
	// Failover is what origins do about a node that does not answer.
	Failover Failover
	// AdjustDispatcher changes the settings of the dispatchers; nil leaves them.
	AdjustDispatcher func(*anvilleaf.Config)
	// AdjustClass changes the classes; nil leaves them.
	AdjustClass func(*anvilmodel.Class)
}

// Policy returns the design as it is.
func Policy() Variant {
	return Variant{
		Name:        "policy",
		HedgeBudget: anvilquery.DefaultHedgeBudget,
		RetryBudget: anvilquery.DefaultRetryBudget,
		Failover:    FailoverOnDisconnect,
	}
}

// NoHedging returns the policy without hedges.
func NoHedging() Variant {
	v := Policy()
	v.Name = "no-hedging"
	v.HedgeBudget = 0
	return v
}

// fixedHedgeDelay is near the 95th percentile of the call latency in the steady
// scenario at a load of 0.4, so that this baseline is at its best there.
const fixedHedgeDelay = 20 * time.Millisecond

// FixedHedging returns the policy with hedges after a fixed delay and without a
// budget.
func FixedHedging() Variant {
	v := NoHedging()
	v.Name = "fixed-hedging"
	v.FixedHedgeDelay = fixedHedgeDelay
	return v
}

// Sizes that never limit anything.
const (
	manySlots       = 1000
	manyConnections = 64
)

// NoLimits returns independent nodes that send directly to any leaf. The
// dispatcher of the node passes everything on: only its circuit breaker and its
// connections are left.
func NoLimits() Variant {
	v := Policy()
	v.Name = "no-limits"
	v.AllNodesDispatch = true
	v.AdjustDispatcher = func(c *anvilleaf.Config) {
		c.Slots = manySlots
		c.WarmMaximum = manySlots
		c.ColdDuration = 0
		c.QuietPeriod = 0
		c.Share.Connections = manyConnections
		c.Share.Cold = manySlots
		c.Rule = func(anvilleaf.LimitSample) float64 { return manySlots }
	}
	return v
}

// Independent returns alternative (a) of section 6.4 of the design: every node
// adapts a limit of its own for every leaf.
func Independent() Variant {
	v := Policy()
	v.Name = "independent"
	v.AllNodesDispatch = true
	return v
}

// Variants returns the policy and its baselines.
func Variants() []Variant {
	return []Variant{Policy(), NoHedging(), FixedHedging(), NoLimits(), Independent()}
}

// share returns the rank of a node as dispatcher of a leaf and its part of the
// leaf, or false if it has none.
func (v *Variant) share(f *fleet, n *node, l *leaf) (int, anvilleaf.Share, bool) {
	if v.AllNodesDispatch {
		return 0, anvilleaf.Share{
			Connections: max(2, l.service.Connections/len(f.scenario.Deployment.Nodes)),
			Cold:        max(1, l.service.ColdConcurrency/len(f.scenario.Deployment.Nodes)),
		}, true
	}
	for _, c := range f.table.Candidates(l.config.Name) {
		if c.Slot == n.slot {
			return c.Rank, anvilleaf.Share{
				Connections: c.Connections,
				Cold:        c.ColdConcurrency,
			}, true
		}
	}
	return 0, anvilleaf.Share{}, false
}

// hedgeFixed sends the copy of an unanswered call to another leaf that holds
// the shard.
func (n *node) hedgeFixed(w *route) {
	f := n.fleet
	if n.dead || n.routes[w.call.ID.Attempt] != w {
		return
	}
	l := f.otherLeaf(w)
	if l == nil {
		return
	}
	to := f.dispatcherFor(n, l)
	if to == nil {
		return
	}
	call := w.call
	call.Leaf = l.config.Name
	call.Timeout -= f.variant.FixedHedgeDelay
	call.Hedge = true
	f.sent(&call)
	n.count(&call)
	// The dispatcher of the baseline treats it like any call.
	call.Hedge = false
	w.copy = to
	w.open++
	n.transmit(call, to)
}

// otherLeaf draws a leaf that can take the copy of a call.
func (f *fleet) otherLeaf(w *route) *leaf {
	var picked *leaf
	count := 0
	for _, l := range f.leafs {
		if l == w.runner.leaf || l.service != w.runner.leaf.service {
			continue
		}
		i := l.find(w.call.Snapshot)
		if _, out := f.forbidden[l]; i < 0 || out || l.holdings[i].Shard != w.call.Shard {
			continue
		}
		count++
		if f.copies.IntN(count) == 0 {
			picked = l
		}
	}
	return picked
}

// settleCopy handles a reply to one of two calls of a route. The core knows only
// one call, so the reply takes that call's name, and tells nothing of the leaf.
func (n *node) settleCopy(w *route, reply *anvilmodel.CallReply) bool {
	other := w.copy
	if reply.Leaf == w.copy.leaf.config.Name {
		other = w.runner
	}
	if reply.Result != anvilmodel.CallOK && w.open > 0 {
		return false
	}
	if w.open > 0 {
		n.cancelAt(other, reply.ID)
	}
	if reply.Leaf != w.call.Leaf {
		reply.Leaf = w.call.Leaf
		reply.Incarnation = 0
	}
	return true
}

// apply changes the classes of a deployment, in copies.
func (v *Variant) apply(d *Deployment) {
	if v.AdjustClass == nil {
		return
	}
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		s := &d.Services[i]
		s.Streams = slices.Clone(s.Streams)
		for j := range s.Streams {
			v.AdjustClass(&s.Streams[j].Class)
		}
	}
}
