package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilroute"
)

// newScenario is a set of shards as small deployments have them: half of the capacity is
// used on a calm day.
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

// Calm and burst seconds of the scenarios.
const (
	calmFrom, calmTo   = 3, 7
	burstFrom, burstTo = 8, 12
)

func inBurst(since time.Duration) bool {
	return since >= burstFrom*time.Second && since < burstTo*time.Second
}

// hungLeaves lets the first copies of six of twenty shards answer half of their calls.
func hungLeaves(l *simLeaf, since time.Duration, draw float64) bool {
	switch l.leaf.ID {
	case "shard-0-0", "shard-3-0", "shard-6-0", "shard-9-0", "shard-12-0", "shard-15-0":
		return inBurst(since) && draw < 0.5
	default:
		return false
	}
}

// policies are what the present one is compared with.
var policies = []policy{
	{
		name: "present",
	},
	{
		name:      "no limit of queries",
		unlimited: true,
	},
	{
		name:           "leafs are not told the time of the answer",
		callerDeadline: true,
	},
	{
		name:           "neither",
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
		name:           "fewest calls under way",
		fewestInFlight: true,
	},
}

func extraCallRatio(f *simulation) float64 {
	extra := f.calls[anvilbalance.CallHedge] + f.calls[anvilbalance.CallRetry]
	return float64(extra) / float64(f.calls[anvilbalance.CallFirst])
}

// logPolicies prints what the callers of a load got under each policy.
func logPolicies(t *testing.T, l scenario) {
	t.Helper()
	for _, p := range policies {
		l.policy = p
		f := simulate(seed, l)
		calm, burst := f.total(calmFrom, calmTo), f.total(burstFrom, burstTo)
		t.Logf("seed %d, %-42s calm: %4d asked, %4d in time; burst: %4d asked, %4d in time, %4d late, %4d refused; extra calls %.3f",
			seed, p.name, calm.sent, calm.inTime, burst.sent, burst.inTime, burst.late, burst.refused, extraCallRatio(f))
	}
}

// Pattern: burst with hung leafs. Three times the usual queries arrive for four seconds
// while leafs of six shards never answer half of their calls. Guards against fewer
// queries in time than in as many calm seconds, because leafs work for queries that are
// given up (ufpc-recherche: 85 queries of 560 in two seconds, 200 before the burst).
func TestBurstWithHungLeaves(t *testing.T) {
	l := newScenario()
	l.burstFactor, l.inBurst, l.hangs = 3, inBurst, hungLeaves
	logPolicies(t, l)
	for _, seed := range []uint64{seed, 1, 2, 3} {
		f := simulate(seed, l)
		calm, burst := f.total(calmFrom, calmTo), f.total(burstFrom, burstTo)
		if burst.inTime < calm.inTime {
			t.Errorf("seed %d: %d queries of %d in time in the burst, %d of %d before", seed, burst.inTime, burst.sent, calm.inTime, calm.sent)
		}
	}
}

// Pattern: burst without a fault. Guards against leafs that are busy with what nobody
// waits for: they can run 240 queries a second, and callers get three quarters of that
// in time.
func TestBurstThroughput(t *testing.T) {
	const capacity = 240 * (burstTo - burstFrom)
	l := newScenario()
	l.burstFactor, l.inBurst = 3, inBurst
	logPolicies(t, l)
	for _, seed := range []uint64{seed, 1, 2, 3} {
		if burst := simulate(seed, l).total(burstFrom, burstTo); burst.inTime < capacity*3/4 {
			t.Errorf("seed %d: %d queries of %d in time, the leafs can run %d", seed, burst.inTime, burst.sent, capacity)
		}
	}
}

// Pattern: a calm day. Guards against hedges that cost leafs more than the share of late
// calls that the quantile stands for, and against refusals.
func TestFewHedgesUnderNormalLoad(t *testing.T) {
	f := simulate(seed, newScenario())
	all := f.total(0, len(f.seconds))
	if all.refused+all.late > all.sent/500 {
		t.Errorf("seed %d: %d of %d queries late and %d refused on a calm day", seed, all.late, all.sent, all.refused)
	}
	if most, extra := 1-0.95+0.01, extraCallRatio(f); extra > most {
		t.Errorf("seed %d: %.3f extra calls for each first one, want %.3f at most", seed, extra, most)
	}
}

// Pattern: both leafs of a shard, and one of two of another, turn calls away for three
// seconds and want none meanwhile. Guards against nodes that come all the same, against
// queries that fail for it although their floor is reached, and against leafs that are
// not used afterwards.
func TestNodesHonorDeferrals(t *testing.T) {
	const from, to = 5 * time.Second, 8 * time.Second
	for _, nodes := range []int{4, 117} {
		l := newScenario()
		l.nodes = nodes
		l.refusesFor = func(leaf *simLeaf, since time.Duration) time.Duration {
			switch {
			case since < from || since >= to:
				return 0
			case leaf.leaf.Service == "shard-4", leaf.leaf.ID == "shard-7-0":
				return to - since
			default:
				return 0
			}
		}
		f := simulate(seed, l)
		for id, leaf := range f.leaves {
			if leaf.maxDeferredCalls > 2 {
				t.Errorf("seed %d, %d nodes: %d calls of a node reached %s in the time for which it wanted none, want 2 at most", seed, nodes, leaf.maxDeferredCalls, id)
			}
		}
		if during := f.total(5, 9); during.refused > 0 || during.late > during.sent/100 {
			t.Errorf("seed %d, %d nodes: %d of %d queries refused and %d late", seed, nodes, during.refused, during.sent, during.late)
		}
		if f.leaves["shard-4-0"].running+len(f.leaves["shard-4-0"].queue) != 0 {
			t.Errorf("seed %d, %d nodes: calls are left at the end", seed, nodes)
		}
	}
}
