package anvilbalance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// limitWindow is the time over which a leaf counts its requests, limitFactor and
	// limitSlack how far they may exceed its limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// knownBefore is how long a node must have had the limit for its calls to count.
	knownBefore = 500 * time.Millisecond
	// simulationStep is the time between two steps of a simulated fleet, observationSteps
	// the number of steps between two observations of the members.
	simulationStep   = 20 * time.Millisecond
	observationSteps = 25
	// suspectAfter and deadAfter are the times after which a node without a running process
	// is suspected and declared dead.
	suspectAfter = time.Second
	deadAfter    = 3 * time.Second
)

// limitNode is a node of a limitFleet.
type limitNode struct {
	balancer *anvilbalance.Balancer
	demand   *anvilbalance.DemandEstimator
	share    *anvilbalance.ShareEstimator
	arrived  int64
	// weight is the part of the callers that use the node.
	weight float64
	// downSince is when the process ended or froze; zero while it runs.
	downSince time.Time
	// limitKnownAt is when the process first received an announcement of the limit.
	limitKnownAt time.Time
	// rates holds the announced request rates by observation.
	rates []float64
}

// limitFleet is a fleet of nodes that call the only leaf of a service, which announces a
// rate limit. Each node learns the request rates of the others with a delay.
type limitFleet struct {
	random    *rand.Rand
	now       time.Time
	steps     int
	nodes     []*limitNode
	leaf      anvilbalance.Leaf
	perSecond float64
	// requestsPerSecond is the demand of all callers together.
	requestsPerSecond float64
	calls             []time.Time
}

func newLimitFleet(nodes int, perSecond, requestsPerSecond float64) *limitFleet {
	f := &limitFleet{
		random:            rand.New(rand.NewPCG(seed, uint64(nodes))),
		now:               start,
		leaf:              testLeaf(0),
		perSecond:         perSecond,
		requestsPerSecond: requestsPerSecond,
	}
	for range nodes {
		n := &limitNode{}
		f.nodes = append(f.nodes, n)
		f.startProcess(n)
	}
	return f
}

// startProcess gives a node a process without any knowledge.
func (f *limitFleet) startProcess(n *limitNode) {
	n.balancer = anvilbalance.New(anvilbalance.Config{
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 0)),
	})
	n.balancer.SetServices(map[anvilmodel.ServiceName]anvilroute.Service{"s": {Name: "s"}})
	n.balancer.SetLeaf(f.leaf, f.now)
	n.demand = &anvilbalance.DemandEstimator{}
	n.share = &anvilbalance.ShareEstimator{}
	n.downSince = time.Time{}
	n.limitKnownAt = time.Time{}
	n.rates = nil
}

// run runs the fleet for a time.
func (f *limitFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(simulationStep) {
		if f.steps%observationSteps == 0 {
			f.observe()
		}
		f.steps++
		expected := f.requestsPerSecond * simulationStep.Seconds()
		requests := int(expected)
		if f.random.Float64() < expected-math.Floor(expected) {
			requests++
		}
		for range requests {
			if n := f.chooseNode(); n.downSince.IsZero() {
				f.serve(n)
			}
		}
	}
}

// chooseNode returns a node by the weights.
func (f *limitFleet) chooseNode() *limitNode {
	total := 0.0
	for _, n := range f.nodes {
		total += n.weight
	}
	position := f.random.Float64() * total
	for _, n := range f.nodes {
		if position -= n.weight; position < 0 {
			return n
		}
	}
	return f.nodes[len(f.nodes)-1]
}

// serve handles a request of a caller at a node. The leaf replies at once.
func (f *limitFleet) serve(n *limitNode) {
	n.arrived++
	if !n.balancer.ServiceAvailable("s", f.now) {
		return
	}
	l, status := pick(n.balancer, anvilbalance.CallFirst, f.now)
	if status != anvilbalance.PickOK {
		return
	}
	if n.limitKnownAt.IsZero() {
		n.limitKnownAt = f.now
	}
	if f.now.Sub(n.limitKnownAt) >= knownBefore {
		f.calls = append(f.calls, f.now)
	}
	finishWithReply(n.balancer, anvilbalance.CallResult{
		Leaf:           l,
		Outcome:        anvilbalance.OutcomeGood,
		RateLimitKnown: true,
		RateLimit: anvilmodel.RateLimit{
			Limited:   true,
			PerSecond: f.perSecond,
		},
	}, f.now)
}

