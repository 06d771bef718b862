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

// newBalancer returns a balancer with leafs "a", "b" and so on of one service.
func newBalancer(c anvilbalance.Config, service anvilroute.Service, leafs int) *anvilbalance.Balancer {
	c.Random = rand.New(rand.NewPCG(seed, 0))
	b := anvilbalance.New(c)
	service.Name = "s"
	b.SetServices(map[anvilmodel.ServiceName]anvilroute.Service{"s": service})
	for i := range leafs {
		b.SetLeaf(leaf(i), start)
	}
	return b
}

func leaf(i int) anvilbalance.Leaf {
	return anvilbalance.Leaf{
		ID:      anvilmodel.LeafName(rune('a' + i)),
		Service: "s",
		Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i)),
		Slots:   2,
	}
}

func pick(b *anvilbalance.Balancer, kind anvilbalance.CallKind, now time.Time, tried ...anvilmodel.LeafName) (anvilbalance.Leaf, anvilbalance.Verdict) {
	return b.Pick(anvilbalance.Choice{
		Service: "s",
		Kind:    kind,
		Tried:   tried,
	}, now)
}

func finish(b *anvilbalance.Balancer, l anvilbalance.Leaf, o anvilbalance.Outcome, elapsed time.Duration, now time.Time) {
	b.Finish(anvilbalance.Result{
		Leaf:    l,
		Route:   "r",
		Outcome: o,
		Elapsed: elapsed,
	}, now)
}

// Pattern: one leaf of a shard turns slow while its load is ordinary. Guards
// against a slow leaf that keeps its share of the calls.
func TestSlowLeafGetsFewCalls(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 2)
	now := start
	calls := make(map[anvilmodel.LeafName]int)
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		l, _ := pick(b, anvilbalance.CallFirst, now)
		elapsed := 20 * time.Millisecond
		if l.ID == "a" {
			elapsed = 160 * time.Millisecond
		}
		finish(b, l, anvilbalance.OutcomeGood, elapsed, now)
		if i >= 100 {
			calls[l.ID]++
		}
	}
	if calls["a"] > 60 || calls["a"] == 0 {
		t.Errorf("seed %d: the slow leaf got %d of 300 calls, want a few so that its recovery is noticed", seed, calls["a"])
	}
}

// Pattern: a leaf pauses for some 200 ms, many times a minute. Guards against
// calls that follow the first overdue one to the paused leaf.
func TestOverdueLeafIsAvoided(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 2)
	paused, _ := pick(b, anvilbalance.CallFirst, start)
	b.Overdue(paused)
	for range 20 {
		l, _ := pick(b, anvilbalance.CallFirst, start)
		if l.ID == paused.ID {
			t.Fatalf("seed %d: a call went to the leaf with the overdue call", seed)
		}
		finish(b, l, anvilbalance.OutcomeGood, 20*time.Millisecond, start)
	}
}

// Pattern: the leafs of a shard stand in several failure domains and differ in
// speed by half. Guards against parts that are fetched from another domain for a
// small gain, and against calls that queue in the own domain while others are free.
func TestOwnDomainGoesFirstUntilItQueues(t *testing.T) {
	b := newBalancer(anvilbalance.Config{
		FailureDomain: "west",
	}, anvilroute.Service{}, 0)
	for i, domain := range []anvilmodel.FailureDomain{"west", "east", "north"} {
		l := leaf(i)
		l.FailureDomain = domain
		b.SetLeaf(l, start)
	}
	// The leafs of the other shards make the latency of the route.
	other := leaf(3)
	other.Service = "other"
	b.SetLeaf(other, start)
	now := start
	calls := make(map[anvilmodel.FailureDomain]int)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		for range 4 {
			l, _ := b.Pick(anvilbalance.Choice{Service: "other"}, now)
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
		t.Errorf("seed %d: %d of 300 calls stayed in the failure domain", seed, calls["west"])
	}
	queued := 0
	for range 6 {
		if l, _ := pick(b, anvilbalance.CallFirst, now); l.FailureDomain == "west" {
			queued++
		}
	}
	if queued > 2 {
		t.Errorf("seed %d: %d of 6 calls at a time went to the 2 slots in the failure domain", seed, queued)
	}
}

// Pattern: all nodes lose power and return within a second, while the leafs still
// count the connections that were idle. Guards against so many of them that the
// leafs reset the calls of the nodes that return.
func TestIdleConnectionsLeaveRoomForReturningNodes(t *testing.T) {
	const nodes, accepted = 4, 30
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{
		MaxConnections: accepted,
	}, 2)
	b.SetNodes(nodes)
	if idle := nodes * b.IdleConnections("s"); idle > accepted/2 {
		t.Errorf("%d nodes keep %d connections idle to a leaf that accepts %d, want half of them at most", nodes, idle, accepted)
	}
	b.SetNodes(50)
	if diff := cmp.Diff(1, b.IdleConnections("s")); diff != "" {
		t.Errorf("idle connections of one of 50 nodes (-want +got):\n%s", diff)
	}
}

