package anvilgather_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilgather"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// A fleet runs the cores that decide, of all nodes, in virtual time against modelled
// leafs and callers. It has no goroutines: events are carried out in their order.

const (
	// wayTime is the way between a node and a leaf, callerTime that between a caller
	// and a node.
	wayTime    = 500 * time.Microsecond
	callerTime = time.Millisecond
)

// load is what a fleet plays.
type load struct {
	nodes  int
	shards int
	copies int
	// slots and queue are those of a leaf.
	slots int
	queue int
	// work is the mean time that a leaf works on a call.
	work    time.Duration
	route   anvilroute.Route
	timeout time.Duration
	// rate is the number of queries a second, times burst while inBurst.
	rate    float64
	burst   float64
	inBurst func(since time.Duration) bool
	// hangs says that a leaf never answers the call: it holds its slot until the time is
	// over.
	hangs func(l *modelLeaf, since time.Duration, draw float64) bool
	// turnsAway returns how long a leaf wants no calls that it turns away; 0 if it takes
	// them.
	turnsAway func(l *modelLeaf, since time.Duration) time.Duration
	length    time.Duration
	policy    policy
}

// policy is what the cores of a fleet are compared with.
type policy struct {
	name string
	// hedgeDelay replaces that of the balancer, if not 0.
	hedgeDelay time.Duration
	// unlimited admits all queries.
	unlimited bool
	// untold tells leafs the time that the caller has left.
	untold bool
	// fewest picks the leaf with the fewest calls of the node under way.
	fewest bool
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].order < e[k].order
	}
	return e[i].at.Before(e[k].at)
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// second is what the callers of a second got.
type second struct {
	asked   int
	inTime  int
	late    int
	refused int
}

type fleet struct {
	load
	random *rand.Rand
	now    time.Time
	events events
	order  int
	nodes  []*modelNode
	leafs  map[anvilmodel.LeafName]*modelLeaf
	// listed are the leafs in a fixed order, so that a seed plays the same each time.
	listed  []anvilbalance.Leaf
	seconds []second
	calls   map[anvilbalance.CallKind]int
}

type modelNode struct {
	balancer *anvilbalance.Balancer
	limiter  *anvilgather.Limiter
	underWay map[anvilmodel.LeafName]int
}

// modelLeaf is a leaf with slots and a queue.
type modelLeaf struct {
	leaf    anvilbalance.Leaf
	running int
	waiting []*modelCall
	// wantsNone is until when the leaf wants no calls of a node.
	wantsNone map[*modelNode]window
	// unwanted is the greatest number of calls of a node within such a time.
	unwanted int
}

type window struct {
	from  time.Time
	until time.Time
	calls int
}

type modelCall struct {
	node     *modelNode
	leaf     *modelLeaf
	deadline time.Time
	finish   func(o anvilbalance.Outcome, deferral time.Duration)
	ended    bool
}

func play(seed uint64, l load) *fleet {
	f := &fleet{
		load:    l,
		random:  rand.New(rand.NewPCG(seed, uint64(l.nodes))),
		now:     start,
		leafs:   make(map[anvilmodel.LeafName]*modelLeaf),
		seconds: make([]second, int(l.length/time.Second)+1),
		calls:   make(map[anvilbalance.CallKind]int),
	}
	services := make(map[anvilmodel.ServiceName]anvilroute.Service)
	for i := range l.shards {
		name := anvilmodel.ServiceName(fmt.Sprint("shard-", i))
		services[name] = anvilroute.Service{
			Name:           name,
			MaxConnections: 1000,
		}
		f.route.Shards = append(f.route.Shards, name)
		for k := range l.copies {
			leaf := anvilbalance.Leaf{
				ID:      anvilmodel.LeafName(fmt.Sprint(name, "-", k)),
				Service: name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(k)}), 80),
				Slots:   l.slots,
			}
			f.listed = append(f.listed, leaf)
			f.leafs[leaf.ID] = &modelLeaf{
				leaf:      leaf,
				wantsNone: make(map[*modelNode]window),
			}
		}
	}
	for i := range l.nodes {
		n := &modelNode{
			limiter:  anvilgather.NewLimiter(),
			underWay: make(map[anvilmodel.LeafName]int),
			balancer: anvilbalance.New(anvilbalance.Config{
				Random:     rand.New(rand.NewPCG(seed, uint64(i))),
				RetrySlack: 50,
			}),
		}
		n.balancer.SetNodeCount(l.nodes)
		n.balancer.SetServices(services)
		for _, leaf := range f.listed {
			n.balancer.SetLeaf(leaf, start)
		}
		f.nodes = append(f.nodes, n)
	}
	f.after(0, f.arrive)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	return f
}

