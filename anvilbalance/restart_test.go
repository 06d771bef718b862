package anvilbalance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilroute"
)

// The bounds of the users for a cold leaf that tolerates coldRate requests a second.
const (
	coldRate   = 4
	coldFactor = 1.5
	coldSlack  = 5
	coldBound  = coldRate*coldFactor + coldSlack
)

// newColdBalancer returns a balancer of one of n nodes with a leaf whose service limits the
// calls to cold leaves.
func newColdBalancer(n int) *anvilbalance.Balancer {
	b := newBalancer(anvilbalance.Config{
		ColdFactor: coldFactor,
		ColdSlack:  coldSlack,
		Random:     rand.New(rand.NewPCG(seed, uint64(n))),
	}, anvilroute.Service{
		HealthPath:  "/health",
		MaxColdRate: coldRate,
	}, 1)
	b.SetNodeCount(n)
	return b
}

// busiestSecond returns the largest number of calls within one second.
func busiestSecond(calls []time.Time) int {
	slices.SortFunc(calls, time.Time.Compare)
	most, first := 0, 0
	for i := range calls {
		for calls[i].Sub(calls[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a flood of calls to a leaf that has restarted under its name and is cold,
// while its entry is still that of the earlier process. Each node notices the end of its
// connections at another time, checks the health of the leaf, and gets calls at a rate that
// would crash it.
func TestRestartedLeafIsNotFlooded(t *testing.T) {
	const coldFor = 3 * time.Second
	for _, nodes := range []int{1, 4, 26, 117, 410} {
		random := rand.New(rand.NewPCG(seed, uint64(nodes)))
		var calls []time.Time
		checked := 0
		for i := range nodes {
			b := newColdBalancer(nodes)
			b.SetShare(1/float64(nodes), float64(i)/float64(nodes))
			noticedAt := start.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			if !b.SuspectRestart(testLeaf(0), noticedAt) {
				t.Fatalf("%d nodes: the suspicion of a restart is not new", nodes)
			}
			// All nodes together get a request every millisecond.
			for now := noticedAt; now.Before(start.Add(coldFor)); now = now.Add(time.Duration(nodes) * time.Millisecond) {
				for _, l := range b.DueHealthChecks(now) {
					checked++
					b.FinishHealthCheck(anvilbalance.HealthResult{
						Leaf:     l,
						Answered: true,
						Healthy:  true,
						SentAt:   now,
						ColdFor:  start.Add(coldFor).Sub(now),
					}, now)
				}
				if l, status := pick(b, anvilbalance.CallFirst, now); status == anvilbalance.PickOK {
					calls = append(calls, now)
					finish(b, l, anvilbalance.OutcomeGood, time.Millisecond, now)
				}
			}
		}
		if most := busiestSecond(calls); most > coldBound || len(calls) == 0 {
			t.Errorf("seed %d, %d nodes: %d calls, up to %d in one second, want some and at most %.0f", seed, nodes, len(calls), most, float64(coldBound))
		}
		if checked != nodes {
			t.Errorf("seed %d, %d nodes: %d health checks, want one of each node", seed, nodes, checked)
		}
	}
}

// Guards against a leaf that is limited for long because one of its connections has ended,
// although its process runs on, and against calls that were picked before the connections
// ended and are sent to the new process in addition to those that it may get.
func TestLeafThatDidNotRestartIsUsedAtOnce(t *testing.T) {
	b := newColdBalancer(1)
	b.SuspectRestart(testLeaf(0), start)
	sent := 0
	for range 20 {
		if b.AllowsNewConnection(testLeaf(0), start.Add(-time.Millisecond), start.Add(time.Second)) {
			sent++
		}
	}
	if sent > coldBound {
		t.Errorf("%d calls that were picked before go over new connections, want at most %.0f", sent, float64(coldBound))
	}
	checkedAt := start.Add(time.Second)
	b.FinishHealthCheck(anvilbalance.HealthResult{
		Leaf:     testLeaf(0),
		Answered: true,
		Healthy:  true,
		SentAt:   checkedAt,
	}, checkedAt)
	for i := range 20 {
		l, status := pick(b, anvilbalance.CallFirst, checkedAt)
		if status != anvilbalance.PickOK {
			t.Fatalf("call %d after the health check: status %s, want picked", i, status)
		}
		finish(b, l, anvilbalance.OutcomeGood, time.Millisecond, checkedAt)
	}
}

// Guards against a warm-up that ends early because an older entry of the leaf arrives after
// its health response.
func TestOlderEntryDoesNotEndWarmUp(t *testing.T) {
	b := newColdBalancer(1)
	b.FinishHealthCheck(anvilbalance.HealthResult{
		Leaf:     testLeaf(0),
		Answered: true,
		Healthy:  true,
		SentAt:   start,
		ColdFor:  3 * time.Second,
	}, start)
	b.SetLeaf(testLeaf(0), start)
	var calls []time.Time
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(time.Millisecond) {
		if l, status := pick(b, anvilbalance.CallFirst, now); status == anvilbalance.PickOK {
			calls = append(calls, now)
			finish(b, l, anvilbalance.OutcomeGood, time.Millisecond, now)
		}
	}
	if most := busiestSecond(calls); most > coldBound {
		t.Errorf("up to %d calls in one second, want at most %.0f", most, float64(coldBound))
	}
}

// Guards against forgetting what a leaf has announced when its entry lapses or cannot be read
// for a moment and comes back: how long it accepts no calls, and how long it stays cold. Six
// to nine requests reached a leaf that wanted none.
func TestAnnouncementsOutliveEntry(t *testing.T) {
	const deferral = 40 * time.Second
	for name, restarted := range map[string]bool{
		"same process":    false,
		"another process": true,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
			l, _ := pick(b, anvilbalance.CallFirst, start)
			b.RemoveLeaf(l.Name, start, 0)
			// The reply arrives while the entry is missing.
			b.Finish(anvilbalance.CallResult{
				Leaf:     l,
				Route:    "r",
				Outcome:  anvilbalance.OutcomeShed,
				Deferral: deferral,
			}, start.Add(time.Millisecond))
			entry := testLeaf(0)
			want := anvilbalance.PickNoLeaf
			if restarted {
				entry.StartedAt = start
				want = anvilbalance.PickOK
			}
			back := start.Add(4 * time.Second)
			b.SetLeaf(entry, back)
			_, got := pick(b, anvilbalance.CallFirst, back)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("status of a pick after the entry's return (-want +got):\n%s", diff)
			}
			_, got = pick(b, anvilbalance.CallFirst, start.Add(deferral+time.Second))
			if diff := cmp.Diff(anvilbalance.PickOK, got); diff != "" {
				t.Errorf("status of a pick after the deferral (-want +got):\n%s", diff)
			}
		})
	}
}
