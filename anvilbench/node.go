package anvilbench

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// exchangeInterval is the time between two exchanges of leaf states with another
// node.
const exchangeInterval = 500 * time.Millisecond

// node is one node process: an origin, and the dispatchers of its slot.
type node struct {
	sim         *simulation
	index       int
	slot        anvilmodel.SlotName
	domain      anvilmodel.FailureDomain
	incarnation anvilmodel.Incarnation
	dead        bool
	// refuses is set when the process ended on a VM that goes on.
	refusesConnections bool
	// named is set while callers send queries here.
	advertised bool
	// usable says by index which nodes this one believes usable.
	usable  []bool
	streams []peerStream
	origin  *anvilquery.Origin
	runners map[*leaf]*dispatcherRunner
	queries map[*anvilquery.Query]*query
	budgets map[anvilmodel.ServiceName]*budgetMeters
	// routes says by attempt where an outstanding call went.
	outstanding map[int]*outstandingCall
}

// route is where a call of this origin went. Copy is the runner of a second call
// that a baseline made outside of the query core.
type outstandingCall struct {
	call       anvilmodel.Call
	sentAt     time.Duration
	runner     *dispatcherRunner
	copyRunner *dispatcherRunner
	// open counts calls without an outcome.
	openCalls int
}

func (sim *simulation) newNode(index int, incarnation anvilmodel.Incarnation) *node {
	d := &sim.scenario.Deployment
	n := &node{
		sim:         sim,
		index:       index,
		slot:        slotName(index),
		domain:      d.Nodes[index],
		incarnation: incarnation,
		advertised:  true,
		usable:      make([]bool, len(d.Nodes)),
		streams:     make([]peerStream, len(d.Nodes)),
		runners:     make(map[*leaf]*dispatcherRunner),
		queries:     make(map[*anvilquery.Query]*query),
		budgets:     make(map[anvilmodel.ServiceName]*budgetMeters),
		outstanding: make(map[int]*outstandingCall),
	}
	for i := range n.usable {
		n.usable[i] = true
	}
	n.origin = anvilquery.NewOrigin(anvilquery.Config{
		Incarnation: incarnation,
		Random:      rand.New(rand.NewPCG(sim.seed, uint64(incarnation))),
	})
	n.origin.SetBudgets(sim.variant.HedgeBudget, sim.variant.RetryBudget)
	n.origin.SetLeafs(sim.leafConfigs)
	return n
}

// begin starts the dispatchers that the slot has.
func (n *node) startDispatchers() {
	sim := n.sim
	for _, l := range sim.leafs {
		rank, c, ok := sim.dispatcherConfig(n, l)
		if !ok {
			continue
		}
		r := newDispatcherRunner(n, l, rank, c)
		n.runners[l] = r
		sim.runners[l.index][n.index] = r
		l.dispatcherCount++
	}
}

// end stops the process; its leafs see their connections closed.
func (n *node) stop() {
	n.dead = true
	n.advertised = false
	for _, l := range n.sim.leafs {
		r := n.runners[l]
		if r == nil {
			continue
		}
		l.dispatcherCount--
		for _, c := range r.connections {
			c.closed = true
			if c.process != nil {
				c.process.removeConnection(c)
			}
		}
	}
	for _, q := range n.queries {
		q.lost = true
	}
}

// observe tells the origin what a leaf states.
func (n *node) observeState(state anvilmodel.LeafState) {
	n.origin.ObserveState(state, n.sim.clock.time())
}

// passOn tells the other nodes what a leaf states, and this node's judgement of
// it, at the next exchange.
func (n *node) exchangeState(r *dispatcherRunner, state anvilmodel.LeafState) {
	sim := n.sim
	assessment, known := r.dispatcher.LeafState(sim.clock.time())
	readAt := sim.clock.now
	for _, peer := range sim.nodes {
		if peer == n {
			continue
		}
		wait := time.Duration(sim.miscRandom.Int64N(int64(exchangeInterval)))
		sim.clock.scheduleAfter(wait+sim.network.domainDelay(n.domain, peer.domain), func() {
			if peer.dead || n.dead {
				return
			}
			delay := sim.clock.now - readAt
			peer.observeState(addAge(state, delay))
			if peerRunner := peer.runners[r.leaf]; peerRunner != nil && known {
				peerRunner.adoptAssessment(addAge(assessment, delay))
			}
		})
	}
}

func addAge(state anvilmodel.LeafState, delay time.Duration) anvilmodel.LeafState {
	state.Age += delay
	return state
}