func (f *fleet) since() time.Duration { return f.now.Sub(start) }

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{
		at:    f.now.Add(d),
		order: f.order,
		do:    do,
	})
}

// arrive lets callers arrive at random moments.
func (f *fleet) arrive() {
	rate := f.rate
	if f.inBurst != nil && f.inBurst(f.since()) {
		rate *= f.burst
	}
	if f.since() >= f.length {
		return
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	s := &f.seconds[int(f.since()/time.Second)]
	s.asked++
	f.ask(f.now, s, false)
}

// ask sends a query of a caller who began at the time.
func (f *fleet) ask(begun time.Time, s *second, again bool) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	f.after(callerTime, func() { f.serve(n, begun, s, again) })
}

// refuse sends a caller back once, as long as there is time.
func (f *fleet) refuse(begun time.Time, s *second, again bool, after time.Duration) {
	left := f.timeout - f.now.Sub(begun)
	if again || left <= 0 {
		s.refused++
		return
	}
	f.after(min(after, left/3), func() { f.ask(begun, s, true) })
}

func (f *fleet) serve(n *modelNode, begun time.Time, s *second, again bool) {
	arrived := f.now
	elapsed := f.now.Sub(begun)
	for _, name := range f.route.Shards {
		n.balancer.CountRequest(name, f.now)
	}
	if !f.policy.unlimited && !n.limiter.Admit(anvilgather.Asked{
		Route:    f.route.Name,
		Priority: f.route.Priority,
		Target:   f.route.TargetLatency,
		Elapsed:  elapsed,
	}) {
		f.refuse(begun, s, again, n.limiter.RetryAfter(f.now, f.random.Float64()))
		return
	}
	delay := f.policy.hedgeDelay
	if delay == 0 {
		delay = n.balancer.HedgeDelay(f.route.Name, f.route.TargetLatency, f.shards)
	}
	q := &modelQuery{
		fleet: f,
		node:  n,
		request: anvilgather.New(anvilgather.Config{
			Route:      &f.route,
			Services:   f.route.Shards,
			Arrived:    arrived,
			Elapsed:    elapsed,
			Transit:    callerTime,
			Timeout:    f.timeout - elapsed,
			HedgeDelay: delay,
			Overloaded: n.limiter.Overloaded(f.now),
			Available:  n.balancer.ServiceAvailable,
			Deferral:   n.balancer.ServiceDeferral,
			Pick:       f.pick(n),
		}),
	}
	q.done = func(a anvilgather.Action) {
		if !f.policy.unlimited {
			half, in := q.request.Half(f.now)
			n.limiter.Done(anvilgather.Ended{
				Route:   f.route.Name,
				Target:  f.route.TargetLatency,
				Started: arrived,
				Half:    half,
				In:      in,
				Shed:    a.Finish != anvilgather.FinishAnswered && a.Cause == anvilgather.CauseShed,
			}, f.now)
		}
		switch {
		case a.Finish != anvilgather.FinishAnswered:
			f.refuse(begun, s, again, a.RetryAfter)
		case f.now.Add(callerTime).Sub(begun) <= f.route.TargetLatency:
			s.inTime++
		default:
			s.late++
		}
	}
	q.carryOut(q.request.Start(f.now, nil))
}

func (f *fleet) pick(n *modelNode) func(anvilbalance.PickRequest, time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
	return func(c anvilbalance.PickRequest, now time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
		if f.policy.fewest {
			var others []anvilmodel.LeafName
			least := -1
			for k := range f.copies {
				id := anvilmodel.LeafName(fmt.Sprint(c.Service, "-", k))
				if least < 0 || n.underWay[id] < least {
					least = n.underWay[id]
				}
			}
			for k := range f.copies {
				if id := anvilmodel.LeafName(fmt.Sprint(c.Service, "-", k)); n.underWay[id] > least {
					others = append(others, id)
				}
			}
			if len(c.Tried) == 0 {
				c.Tried = others
			}
		}
		leaf, verdict := n.balancer.Pick(c, now)
		if verdict == anvilbalance.PickOK {
			n.underWay[leaf.ID]++
		}
		return leaf, verdict
	}
}

