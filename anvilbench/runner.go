package anvilbench

import (
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// Intervals at which a node polls the state of its leaves.
const (
	pollInterval = 500 * time.Millisecond
	// backupPollFactor multiplies the poll interval of candidates other than the
	// first, which do not normally dispatch.
	backupPollFactor = 4
)

// dispatcherRunner runs the dispatcher of one leaf at one node and executes its
// actions.
type dispatcherRunner struct {
	node        *node
	leaf        *leaf
	dispatcher  *anvilleaf.Dispatcher
	connections map[int]*connection
	timer       timer
	// tick is allocated once, because the timer is armed with every event.
	tick func()
}

// connection is a connection of a dispatcher to a process of its leaf.
type connection struct {
	runner  *dispatcherRunner
	number  int
	process *process
	closed  bool
	silent  bool
}

func newDispatcherRunner(n *node, l *leaf, rank int, c anvilleaf.Config) *dispatcherRunner {
	sim := n.sim
	r := &dispatcherRunner{
		node:        n,
		leaf:        l,
		dispatcher:  anvilleaf.New(c, sim.clock.time()),
		connections: make(map[int]*connection),
	}
	r.tick = func() {
		if !n.dead {
			r.executeActions(r.dispatcher.Tick(sim.clock.time(), sim.leafActions[:0]))
		}
	}
	interval := pollInterval
	if rank > 0 {
		interval *= backupPollFactor
	}
	firstPoll := time.Duration(sim.miscRandom.Int64N(int64(interval)))
	sim.clock.scheduleEvery(firstPoll, interval, func() bool { return r.pollState() })
	r.armTimer()
	return r
}

// leafDelay returns the delay of a message between the node and the leaf.
func (r *dispatcherRunner) leafDelay() time.Duration {
	return r.node.sim.network.domainDelay(r.node.domain, r.leaf.config.FailureDomain)
}

func (r *dispatcherRunner) armTimer() {
	r.timer.arm(&r.node.sim.clock, r.dispatcher.NextTick(), r.tick)
}

// executeActions executes actions in order. Calls back into a state machine are
// scheduled as events, so that they do not overwrite the action buffers.
func (r *dispatcherRunner) executeActions(actions []anvilleaf.Action) {
	r.node.sim.leafActions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case anvilleaf.ActionStart:
			r.startCall(a)
		case anvilleaf.ActionReply:
			r.node.sendReply(a.Reply)
		case anvilleaf.ActionCancel:
			r.sendCancel(a.ID, a.Connection)
		case anvilleaf.ActionOpen:
			r.openConnection(a.Connection)
		case anvilleaf.ActionClose:
			r.closeConnection(a.Connection)
		}
	}
	r.armTimer()
}

// submit passes a call to the dispatcher.
func (r *dispatcherRunner) submit(call anvilmodel.Call) {
	sim := r.node.sim
	r.executeActions(r.dispatcher.Submit(call, sim.clock.time(), sim.leafActions[:0]))
}

// cancelCall passes the cancellation of a call by its origin to the dispatcher.
func (r *dispatcherRunner) cancelCall(id anvilmodel.CallID) {
	sim := r.node.sim
	r.executeActions(r.dispatcher.Cancel(id, sim.clock.time(), sim.leafActions[:0]))
}

func (r *dispatcherRunner) startCall(a *anvilleaf.Action) {
	sim := r.node.sim
	c := r.connections[a.Connection]
	call := a.Call
	if c == nil || c.closed {
		sim.clock.scheduleAfter(0, func() { r.reportBroken(call.ID, a.Connection, false) })
		return
	}
	sim.clock.scheduleAfter(r.leafDelay(), func() {
		if !c.silent && !c.process.dead && !r.leaf.unreachable {
			c.process.receive(c, call)
		}
	})
}

// reportBroken tells the dispatcher that the connection of a call was closed.
func (r *dispatcherRunner) reportBroken(id anvilmodel.CallID, number int, written bool) {
	r.reportOutcome(anvilleaf.Outcome{
		Reply: anvilmodel.CallReply{
			ID:     id,
			Leaf:   r.leaf.config.Name,
			Result: anvilmodel.CallBroken,
		},
		Connection: number,
		Written:    written,
	})
}

