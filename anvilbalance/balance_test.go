package anvilbalance_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const seed = 20261204

var start = time.Date(2026, time.December, 4, 8, 0, 0, 0, time.UTC)

// newBalancer returns a balancer with leaves "a", "b" and so on of one service "s".
func newBalancer(c anvilbalance.Config, service anvilroute.Service, leaves int) *anvilbalance.Balancer {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(seed, 0))
	}
	b := anvilbalance.New(c)
	service.Name = "s"
	b.SetServices(map[anvilmodel.ServiceName]anvilroute.Service{"s": service})
	for i := range leaves {
		b.SetLeaf(testLeaf(i), start)
	}
	return b
}

func testLeaf(i int) anvilbalance.Leaf {
	return anvilbalance.Leaf{
		Name:    anvilmodel.LeafName(rune('a' + i)),
		Service: "s",
		Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i)),
		Slots:   2,
	}
}

func pick(b *anvilbalance.Balancer, kind anvilbalance.CallKind, now time.Time, tried ...anvilmodel.LeafName) (anvilbalance.Leaf, anvilbalance.PickStatus) {
	return b.Pick(anvilbalance.PickRequest{
		Service: "s",
		Kind:    kind,
		Tried:   tried,
	}, now)
}

func finish(b *anvilbalance.Balancer, l anvilbalance.Leaf, o anvilbalance.Outcome, elapsed time.Duration, now time.Time) {
	b.Finish(anvilbalance.CallResult{
		Leaf:    l,
		Route:   "r",
		Outcome: o,
		Elapsed: elapsed,
	}, now)
}

// One leaf of a shard becomes slow under ordinary load. Guards against a slow leaf
// that still gets its full share of the calls.
func TestSlowLeafGetsFewCalls(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 2)
	now := start
	calls := make(map[anvilmodel.LeafName]int)
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		l, _ := pick(b, anvilbalance.CallFirst, now)
		elapsed := 20 * time.Millisecond
		if l.Name == "a" {
			elapsed = 160 * time.Millisecond
		}
		finish(b, l, anvilbalance.OutcomeGood, elapsed, now)
		if i >= 100 {
			calls[l.Name]++
		}
	}
	if calls["a"] > 60 || calls["a"] == 0 {
		t.Errorf("seed %d: the slow leaf got %d of 300 calls, want 1 to 60 so that its recovery is detected", seed, calls["a"])
	}
}

// A leaf pauses for about 200 ms, many times a minute. Guards against sending more
// calls to the paused leaf once the first one is overdue.
func TestOverdueLeafIsAvoided(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 2)
	paused, _ := pick(b, anvilbalance.CallFirst, start)
	b.MarkOverdue(paused)
	for range 20 {
		l, _ := pick(b, anvilbalance.CallFirst, start)
		if l.Name == paused.Name {
			t.Fatalf("seed %d: a call went to the leaf with the overdue call", seed)
		}
		finish(b, l, anvilbalance.OutcomeGood, 20*time.Millisecond, start)
	}
}

// The leaves of a shard are in several failure domains, and the calls of the local one
// take 1.5 times as long as those of the others. Guards against calls to another domain
// for a small gain in latency, and against calls that queue in the local domain while
// leaves in other domains are idle.
func TestLocalDomainIsPreferredUntilCallsQueue(t *testing.T) {
	b := newBalancer(anvilbalance.Config{
		FailureDomain: "west",
	}, anvilroute.Service{}, 0)
	for i, domain := range []anvilmodel.FailureDomain{"west", "east", "north"} {
		l := testLeaf(i)
		l.FailureDomain = domain
		b.SetLeaf(l, start)
	}
	// The leaf of another service sets the median latency of the route.
	other := testLeaf(3)
	other.Service = "other"
	b.SetLeaf(other, start)
	now := start
	calls := make(map[anvilmodel.FailureDomain]int)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		for range 4 {
			l, _ := b.Pick(anvilbalance.PickRequest{Service: "other"}, now)
			finish(b, l, anvilbalance.OutcomeGood, 20*time.Millisecond, now)
		}
		l, _ := pick(b, anvilbalance.CallFirst, now)
		elapsed := 20 * time.Millisecond
		if l.FailureDomain == "west" {
			elapsed = 30 * time.Millisecond
		}
		finish(b, l, anvilbalance.OutcomeGood, elapsed, now)
		calls[l.FailureDomain]++
	}
	if calls["west"] < 270 {
		t.Errorf("seed %d: %d of 300 calls stayed in the local failure domain, want at least 270", seed, calls["west"])
	}
	queued := 0
	for range 6 {
		if l, _ := pick(b, anvilbalance.CallFirst, now); l.FailureDomain == "west" {
			queued++
		}
	}
	if queued > 2 {
		t.Errorf("seed %d: %d of 6 concurrent calls went to the 2 slots in the local failure domain, want at most 2", seed, queued)
	}
}