// modelQuery drives the request of a query.
type modelQuery struct {
	fleet   *fleet
	node    *modelNode
	request *anvilgather.Request
	done    func(anvilgather.Action)
	overdue map[int]bool
	ended   bool
	tickAt  time.Time
}

func (q *modelQuery) carryOut(actions []anvilgather.Action) {
	f := q.fleet
	for _, a := range actions {
		switch a.Kind {
		case anvilgather.ActionCall:
			q.call(a)
		case anvilgather.ActionOverdue:
			if q.overdue == nil {
				q.overdue = make(map[int]bool)
			}
			q.overdue[a.Call] = true
			q.node.balancer.MarkOverdue(a.Leaf)
		case anvilgather.ActionFinish:
			q.ended = true
			q.done(a)
		}
	}
	if q.ended {
		return
	}
	at := q.request.Next()
	if at.Equal(q.tickAt) {
		return
	}
	q.tickAt = at
	f.after(max(at.Sub(f.now), 0), func() {
		if !q.ended && q.tickAt.Equal(at) {
			q.tickAt = time.Time{}
			q.carryOut(q.request.Tick(f.now, nil))
		}
	})
}

func (q *modelQuery) call(a anvilgather.Action) {
	f := q.fleet
	f.calls[a.CallKind]++
	begun := f.now
	deadline := a.Deadline
	if f.policy.untold {
		deadline = begun.Add(f.timeout)
	}
	c := &modelCall{
		node:     q.node,
		leaf:     f.leafs[a.Leaf.ID],
		deadline: deadline,
	}
	c.finish = func(o anvilbalance.Outcome, deferral time.Duration) {
		if c.ended {
			return
		}
		c.ended = true
		waiting := c.leaf.running + len(c.leaf.waiting) + 1
		f.after(wayTime, func() {
			q.node.underWay[a.Leaf.ID]--
			q.node.balancer.Finish(anvilbalance.CallResult{
				Leaf:      a.Leaf,
				Route:     f.route.Name,
				Outcome:   o,
				Elapsed:   f.now.Sub(begun),
				Overdue:   q.overdue[a.Call],
				LoadKnown: true,
				Load:      waiting,
				Deferral:  deferral,
			}, f.now)
			if !q.ended {
				q.carryOut(q.request.Handle(a.Call, o, f.now, nil))
			}
		})
	}
	f.after(wayTime, func() { f.reach(c) })
}

// reach brings a call to its leaf.
func (f *fleet) reach(c *modelCall) {
	l := c.leaf
	w := l.wantsNone[c.node]
	if f.now.After(w.from) && f.now.Before(w.until) {
		w.calls++
		l.unwanted = max(l.unwanted, w.calls)
		l.wantsNone[c.node] = w
	}
	if f.turnsAway != nil {
		if wanted := f.turnsAway(l, f.since()); wanted > 0 {
			if !f.now.Before(w.until) {
				// Calls that were sent before the reply came are none of the node's doing.
				l.wantsNone[c.node] = window{
					from:  f.now.Add(500 * time.Millisecond),
					until: f.now.Add(wanted),
				}
			}
			c.finish(anvilbalance.OutcomeShed, wanted)
			return
		}
	}
	if len(l.waiting) >= f.queue {
		c.finish(anvilbalance.OutcomeShed, 0)
		return
	}
	l.waiting = append(l.waiting, c)
	f.work(l)
}

// work starts what waits at a leaf while it has free slots. A call whose time is over
// is turned away.
func (f *fleet) work(l *modelLeaf) {
	for l.running < l.leaf.Slots && len(l.waiting) > 0 {
		c := l.waiting[0]
		l.waiting = l.waiting[1:]
		if !f.now.Before(c.deadline) {
			c.finish(anvilbalance.OutcomeShed, 0)
			continue
		}
		l.running++
		took := time.Duration((0.5 + f.random.Float64()) * float64(f.load.work))
		outcome := anvilbalance.OutcomeGood
		if left := c.deadline.Sub(f.now); f.hangs != nil && f.hangs(l, f.since(), f.random.Float64()) || took > left {
			took = left
			outcome = anvilbalance.OutcomeFailed
		}
		f.after(took, func() {
			l.running--
			c.finish(outcome, 0)
			f.work(l)
		})
	}
}

// between sums the seconds from one up to, and without, another.
func (f *fleet) between(from, to int) second {
	var sum second
	for _, s := range f.seconds[from:to] {
		sum.asked += s.asked
		sum.inTime += s.inTime
		sum.late += s.late
		sum.refused += s.refused
	}
	return sum
}
