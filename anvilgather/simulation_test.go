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

// A simulation runs the balancers, limiters and requests of several nodes in virtual time
// against simulated leaves and callers. It uses no goroutines: events run one after the
// other, in the order of their time.

const (
	// leafDelay is the one-way network delay between a node and a leaf, callerDelay that
	// between a caller and a node.
	leafDelay   = 500 * time.Microsecond
	callerDelay = time.Millisecond
)

// scenario describes the nodes, leaves, load and faults of a simulation.
type scenario struct {
	nodes    int
	shards   int
	replicas int
	// slots and queueLength apply to each leaf.
	slots       int
	queueLength int
	// serviceTime is the mean time that a leaf works on a call.
	serviceTime time.Duration
	route       anvilroute.Route
	timeout     time.Duration
	// rate is the number of queries per second; it is multiplied by burstFactor while
	// inBurst returns true.
	rate        float64
	burstFactor float64
	inBurst     func(elapsed time.Duration) bool
	// hangs reports whether a leaf never answers a call. The call then holds its slot
	// until its deadline. The argument random is from 0 to 1.
	hangs func(leaf *simLeaf, elapsed time.Duration, random float64) bool
	// refusesFor returns for how long a leaf that refuses a call accepts no others; 0 if
	// the leaf accepts the call.
	refusesFor func(leaf *simLeaf, elapsed time.Duration) time.Duration
	duration   time.Duration
	policy     policy
}

// policy selects a variant of the decisions of the nodes, for comparison. The zero value is
// the behaviour of the package.
type policy struct {
	name string
	// hedgeDelay replaces the hedge delay of the balancer if it is not 0.
	hedgeDelay time.Duration
	// unlimited admits all queries without the limiter.
	unlimited bool
	// callerDeadline gives calls the full timeout of the caller instead of the deadline
	// that the request sets.
	callerDeadline bool
	// fewestInFlight picks the leaf with the fewest calls of the node in flight.
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

// callerStats counts the queries that callers sent within one second by their results.
type callerStats struct {
	sent    int
	inTime  int
	late    int
	refused int
}

// simulation is the state of a running scenario.
type simulation struct {
	scenario
	random   *rand.Rand
	now      time.Time
	events   events
	sequence int
	nodes    []*simNode
	leaves   map[anvilmodel.LeafName]*simLeaf
	// leafList holds the leaves in a fixed order, so that a seed always gives the same run.
	leafList []anvilbalance.Leaf
	// seconds holds the results by the second in which the query was first sent.
	seconds []callerStats
	calls   map[anvilbalance.CallKind]int
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
	// deferrals holds the periods in which the leaf accepts no calls from a node.
	deferrals map[*simNode]deferralWindow
	// maxDeferredCalls is the largest number of calls from one node within such a period.
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

func simulate(seed uint64, sc scenario) *simulation {
	sim := &simulation{
		scenario: sc,
		random:   rand.New(rand.NewPCG(seed, uint64(sc.nodes))),
		now:      start,
		leaves:   make(map[anvilmodel.LeafName]*simLeaf),
		seconds:  make([]callerStats, int(sc.duration/time.Second)+1),
		calls:    make(map[anvilbalance.CallKind]int),
	}
	services := make(map[anvilmodel.ServiceName]anvilroute.Service)
	for i := range sc.shards {
		name := anvilmodel.ServiceName(fmt.Sprint("shard-", i))
		services[name] = anvilroute.Service{
			Name:           name,
			MaxConnections: 1000,
		}
		sim.route.Shards = append(sim.route.Shards, name)
		for k := range sc.replicas {
			leaf := anvilbalance.Leaf{
				Name:    anvilmodel.LeafName(fmt.Sprint(name, "-", k)),
				Service: name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(k)}), 80),
				Slots:   sc.slots,
			}
			sim.leafList = append(sim.leafList, leaf)
			sim.leaves[leaf.Name] = &simLeaf{
				leaf:      leaf,
				deferrals: make(map[*simNode]deferralWindow),
			}
		}
	}
	for i := range sc.nodes {
		n := &simNode{
			limiter:  anvilgather.NewLimiter(),
			inFlight: make(map[anvilmodel.LeafName]int),
			balancer: anvilbalance.New(anvilbalance.Config{
				Random:     rand.New(rand.NewPCG(seed, uint64(i))),
				RetrySlack: 50,
			}),
		}
		n.balancer.SetNodeCount(sc.nodes)
		n.balancer.SetServices(services)
		for _, leaf := range sim.leafList {
			n.balancer.SetLeaf(leaf, start)
		}
		sim.nodes = append(sim.nodes, n)
	}
	sim.schedule(0, sim.generateQueries)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(start) }

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{
		at:       sim.now.Add(d),
		sequence: sim.sequence,
		run:      run,
	})
}