// observe updates the demand and the share of each node.
func (f *limitFleet) observe() {
	for _, n := range f.nodes {
		if !n.downSince.IsZero() {
			continue
		}
		n.rates = append(n.rates, n.demand.Update(n.arrived, f.now))
		n.arrived = 0
	}
	var views [viewCount][]anvilmodel.Member
	for i := range views {
		views[i] = f.view()
	}
	for i, n := range f.nodes {
		if !n.downSince.IsZero() {
			continue
		}
		// The node itself comes first, with its own rate.
		members := views[i%viewCount]
		members[0], members[i] = members[i], members[0]
		self := members[0]
		members[0].Status = anvilmodel.MemberAlive
		members[0].RequestRate = n.rates[len(n.rates)-1]
		n.share.Observe(members, f.now)
		n.balancer.SetShare(n.share.Share(), n.share.Phase())
		members[0] = self
		members[0], members[i] = members[i], members[0]
	}
}

// viewCount is the number of different views of the fleet that the nodes share.
const viewCount = 4

// view returns a view of the fleet. The rates of the members arrive with a random delay of
// up to 2 s, and more in a large fleet.
func (f *limitFleet) view() []anvilmodel.Member {
	maxDelay := 2*time.Second + time.Duration(len(f.nodes))*80*time.Millisecond
	maxObservations := int(maxDelay/(observationSteps*simulationStep)) + 1
	members := make([]anvilmodel.Member, len(f.nodes))
	for i, n := range f.nodes {
		members[i] = anvilmodel.Member{
			Name:   anvilmodel.VMName(fmt.Sprint("vm-", i)),
			Status: anvilmodel.MemberAlive,
		}
		if down := f.now.Sub(n.downSince); !n.downSince.IsZero() && down >= suspectAfter {
			members[i].Status = anvilmodel.MemberSuspect
			if down >= deadAfter {
				members[i].Status = anvilmodel.MemberDead
			}
		}
		if age := f.random.IntN(maxObservations); age < len(n.rates) {
			members[i].RequestRate = n.rates[len(n.rates)-1-age]
		}
	}
	return members
}

// mostInWindow returns the largest number of calls within limitWindow after a time.
func (f *limitFleet) mostInWindow(from time.Time) int {
	most, first := 0, 0
	for i, at := range f.calls {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(f.calls[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// check fails the test if the leaf got too many calls since a time, or less than a part of
// its limit.
func (f *limitFleet) check(t *testing.T, from time.Time, leastUsed float64) {
	t.Helper()
	allowed := int(limitFactor*f.perSecond*limitWindow.Seconds()) + limitSlack
	if most := f.mostInWindow(from); most > allowed {
		t.Errorf("seed %d: %d calls within %s to a leaf with a limit of %g per second, allowed are %d", seed, most, limitWindow, f.perSecond, allowed)
	}
	got := 0
	for _, at := range f.calls {
		if !at.Before(from) {
			got++
		}
	}
	if want := leastUsed * f.perSecond * f.now.Sub(from).Seconds(); float64(got) < want {
		t.Errorf("seed %d: %d calls in %s, want at least %.0f so that callers do not lose what the leaf can do", seed, got, f.now.Sub(from), want)
	}
}

// moveCallers moves the callers of half of the busy nodes to nodes without callers, or to
// each other if there are too few.
func (f *limitFleet) moveCallers(busy int) {
	moved := busy / 2
	for i := range moved {
		from, to := f.nodes[i], f.nodes[(busy+i)%len(f.nodes)]
		from.weight, to.weight = to.weight, from.weight
	}
}