// All nodes lose power and return within a second, while the leaves still count the
// connections that were idle before. Guards against so many idle connections that the
// leaves reset the new connections of the returning nodes.
func TestIdleConnectionsLeaveRoomForReturningNodes(t *testing.T) {
	const nodes, limit = 4, 30
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{
		MaxConnections: limit,
	}, 2)
	b.SetNodeCount(nodes)
	if idle := nodes * b.IdleConnectionLimit("s"); idle > limit/2 {
		t.Errorf("%d nodes keep %d idle connections to a leaf that accepts %d, want at most half of its limit", nodes, idle, limit)
	}
	b.SetNodeCount(50)
	if diff := cmp.Diff(1, b.IdleConnectionLimit("s")); diff != "" {
		t.Errorf("idle connections per node with 50 nodes (-want +got):\n%s", diff)
	}
}

// Guards against calls to a leaf that is draining, is in an excluded failure domain,
// was removed, or was already tried.
func TestUnusableLeavesAreNotPicked(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 5)
	draining := testLeaf(0)
	draining.Draining = true
	b.SetLeaf(draining, start)
	excluded := testLeaf(1)
	excluded.FailureDomain = "east"
	b.SetLeaf(excluded, start)
	b.SetExcludedDomains([]anvilmodel.FailureDomain{"east"}, 0, start)
	b.RemoveLeaf("c", start, 0)
	for range 10 {
		l, status := pick(b, anvilbalance.CallFirst, start, "d")
		if diff := cmp.Diff(anvilmodel.LeafName("e"), l.Name); diff != "" || status != anvilbalance.PickOK {
			t.Fatalf("leaf picked (-want +got), status %s:\n%s", status, diff)
		}
	}
	if _, status := pick(b, anvilbalance.CallFirst, start, "d", "e"); status != anvilbalance.PickNoLeaf {
		t.Errorf("status %s with no usable leaf, want %s", status, anvilbalance.PickNoLeaf)
	}
}

// Guards against a removed leaf that is used after its grace period, and against one
// that is not used within it, which would lose all leaves when their entries are
// missing because the store was unavailable.
func TestRemovedLeafInGracePeriod(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	b.RemoveLeaf("a", start, 2*time.Second)
	if !b.ServiceAvailable("s", start.Add(1900*time.Millisecond)) {
		t.Error("the leaf is not available within the grace period")
	}
	if b.ServiceAvailable("s", start.Add(2*time.Second)) {
		t.Error("the leaf is available after the grace period")
	}
}

// Guards against a dead leaf that still gets calls, each of which needs a hedge, and
// against an ejected leaf that is never used again.
func TestEjectionAndReturn(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	for range 3 {
		l, status := pick(b, anvilbalance.CallFirst, start)
		if status != anvilbalance.PickOK {
			t.Fatalf("status %s before the third failure", status)
		}
		finish(b, l, anvilbalance.OutcomeUnsent, time.Millisecond, start)
	}
	if _, status := pick(b, anvilbalance.CallFirst, start); status != anvilbalance.PickNoLeaf {
		t.Fatalf("status %s after three failures, want %s", status, anvilbalance.PickNoLeaf)
	}
	now := start.Add(100 * time.Millisecond)
	due := b.DueHealthChecks(now)
	if diff := cmp.Diff(1, len(due)); diff != "" {
		t.Fatalf("health checks due (-want +got):\n%s", diff)
	}
	b.FinishHealthCheck(anvilbalance.HealthResult{
		Leaf:     due[0],
		Answered: true,
		Healthy:  true,
		SentAt:   now,
	}, now)
	if _, status := pick(b, anvilbalance.CallFirst, now); status != anvilbalance.PickOK {
		t.Errorf("status %s after a successful health check", status)
	}
}