func (r *dispatcherRunner) reportOutcome(o anvilleaf.Outcome) {
	if sim := r.node.sim; !r.node.dead {
		r.executeActions(r.dispatcher.CallFinished(o, sim.clock.time(), sim.leafActions[:0]))
	}
}

// sendCancel asks the leaf to cancel a call, over the control connection.
func (r *dispatcherRunner) sendCancel(id anvilmodel.CallID, number int) {
	c := r.connections[number]
	if c == nil || c.process == nil {
		return
	}
	r.node.sim.clock.scheduleAfter(r.leafDelay(), func() {
		if !c.process.dead && !r.leaf.unreachable {
			c.process.cancel(id)
		}
	})
}

// openConnection connects to the leaf and learns the incarnation of its process.
// An unreachable leaf sends no response.
func (r *dispatcherRunner) openConnection(number int) {
	sim := r.node.sim
	c := &connection{
		runner: r,
		number: number,
	}
	r.connections[number] = c
	sim.clock.scheduleAfter(r.leaf.service.ConnectTime+r.leafDelay(), func() {
		if c.closed || r.node.dead || r.leaf.unreachable {
			return
		}
		c.process = r.leaf.acceptConnection(c)
		if c.process == nil {
			sim.result.ConnectionsRefused++
			r.finishClose(c)
			return
		}
		r.executeActions(r.dispatcher.ConnectionOpened(number, c.process.incarnation, sim.clock.time(), sim.leafActions[:0]))
	})
}

func (r *dispatcherRunner) closeConnection(number int) {
	if c := r.connections[number]; c != nil {
		r.node.sim.clock.scheduleAfter(0, func() { r.finishClose(c) })
	}
}

// finishClose closes a connection at this end and notifies the dispatcher.
func (r *dispatcherRunner) finishClose(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	if c.process != nil {
		c.process.removeConnection(c)
	}
	if r.node.dead || r.connections[c.number] != c {
		return
	}
	delete(r.connections, c.number)
	sim := r.node.sim
	r.executeActions(r.dispatcher.ConnectionClosed(c.number, sim.clock.time(), sim.leafActions[:0]))
}

// closeFromLeaf closes a connection from the leaf's end.
func (c *connection) closeFromLeaf() {
	r := c.runner
	r.node.sim.clock.scheduleAfter(r.leafDelay(), func() {
		if !c.silent {
			r.finishClose(c)
		}
	})
}

// sendReply sends a reply from the leaf to the dispatcher.
func (c *connection) sendReply(reply anvilmodel.CallReply) {
	r := c.runner
	r.node.sim.clock.scheduleAfter(r.leafDelay(), func() {
		if c.closed || c.silent || r.leaf.unreachable {
			return
		}
		r.reportOutcome(anvilleaf.Outcome{
			Reply:      reply,
			Connection: c.number,
			Written:    true,
		})
	})
}

// pollState reads the leaf's state and passes it to the dispatcher and the nodes.
// It reports whether to continue polling.
func (r *dispatcherRunner) pollState() bool {
	sim := r.node.sim
	if r.node.dead {
		return false
	}
	sim.clock.scheduleAfter(2*r.leafDelay(), func() {
		if r.node.dead || r.leaf.unreachable || r.leaf.process.dead {
			return
		}
		state := r.leaf.process.state()
		r.executeActions(r.dispatcher.ObserveLeafState(state, sim.clock.time(), sim.leafActions[:0]))
		r.node.observeState(state)
		r.node.exchangeState(r, state)
	})
	return true
}

// adoptAssessment passes another candidate's assessment of the leaf to the
// dispatcher.
func (r *dispatcherRunner) adoptAssessment(state anvilmodel.LeafState) {
	sim := r.node.sim
	r.executeActions(r.dispatcher.ObservePeerState(state, sim.clock.time(), sim.leafActions[:0]))
}