// Guards against calls to a leaf that is draining, in a failure domain that is
// out, removed or tried before.
func TestUnusableLeafs(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 5)
	draining := leaf(0)
	draining.Draining = true
	b.SetLeaf(draining, start)
	out := leaf(1)
	out.FailureDomain = "east"
	b.SetLeaf(out, start)
	b.SetOut([]anvilmodel.FailureDomain{"east"})
	b.RemoveLeaf("c", start, 0)
	for range 10 {
		l, v := pick(b, anvilbalance.CallFirst, start, "d")
		if diff := cmp.Diff(anvilmodel.LeafName("e"), l.ID); diff != "" || v != anvilbalance.VerdictPicked {
			t.Fatalf("leaf picked (-want +got), verdict %s:\n%s", v, diff)
		}
	}
	if _, v := pick(b, anvilbalance.CallFirst, start, "d", "e"); v != anvilbalance.VerdictNone {
		t.Errorf("verdict %s with no leaf left, want %s", v, anvilbalance.VerdictNone)
	}
}

// Guards against a removed leaf that is used after its grace, and against one
// that is not used within it although the store was away.
func TestRemovedLeafInGrace(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	b.RemoveLeaf("a", start, 2*time.Second)
	if !b.Available("s", start.Add(1900*time.Millisecond)) {
		t.Error("the leaf is not used within the grace")
	}
	if b.Available("s", start.Add(2*time.Second)) {
		t.Error("the leaf is used after the grace")
	}
}

// Guards against a dead leaf that costs every query a hedge, and against one that
// is never used again.
func TestEjectionAndReturn(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	for range 3 {
		l, v := pick(b, anvilbalance.CallFirst, start)
		if v != anvilbalance.VerdictPicked {
			t.Fatalf("verdict %s before the third failure", v)
		}
		finish(b, l, anvilbalance.OutcomeUnsent, time.Millisecond, start)
	}
	if _, v := pick(b, anvilbalance.CallFirst, start); v != anvilbalance.VerdictNone {
		t.Fatalf("verdict %s after three failures, want %s", v, anvilbalance.VerdictNone)
	}
	now := start.Add(100 * time.Millisecond)
	due := b.DueChecks(now)
	if diff := cmp.Diff(1, len(due)); diff != "" {
		t.Fatalf("health checks due (-want +got):\n%s", diff)
	}
	b.Checked(due[0], true, now)
	if _, v := pick(b, anvilbalance.CallFirst, now); v != anvilbalance.VerdictPicked {
		t.Errorf("verdict %s after a good health check", v)
	}
}

// Guards against extra calls above the stated bound: over all nodes and any
// window of 10 s, a fifth of the requests and the slack.
func TestRetryBudgetOverAllNodes(t *testing.T) {
	const nodes, ratio, slack = 4, 0.2, 52
	var balancers []*anvilbalance.Balancer
	for range nodes {
		b := newBalancer(anvilbalance.Config{
			RetryRatio: ratio,
			RetrySlack: slack,
		}, anvilroute.Service{}, 2)
		b.SetNodes(nodes)
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
		if l, v := pick(b, kind, now); v == anvilbalance.VerdictPicked {
			finish(b, l, anvilbalance.OutcomeGood, time.Millisecond, now)
			extras = append(extras, now)
		}
	}
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(100 * time.Millisecond) {
		asked, extra := within(requests, at), within(extras, at)
		if float64(extra) > ratio*float64(asked)+slack {
			t.Fatalf("seed %d: %d extra calls for %d requests in 10 s from %s", seed, extra, asked, at.Sub(start))
		}
	}
	if len(extras) < len(requests)/10 {
		t.Errorf("seed %d: only %d extra calls for %d requests: the budget is hardly used", seed, len(extras), len(requests))
	}
}

func within(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
			n++
		}
	}
	return n
}

// Guards against a cold leaf that gets more calls within a second than it bears:
// its rate times the factor and the slack, over all nodes.
func TestColdRateOverAllNodes(t *testing.T) {
	const nodes, rate, factor, slack = 4, 20.0, 1.5, 5.0
	var sent []time.Time
	for range nodes {
		b := newBalancer(anvilbalance.Config{
			ColdFactor: factor,
			ColdSlack:  slack,
		}, anvilroute.Service{
			MaxColdRate: rate,
		}, 0)
		b.SetNodes(nodes)
		cold := leaf(0)
		cold.ColdFor = 3 * time.Second
		b.SetLeaf(cold, start)
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if l, v := pick(b, anvilbalance.CallFirst, now); v == anvilbalance.VerdictPicked {
				finish(b, l, anvilbalance.OutcomeGood, time.Millisecond, now)
				sent = append(sent, now)
			}
		}
	}
	for at := start; at.Before(start.Add(2 * time.Second)); at = at.Add(5 * time.Millisecond) {
		n := 0
		for _, s := range sent {
			if !s.Before(at) && s.Before(at.Add(time.Second)) {
				n++
			}
		}
		if float64(n) > rate*factor+slack {
			t.Fatalf("%d calls in the second from %s, at most %.0f are allowed", n, at.Sub(start), rate*factor+slack)
		}
	}
	if len(sent) == 0 {
		t.Error("a cold leaf got no call at all")
	}
}

