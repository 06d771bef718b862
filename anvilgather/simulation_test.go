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
	// leafDelay is the way between a node and a leaf, callerTime that between a caller
	// and a node.
	leafDelay   = 500 * time.Microsecond
	callerDelay = time.Millisecond
)

// scenario is what a fleet plays.
type scenario struct {
	nodes    int
	shards   int
	replicas int
	// slots and queue are those of a leaf.
	slots       int
	queueLength int
	// serviceTime is the mean time that a leaf works on a call.
	serviceTime time.Duration
	route       anvilroute.Route
	timeout     time.Duration
	// rate is the number of queries a second, times burst while inBurst.
	rate        float64
	burstFactor float64
	inBurst     func(since time.Duration) bool
	// hangs says that a leaf never answers the call: it holds its slot until the time is
	// over.
	hangs func(l *simLeaf, since time.Duration, draw float64) bool
	// refusesFor returns how long a leaf wants no calls that it turns away; 0 if it takes
	// them.
	refusesFor func(l *simLeaf, since time.Duration) time.Duration
	duration   time.Duration
	policy     policy
}

// policy is what the cores of a fleet are compared with.
type policy struct {
	name string
	// hedgeDelay replaces that of the balancer, if not 0.
	hedgeDelay time.Duration
	// unlimited admits all queries.
	unlimited bool
	// callerDeadline tells leafs the time that the caller has left.
	callerDeadline bool
	// fewestInFlight picks the leaf with the fewestInFlight calls of the node under way.
	fewestInFlight bool
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].sequence < e[k].sequence
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

// callerStats is what the callers of a callerStats got.
type callerStats struct {
	sent    int
	inTime  int
	late    int
	refused int
}

type simulation struct {
	scenario
	random   *rand.Rand
	now      time.Time
	events   events
	sequence int
	nodes    []*simNode
	leaves   map[anvilmodel.LeafName]*simLeaf
	// leafList are the leafs in a fixed order, so that a seed plays the same each time.
	leafList []anvilbalance.Leaf
	seconds  []callerStats
	calls    map[anvilbalance.CallKind]int
}

type simNode struct {
	balancer *anvilbalance.Balancer
	limiter  *anvilgather.Limiter
	inFlight map[anvilmodel.LeafName]int
}

// simLeaf is a leaf with slots and a queue.
type simLeaf struct {
	leaf    anvilbalance.Leaf
	running int
	queue   []*simCall
	// deferrals is until when the leaf wants no calls of a node.
	deferrals map[*simNode]deferralWindow
	// maxDeferredCalls is the greatest number of calls of a node within such a time.
	maxDeferredCalls int
}

type deferralWindow struct {
	from  time.Time
	until time.Time
	calls int
}

type simCall struct {
	node     *simNode
	leaf     *simLeaf
	deadline time.Time
	finish   func(o anvilbalance.Outcome, deferral time.Duration)
	ended    bool
}

func simulate(seed uint64, l scenario) *simulation {
	f := &simulation{
		scenario: l,
		random:   rand.New(rand.NewPCG(seed, uint64(l.nodes))),
		now:      start,
		leaves:   make(map[anvilmodel.LeafName]*simLeaf),
		seconds:  make([]callerStats, int(l.duration/time.Second)+1),
		calls:    make(map[anvilbalance.CallKind]int),
	}
	services := make(map[anvilmodel.ServiceName]anvilroute.Service)
	for i := range l.shards {
		name := anvilmodel.ServiceName(fmt.Sprint("shard-", i))
		services[name] = anvilroute.Service{
			Name:           name,
			MaxConnections: 1000,
		}
		f.route.Shards = append(f.route.Shards, name)
		for k := range l.replicas {
			leaf := anvilbalance.Leaf{
				ID:      anvilmodel.LeafName(fmt.Sprint(name, "-", k)),
				Service: name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(k)}), 80),
				Slots:   l.slots,
			}
			f.leafList = append(f.leafList, leaf)
			f.leaves[leaf.ID] = &simLeaf{
				leaf:      leaf,
				deferrals: make(map[*simNode]deferralWindow),
			}
		}
	}
	for i := range l.nodes {
		n := &simNode{
			limiter:  anvilgather.NewLimiter(),
			inFlight: make(map[anvilmodel.LeafName]int),
			balancer: anvilbalance.New(anvilbalance.Config{
				Random:     rand.New(rand.NewPCG(seed, uint64(i))),
				RetrySlack: 50,
			}),
		}
		n.balancer.SetNodeCount(l.nodes)
		n.balancer.SetServices(services)
		for _, leaf := range f.leafList {
			n.balancer.SetLeaf(leaf, start)
		}
		f.nodes = append(f.nodes, n)
	}
	f.schedule(0, f.generateQueries)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	return f
}

