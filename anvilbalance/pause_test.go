package anvilbalance_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// pausingLeaf simulates a leaf that pauses at the end of each period.
type pausingLeaf struct {
	leaf   anvilbalance.Leaf
	phase  time.Duration
	period time.Duration
	pause  time.Duration
}

// latency returns the duration of a call that is sent at now.
func (l *pausingLeaf) latency(rng *rand.Rand, now time.Time) time.Duration {
	work := 15*time.Millisecond + time.Duration(rng.Int64N(int64(12*time.Millisecond)))
	if rng.IntN(100) == 0 {
		work *= 5
	}
	if l.period == 0 {
		return work
	}
	at := (now.Sub(start) + l.phase) % l.period
	switch {
	case at >= l.period-l.pause:
		return l.period - at + work
	case at+work > l.period-l.pause:
		return l.pause + work
	default:
		return work
	}
}

// simulatePauses sends calls for a minute to 20 services of 2 leaves each, which pause
// for 200 ms per period. It returns the share of calls in the second half of that
// minute that took over 130 ms at the leaf chosen by the balancer, and the share that
// would have at a random leaf.
func simulatePauses(rng *rand.Rand, period time.Duration) (balanced, random float64) {
	b := anvilbalance.New(anvilbalance.Config{
		Random: rng,
	})
	leaves := make(map[anvilmodel.LeafName]*pausingLeaf)
	for i := range 40 {
		l := anvilbalance.Leaf{
			Name:    anvilmodel.LeafName(fmt.Sprint("leaf-", i)),
			Service: anvilmodel.ServiceName(fmt.Sprint(i / 2)),
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i)),
			Slots:   2,
		}
		b.SetLeaf(l, start)
		leaves[l.Name] = &pausingLeaf{
			leaf:   l,
			phase:  time.Duration(rng.Int64N(int64(5 * time.Second))),
			period: period,
			pause:  200 * time.Millisecond,
		}
	}
	type pendingCall struct {
		endsAt time.Time
		result anvilbalance.CallResult
	}
	var inFlight []pendingCall
	slow, slowAtRandom, calls := 0, 0, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Millisecond) {
		pending := inFlight[:0]
		for _, p := range inFlight {
			if p.endsAt.After(now) {
				pending = append(pending, p)
				continue
			}
			b.Finish(p.result, now)
		}
		inFlight = pending
		if now.Sub(start)%(40*time.Millisecond) != 0 {
			continue
		}
		for i := range 20 {
			l, status := b.Pick(anvilbalance.PickRequest{
				Service: anvilmodel.ServiceName(fmt.Sprint(i)),
				Route:   "r",
			}, now)
			if status != anvilbalance.PickOK {
				continue
			}
			elapsed := leaves[l.Name].latency(rng, now)
			inFlight = append(inFlight, pendingCall{
				endsAt: now.Add(elapsed),
				result: anvilbalance.CallResult{
					Leaf:    l,
					Route:   "r",
					Outcome: anvilbalance.OutcomeGood,
					Elapsed: elapsed,
				},
			})
			if now.Sub(start) > 30*time.Second {
				calls++
				other := leaves[anvilmodel.LeafName(fmt.Sprint("leaf-", 2*i+rng.IntN(2)))]
				if other.latency(rng, now) > 130*time.Millisecond {
					slowAtRandom++
				}
				if elapsed > 130*time.Millisecond {
					slow++
				}
			}
		}
	}
	return float64(slow) / float64(calls), float64(slowAtRandom) / float64(calls)
}

// Each leaf pauses for 200 ms every few seconds at a phase of its own, so that two of
// three queries are delayed by a paused leaf. Guards against calls during predictable
// pauses: at most half as many slow calls as at random leaves are accepted.
func TestPausesArePredicted(t *testing.T) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for _, period := range []time.Duration{4500 * time.Millisecond, 6 * time.Second, 1700 * time.Millisecond} {
		balanced, random := simulatePauses(rng, period)
		t.Logf("period %s: %.2f%% of the calls took over 130 ms, %.2f%% at a random leaf", period, 100*balanced, 100*random)
		if balanced > random/2 {
			t.Errorf("seed %d, period %s: %.2f%% of the calls took over 130 ms, %.2f%% at a random leaf", seed, period, 100*balanced, 100*random)
		}
	}
}
