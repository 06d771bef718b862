package anvilbench

import (
	"slices"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// Variant is a configuration of the query and dispatcher state machines.
type Variant struct {
	Name string
	// HedgeBudget and RetryBudget are the budgets of each origin.
	HedgeBudget float64
	RetryBudget float64
	// FixedHedgeDelay is the delay after which every unanswered call is also sent
	// to another leaf, without involving anvilquery; 0 disables this.
	FixedHedgeDelay time.Duration
	// AllNodesDispatch gives every node its own dispatcher for every leaf.
	AllNodesDispatch bool
	// Failover is the way that origins handle a node that does not answer.
	Failover Failover
	// AdjustDispatcher modifies the settings of each dispatcher, if not nil.
	AdjustDispatcher func(*anvilleaf.Config)
	// AdjustClass modifies each class, if not nil.
	AdjustClass func(*anvilmodel.Class)
}

// Policy returns the policy of the design, without modifications.
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
// scenario at a load of 0.4. The baseline therefore has its best results there.
const fixedHedgeDelay = 20 * time.Millisecond

// FixedHedging returns the policy with hedges after a fixed delay and without a
// hedge budget.
func FixedHedging() Variant {
	v := NoHedging()
	v.Name = "fixed-hedging"
	v.FixedHedgeDelay = fixedHedgeDelay
	return v
}

// Limits that are too high to take effect.
const (
	unlimitedSlots       = 1000
	unlimitedConnections = 64
)

// NoLimits returns a baseline whose nodes send directly to every leaf,
// independently of each other. The dispatcher of a node limits nothing; it only
// provides the circuit breaker and the connections.
func NoLimits() Variant {
	v := Policy()
	v.Name = "no-limits"
	v.AllNodesDispatch = true
	v.AdjustDispatcher = func(c *anvilleaf.Config) {
		c.Slots = unlimitedSlots
		c.MaxLimit = unlimitedSlots
		c.ColdDuration = 0
		c.QuietPeriod = 0
		c.Share.Connections = unlimitedConnections
		c.Share.ColdConcurrency = unlimitedSlots
		c.LimitRule = func(anvilleaf.LimitSample) float64 { return unlimitedSlots }
	}
	return v
}

// Independent returns alternative (a) of section 6.4 of the design: every node
// adapts its own concurrency limit for every leaf.
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

// dispatcherShare returns the rank of node n as a dispatcher of leaf l and its
// share of the leaf's limits. It returns false if n does not dispatch for l.
func (v *Variant) dispatcherShare(sim *simulation, n *node, l *leaf) (int, anvilleaf.Share, bool) {
	if v.AllNodesDispatch {
		return 0, anvilleaf.Share{
			Connections:     max(2, l.service.Connections/len(sim.scenario.Deployment.Nodes)),
			ColdConcurrency: max(1, l.service.ColdConcurrency/len(sim.scenario.Deployment.Nodes)),
		}, true
	}
	for _, c := range sim.table.Candidates(l.config.Name) {
		if c.Slot == n.slot {
			return c.Rank, anvilleaf.Share{
				Connections:     c.Connections,
				ColdConcurrency: c.ColdConcurrency,
			}, true
		}
	}
	return 0, anvilleaf.Share{}, false
}

// sendFixedHedge sends a copy of an unanswered call to another leaf that holds
// the shard.
func (n *node) sendFixedHedge(oc *outstandingCall) {
	sim := n.sim
	if n.dead || n.outstanding[oc.call.ID.Attempt] != oc {
		return
	}
	l := sim.pickAlternativeLeaf(oc)
	if l == nil {
		return
	}
	to := sim.dispatcherFor(n, l)
	if to == nil {
		return
	}
	call := oc.call
	call.Leaf = l.config.Name
	call.Timeout -= sim.variant.FixedHedgeDelay
	call.Hedge = true
	sim.countSent(&call)
	n.meterCall(&call)
	// The dispatcher of the baseline treats a hedge like any other call.
	call.Hedge = false
	oc.copyRunner = to
	oc.openCalls++
	n.sendToDispatcher(call, to)
}

// pickAlternativeLeaf returns a random leaf, other than that of the original
// call, that can take the copy of a call. It returns nil if there is none.
func (sim *simulation) pickAlternativeLeaf(oc *outstandingCall) *leaf {
	var picked *leaf
	count := 0
	for _, l := range sim.leaves {
		if l == oc.runner.leaf || l.service != oc.runner.leaf.service {
			continue
		}
		i := l.findHolding(oc.call.Snapshot)
		if _, out := sim.domainOutFrom[l]; i < 0 || out || l.holdings[i].Shard != oc.call.Shard {
			continue
		}
		count++
		if sim.fixedHedgeRandom.IntN(count) == 0 {
			picked = l
		}
	}
	return picked
}

// completeCopiedCall handles a reply to an outstanding call that was sent to two
// leaves, and reports whether to pass the reply to the origin. The origin knows
// only the original call, so a reply to the copy is attributed to that call's
// leaf, without the incarnation of the leaf that answered.
func (n *node) completeCopiedCall(oc *outstandingCall, reply *anvilmodel.CallReply) bool {
	otherRunner := oc.copyRunner
	if reply.Leaf == oc.copyRunner.leaf.config.Name {
		otherRunner = oc.runner
	}
	if reply.Result != anvilmodel.CallOK && oc.openCalls > 0 {
		return false
	}
	if oc.openCalls > 0 {
		n.cancelAtDispatcher(otherRunner, reply.ID)
	}
	if reply.Leaf != oc.call.Leaf {
		reply.Leaf = oc.call.Leaf
		reply.Incarnation = 0
	}
	return true
}

// adjustClasses applies AdjustClass to copies of the deployment's classes.
func (v *Variant) adjustClasses(d *Deployment) {
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
