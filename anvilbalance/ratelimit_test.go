package anvilbalance_test

import (
	"fmt"
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Callers send at least three times as many requests as a leaf accepts from all nodes
// together, to all nodes or to some. Then they move to other nodes, nodes are restarted,
// one freezes and returns, and another is lost. Guards against shares that add up to more than the limit,
// also where a node's share is below one call per second, and against leaving most of a
// limit unused.
func TestRateLimitOverAllNodes(t *testing.T) {
	for _, c := range []struct {
		nodes, busy int
		perSecond   float64
	}{
		{nodes: 4, busy: 4, perSecond: 24},
		{nodes: 4, busy: 4, perSecond: 0.5},
		{nodes: 4, busy: 2, perSecond: 1},
		{nodes: 26, busy: 6, perSecond: 10},
		{nodes: 26, busy: 26, perSecond: 4},
		{nodes: 117, busy: 19, perSecond: 12},
		{nodes: 117, busy: 117, perSecond: 1},
		{nodes: 410, busy: 410, perSecond: 30},
	} {
		t.Run(fmt.Sprintf("%d-of-%d-nodes-%g-per-second", c.busy, c.nodes, c.perSecond), func(t *testing.T) {
			t.Parallel()
			f := newLimitFleet(c.nodes, c.perSecond, max(3*c.perSecond, 5*float64(c.busy)))
			for i, n := range f.nodes[:c.busy] {
				n.weight = 1 + float64(i%3)
			}
			// An announced rate has reached all nodes after this time.
			propagation := 2*time.Second + time.Duration(c.nodes)*100*time.Millisecond
			f.run(6*time.Second + propagation)
			settled := f.now
			f.run(20 * time.Second)
			f.check(t, settled, 0.4)
			f.moveCallers(c.busy)
			f.run(15*time.Second + propagation)
			for range max(1, c.busy/4) {
				f.startProcess(f.nodes[f.random.IntN(c.busy)])
			}
			f.run(10 * time.Second)
			frozen, lost := f.nodes[0], f.nodes[1]
			frozen.downSince, lost.downSince = f.now, f.now
			f.run(5 * time.Second)
			frozen.downSince = time.Time{}
			f.run(20 * time.Second)
			f.check(t, settled, 0.4)
		})
	}
}

// One node has callers, and then all nodes get as many. Guards against nodes that each use
// the share of a fleet with few callers until the demand of the others has reached them.
func TestRateLimitWhileDemandSpreads(t *testing.T) {
	for _, nodes := range []int{4, 26, 117} {
		t.Run(fmt.Sprintf("%d-nodes", nodes), func(t *testing.T) {
			t.Parallel()
			const requestsPerNode = 20
			// An announced rate has reached all nodes after this time.
			propagation := 2*time.Second + time.Duration(nodes)*100*time.Millisecond
			f := newLimitFleet(nodes, 12, requestsPerNode)
			f.nodes[0].weight = 1
			f.run(6*time.Second + propagation)
			for _, n := range f.nodes {
				n.weight = 1
			}
			f.requestsPerSecond = requestsPerNode * float64(nodes)
			spread := f.now
			f.run(2*time.Second + propagation)
			settled := f.now
			f.run(20 * time.Second)
			f.check(t, spread, 0)
			f.check(t, settled, 0.4)
		})
	}
}

// limitedReply finishes a call to the leaf, which announces the limit in its reply, or that
// there is none if it is 0.
func limitedReply(b *anvilbalance.Balancer, perSecond float64, now time.Time) {
	finishWithReply(b, anvilbalance.CallResult{
		Leaf:           testLeaf(0),
		Outcome:        anvilbalance.OutcomeGood,
		RateLimitKnown: true,
		RateLimit: anvilmodel.RateLimit{
			Limited:   perSecond > 0,
			PerSecond: perSecond,
		},
	}, now)
}

// A node receives a leaf's rate limit from another node before it calls the leaf. Guards
// against a burst of calls from nodes that have not called the leaf yet, against an old
// announcement that overrides a later one, and against a limit that outlives its end.
func TestRateLimitPassedOnByAnotherNode(t *testing.T) {
	informed, other := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1), newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	limitedReply(informed, 2, start)
	now := start.Add(time.Second)
	passOn := func() {
		for _, n := range informed.RateLimitsToAnnounce(now) {
			other.MergeRateLimit(n, now)
		}
	}
	passOn()
	if calls := countCalls(other, now, time.Second)["a"]; calls > 5 {
		t.Errorf("%d calls within 1 s from a node that received the limit of 2 per second from another", calls)
	}
	old := informed.RateLimitsToAnnounce(now)
	limitedReply(informed, 0, now)
	now = now.Add(time.Second)
	passOn()
	now = now.Add(8 * time.Second)
	for _, n := range old {
		n.Age += 9 * time.Second
		if other.MergeRateLimit(n, now) {
			t.Error("an old announcement overrides the end of the limit")
		}
	}
	if calls := countCalls(other, now, time.Second)["a"]; calls != 100 {
		t.Errorf("%d of 100 calls after the end of the limit", calls)
	}
	later := testLeaf(0)
	later.StartedAt = start.Add(time.Minute)
	other.SetLeaf(later, now)
	limitedReply(informed, 2, now)
	passOn()
	if calls := countCalls(other, now, time.Second)["a"]; calls != 100 {
		t.Errorf("%d of 100 calls to a process that was started after the one with the limit", calls)
	}
}