func (f *simulation) elapsed() time.Duration { return f.now.Sub(start) }

func (f *simulation) schedule(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{
		at:       f.now.Add(d),
		sequence: f.sequence,
		run:      do,
	})
}

// generateQueries lets callers generateQueries at random moments.
func (f *simulation) generateQueries() {
	rate := f.rate
	if f.inBurst != nil && f.inBurst(f.elapsed()) {
		rate *= f.burstFactor
	}
	if f.elapsed() >= f.duration {
		return
	}
	f.schedule(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.generateQueries)
	s := &f.seconds[int(f.elapsed()/time.Second)]
	s.sent++
	f.sendQuery(f.now, s, false)
}

// sendQuery sends a query of a caller who began at the time.
func (f *simulation) sendQuery(sentAt time.Time, s *callerStats, isRetry bool) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	f.schedule(callerDelay, func() { f.serve(n, sentAt, s, isRetry) })
}

// retryOrReject sends a caller back once, as long as there is time.
func (f *simulation) retryOrReject(sentAt time.Time, s *callerStats, isRetry bool, delay time.Duration) {
	remaining := f.timeout - f.now.Sub(sentAt)
	if isRetry || remaining <= 0 {
		s.refused++
		return
	}
	f.schedule(min(delay, remaining/3), func() { f.sendQuery(sentAt, s, true) })
}

