package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilroute"
)

// registry is a set of shards as small deployments have them: half of the capacity is
// used on a calm day.
func registry() load {
	return load{
		nodes:  4,
		shards: 20,
		copies: 2,
		slots:  3,
		queue:  18,
		work:   25 * time.Millisecond,
		route: anvilroute.Route{
			Name:          "r",
			TargetLatency: 200 * time.Millisecond,
			MaxAttempts:   2,
			MinCoverage:   0.89,
		},
		timeout: 2 * time.Second,
		rate:    90,
		length:  16 * time.Second,
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

// hungLeafs lets the first copies of six of twenty shards answer half of their calls.
func hungLeafs(l *modelLeaf, since time.Duration, draw float64) bool {
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
		name:   "leafs are not told the time of the answer",
		untold: true,
	},
	{
		name:      "neither",
		unlimited: true,
		untold:    true,
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
		name:   "fewest calls under way",
		fewest: true,
	},
}

func extraShare(f *fleet) float64 {
	extra := f.calls[anvilbalance.CallHedge] + f.calls[anvilbalance.CallRetry]
	return float64(extra) / float64(f.calls[anvilbalance.CallFirst])
}

// compare prints what the callers of a load got under each policy.
func compare(t *testing.T, l load) {
	t.Helper()
	for _, p := range policies {
		l.policy = p
		f := play(seed, l)
		calm, burst := f.between(calmFrom, calmTo), f.between(burstFrom, burstTo)
		t.Logf("seed %d, %-42s calm: %4d asked, %4d in time; burst: %4d asked, %4d in time, %4d late, %4d refused; extra calls %.3f",
			seed, p.name, calm.asked, calm.inTime, burst.asked, burst.inTime, burst.late, burst.refused, extraShare(f))
	}
}

// Pattern: burst with hung leafs. Three times the usual queries arrive for four seconds
// while leafs of six shards never answer half of their calls. Guards against fewer
// queries in time than in as many calm seconds, because leafs work for queries that are
// given up (ufpc-recherche: 85 queries of 560 in two seconds, 200 before the burst).
func TestBurstWithHungLeafs(t *testing.T) {
	l := registry()
	l.burst, l.inBurst, l.hangs = 3, inBurst, hungLeafs
	compare(t, l)
	for _, seed := range []uint64{seed, 1, 2, 3} {
		f := play(seed, l)
		calm, burst := f.between(calmFrom, calmTo), f.between(burstFrom, burstTo)
		if burst.inTime < calm.inTime {
			t.Errorf("seed %d: %d queries of %d in time in the burst, %d of %d before", seed, burst.inTime, burst.asked, calm.inTime, calm.asked)
		}
	}
}

// Pattern: burst without a fault. Guards against leafs that are busy with what nobody
// waits for: they can run 240 queries a second, and callers get three quarters of that
// in time.
func TestBurstIsServedByWhatLeafsCanRun(t *testing.T) {
	const capacity = 240 * (burstTo - burstFrom)
	l := registry()
	l.burst, l.inBurst = 3, inBurst
	compare(t, l)
	for _, seed := range []uint64{seed, 1, 2, 3} {
		if burst := play(seed, l).between(burstFrom, burstTo); burst.inTime < capacity*3/4 {
			t.Errorf("seed %d: %d queries of %d in time, the leafs can run %d", seed, burst.inTime, burst.asked, capacity)
		}
	}
}

// Pattern: a calm day. Guards against hedges that cost leafs more than the share of late
// calls that the quantile stands for, and against refusals.
func TestCalmDayHedgesLittle(t *testing.T) {
	f := play(seed, registry())
	all := f.between(0, len(f.seconds))
	if all.refused+all.late > all.asked/500 {
		t.Errorf("seed %d: %d of %d queries late and %d refused on a calm day", seed, all.late, all.asked, all.refused)
	}
	if most, extra := 1-0.95+0.01, extraShare(f); extra > most {
		t.Errorf("seed %d: %.3f extra calls for each first one, want %.3f at most", seed, extra, most)
	}
}

// Pattern: both leafs of a shard, and one of two of another, turn calls away for three
// seconds and want none meanwhile. Guards against nodes that come all the same, against
// queries that fail for it although their floor is reached, and against leafs that are
// not used afterwards.
func TestTurnedAwayNodesOfAFleet(t *testing.T) {
	const from, to = 5 * time.Second, 8 * time.Second
	for _, nodes := range []int{4, 117} {
		l := registry()
		l.nodes = nodes
		l.turnsAway = func(leaf *modelLeaf, since time.Duration) time.Duration {
			switch {
			case since < from || since >= to:
				return 0
			case leaf.leaf.Service == "shard-4", leaf.leaf.ID == "shard-7-0":
				return to - since
			default:
				return 0
			}
		}
		f := play(seed, l)
		for id, leaf := range f.leafs {
			if leaf.unwanted > 2 {
				t.Errorf("seed %d, %d nodes: %d calls of a node reached %s in the time for which it wanted none, want 2 at most", seed, nodes, leaf.unwanted, id)
			}
		}
		if during := f.between(5, 9); during.refused > 0 || during.late > during.asked/100 {
			t.Errorf("seed %d, %d nodes: %d of %d queries refused and %d late", seed, nodes, during.refused, during.asked, during.late)
		}
		if f.leafs["shard-4-0"].running+len(f.leafs["shard-4-0"].waiting) != 0 {
			t.Errorf("seed %d, %d nodes: calls are left at the end", seed, nodes)
		}
	}
}