// Guards against more connections to a leaf than it accepts from all nodes.
func TestConnectionsAreShared(t *testing.T) {
	const limit, nodes = 26, 4
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{
		MaxConnections: limit,
	}, 1)
	b.SetNodes(nodes)
	if got := b.Connections("s"); got*nodes > limit || got < 1 {
		t.Errorf("%d connections for each of %d nodes, the leaf accepts %d", got, nodes, limit)
	}
	for range b.Connections("s") {
		pick(b, anvilbalance.CallFirst, start)
	}
	if _, v := pick(b, anvilbalance.CallFirst, start); v != anvilbalance.VerdictBusy {
		t.Errorf("verdict %s beyond the connections, want %s", v, anvilbalance.VerdictBusy)
	}
}

// Guards against results of a leaf's earlier process that are charged to the one
// that has started since under the same id.
func TestResultOfEarlierProcessIsIgnored(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	old, _ := pick(b, anvilbalance.CallFirst, start)
	restarted := leaf(0)
	restarted.Started = start.Add(time.Second)
	b.SetLeaf(restarted, start.Add(time.Second))
	for range 5 {
		finish(b, old, anvilbalance.OutcomeLost, time.Millisecond, start.Add(time.Second))
	}
	if !b.Available("s", start.Add(time.Second)) {
		t.Error("the new process was ejected for calls to the old one")
	}
}

// Guards against hedges that come too late to be answered within the target, and
// against hedging most calls of a route whose ordinary calls take that long.
func TestHedgeDelay(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	if diff := cmp.Diff(15*time.Millisecond, b.HedgeDelay("r", 60*time.Millisecond, 1)); diff != "" {
		t.Errorf("delay of an unknown route (-want +got):\n%s", diff)
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for range 500 {
		l, _ := pick(b, anvilbalance.CallFirst, start)
		finish(b, l, anvilbalance.OutcomeGood, 15*time.Millisecond+time.Duration(random.Int64N(int64(10*time.Millisecond))), start)
	}
	got := b.HedgeDelay("r", 150*time.Millisecond, 1)
	if got < 22*time.Millisecond || got > 35*time.Millisecond {
		t.Errorf("seed %d: calls of 15 to 25 ms are overdue after %s", seed, got)
	}
}

// Guards against calls that go on to an address at which another leaf answers that it is
// not the one.
func TestMisdirectedLeafIsTakenOutOfUse(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{HealthPath: "/health"}, 1)
	l, _ := pick(b, anvilbalance.CallFirst, start)
	finish(b, l, anvilbalance.OutcomeMisdirected, time.Millisecond, start)
	if _, verdict := pick(b, anvilbalance.CallFirst, start.Add(time.Second)); verdict != anvilbalance.VerdictNone {
		t.Errorf("a second later the leaf is %s, want none", verdict)
	}
}

// Pattern: the queue of the second leaf of a shard is as long as it has slots, because
// leafs are overloaded. Guards against hedges that make it longer; first calls and
// retries still go there.
func TestNoHedgeAtAFullLeaf(t *testing.T) {
	b := newBalancer(anvilbalance.Config{RetrySlack: 100}, anvilroute.Service{}, 2)
	for range 4 {
		pick(b, anvilbalance.CallFirst, start, "a")
	}
	if l, verdict := pick(b, anvilbalance.CallHedge, start, "a"); verdict == anvilbalance.VerdictPicked {
		t.Errorf("a hedge went to %q with four calls at two slots", l.ID)
	}
	if _, verdict := pick(b, anvilbalance.CallRetry, start, "a"); verdict != anvilbalance.VerdictPicked {
		t.Errorf("a retry to the leaf: %s", verdict)
	}
}

// Pattern: a query to many shards. Guards against hedges that grow with the shards: nine
// of each query to 90 shards.
func TestHedgesOfAQueryDoNotGrowWithItsParts(t *testing.T) {
	const parts = 90
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	random := rand.New(rand.NewPCG(seed, 3))
	draw := func() time.Duration {
		return time.Duration(float64(10*time.Millisecond) * (1 + random.ExpFloat64()))
	}
	b.HedgeDelay("r", time.Second, parts)
	for range 2000 {
		l, _ := pick(b, anvilbalance.CallFirst, start)
		finish(b, l, anvilbalance.OutcomeGood, draw(), start)
	}
	delay := b.HedgeDelay("r", time.Second, parts)
	const queries = 1000
	overdue := 0
	for range queries * parts {
		if draw() > delay {
			overdue++
		}
	}
	if hedges := float64(overdue) / queries; hedges < 0.3 || hedges > 3 {
		t.Errorf("seed %d: %.1f calls of a query to %d shards are overdue after %s, want about one", seed, hedges, parts, delay)
	}
}
