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
type runner struct {
	node        *node
	leaf        *leaf
	dispatcher  *anvilleaf.Dispatcher
	connections map[int]*connection
	alarm       alarm
	// tick is made once, because the alarm is set with every event.
	tick func()
}

// connection is one connection of a runner to a process of its leaf.
type connection struct {
	runner  *runner
	number  int
	process *process
	closed  bool
	silent  bool
}

func newRunner(n *node, l *leaf, rank int, c anvilleaf.Config) *runner {
	f := n.fleet
	r := &runner{
		node:        n,
		leaf:        l,
		dispatcher:  anvilleaf.New(c, f.clock.time()),
		connections: make(map[int]*connection),
	}
	r.tick = func() {
		if !n.dead {
			r.do(r.dispatcher.Tick(f.clock.time(), f.leafActions[:0]))
		}
	}
	interval := pollInterval
	if rank > 0 {
		interval *= backupPollFactor
	}
	first := time.Duration(f.random.Int64N(int64(interval)))
	f.clock.every(first, interval, func() bool { return r.poll() })
	r.arm()
	return r
}

// away is the delay between the runner's node and its leaf.
func (r *runner) away() time.Duration {
	return r.node.fleet.network.between(r.node.domain, r.leaf.config.FailureDomain)
}

func (r *runner) arm() {
	r.alarm.arm(&r.node.fleet.clock, r.dispatcher.Next(), r.tick)
}

// do carries out actions in their order. Everything that leads back to a core
// goes through the clock.
func (r *runner) do(actions []anvilleaf.Action) {
	r.node.fleet.leafActions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case anvilleaf.ActionStart:
			r.start(a)
		case anvilleaf.ActionReply:
			r.node.replyTo(a.Reply)
		case anvilleaf.ActionCancel:
			r.cancel(a.ID, a.Connection)
		case anvilleaf.ActionOpen:
			r.open(a.Connection)
		case anvilleaf.ActionClose:
			r.close(a.Connection)
		}
	}
	r.arm()
}

// submit hands a call to the dispatcher.
func (r *runner) submit(call anvilmodel.Call) {
	f := r.node.fleet
	r.do(r.dispatcher.Submit(call, f.clock.time(), f.leafActions[:0]))
}

// cancelled hands a cancellation of an origin to the dispatcher.
func (r *runner) cancelled(id anvilmodel.CallID) {
	f := r.node.fleet
	r.do(r.dispatcher.Cancel(id, f.clock.time(), f.leafActions[:0]))
}

func (r *runner) start(a *anvilleaf.Action) {
	f := r.node.fleet
	c := r.connections[a.Connection]
	call := a.Call
	if c == nil || c.closed {
		f.clock.after(0, func() { r.broken(call.ID, a.Connection, false) })
		return
	}
	f.clock.after(r.away(), func() {
		if !c.silent && !c.process.dead && !r.leaf.unreachable {
			c.process.arrive(c, call)
		}
	})
}

// broken reports a call whose connection ended.
func (r *runner) broken(id anvilmodel.CallID, number int, written bool) {
	r.done(anvilleaf.Outcome{
		Reply: anvilmodel.CallReply{
			ID:     id,
			Leaf:   r.leaf.config.Name,
			Result: anvilmodel.CallBroken,
		},
		Connection: number,
		Written:    written,
	})
}

func (r *runner) done(o anvilleaf.Outcome) {
	if f := r.node.fleet; !r.node.dead {
		r.do(r.dispatcher.Done(o, f.clock.time(), f.leafActions[:0]))
	}
}

// cancel asks the leaf to stop a call, over the control connection.
func (r *runner) cancel(id anvilmodel.CallID, number int) {
	c := r.connections[number]
	if c == nil || c.process == nil {
		return
	}
	r.node.fleet.clock.after(r.away(), func() {
		if !c.process.dead && !r.leaf.unreachable {
			c.process.cancel(id)
		}
	})
}

// open connects and reads the leaf's state over the new connection. An
// unreachable leaf gives no sign.
func (r *runner) open(number int) {
	f := r.node.fleet
	c := &connection{
		runner: r,
		number: number,
	}
	r.connections[number] = c
	f.clock.after(r.leaf.service.ConnectTime+r.away(), func() {
		if c.closed || r.node.dead || r.leaf.unreachable {
			return
		}
		c.process = r.leaf.accept(c)
		if c.process == nil {
			f.result.ConnectionsRefused++
			r.closedNow(c)
			return
		}
		r.do(r.dispatcher.Opened(number, c.process.incarnation, f.clock.time(), f.leafActions[:0]))
	})
}

func (r *runner) close(number int) {
	if c := r.connections[number]; c != nil {
		r.node.fleet.clock.after(0, func() { r.closedNow(c) })
	}
}

// closedNow ends a connection at this side and tells the dispatcher.
func (r *runner) closedNow(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	if c.process != nil {
		c.process.forget(c)
	}
	if r.node.dead || r.connections[c.number] != c {
		return
	}
	delete(r.connections, c.number)
	f := r.node.fleet
	r.do(r.dispatcher.Closed(c.number, f.clock.time(), f.leafActions[:0]))
}

// breakOff is the end of a connection by the leaf.
func (c *connection) breakOff() {
	r := c.runner
	r.node.fleet.clock.after(r.away(), func() {
		if !c.silent {
			r.closedNow(c)
		}
	})
}

// replied carries a reply of the leaf back.
func (c *connection) replied(reply anvilmodel.CallReply) {
	r := c.runner
	r.node.fleet.clock.after(r.away(), func() {
		if c.closed || c.silent || r.leaf.unreachable {
			return
		}
		r.done(anvilleaf.Outcome{
			Reply:      reply,
			Connection: c.number,
			Written:    true,
		})
	})
}

// poll reads the leaf's state, tells the node, and reports whether to go on.
func (r *runner) poll() bool {
	f := r.node.fleet
	if r.node.dead {
		return false
	}
	f.clock.after(2*r.away(), func() {
		if r.node.dead || r.leaf.unreachable || r.leaf.process.dead {
			return
		}
		state := r.leaf.process.state()
		r.do(r.dispatcher.ObserveState(state, f.clock.time(), f.leafActions[:0]))
		r.node.observe(state)
		r.node.passOn(r, state)
	})
	return true
}

// adopt takes another candidate's judgement.
func (r *runner) adopt(state anvilmodel.LeafState) {
	f := r.node.fleet
	r.do(r.dispatcher.AdoptJudgement(state, f.clock.time(), f.leafActions[:0]))
}
