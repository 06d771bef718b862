package anvilbench

import (
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// State polls, as a node makes them.
const (
	pollInterval = 500 * time.Millisecond
	// backupPollFactor slows the polls of candidates that do not dispatch.
	backupPollFactor = 4
)

// runner carries out the actions of the dispatcher of one leaf at one node.
type dispatcherRunner struct {
	node        *node
	leaf        *leaf
	dispatcher  *anvilleaf.Dispatcher
	connections map[int]*connection
	timer       timer
	// tick is made once, because the alarm is set with every event.
	tick func()
}

// connection is one connection of a runner to a process of its leaf.
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

// away is the delay between the runner's node and its leaf.
func (r *dispatcherRunner) leafDelay() time.Duration {
	return r.node.sim.network.domainDelay(r.node.domain, r.leaf.config.FailureDomain)
}

func (r *dispatcherRunner) armTimer() {
	r.timer.arm(&r.node.sim.clock, r.dispatcher.Next(), r.tick)
}

// do carries out actions in their order. Everything that leads back to a core
// goes through the clock.
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

// submit hands a call to the dispatcher.
func (r *dispatcherRunner) submit(call anvilmodel.Call) {
	sim := r.node.sim
	r.executeActions(r.dispatcher.Submit(call, sim.clock.time(), sim.leafActions[:0]))
}

// cancelled hands a cancellation of an origin to the dispatcher.
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

// broken reports a call whose connection ended.
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
		r.executeActions(r.dispatcher.Done(o, sim.clock.time(), sim.leafActions[:0]))
	}
}

// cancel asks the leaf to stop a call, over the control connection.
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

// open connects and reads the leaf's state over the new connection. An
// unreachable leaf gives no sign.
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
		r.executeActions(r.dispatcher.Opened(number, c.process.incarnation, sim.clock.time(), sim.leafActions[:0]))
	})
}

func (r *dispatcherRunner) closeConnection(number int) {
	if c := r.connections[number]; c != nil {
		r.node.sim.clock.scheduleAfter(0, func() { r.finishClose(c) })
	}
}

// closedNow ends a connection at this side and tells the dispatcher.
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
	r.executeActions(r.dispatcher.Closed(c.number, sim.clock.time(), sim.leafActions[:0]))
}

// breakOff is the end of a connection by the leaf.
func (c *connection) closeFromLeaf() {
	r := c.runner
	r.node.sim.clock.scheduleAfter(r.leafDelay(), func() {
		if !c.silent {
			r.finishClose(c)
		}
	})
}

// replied carries a reply of the leaf back.
func (c *connection) carryReply(reply anvilmodel.CallReply) {
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

// poll reads the leaf's state, tells the node, and reports whether to go on.
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
		r.executeActions(r.dispatcher.ObserveState(state, sim.clock.time(), sim.leafActions[:0]))
		r.node.observeState(state)
		r.node.exchangeState(r, state)
	})
	return true
}

// adopt takes another candidate's judgement.
func (r *dispatcherRunner) adoptAssessment(state anvilmodel.LeafState) {
	sim := r.node.sim
	r.executeActions(r.dispatcher.AdoptJudgement(state, sim.clock.time(), sim.leafActions[:0]))
}