// Guards against more extra calls than the retry budget allows. In any window of
// 10 s, all nodes together may make extra calls for a fifth of the requests, plus the
// slack.
func TestRetryBudgetOverAllNodes(t *testing.T) {
	const nodes, ratio, slack = 4, 0.2, 52
	var balancers []*anvilbalance.Balancer
	for range nodes {
		b := newBalancer(anvilbalance.Config{
			RetryRatio: ratio,
			RetrySlack: slack,
		}, anvilroute.Service{}, 2)
		b.SetNodeCount(nodes)
		balancers = append(balancers, b)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var requests, extras []time.Time
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(11 * time.Millisecond) {
		b := balancers[random.IntN(nodes)]
		b.CountRequest("s", now)
		requests = append(requests, now)
		kind := anvilbalance.CallRetry
		if random.IntN(2) == 0 {
			kind = anvilbalance.CallHedge
		}
		if l, status := pick(b, kind, now); status == anvilbalance.PickOK {
			finish(b, l, anvilbalance.OutcomeGood, time.Millisecond, now)
			extras = append(extras, now)
		}
	}
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(100 * time.Millisecond) {
		requestCount, extraCount := countWithin(requests, at), countWithin(extras, at)
		if float64(extraCount) > ratio*float64(requestCount)+slack {
			t.Fatalf("seed %d: %d extra calls for %d requests in the 10 s that start %s into the test", seed, extraCount, requestCount, at.Sub(start))
		}
	}
	if len(extras) < len(requests)/10 {
		t.Errorf("seed %d: only %d extra calls for %d requests, want at least a tenth of the requests", seed, len(extras), len(requests))
	}
}

// countWithin returns the number of times within 10 s of from.
func countWithin(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
			n++
		}
	}
	return n
}

// Guards against a cold leaf that gets more calls from all nodes within a second than
// its rate times the factor, plus the slack, also if the rate is below one call per second
// and node.
func TestColdRateOverAllNodes(t *testing.T) {
	for _, c := range []struct {
		nodes int
		rate  float64
	}{
		{nodes: 4, rate: 20},
		{nodes: 4, rate: 1},
		{nodes: 26, rate: 4},
		{nodes: 117, rate: 4},
		{nodes: 410, rate: 20},
	} {
		t.Run(fmt.Sprintf("%d-nodes-%g-per-second", c.nodes, c.rate), func(t *testing.T) { testColdRate(t, c.nodes, c.rate) })
	}
}

func testColdRate(t *testing.T, nodes int, rate float64) {
	t.Helper()
	const factor, slack = 1.5, 5.0
	var callTimes []time.Time
	for i := range nodes {
		b := newBalancer(anvilbalance.Config{
			Random:     rand.New(rand.NewPCG(seed, uint64(i))),
			ColdFactor: factor,
			ColdSlack:  slack,
		}, anvilroute.Service{
			MaxColdRate: rate,
		}, 0)
		b.SetShare(1/float64(nodes), float64(i)/float64(nodes))
		coldLeaf := testLeaf(0)
		coldLeaf.ColdFor = 3 * time.Second
		b.SetLeaf(coldLeaf, start)
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if l, status := pick(b, anvilbalance.CallFirst, now); status == anvilbalance.PickOK {
				finish(b, l, anvilbalance.OutcomeGood, time.Millisecond, now)
				callTimes = append(callTimes, now)
			}
		}
	}
	for at := start; at.Before(start.Add(2 * time.Second)); at = at.Add(5 * time.Millisecond) {
		n := 0
		for _, callTime := range callTimes {
			if !callTime.Before(at) && callTime.Before(at.Add(time.Second)) {
				n++
			}
		}
		if float64(n) > rate*factor+slack {
			t.Fatalf("%d calls in the second that starts %s into the test, want at most %.0f", n, at.Sub(start), rate*factor+slack)
		}
	}
	if len(callTimes) == 0 {
		t.Error("the cold leaf got no calls")
	}
}

// Guards against more connections to a leaf than it accepts from all nodes together.
func TestConnectionsAreShared(t *testing.T) {
	const limit, nodes = 26, 4
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{
		MaxConnections: limit,
	}, 1)
	b.SetNodeCount(nodes)
	if got := b.ConnectionLimit("s"); got*nodes > limit || got < 1 {
		t.Errorf("%d connections for each of %d nodes to a leaf that accepts %d", got, nodes, limit)
	}
	for range b.ConnectionLimit("s") {
		pick(b, anvilbalance.CallFirst, start)
	}
	if _, status := pick(b, anvilbalance.CallFirst, start); status != anvilbalance.PickBusy {
		t.Errorf("status %s at the connection limit, want %s", status, anvilbalance.PickBusy)
	}
}

