package anvilleaf_test

import (
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// newNode returns a node in front of a leaf that accepts one call while it is
// cold. Every call takes 5 ms.
func newNode(slots int, quiet time.Duration) *node {
	s := newSim(1, slots, true)
	s.service = func() time.Duration { return service }
	return s.addNode(anvilleaf.Config{
		Slots:        slots,
		Share:        share(5, 1),
		ColdDuration: time.Second,
		QuietPeriod:  quiet,
	})
}

// newWarmNode returns a node after 50 successful calls to a warm leaf.
func newWarmNode(slots int) *node {
	n := newNode(slots, 0)
	n.observePeerState(10, false, 0)
	for range 50 {
		n.submitCalls(1)
		n.sim.runFor(10 * time.Millisecond)
	}
	return n
}

// submitCalls submits calls of priority 1 and returns their ids.
func (n *node) submitCalls(count int) []anvilmodel.CallID {
	var ids []anvilmodel.CallID
	for range count {
		ids = append(ids, n.submit(timeout, 1, false))
	}
	return ids
}

// refused reports whether the dispatcher refused a call as not-run with a
// retry-after time.
func (n *node) refused(id anvilmodel.CallID) bool {
	r := n.lastReply[id]
	return n.connectionOf[id] == 0 && r.Result == anvilmodel.CallShed && r.RunState == notRun && r.RetryAfter > 0
}

func (n *node) status() anvilleaf.Status { return n.dispatcher.Status(n.sim.now) }

func (n *node) silenceConnections() {
	for _, c := range n.connections {
		c.silent = true
	}
}

// node is a dispatcher with a simulated owner.
type node struct {
	sim         *sim
	config      anvilleaf.Config
	dispatcher  *anvilleaf.Dispatcher
	number      anvilmodel.Incarnation
	stopped     bool
	pausedUntil time.Time
	nextTick    time.Time
	// replaced is set when another process occupies the node's slot. The node
	// is then no longer told that it is in contact.
	replaced       bool
	isolated       bool
	connections    map[int]*fakeConnection
	maxConnections int
	calls          map[anvilmodel.CallID]anvilmodel.Call
	submitted      map[anvilmodel.CallID]time.Time
	// violations counts replies after the deadline, and calls started with less
	// time than the shortest recent service time.
	violations   int
	connectionOf map[anvilmodel.CallID]int
	replyCounts  map[anvilmodel.CallID]int
	lastReply    map[anvilmodel.CallID]anvilmodel.CallReply
	// latencies holds the time from submission to the reply.
	latencies map[anvilmodel.CallID]time.Duration
}

// fakeConnection is a connection to the simulated leaf; call is set while a
// call is running on it.
type fakeConnection struct {
	process *leafProcess
	silent  bool
	closed  bool
	written bool
	call    *anvilmodel.CallID
}

func (s *sim) addNode(c anvilleaf.Config) *node {
	n := &node{
		sim:          s,
		config:       c,
		dispatcher:   anvilleaf.New(c, s.now),
		connections:  map[int]*fakeConnection{},
		number:       anvilmodel.Incarnation(len(s.nodes)),
		calls:        map[anvilmodel.CallID]anvilmodel.Call{},
		submitted:    map[anvilmodel.CallID]time.Time{},
		connectionOf: map[anvilmodel.CallID]int{},
		replyCounts:  map[anvilmodel.CallID]int{},
		lastReply:    map[anvilmodel.CallID]anvilmodel.CallReply{},
		latencies:    map[anvilmodel.CallID]time.Duration{},
	}
	s.nodes = append(s.nodes, n)
	n.tick()
	return n
}

// runWhenResumed runs an event of the node's process, at the end of its pause
// if it is paused.
func (n *node) runWhenResumed(run func()) {
	if wait := n.pausedUntil.Sub(n.sim.now); wait > 0 {
		n.sim.after(wait, func() { n.runWhenResumed(run) })
		return
	}
	if !n.stopped {
		run()
	}
}

func (n *node) tick() {
	n.nextTick = time.Time{}
	n.execute(n.dispatcher.Tick(n.sim.now, nil))
	if !n.replaced {
		n.execute(n.dispatcher.SetIsolated(n.isolated, n.sim.now, nil))
	}
}

// scheduleTick schedules the tick that the dispatcher requests.
func (n *node) scheduleTick() {
	next := n.dispatcher.NextTick()
	if n.nextTick.IsZero() || next.Before(n.nextTick) {
		n.nextTick = next
		n.sim.after(next.Sub(n.sim.now), func() { n.runWhenResumed(n.tick) })
	}
}

// submit submits a call and returns its id.
func (n *node) submit(timeout time.Duration, priority int, hedge bool) anvilmodel.CallID {
	c := anvilmodel.Call{
		ID: anvilmodel.CallID{
			Origin:  n.number,
			Attempt: len(n.calls),
		},
		Timeout:  timeout,
		Priority: priority,
		Hedge:    hedge,
	}
	n.calls[c.ID] = c
	n.submitted[c.ID] = n.sim.now
	n.execute(n.dispatcher.Submit(c, n.sim.now, nil))
	return c.ID
}

// observePeerState passes the state that another candidate derived,
// observeLeafState the one that the leaf reports.
func (n *node) observePeerState(i anvilmodel.Incarnation, cold bool, age time.Duration) {
	n.execute(n.dispatcher.ObservePeerState(leafState(i, cold, false, age), n.sim.now, nil))
}

func (n *node) observeLeafState(i anvilmodel.Incarnation, cold, draining bool, age time.Duration) {
	n.execute(n.dispatcher.ObserveLeafState(leafState(i, cold, draining, age), n.sim.now, nil))
}

func leafState(i anvilmodel.Incarnation, cold, draining bool, age time.Duration) anvilmodel.LeafState {
	return anvilmodel.LeafState{
		Incarnation: i,
		Cold:        cold,
		Draining:    draining,
		Age:         age,
	}
}

// finishCall reports the end of a call as the owner does.
func (n *node) finishCall(id anvilmodel.CallID, r anvilmodel.CallResult, runState anvilmodel.RunState, i anvilmodel.Incarnation, written bool) {
	n.execute(n.dispatcher.CallFinished(anvilleaf.Outcome{
		Reply: anvilmodel.CallReply{
			ID:          id,
			Result:      r,
			RunState:    runState,
			Incarnation: i,
			Cold:        n.sim.reportsCold,
		},
		Connection: n.connectionOf[id],
		Written:    written,
	}, n.sim.now, nil))
}

func (n *node) execute(actions []anvilleaf.Action) {
	for _, a := range actions {
		switch a.Kind {
		case anvilleaf.ActionReply:
			n.replyCounts[a.ID]++
			n.lastReply[a.ID] = a.Reply
			n.latencies[a.ID] = n.sim.now.Sub(n.submitted[a.ID])
			if n.latencies[a.ID] > n.calls[a.ID].Timeout+1 {
				n.violations++
			}
		case anvilleaf.ActionOpen:
			n.openConnection(a.Connection)
		case anvilleaf.ActionClose:
			n.breakConnection(a.Connection)
		case anvilleaf.ActionStart:
			n.startCall(a)
		case anvilleaf.ActionCancel:
			n.cancelCall(a.ID)
		}
	}
	n.scheduleTick()
}

func (n *node) openConnection(number int) {
	c := &fakeConnection{}
	n.connections[number] = c
	n.maxConnections = max(n.maxConnections, len(n.connections))
	s := n.sim
	s.after(4*s.delay, func() {
		c.process = s.leaf
		incarnation := c.process.incarnation
		if s.skipsInitialState {
			incarnation = 0
		}
		n.runWhenResumed(func() {
			if !c.closed {
				n.execute(n.dispatcher.ConnectionOpened(number, incarnation, s.now, nil))
			}
		})
	})
}

// breakConnection closes a connection and first reports a call on it as broken.
func (n *node) breakConnection(number int) {
	c := n.connections[number]
	if c.closed {
		return
	}
	c.closed = true
	n.sim.after(n.sim.delay, func() {
		n.runWhenResumed(func() {
			if c.call != nil {
				n.finishCall(*c.call, anvilmodel.CallBroken, unknown, 0, c.written)
			}
			delete(n.connections, number)
			n.execute(n.dispatcher.ConnectionClosed(number, n.sim.now, nil))
		})
	})
}

func (n *node) startCall(a anvilleaf.Action) {
	s, c := n.sim, n.connections[a.Connection]
	n.connectionOf[a.ID] = a.Connection
	c.call = &a.ID
	if a.Call.Timeout < n.dispatcher.Status(s.now).MinServiceTime {
		n.violations++
	}
	c.written = !c.closed
	if c.silent || c.closed {
		return
	}
	p := c.process
	call := &leafCall{
		id:       a.ID,
		runState: notRun,
	}
	call.answer = func(r anvilmodel.CallResult) {
		s.after(s.delay, func() {
			n.runWhenResumed(func() {
				if !c.closed && !c.silent && c.call == &a.ID {
					c.call = nil
					n.finishCall(a.ID, r, call.runState, p.incarnation, true)
				}
			})
		})
	}
	s.after(s.delay+s.extraDelay(), func() { s.receiveCall(p, call, a.Call.Timeout) })
}

func (n *node) cancelCall(id anvilmodel.CallID) {
	s := n.sim
	s.after(s.delay+s.extraDelay(), func() { s.endCall(s.leaf, id, anvilmodel.CallCancelled) })
}