// generateQueries sends queries at random times until the scenario ends.
func (sim *simulation) generateQueries() {
	rate := sim.rate
	if sim.inBurst != nil && sim.inBurst(sim.elapsed()) {
		rate *= sim.burstFactor
	}
	if sim.elapsed() >= sim.duration {
		return
	}
	sim.schedule(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), sim.generateQueries)
	stats := &sim.seconds[int(sim.elapsed()/time.Second)]
	stats.sent++
	sim.sendQuery(sim.now, stats, false)
}

// sendQuery sends a query to a random node. sentAt is the time of the caller's first
// attempt.
func (sim *simulation) sendQuery(sentAt time.Time, stats *callerStats, isRetry bool) {
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	sim.schedule(callerDelay, func() { sim.serve(n, sentAt, stats, isRetry) })
}

// retryOrReject lets a refused caller retry once if it has time left, and otherwise counts
// the query as refused.
func (sim *simulation) retryOrReject(sentAt time.Time, stats *callerStats, isRetry bool, delay time.Duration) {
	remaining := sim.timeout - sim.now.Sub(sentAt)
	if isRetry || remaining <= 0 {
		stats.refused++
		return
	}
	sim.schedule(min(delay, remaining/3), func() { sim.sendQuery(sentAt, stats, true) })
}

func (sim *simulation) serve(n *simNode, sentAt time.Time, stats *callerStats, isRetry bool) {
	arrived := sim.now
	elapsed := sim.now.Sub(sentAt)
	for _, name := range sim.route.Shards {
		n.balancer.CountRequest(name, sim.now)
	}
	if !sim.policy.unlimited && !n.limiter.Admit(anvilgather.AdmissionRequest{
		Route:         sim.route.Name,
		Priority:      sim.route.Priority,
		TargetLatency: sim.route.TargetLatency,
		Elapsed:       elapsed,
	}) {
		sim.retryOrReject(sentAt, stats, isRetry, n.limiter.RetryAfter(sim.now, sim.random.Float64()))
		return
	}
	delay := sim.policy.hedgeDelay
	if delay == 0 {
		delay = n.balancer.HedgeDelay(sim.route.Name, sim.route.TargetLatency, sim.shards)
	}
	q := &simQuery{
		sim:  sim,
		node: n,
		request: anvilgather.New(anvilgather.Config{
			Route:      &sim.route,
			Services:   sim.route.Shards,
			ArrivedAt:  arrived,
			Elapsed:    elapsed,
			Transit:    callerDelay,
			Timeout:    sim.timeout - elapsed,
			HedgeDelay: delay,
			Overloaded: n.limiter.Overloaded(sim.now),
			Available:  n.balancer.ServiceAvailable,
			Deferral:   n.balancer.ServiceDeferral,
			Pick:       sim.pick(n),
		}),
	}
	q.done = func(a anvilgather.Action) {
		if !sim.policy.unlimited {
			median, known := q.request.MedianLatency(sim.now)
			n.limiter.Done(anvilgather.Completion{
				Route:         sim.route.Name,
				TargetLatency: sim.route.TargetLatency,
				StartedAt:     arrived,
				MedianLatency: median,
				MedianKnown:   known,
				Shed:          a.Finish != anvilgather.FinishAnswered && a.Cause == anvilgather.CauseShed,
			}, sim.now)
		}
		switch {
		case a.Finish != anvilgather.FinishAnswered:
			sim.retryOrReject(sentAt, stats, isRetry, a.RetryAfter)
		case sim.now.Add(callerDelay).Sub(sentAt) <= sim.route.TargetLatency:
			stats.inTime++
		default:
			stats.late++
		}
	}
	q.execute(q.request.Start(sim.now, nil))
}

func (sim *simulation) pick(n *simNode) func(anvilbalance.PickRequest, time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
	return func(c anvilbalance.PickRequest, now time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
		if sim.policy.fewestInFlight {
			var busier []anvilmodel.LeafName
			fewest := -1
			for k := range sim.replicas {
				id := anvilmodel.LeafName(fmt.Sprint(c.Service, "-", k))
				if fewest < 0 || n.inFlight[id] < fewest {
					fewest = n.inFlight[id]
				}
			}
			for k := range sim.replicas {
				if id := anvilmodel.LeafName(fmt.Sprint(c.Service, "-", k)); n.inFlight[id] > fewest {
					busier = append(busier, id)
				}
			}
			if len(c.Tried) == 0 {
				c.Tried = busier
			}
		}
		leaf, status := n.balancer.Pick(c, now)
		if status == anvilbalance.PickOK {
			n.inFlight[leaf.Name]++
		}
		return leaf, status
	}
}

