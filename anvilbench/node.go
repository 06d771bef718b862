package anvilbench

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// exchangeInterval is the time between two exchanges of leaf states between a
// pair of nodes.
const exchangeInterval = 500 * time.Millisecond

// node is one node process, with an origin and the dispatchers of its entry slot.
type node struct {
	sim         *simulation
	index       int
	slot        anvilmodel.SlotName
	domain      anvilmodel.FailureDomain
	incarnation anvilmodel.Incarnation
	dead        bool
	// refusesConnections is set when the process has ended but its VM still runs.
	refusesConnections bool
	// advertised is set while callers send queries to the node.
	advertised bool
	// usable holds, by node index, whether this node considers the other one usable.
	usable []bool
	// streams holds, by node index, the state of the stream to the other node.
	streams []peerStream
	origin  *anvilquery.Origin
	runners map[*leaf]*dispatcherRunner
	queries map[*anvilquery.Query]*query
	budgets map[anvilmodel.ServiceName]*budgetMeters
	// outstanding holds the calls without an outcome, by attempt number.
	outstanding map[int]*outstandingCall
}

// outstandingCall is a call of this origin that was sent to a dispatcher. If a
// baseline with fixed hedging sent a copy of it, copyRunner is the dispatcher of
// the copy.
type outstandingCall struct {
	call       anvilmodel.Call
	sentAt     time.Duration
	runner     *dispatcherRunner
	copyRunner *dispatcherRunner
	// openCalls counts how many of the original and the copy have no outcome yet.
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
	n.origin.SetLeaves(sim.leafConfigs)
	return n
}

// startDispatchers starts the dispatchers that are assigned to the node's slot.
func (n *node) startDispatchers() {
	sim := n.sim
	for _, l := range sim.leaves {
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

// stop ends the process, closes its connections to leaves and marks its unfinished
// queries as lost.
func (n *node) stop() {
	n.dead = true
	n.advertised = false
	for _, l := range n.sim.leaves {
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

// observeState passes the state that a leaf reported to the origin.
func (n *node) observeState(state anvilmodel.LeafState) {
	n.origin.ObserveState(state, n.sim.clock.time())
}

// exchangeState sends the other nodes the state that a leaf reported and this
// node's assessment of the leaf, each at the next exchange with that node.
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

// sendCall sends a call of the origin to the dispatcher of its leaf.
func (n *node) sendCall(call *anvilmodel.Call) {
	sim := n.sim
	l := sim.leavesByName[call.Leaf]
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

// sendToDispatcher sends a call to a dispatcher on the stream to its node. If the
// node's process has ended, its VM refuses the call; if the VM is lost, there is
// no response.
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

// cancelCall cancels an outstanding call and its copy, if there is one.
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

// sendReply sends a reply from a dispatcher of this node to the origin of the call.
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

// handleReply passes a reply to the origin of this node.
func (n *node) handleReply(reply anvilmodel.CallReply) {
	if n.dead {
		return
	}
	if oc := n.outstanding[reply.ID.Attempt]; oc != nil && !n.completeCall(oc, &reply) {
		return
	}
	sim := n.sim
	originQuery, actions := n.origin.HandleReply(reply, sim.clock.time(), sim.queryActions[:0])
	q := n.queries[originQuery]
	if q != nil && q.measured && reply.Result == anvilmodel.CallShed {
		q.result.ShedCalls++
	}
	n.executeActions(q, actions)
}

// completeCall records the outcome of an outstanding call, and reports whether to
// pass the reply to the origin.
func (n *node) completeCall(oc *outstandingCall, reply *anvilmodel.CallReply) bool {
	oc.openCalls--
	if oc.copyRunner != nil && !n.completeCopiedCall(oc, reply) {
		return false
	}
	delete(n.outstanding, reply.ID.Attempt)
	return true
}

// dispatcherConfig returns the rank and the settings of node n as a dispatcher of
// leaf l, or false if n does not dispatch for l.
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