// A leaf restarts under the same name while calls to its earlier process are in flight.
// Guards against counting the results of those calls for the new process.
func TestResultOfEarlierProcessIsIgnored(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	old, _ := pick(b, anvilbalance.CallFirst, start)
	restarted := testLeaf(0)
	restarted.StartedAt = start.Add(time.Second)
	b.SetLeaf(restarted, start.Add(time.Second))
	for range 5 {
		finish(b, old, anvilbalance.OutcomeLost, time.Millisecond, start.Add(time.Second))
	}
	if !b.ServiceAvailable("s", start.Add(time.Second)) {
		t.Error("the new process was ejected because of calls to the old one")
	}
}

// Guards against hedges that are sent too late to be answered within the latency
// target, and against hedging most calls of a route whose ordinary calls take as long
// as the hedge delay.
func TestHedgeDelay(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	if diff := cmp.Diff(15*time.Millisecond, b.HedgeDelay("r", 60*time.Millisecond, 1)); diff != "" {
		t.Errorf("delay of a route without samples (-want +got):\n%s", diff)
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for range 500 {
		l, _ := pick(b, anvilbalance.CallFirst, start)
		finish(b, l, anvilbalance.OutcomeGood, 15*time.Millisecond+time.Duration(random.Int64N(int64(10*time.Millisecond))), start)
	}
	got := b.HedgeDelay("r", 150*time.Millisecond, 1)
	if got < 22*time.Millisecond || got > 35*time.Millisecond {
		t.Errorf("seed %d: calls of 15 to 25 ms are overdue after %s, want 22 to 35 ms", seed, got)
	}
}

// Another leaf answers at a leaf's address. Guards against further calls to that
// address.
func TestMisdirectedLeafIsEjected(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{HealthPath: "/health"}, 1)
	l, _ := pick(b, anvilbalance.CallFirst, start)
	finish(b, l, anvilbalance.OutcomeMisdirected, time.Millisecond, start)
	if _, status := pick(b, anvilbalance.CallFirst, start.Add(time.Second)); status != anvilbalance.PickNoLeaf {
		t.Errorf("status %s one second later, want no-leaf", status)
	}
}

// The leaves of a shard are overloaded, and as many calls wait at the second one as it
// has slots. Guards against hedges that make its queue longer; first calls and retries
// are still sent to it.
func TestNoHedgeToLeafWithFullQueue(t *testing.T) {
	b := newBalancer(anvilbalance.Config{RetrySlack: 100}, anvilroute.Service{}, 2)
	for range 4 {
		pick(b, anvilbalance.CallFirst, start, "a")
	}
	if l, status := pick(b, anvilbalance.CallHedge, start, "a"); status == anvilbalance.PickOK {
		t.Errorf("a hedge was sent to %q, which has four calls in two slots", l.Name)
	}
	if _, status := pick(b, anvilbalance.CallRetry, start, "a"); status != anvilbalance.PickOK {
		t.Errorf("status %s of a retry, want picked", status)
	}
}

// Guards against hedges that grow with the number of shards of a query: nine for each
// query to 90 shards.
func TestHedgesPerQueryDoNotGrowWithParts(t *testing.T) {
	const parts = 90
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	random := rand.New(rand.NewPCG(seed, 3))
	randomLatency := func() time.Duration {
		return time.Duration(float64(10*time.Millisecond) * (1 + random.ExpFloat64()))
	}
	b.HedgeDelay("r", time.Second, parts)
	for range 2000 {
		l, _ := pick(b, anvilbalance.CallFirst, start)
		finish(b, l, anvilbalance.OutcomeGood, randomLatency(), start)
	}
	delay := b.HedgeDelay("r", time.Second, parts)
	const queries = 1000
	overdue := 0
	for range queries * parts {
		if randomLatency() > delay {
			overdue++
		}
	}
	if hedges := float64(overdue) / queries; hedges < 0.3 || hedges > 3 {
		t.Errorf("seed %d: %.1f calls per query to %d shards are overdue after %s, want about one", seed, hedges, parts, delay)
	}
}
