package anvilleaf_test

import (
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// newNode returns a node in front of a leaf that takes one call while it
// is cold. Every call takes 5 ms.
func newNode(slots int, quiet time.Duration) *node {
	s := newSim(1, slots, true)
	s.service = func() time.Duration { return service }
	return s.add(anvilleaf.Config{
		Slots:        slots,
		Share:        share(5, 1),
		ColdDuration: time.Second,
		QuietPeriod:  quiet,
	})
}

// newWarmNode returns a node that has answered good calls of a warm leaf.
func newWarmNode(slots int) *node {
	n := newNode(slots, 0)
	n.adopt(10, false, 0)
	for range 50 {
		n.send(1)
		n.sim.runFor(10 * time.Millisecond)
	}
	return n
}

// send submits calls of priority 1 and returns their ids.
func (n *node) send(count int) []anvilmodel.CallID {
	var ids []anvilmodel.CallID
	for range count {
		ids = append(ids, n.submit(timeout, 1, false))
	}
	return ids
}

// refused reports whether a call was answered not-run by the dispatcher, with
// a time to retry after.
func (n *node) refused(id anvilmodel.CallID) bool {
	r := n.last[id]
	return n.on[id] == 0 && r.Result == anvilmodel.CallShed && r.RunState == notRun && r.RetryAfter > 0
}

func (n *node) status() anvilleaf.Status { return n.d.Status(n.sim.now) }

func (n *node) silence() {
	for _, w := range n.connections {
		w.silent = true
	}
}

// node is a dispatcher with its edge.
type node struct {
	sim         *sim
	config      anvilleaf.Config
	d           *anvilleaf.Dispatcher
	number      anvilmodel.Incarnation
	dead        bool
	pausedUntil time.Time
	armed       time.Time
	// replaced is set once another process has its slot; nothing then tells it
	// that it is in contact.
	replaced    bool
	isolated    bool
	connections map[int]*wire
	most        int
	calls       map[anvilmodel.CallID]anvilmodel.Call
	submitted   map[anvilmodel.CallID]time.Time
	// wrong counts replies after the deadline, and calls started with less
	// time than any call took lately.
	wrong int
	// on holds the connection of each started call.
	on      map[anvilmodel.CallID]int
	replies map[anvilmodel.CallID]int
	last    map[anvilmodel.CallID]anvilmodel.CallReply
	// took holds the time from submission to the reply.
	took map[anvilmodel.CallID]time.Duration
}

// wire is a connection; call is set while a call is on it.
type wire struct {
	process *process
	silent  bool
	closed  bool
	written bool
	call    *anvilmodel.CallID
}

func (s *sim) add(c anvilleaf.Config) *node {
	n := &node{
		sim:         s,
		config:      c,
		d:           anvilleaf.New(c, s.now),
		connections: map[int]*wire{},
		number:      anvilmodel.Incarnation(len(s.nodes)),
		calls:       map[anvilmodel.CallID]anvilmodel.Call{},
		submitted:   map[anvilmodel.CallID]time.Time{},
		on:          map[anvilmodel.CallID]int{},
		replies:     map[anvilmodel.CallID]int{},
		last:        map[anvilmodel.CallID]anvilmodel.CallReply{},
		took:        map[anvilmodel.CallID]time.Duration{},
	}
	s.nodes = append(s.nodes, n)
	n.tick()
	return n
}

// when runs an event of the node's process, after its pause if it is in one.
func (n *node) when(run func()) {
	if wait := n.pausedUntil.Sub(n.sim.now); wait > 0 {
		n.sim.after(wait, func() { n.when(run) })
		return
	}
	if !n.dead {
		run()
	}
}

func (n *node) tick() {
	n.armed = time.Time{}
	n.do(n.d.Tick(n.sim.now, nil))
	if !n.replaced {
		n.do(n.d.SetIsolated(n.isolated, n.sim.now, nil))
	}
}

// arm keeps a tick scheduled for when the dispatcher wants it.
func (n *node) arm() {
	next := n.d.NextTick()
	if n.armed.IsZero() || next.Before(n.armed) {
		n.armed = next
		n.sim.after(next.Sub(n.sim.now), func() { n.when(n.tick) })
	}
}

// submit hands a call over and returns its id.
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
	n.do(n.d.Submit(c, n.sim.now, nil))
	return c.ID
}