// send routes a call of the origin to the node that dispatches for its leaf.
func (n *node) sendCall(call *anvilmodel.Call) {
	sim := n.sim
	l := sim.leafsByName[call.Leaf]
	sim.countSent(call)
	n.meterCall(call)
	to := sim.dispatcherFor(n, l)
	if to == nil {
		reply := brokenReply(call)
		sim.clock.scheduleAfter(0, func() { n.handleReply(reply) })
		return
	}
	oc := &outstandingCall{
		call:      *call,
		sentAt:    sim.clock.now,
		runner:    to,
		openCalls: 1,
	}
	n.outstanding[call.ID.Attempt] = oc
	n.sendToDispatcher(oc.call, to)
	if sim.variant.FixedHedgeDelay > 0 {
		sim.clock.scheduleAfter(sim.variant.FixedHedgeDelay, func() { n.sendFixedHedge(oc) })
	}
}

func brokenReply(call *anvilmodel.Call) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:       call.ID,
		Leaf:     call.Leaf,
		Result:   anvilmodel.CallBroken,
		RunState: anvilmodel.RunStateNotRun,
	}
}

// transmit carries a call to a dispatcher. A VM whose process has ended refuses
// it, a lost VM gives no sign.
func (n *node) sendToDispatcher(call anvilmodel.Call, to *dispatcherRunner) {
	sim := n.sim
	n.noteCall(to.node)
	sim.clock.scheduleAt(sim.network.arrivalTime(n, to.node, sim.clock.now), func() {
		switch {
		case !to.node.dead:
			to.submit(call)
		case to.node.refusesConnections:
			sim.clock.scheduleAt(sim.network.arrivalTime(to.node, n, sim.clock.now), func() { n.callRefused(call.ID.Attempt, to) })
		}
	})
}

// cancel ends the calls of a route.
func (n *node) cancelCall(id anvilmodel.CallID) {
	oc := n.outstanding[id.Attempt]
	if oc == nil {
		return
	}
	delete(n.outstanding, id.Attempt)
	n.cancelAtDispatcher(oc.runner, id)
	if oc.copyRunner != nil {
		n.cancelAtDispatcher(oc.copyRunner, id)
	}
}

func (n *node) cancelAtDispatcher(r *dispatcherRunner, id anvilmodel.CallID) {
	sim := n.sim
	sim.clock.scheduleAt(sim.network.arrivalTime(n, r.node, sim.clock.now), func() {
		if !r.node.dead {
			r.cancelCall(id)
		}
	})
}

// replyTo carries a reply from a dispatcher of this node to its origin.
func (n *node) sendReply(reply anvilmodel.CallReply) {
	sim := n.sim
	to := sim.nodesByIncarnation[reply.ID.Origin]
	if to == nil {
		return
	}
	sim.clock.scheduleAt(sim.network.arrivalTime(n, to, sim.clock.now), func() {
		to.noteReply(n)
		to.handleReply(reply)
	})
}

// deliver hands a reply to the origin.
func (n *node) handleReply(reply anvilmodel.CallReply) {
	if n.dead {
		return
	}
	if oc := n.outstanding[reply.ID.Attempt]; oc != nil && !n.completeCall(oc, &reply) {
		return
	}
	sim := n.sim
	core, actions := n.origin.Handle(reply, sim.clock.time(), sim.queryActions[:0])
	q := n.queries[core]
	if q != nil && q.measured && reply.Result == anvilmodel.CallShed {
		q.result.ShedCalls++
	}
	n.executeActions(q, actions)
}

// settle ends a call of a route. It reports whether the reply is for the core.
func (n *node) completeCall(oc *outstandingCall, reply *anvilmodel.CallReply) bool {
	oc.openCalls--
	if oc.copyRunner != nil && !n.completeCopiedCall(oc, reply) {
		return false
	}
	delete(n.outstanding, reply.ID.Attempt)
	return true
}

// dispatcherConfig returns the settings of a dispatcher of a node for a leaf, or
// false if the node has none.
func (sim *simulation) dispatcherConfig(n *node, l *leaf) (int, anvilleaf.Config, bool) {
	rank, share, ok := sim.variant.dispatcherShare(sim, n, l)
	c := anvilleaf.Config{
		Leaf:         l.config.Name,
		Slots:        l.service.Slots,
		Share:        share,
		ColdDuration: configuredColdDuration,
		QuietPeriod:  longestTimeout,
		ConnectTime:  l.service.ConnectTime,
	}
	if sim.variant.AdjustDispatcher != nil {
		sim.variant.AdjustDispatcher(&c)
	}
	return rank, c, ok
}
