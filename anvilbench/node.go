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
	fleet       *fleet
	index       int
	slot        anvilmodel.SlotName
	domain      anvilmodel.FailureDomain
	incarnation anvilmodel.Incarnation
	dead        bool
	// refuses is set when the process ended on a VM that goes on.
	refuses bool
	// named is set while callers send queries here.
	named bool
	// usable says by index which nodes this one believes usable.
	usable  []bool
	relays  []relay
	origin  *anvilquery.Origin
	runners map[*leaf]*runner
	queries map[*anvilquery.Query]*query
	meters  map[anvilmodel.ServiceName]*meters
	// routes says by attempt where an outstanding call went.
	routes map[int]*route
}

// route is where a call of this origin went. Copy is the runner of a second call
// that a baseline made outside of the query core.
type route struct {
	call   anvilmodel.Call
	sentAt time.Duration
	runner *runner
	copy   *runner
	// open counts calls without an outcome.
	open int
}

func (f *fleet) newNode(index int, incarnation anvilmodel.Incarnation) *node {
	d := &f.scenario.Deployment
	n := &node{
		fleet:       f,
		index:       index,
		slot:        slotName(index),
		domain:      d.Nodes[index],
		incarnation: incarnation,
		named:       true,
		usable:      make([]bool, len(d.Nodes)),
		relays:      make([]relay, len(d.Nodes)),
		runners:     make(map[*leaf]*runner),
		queries:     make(map[*anvilquery.Query]*query),
		meters:      make(map[anvilmodel.ServiceName]*meters),
		routes:      make(map[int]*route),
	}
	for i := range n.usable {
		n.usable[i] = true
	}
	n.origin = anvilquery.NewOrigin(anvilquery.Config{
		Incarnation: incarnation,
		Random:      rand.New(rand.NewPCG(f.seed, uint64(incarnation))),
	})
	n.origin.SetBudgets(f.variant.HedgeBudget, f.variant.RetryBudget)
	n.origin.SetLeafs(f.configured)
	return n
}

// begin starts the dispatchers that the slot has.
func (n *node) begin() {
	f := n.fleet
	for _, l := range f.leafs {
		rank, c, ok := f.dispatcherConfig(n, l)
		if !ok {
			continue
		}
		r := newRunner(n, l, rank, c)
		n.runners[l] = r
		f.runners[l.index][n.index] = r
		l.dispatchers++
	}
}

// end stops the process; its leafs see their connections closed.
func (n *node) end() {
	n.dead = true
	n.named = false
	for _, l := range n.fleet.leafs {
		r := n.runners[l]
		if r == nil {
			continue
		}
		l.dispatchers--
		for _, c := range r.connections {
			c.closed = true
			if c.process != nil {
				c.process.forget(c)
			}
		}
	}
	for _, q := range n.queries {
		q.lost = true
	}
}

// observe tells the origin what a leaf states.
func (n *node) observe(state anvilmodel.LeafState) {
	n.origin.ObserveState(state, n.fleet.clock.time())
}

// passOn tells the other nodes what a leaf states, and this node's judgement of
// it, at the next exchange.
func (n *node) passOn(r *runner, state anvilmodel.LeafState) {
	f := n.fleet
	judged, known := r.dispatcher.LeafState(f.clock.time())
	read := f.clock.now
	for _, m := range f.nodes {
		if m == n {
			continue
		}
		wait := time.Duration(f.random.Int64N(int64(exchangeInterval)))
		f.clock.after(wait+f.network.between(n.domain, m.domain), func() {
			if m.dead || n.dead {
				return
			}
			late := f.clock.now - read
			m.observe(aged(state, late))
			if other := m.runners[r.leaf]; other != nil && known {
				other.adopt(aged(judged, late))
			}
		})
	}
}

func aged(state anvilmodel.LeafState, late time.Duration) anvilmodel.LeafState {
	state.Age += late
	return state
}

// send routes a call of the origin to the node that dispatches for its leaf.
func (n *node) send(call *anvilmodel.Call) {
	f := n.fleet
	l := f.byName[call.Leaf]
	f.sent(call)
	n.count(call)
	to := f.dispatcherFor(n, l)
	if to == nil {
		reply := brokenReply(call)
		f.clock.after(0, func() { n.deliver(reply) })
		return
	}
	w := &route{
		call:   *call,
		sentAt: f.clock.now,
		runner: to,
		open:   1,
	}
	n.routes[call.ID.Attempt] = w
	n.transmit(w.call, to)
	if f.variant.FixedHedgeDelay > 0 {
		f.clock.after(f.variant.FixedHedgeDelay, func() { n.hedgeFixed(w) })
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
func (n *node) transmit(call anvilmodel.Call, to *runner) {
	f := n.fleet
	n.expect(to.node)
	f.clock.at(f.network.arrival(n, to.node, f.clock.now), func() {
		switch {
		case !to.node.dead:
			to.submit(call)
		case to.node.refuses:
			f.clock.at(f.network.arrival(to.node, n, f.clock.now), func() { n.refused(call.ID.Attempt, to) })
		}
	})
}

// cancel ends the calls of a route.
func (n *node) cancel(id anvilmodel.CallID) {
	w := n.routes[id.Attempt]
	if w == nil {
		return
	}
	delete(n.routes, id.Attempt)
	n.cancelAt(w.runner, id)
	if w.copy != nil {
		n.cancelAt(w.copy, id)
	}
}

func (n *node) cancelAt(r *runner, id anvilmodel.CallID) {
	f := n.fleet
	f.clock.at(f.network.arrival(n, r.node, f.clock.now), func() {
		if !r.node.dead {
			r.cancelled(id)
		}
	})
}

// replyTo carries a reply from a dispatcher of this node to its origin.
func (n *node) replyTo(reply anvilmodel.CallReply) {
	f := n.fleet
	to := f.byIncarnation[reply.ID.Origin]
	if to == nil {
		return
	}
	f.clock.at(f.network.arrival(n, to, f.clock.now), func() {
		to.heard(n)
		to.deliver(reply)
	})
}

// deliver hands a reply to the origin.
func (n *node) deliver(reply anvilmodel.CallReply) {
	if n.dead {
		return
	}
	if w := n.routes[reply.ID.Attempt]; w != nil && !n.settle(w, &reply) {
		return
	}
	f := n.fleet
	core, actions := n.origin.Handle(reply, f.clock.time(), f.queryActions[:0])
	q := n.queries[core]
	if q != nil && q.measured && reply.Result == anvilmodel.CallShed {
		q.stream.ShedCalls++
	}
	n.do(q, actions)
}

// settle ends a call of a route. It reports whether the reply is for the core.
func (n *node) settle(w *route, reply *anvilmodel.CallReply) bool {
	w.open--
	if w.copy != nil && !n.settleCopy(w, reply) {
		return false
	}
	delete(n.routes, reply.ID.Attempt)
	return true
}

// dispatcherConfig returns the settings of a dispatcher of a node for a leaf, or
// false if the node has none.
func (f *fleet) dispatcherConfig(n *node, l *leaf) (int, anvilleaf.Config, bool) {
	rank, share, ok := f.variant.share(f, n, l)
	c := anvilleaf.Config{
		Leaf:         l.config.Name,
		Slots:        l.service.Slots,
		Share:        share,
		ColdDuration: coldDuration,
		QuietPeriod:  longestTimeout,
		ConnectTime:  l.service.ConnectTime,
	}
	if f.variant.AdjustDispatcher != nil {
		f.variant.AdjustDispatcher(&c)
	}
	return rank, c, ok
}