func (f *simulation) serve(n *simNode, sentAt time.Time, s *callerStats, isRetry bool) {
	arrived := f.now
	elapsed := f.now.Sub(sentAt)
	for _, name := range f.route.Shards {
		n.balancer.CountRequest(name, f.now)
	}
	if !f.policy.unlimited && !n.limiter.Admit(anvilgather.AdmissionRequest{
		Route:         f.route.Name,
		Priority:      f.route.Priority,
		TargetLatency: f.route.TargetLatency,
		Elapsed:       elapsed,
	}) {
		f.retryOrReject(sentAt, s, isRetry, n.limiter.RetryAfter(f.now, f.random.Float64()))
		return
	}
	delay := f.policy.hedgeDelay
	if delay == 0 {
		delay = n.balancer.HedgeDelay(f.route.Name, f.route.TargetLatency, f.shards)
	}
	q := &simQuery{
		fleet: f,
		node:  n,
		request: anvilgather.New(anvilgather.Config{
			Route:      &f.route,
			Services:   f.route.Shards,
			ArrivedAt:  arrived,
			Elapsed:    elapsed,
			Transit:    callerDelay,
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
			median, known := q.request.MedianLatency(f.now)
			n.limiter.Done(anvilgather.Completion{
				Route:         f.route.Name,
				TargetLatency: f.route.TargetLatency,
				StartedAt:     arrived,
				MedianLatency: median,
				MedianKnown:   known,
				Shed:          a.Finish != anvilgather.FinishAnswered && a.Cause == anvilgather.CauseShed,
			}, f.now)
		}
		switch {
		case a.Finish != anvilgather.FinishAnswered:
			f.retryOrReject(sentAt, s, isRetry, a.RetryAfter)
		case f.now.Add(callerDelay).Sub(sentAt) <= f.route.TargetLatency:
			s.inTime++
		default:
			s.late++
		}
	}
	q.execute(q.request.Start(f.now, nil))
}

func (f *simulation) pick(n *simNode) func(anvilbalance.PickRequest, time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
	return func(c anvilbalance.PickRequest, now time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
		if f.policy.fewestInFlight {
			var others []anvilmodel.LeafName
			least := -1
			for k := range f.replicas {
				id := anvilmodel.LeafName(fmt.Sprint(c.Service, "-", k))
				if least < 0 || n.inFlight[id] < least {
					least = n.inFlight[id]
				}
			}
			for k := range f.replicas {
				if id := anvilmodel.LeafName(fmt.Sprint(c.Service, "-", k)); n.inFlight[id] > least {
					others = append(others, id)
				}
			}
			if len(c.Tried) == 0 {
				c.Tried = others
			}
		}
		leaf, verdict := n.balancer.Pick(c, now)
		if verdict == anvilbalance.PickOK {
			n.inFlight[leaf.ID]++
		}
		return leaf, verdict
	}
}

// simQuery drives the request of a query.
type simQuery struct {
	fleet   *simulation
	node    *simNode
	request *anvilgather.Request
	done    func(anvilgather.Action)
	overdue map[int]bool
	ended   bool
	tickAt  time.Time
}

func (q *simQuery) execute(actions []anvilgather.Action) {
	f := q.fleet
	for _, a := range actions {
		switch a.Kind {
		case anvilgather.ActionCall:
			q.sendCall(a)
		case anvilgather.ActionReportOverdue:
			if q.overdue == nil {
				q.overdue = make(map[int]bool)
			}
			q.overdue[a.CallIndex] = true
			q.node.balancer.MarkOverdue(a.Leaf)
		case anvilgather.ActionFinish:
			q.ended = true
			q.done(a)
		}
	}
	if q.ended {
		return
	}
	at := q.request.NextTick()
	if at.Equal(q.tickAt) {
		return
	}
	q.tickAt = at
	f.schedule(max(at.Sub(f.now), 0), func() {
		if !q.ended && q.tickAt.Equal(at) {
			q.tickAt = time.Time{}
			q.execute(q.request.Tick(f.now, nil))
		}
	})
}

func (q *simQuery) sendCall(a anvilgather.Action) {
	f := q.fleet
	f.calls[a.CallKind]++
	sentAt := f.now
	deadline := a.Deadline
	if f.policy.callerDeadline {
		deadline = sentAt.Add(f.timeout)
	}
	c := &simCall{
		node:     q.node,
		leaf:     f.leaves[a.Leaf.ID],
		deadline: deadline,
	}
	c.finish = func(o anvilbalance.Outcome, deferral time.Duration) {
		if c.ended {
			return
		}
		c.ended = true
		load := c.leaf.running + len(c.leaf.queue) + 1
		f.schedule(leafDelay, func() {
			q.node.inFlight[a.Leaf.ID]--
			q.node.balancer.Finish(anvilbalance.CallResult{
				Leaf:      a.Leaf,
				Route:     f.route.Name,
				Outcome:   o,
				Elapsed:   f.now.Sub(sentAt),
				Overdue:   q.overdue[a.CallIndex],
				LoadKnown: true,
				Load:      load,
				Deferral:  deferral,
			}, f.now)
			if !q.ended {
				q.execute(q.request.HandleOutcome(a.CallIndex, o, f.now, nil))
			}
		})
	}
	f.schedule(leafDelay, func() { f.deliver(c) })
}

// deliver brings a call to its leaf.
func (f *simulation) deliver(c *simCall) {
	l := c.leaf
	w := l.deferrals[c.node]
	if f.now.After(w.from) && f.now.Before(w.until) {
		w.calls++
		l.maxDeferredCalls = max(l.maxDeferredCalls, w.calls)
		l.deferrals[c.node] = w
	}
	if f.refusesFor != nil {
		if deferral := f.refusesFor(l, f.elapsed()); deferral > 0 {
			if !f.now.Before(w.until) {
				// Calls that were sent before the reply came are none of the node's doing.
				l.deferrals[c.node] = deferralWindow{
					from:  f.now.Add(500 * time.Millisecond),
					until: f.now.Add(deferral),
				}
			}
			c.finish(anvilbalance.OutcomeShed, deferral)
			return
		}
	}
	if len(l.queue) >= f.queueLength {
		c.finish(anvilbalance.OutcomeShed, 0)
		return
	}
	l.queue = append(l.queue, c)
	f.startQueued(l)
}

// startQueued starts what waits at a leaf while it has free slots. A call whose time is over
// is turned away.
func (f *simulation) startQueued(l *simLeaf) {
	for l.running < l.leaf.Slots && len(l.queue) > 0 {
		c := l.queue[0]
		l.queue = l.queue[1:]
		if !f.now.Before(c.deadline) {
			c.finish(anvilbalance.OutcomeShed, 0)
			continue
		}
		l.running++
		workTime := time.Duration((0.5 + f.random.Float64()) * float64(f.scenario.serviceTime))
		outcome := anvilbalance.OutcomeGood
		if remaining := c.deadline.Sub(f.now); f.hangs != nil && f.hangs(l, f.elapsed(), f.random.Float64()) || workTime > remaining {
			workTime = remaining
			outcome = anvilbalance.OutcomeFailed
		}
		f.schedule(workTime, func() {
			l.running--
			c.finish(outcome, 0)
			f.startQueued(l)
		})
	}
}

// total sums the seconds from one up to, and without, another.
func (f *simulation) total(from, to int) callerStats {
	var sum callerStats
	for _, s := range f.seconds[from:to] {
		sum.sent += s.sent
		sum.inTime += s.inTime
		sum.late += s.late
		sum.refused += s.refused
	}
	return sum
}
