package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilroute"
)

// newScenario returns a small deployment that uses half of its capacity under normal load.
func newScenario() scenario {
	return scenario{
		nodes:       4,
		shards:      20,
		replicas:    2,
		slots:       3,
		queueLength: 18,
		serviceTime: 25 * time.Millisecond,
		route: anvilroute.Route{
			Name:          "r",
			TargetLatency: 200 * time.Millisecond,
			MaxAttempts:   2,
			MinCoverage:   0.89,
		},
		timeout:  2 * time.Second,
		rate:     90,
		duration: 16 * time.Second,
	}
}

// Seconds of normal load and of the burst in the scenarios.
const (
	normalFrom, normalTo = 3, 7
	burstFrom, burstTo   = 8, 12
)

func inBurst(elapsed time.Duration) bool {
	return elapsed >= burstFrom*time.Second && elapsed < burstTo*time.Second
}

// hungLeaves makes the first replicas of six of twenty shards hang on half of their calls
// during the burst.
func hungLeaves(leaf *simLeaf, elapsed time.Duration, random float64) bool {
	switch leaf.leaf.Name {
	case "shard-0-0", "shard-3-0", "shard-6-0", "shard-9-0", "shard-12-0", "shard-15-0":
		return inBurst(elapsed) && random < 0.5
	default:
		return false
	}
}

// policies are the default policy and the variants that it is compared with.
var policies = []policy{
	{
		name: "default",
	},
	{
		name:      "without limiter",
		unlimited: true,
	},
	{
		name:           "calls with the deadline of the caller",
		callerDeadline: true,
	},
	{
		name:           "without limiter, deadline of the caller",
		unlimited:      true,
		callerDeadline: true,
	},
	{
		name:       "no hedging",
		hedgeDelay: time.Hour,
	},
	{
		name:       "hedging after 40 ms",
		hedgeDelay: 40 * time.Millisecond,
	},
	{
		name:           "fewest calls in flight",
		fewestInFlight: true,
	},
}

func extraCallRatio(sim *simulation) float64 {
	extra := sim.calls[anvilbalance.CallHedge] + sim.calls[anvilbalance.CallRetry]
	return float64(extra) / float64(sim.calls[anvilbalance.CallFirst])
}

// logPolicies logs the results of a scenario under each policy. It checks nothing.
func logPolicies(t *testing.T, sc scenario) {
	t.Helper()
	for _, p := range policies {
		sc.policy = p
		sim := simulate(seed, sc)
		normal, burst := sim.total(normalFrom, normalTo), sim.total(burstFrom, burstTo)
		t.Logf("seed %d, %-42s normal: %4d sent, %4d in time; burst: %4d sent, %4d in time, %4d late, %4d refused; extra calls %.3f",
			seed, p.name, normal.sent, normal.inTime, burst.sent, burst.inTime, burst.late, burst.refused, extraCallRatio(sim))
	}
}

// Three times the normal number of queries arrive for four seconds while leaves of six
// shards never answer half of their calls. Guards against fewer queries in time than in as
// many seconds of normal load, because leaves work on queries that were given up. At
// ufpc-recherche, 85 of 560 queries were in time within two seconds of such a burst,
// against 200 before it.
func TestBurstWithHungLeaves(t *testing.T) {
	sc := newScenario()
	sc.burstFactor, sc.inBurst, sc.hangs = 3, inBurst, hungLeaves
	logPolicies(t, sc)
	for _, seed := range []uint64{seed, 1, 2, 3} {
		sim := simulate(seed, sc)
		normal, burst := sim.total(normalFrom, normalTo), sim.total(burstFrom, burstTo)
		if burst.inTime < normal.inTime {
			t.Errorf("seed %d: %d of %d queries in time during the burst, want at least the %d of %d before", seed, burst.inTime, burst.sent, normal.inTime, normal.sent)
		}
	}
}

// Three times the normal number of queries arrive, without a fault. Guards against leaves
// that work on calls whose callers no longer wait: the leaves can run 240 queries per
// second, and three quarters of these have to be answered in time.
func TestBurstThroughput(t *testing.T) {
	const capacity = 240 * (burstTo - burstFrom)
	sc := newScenario()
	sc.burstFactor, sc.inBurst = 3, inBurst
	logPolicies(t, sc)
	for _, seed := range []uint64{seed, 1, 2, 3} {
		if burst := simulate(seed, sc).total(burstFrom, burstTo); burst.inTime < capacity*3/4 {
			t.Errorf("seed %d: %d of %d queries in time, want at least three quarters of the %d that the leaves can run", seed, burst.inTime, burst.sent, capacity)
		}
	}
}

// Normal load without a fault. Guards against more extra calls than the fraction of late
// calls that the hedge quantile defines, and against refusals.
func TestFewHedgesUnderNormalLoad(t *testing.T) {
	sim := simulate(seed, newScenario())
	stats := sim.total(0, len(sim.seconds))
	if stats.refused+stats.late > stats.sent/500 {
		t.Errorf("seed %d: %d of %d queries late and %d refused under normal load", seed, stats.late, stats.sent, stats.refused)
	}
	if limit, extra := 1-0.95+0.01, extraCallRatio(sim); extra > limit {
		t.Errorf("seed %d: %.3f extra calls per first call, want at most %.3f", seed, extra, limit)
	}
}

// Both leaves of a shard, and one of two of another, refuse calls for three seconds and
// announce that they accept none until then. Guards against nodes that call them all the
// same, against queries that fail although they reach their minimum coverage, and against
// leaves that are not used afterwards.
func TestNodesObserveDeferrals(t *testing.T) {
	const from, to = 5 * time.Second, 8 * time.Second
	for _, nodes := range []int{4, 117} {
		sc := newScenario()
		sc.nodes = nodes
		sc.refusesFor = func(leaf *simLeaf, elapsed time.Duration) time.Duration {
			switch {
			case elapsed < from || elapsed >= to:
				return 0
			case leaf.leaf.Service == "shard-4", leaf.leaf.Name == "shard-7-0":
				return to - elapsed
			default:
				return 0
			}
		}
		sim := simulate(seed, sc)
		for id, leaf := range sim.leaves {
			if leaf.maxDeferredCalls > 2 {
				t.Errorf("seed %d, %d nodes: %d calls of a node reached %s while it had asked for none, want at most 2", seed, nodes, leaf.maxDeferredCalls, id)
			}
		}
		if during := sim.total(5, 9); during.refused > 0 || during.late > during.sent/100 {
			t.Errorf("seed %d, %d nodes: %d of %d queries refused and %d late, want none refused and 1 %% late at most", seed, nodes, during.refused, during.sent, during.late)
		}
		if sim.leaves["shard-4-0"].running+len(sim.leaves["shard-4-0"].queue) != 0 {
			t.Errorf("seed %d, %d nodes: calls are still queued or running at the end", seed, nodes)
		}
	}
}