// simQuery is the owner of the Request of a query.
type simQuery struct {
	sim     *simulation
	node    *simNode
	request *anvilgather.Request
	done    func(anvilgather.Action)
	overdue map[int]bool
	ended   bool
	tickAt  time.Time
}

func (q *simQuery) execute(actions []anvilgather.Action) {
	sim := q.sim
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
	sim.schedule(max(at.Sub(sim.now), 0), func() {
		if !q.ended && q.tickAt.Equal(at) {
			q.tickAt = time.Time{}
			q.execute(q.request.Tick(sim.now, nil))
		}
	})
}

func (q *simQuery) sendCall(a anvilgather.Action) {
	sim := q.sim
	sim.calls[a.CallKind]++
	sentAt := sim.now
	deadline := a.Deadline
	if sim.policy.callerDeadline {
		deadline = sentAt.Add(sim.timeout)
	}
	c := &simCall{
		node:     q.node,
		leaf:     sim.leaves[a.Leaf.Name],
		deadline: deadline,
	}
	c.finish = func(o anvilbalance.Outcome, deferral time.Duration) {
		if c.ended {
			return
		}
		c.ended = true
		load := c.leaf.running + len(c.leaf.queue) + 1
		sim.schedule(leafDelay, func() {
			q.node.inFlight[a.Leaf.Name]--
			q.node.balancer.Finish(anvilbalance.CallResult{
				Leaf:      a.Leaf,
				Route:     sim.route.Name,
				Outcome:   o,
				Elapsed:   sim.now.Sub(sentAt),
				Overdue:   q.overdue[a.CallIndex],
				LoadKnown: true,
				Load:      load,
				Deferral:  deferral,
			}, sim.now)
			if !q.ended {
				q.execute(q.request.HandleOutcome(a.CallIndex, o, sim.now, nil))
			}
		})
	}
	sim.schedule(leafDelay, func() { sim.deliver(c) })
}

// deliver delivers a call to its leaf.
func (sim *simulation) deliver(c *simCall) {
	leaf := c.leaf
	window := leaf.deferrals[c.node]
	if sim.now.After(window.from) && sim.now.Before(window.until) {
		window.calls++
		leaf.maxDeferredCalls = max(leaf.maxDeferredCalls, window.calls)
		leaf.deferrals[c.node] = window
	}
	if sim.refusesFor != nil {
		if deferral := sim.refusesFor(leaf, sim.elapsed()); deferral > 0 {
			if !sim.now.Before(window.until) {
				// Calls that the node sent before it received the reply do not count.
				leaf.deferrals[c.node] = deferralWindow{
					from:  sim.now.Add(500 * time.Millisecond),
					until: sim.now.Add(deferral),
				}
			}
			c.finish(anvilbalance.OutcomeShed, deferral)
			return
		}
	}
	if len(leaf.queue) >= sim.queueLength {
		c.finish(anvilbalance.OutcomeShed, 0)
		return
	}
	leaf.queue = append(leaf.queue, c)
	sim.startQueued(leaf)
}

// startQueued starts queued calls of a leaf while it has free slots. Calls whose deadline
// has passed are shed.
func (sim *simulation) startQueued(leaf *simLeaf) {
	for leaf.running < leaf.leaf.Slots && len(leaf.queue) > 0 {
		c := leaf.queue[0]
		leaf.queue = leaf.queue[1:]
		if !sim.now.Before(c.deadline) {
			c.finish(anvilbalance.OutcomeShed, 0)
			continue
		}
		leaf.running++
		workTime := time.Duration((0.5 + sim.random.Float64()) * float64(sim.serviceTime))
		outcome := anvilbalance.OutcomeGood
		if remaining := c.deadline.Sub(sim.now); sim.hangs != nil && sim.hangs(leaf, sim.elapsed(), sim.random.Float64()) || workTime > remaining {
			workTime = remaining
			outcome = anvilbalance.OutcomeFailed
		}
		sim.schedule(workTime, func() {
			leaf.running--
			c.finish(outcome, 0)
			sim.startQueued(leaf)
		})
	}
}

// total sums the results of the seconds in the range from:to.
func (sim *simulation) total(from, to int) callerStats {
	var sum callerStats
	for _, s := range sim.seconds[from:to] {
		sum.sent += s.sent
		sum.inTime += s.inTime
		sum.late += s.late
		sum.refused += s.refused
	}
	return sum
}