// Guards against messages that grow with the number of leaves in need, and against passing
// on limits that no reply has confirmed for long.
func TestPassedOnRateLimitsAreBounded(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 0)
	for i := range 300 {
		l := testLeaf(0)
		l.Name = anvilmodel.LeafName(fmt.Sprint("leaf-", i))
		b.SetLeaf(l, start)
		b.RecordRateLimit(l, anvilmodel.RateLimit{
			Limited:   true,
			PerSecond: 3,
		}, start.Add(time.Duration(i)*time.Millisecond))
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{
		{after: time.Second, want: 32},
		{after: 8 * time.Second, want: 4},
		{after: time.Minute, want: 0},
	} {
		notices := b.RateLimitsToAnnounce(start.Add(c.after))
		if len(notices) != c.want || c.want > 0 && notices[0].Leaf != "leaf-299" {
			t.Errorf("%d limits are passed on after %s, want %d with the latest first", len(notices), c.after, c.want)
		}
	}
}

// A leaf raises its limit, lowers it and ends it. Guards against sending at the higher limit
// while the requests under the lower one still count, against a lower limit that applies
// late, against all calls at once when it ends, and against a limit that outlives its end.
func TestChangedRateLimit(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	for i, c := range []struct {
		perSecond       float64
		after           time.Duration
		atLeast, atMost int
	}{
		{perSecond: 4, atLeast: 3, atMost: 10},
		{perSecond: 40, atLeast: 3, atMost: 10},
		{perSecond: 40, after: 4 * time.Second, atLeast: 35, atMost: 75},
		{perSecond: 2, atLeast: 1, atMost: 7},
		{perSecond: 0, atLeast: 3, atMost: 10},
		{perSecond: 0, after: 8 * time.Second, atLeast: 100, atMost: 100},
	} {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		limitedReply(b, c.perSecond, now)
		if calls := countCalls(b, now.Add(c.after), time.Second)["a"]; calls < c.atLeast || calls > c.atMost {
			t.Errorf("step %d: %d calls in the second that starts %s after the announcement of %g per second, want %d to %d", i, calls, c.after, c.perSecond, c.atLeast, c.atMost)
		}
	}
}

// A leaf with a rate limit leaves calls unanswered until it is ejected, and is checked until
// it returns. Guards against hedges and health checks beyond the limit.
func TestRateLimitCountsAllRequests(t *testing.T) {
	b := newBalancer(anvilbalance.Config{RetrySlack: 100}, anvilroute.Service{HealthPath: "/health"}, 1)
	limitedReply(b, 1, start)
	now := start.Add(10 * time.Second)
	requests := 0
	for range 10 {
		if l, status := pick(b, anvilbalance.CallHedge, now); status == anvilbalance.PickOK {
			requests++
			finish(b, l, anvilbalance.OutcomeAbandoned, time.Millisecond, now)
		}
	}
	if requests != 1 {
		t.Errorf("%d hedges at once to a leaf with a limit of 1 per second, want 1 of the 2 calls that may be made at once", requests)
	}
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if l, status := pick(b, anvilbalance.CallFirst, now); status == anvilbalance.PickOK {
			requests++
			finish(b, l, anvilbalance.OutcomeTimeout, time.Millisecond, now)
		}
		for _, l := range b.DueHealthChecks(now) {
			requests++
			b.FinishHealthCheck(anvilbalance.HealthResult{
				Leaf:     l,
				Answered: requests%2 == 0,
				Healthy:  requests%2 == 0,
				SentAt:   now,
			}, now)
		}
	}
	if requests < 10 || requests > 20+5 {
		t.Errorf("%d requests within 20 s to a leaf with a limit of 1 per second", requests)
	}
}

