package anvilbalance_test

import (
	"math"
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// member returns an alive member with a request rate.
func member(name string, rate float64) anvilmodel.Member {
	return anvilmodel.Member{
		Name:        anvilmodel.VMName(name),
		Status:      anvilmodel.MemberAlive,
		RequestRate: rate,
	}
}

// observeFor observes the members every 200 ms for the duration and returns its end.
func observeFor(e *anvilbalance.ShareEstimator, members []anvilmodel.Member, from time.Time, duration time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(duration)); now = now.Add(200 * time.Millisecond) {
		e.Observe(members, now)
	}
	return now
}

func checkShare(t *testing.T, e *anvilbalance.ShareEstimator, situation string, want float64) {
	t.Helper()
	if got := e.Share(); math.Abs(got-want) > 0.02 {
		t.Errorf("share %.3f %s, want %.3f", got, situation, want)
	}
}

// The demand of a node rises and has not reached the others yet. Guards against a share that
// grows before theirs shrink, and against one that does not grow afterwards.
func TestShareGrowsAfterDemandPropagates(t *testing.T) {
	var e anvilbalance.ShareEstimator
	members := []anvilmodel.Member{member("a", 10), member("b", 10), member("c", 10), member("d", 10)}
	now := observeFor(&e, members, start, 10*time.Second)
	checkShare(t, &e, "with equal demand", 0.25)
	members[0].RequestRate = 30
	now = observeFor(&e, members, now, time.Second)
	if e.Share() > 0.25 {
		t.Errorf("share %.3f before the higher demand has reached the others", e.Share())
	}
	now = observeFor(&e, members, now, 5*time.Second)
	checkShare(t, &e, "with half of the demand", (0.5+0.15/4)/1.15)
	members[1].RequestRate = 90
	observeFor(&e, members, now, 200*time.Millisecond)
	checkShare(t, &e, "at once after the demand of another node has risen", (30.0/140+0.15/4)/1.15)
}

// A node dies, or is partitioned from the others. Guards against taking over its share while
// it may still use it, and against a share that stays unused.
func TestShareOfDeadNodeIsRetained(t *testing.T) {
	for _, c := range []struct {
		situation string
		dead      int
		retained  time.Duration
	}{
		{situation: "another node is dead", dead: 1, retained: 3 * time.Second},
		{situation: "all other nodes seem dead", dead: 3, retained: 10 * time.Second},
	} {
		var e anvilbalance.ShareEstimator
		members := []anvilmodel.Member{member("a", 10), member("b", 10), member("c", 10), member("d", 10)}
		now := observeFor(&e, members, start, 10*time.Second)
		for i := range c.dead {
			members[1+i].Status = anvilmodel.MemberDead
		}
		now = observeFor(&e, members, now, c.retained-time.Second)
		checkShare(t, &e, "while "+c.situation, 0.25)
		observeFor(&e, members, now, 2*time.Second)
		checkShare(t, &e, "after "+c.situation, 1/float64(4-c.dead))
	}
}

// A node is paused, and other nodes may have taken over its share. Guards against using that
// share at once on its return.
func TestShareIsSmallAfterPause(t *testing.T) {
	var e anvilbalance.ShareEstimator
	members := []anvilmodel.Member{member("a", 10), member("b", 10), member("c", 10), member("d", 10)}
	now := observeFor(&e, members, start, 10*time.Second)
	now = observeFor(&e, members, now.Add(3*time.Second), time.Second)
	checkShare(t, &e, "after a pause", 0.15/4/1.15)
	observeFor(&e, members, now, 4*time.Second)
	checkShare(t, &e, "after its demand has reached the others again", 0.25)
}

// A node starts together with many others and has discovered only some of them. Guards
// against a share as of a small fleet.
func TestShareIsSmallUntilFleetIsDiscovered(t *testing.T) {
	var e anvilbalance.ShareEstimator
	if e.Share() > 1.0/16 {
		t.Errorf("share %.3f before the first observation", e.Share())
	}
	e.Observe([]anvilmodel.Member{member("a", 0), member("b", 0)}, start)
	if e.Share() > 1.0/16 {
		t.Errorf("share %.3f right after the start", e.Share())
	}
	observeFor(&e, []anvilmodel.Member{member("a", 0), member("b", 0)}, start, 3*time.Second)
	checkShare(t, &e, "of one of two nodes without demand", 0.5)
}

// Guards against a demand that follows random differences between seconds, which would keep
// a node's share low, and against one that does not follow its callers.
func TestDemandIsSteady(t *testing.T) {
	var e anvilbalance.DemandEstimator
	changes, last := 0, 0.0
	now := start
	for i := range 200 {
		now = now.Add(200 * time.Millisecond)
		// 20 requests per second in uneven numbers.
		if demand := e.Update(int64([]int{2, 9, 1, 4}[i%4]), now); demand != last {
			last = demand
			changes++
		}
	}
	if changes > 2 || math.Abs(last-20) > 8 {
		t.Errorf("demand %.1f after %d changes, want about 20 without changes", last, changes)
	}
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		last = e.Update(0, now)
	}
	if last > 5 {
		t.Errorf("demand %.1f 10 s after the last request", last)
	}
}