// adopt hands over another candidate's judgement, observe what the leaf says.
func (n *node) adopt(i anvilmodel.Incarnation, cold bool, age time.Duration) {
	n.do(n.d.ObservePeerState(stated(i, cold, false, age), n.sim.now, nil))
}

func (n *node) observe(i anvilmodel.Incarnation, cold, draining bool, age time.Duration) {
	n.do(n.d.ObserveLeafState(stated(i, cold, draining, age), n.sim.now, nil))
}

func stated(i anvilmodel.Incarnation, cold, draining bool, age time.Duration) anvilmodel.LeafState {
	return anvilmodel.LeafState{
		Incarnation: i,
		Cold:        cold,
		Draining:    draining,
		Age:         age,
	}
}

// done reports the end of a call as the edge does.
func (n *node) done(id anvilmodel.CallID, r anvilmodel.CallResult, said anvilmodel.RunState, i anvilmodel.Incarnation, written bool) {
	n.do(n.d.CallFinished(anvilleaf.Outcome{
		Reply: anvilmodel.CallReply{
			ID:          id,
			Result:      r,
			RunState:    said,
			Incarnation: i,
			Cold:        n.sim.saysCold,
		},
		Connection: n.on[id],
		Written:    written,
	}, n.sim.now, nil))
}

func (n *node) do(actions []anvilleaf.Action) {
	for _, a := range actions {
		switch a.Kind {
		case anvilleaf.ActionReply:
			n.replies[a.ID]++
			n.last[a.ID] = a.Reply
			n.took[a.ID] = n.sim.now.Sub(n.submitted[a.ID])
			if n.took[a.ID] > n.calls[a.ID].Timeout+1 {
				n.wrong++
			}
		case anvilleaf.ActionOpen:
			n.open(a.Connection)
		case anvilleaf.ActionClose:
			n.lose(a.Connection)
		case anvilleaf.ActionStart:
			n.start(a)
		case anvilleaf.ActionCancel:
			n.cancel(a.ID)
		}
	}
	n.arm()
}

func (n *node) open(number int) {
	w := &wire{}
	n.connections[number] = w
	n.most = max(n.most, len(n.connections))
	s := n.sim
	s.after(4*s.delay, func() {
		w.process = s.leaf
		read := w.process.incarnation
		if s.blind {
			read = 0
		}
		n.when(func() {
			if !w.closed {
				n.do(n.d.ConnectionOpened(number, read, s.now, nil))
			}
		})
	})
}

// lose closes a connection, and reports a call on it as broken first.
func (n *node) lose(number int) {
	w := n.connections[number]
	if w.closed {
		return
	}
	w.closed = true
	n.sim.after(n.sim.delay, func() {
		n.when(func() {
			if w.call != nil {
				n.done(*w.call, anvilmodel.CallBroken, unknown, 0, w.written)
			}
			delete(n.connections, number)
			n.do(n.d.ConnectionClosed(number, n.sim.now, nil))
		})
	})
}

func (n *node) start(a anvilleaf.Action) {
	s, w := n.sim, n.connections[a.Connection]
	n.on[a.ID] = a.Connection
	w.call = &a.ID
	if a.Call.Timeout < n.d.Status(s.now).MinServiceTime {
		n.wrong++
	}
	w.written = !w.closed
	if w.silent || w.closed {
		return
	}
	p := w.process
	k := &work{
		id:  a.ID,
		ran: notRun,
	}
	k.answer = func(r anvilmodel.CallResult) {
		s.after(s.delay, func() {
			n.when(func() {
				if !w.closed && !w.silent && w.call == &a.ID {
					w.call = nil
					n.done(a.ID, r, k.ran, p.incarnation, true)
				}
			})
		})
	}
	s.after(s.delay+s.lag(), func() { s.arrive(p, k, a.Call.Timeout) })
}

func (n *node) cancel(id anvilmodel.CallID) {
	s := n.sim
	s.after(s.delay+s.lag(), func() { s.end(s.leaf, id, anvilmodel.CallCancelled) })
}