// The entry of a leaf with a rate limit lapses while the store is unavailable, and returns.
// Guards against forgetting the limit, and against applying it to a later process.
func TestRateLimitSurvivesLapsedEntry(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt time.Time
		limited   bool
	}{
		{name: "same process", limited: true},
		{name: "later process", startedAt: start.Add(time.Second)},
	} {
		b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
		limitedReply(b, 2, start)
		now := start.Add(2 * time.Second)
		b.RemoveLeaf("a", now, 0)
		returned := testLeaf(0)
		returned.StartedAt = c.startedAt
		now = now.Add(3 * time.Second)
		b.SetLeaf(returned, now)
		if calls := countCalls(b, now, time.Second)["a"]; (calls < 10) != c.limited {
			t.Errorf("%s: %d calls within 1 s, limited: %t", c.name, calls, c.limited)
		}
	}
}

// A leaf that announces a rate limit is also cold, or accepts no calls for a time. Guards
// against keeping to one of its limits only.
func TestRateLimitBesideOtherLimits(t *testing.T) {
	for _, c := range []struct {
		name                  string
		coldRate, perSecond   float64
		deferral              time.Duration
		leastCalls, mostCalls int
	}{
		{name: "lower while cold", coldRate: 2, perSecond: 50, leastCalls: 1, mostCalls: 8},
		{name: "lower than while cold", coldRate: 50, perSecond: 2, leastCalls: 1, mostCalls: 8},
		{name: "deferred", perSecond: 50, deferral: time.Second},
	} {
		b := newBalancer(anvilbalance.Config{ColdSlack: 5}, anvilroute.Service{MaxColdRate: c.coldRate}, 0)
		l := testLeaf(0)
		if c.coldRate > 0 {
			l.ColdFor = time.Minute
		}
		b.SetLeaf(l, start)
		limitedReply(b, c.perSecond, start)
		now := start.Add(5 * time.Second)
		b.DeferCalls(l, c.deferral, now)
		if calls := countCalls(b, now, time.Second)["a"]; calls < c.leastCalls || calls > c.mostCalls {
			t.Errorf("%s: %d calls within 1 s, want %d to %d", c.name, calls, c.leastCalls, c.mostCalls)
		}
	}
}

// A leaf announces a limit of 0. Guards against never calling it again, because only a
// reply shows that the limit has ended.
func TestRateLimitOfZeroEnds(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	b.RecordRateLimit(testLeaf(0), anvilmodel.RateLimit{Limited: true}, start)
	if calls := countCalls(b, start, 20*time.Second)["a"]; calls < 1 || calls > 8 {
		t.Errorf("%d calls within 20 s to a leaf with a limit of 0, want 1 to 8", calls)
	}
}

// Both leaves of a service are at their rate limit. Guards against requests that wait for a
// leaf that cannot take them, and against a retry delay after which it cannot either.
func TestRetryDelayAtRateLimit(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 2)
	for i := range 2 {
		b.RecordRateLimit(testLeaf(i), anvilmodel.RateLimit{
			Limited:   true,
			PerSecond: 2 - float64(i),
		}, start)
	}
	now := start.Add(10 * time.Second)
	for b.ServiceAvailable("s", now) {
		if _, status := pick(b, anvilbalance.CallFirst, now); status != anvilbalance.PickOK {
			t.Fatalf("status %s of an available service", status)
		}
	}
	if _, status := pick(b, anvilbalance.CallFirst, now); status != anvilbalance.PickRateLimited {
		t.Errorf("status %s, want %s", status, anvilbalance.PickRateLimited)
	}
	delay := b.ServiceDeferral("s", now)
	if delay <= 0 || delay > time.Second {
		t.Fatalf("retry delay %s at a limit of 2 per second", delay)
	}
	if !b.ServiceAvailable("s", now.Add(delay)) {
		t.Errorf("no call is possible after the retry delay of %s", delay)
	}
}
