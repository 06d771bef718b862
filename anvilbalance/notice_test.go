package anvilbalance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// say ends a call with a reply in which the leaf speaks of itself.
func say(b *anvilbalance.Balancer, r anvilbalance.Result, now time.Time) anvilbalance.Effect {
	r.Route = "r"
	r.Elapsed = 10 * time.Millisecond
	return b.Finish(r, now)
}

// calls sends a call each 10 ms for a while and counts them by leaf.
func calls(b *anvilbalance.Balancer, from time.Time, duration time.Duration) map[anvilmodel.LeafName]int {
	counts := make(map[anvilmodel.LeafName]int)
	for now := from; now.Before(from.Add(duration)); now = now.Add(10 * time.Millisecond) {
		if l, verdict := pick(b, anvilbalance.CallFirst, now); verdict == anvilbalance.VerdictPicked {
			counts[l.ID]++
			finish(b, l, anvilbalance.OutcomeGood, 10*time.Millisecond, now)
		}
	}
	return counts
}

// Pattern: a leaf says in its replies that it leaves while its entry says that it is
// ready, or comes back late. Guards against new calls to it, and against a leaf that was
// started later under the same name and is taken for the one that left.
func TestLeavingLeafGetsNoNewCalls(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{HealthPath: "/health"}, 2)
	a := leaf(0)
	a.Started = start.Add(-time.Minute)
	b.SetLeaf(a, start)
	effect := say(b, anvilbalance.Result{
		Leaf:    a,
		Outcome: anvilbalance.OutcomeGood,
		Leaving: true,
	}, start)
	if diff := cmp.Diff(anvilbalance.Effect{Departed: true}, effect); diff != "" {
		t.Errorf("effect (-want +got):\n%s", diff)
	}
	for name, entry := range map[string]func(now time.Time){
		"unchanged":     func(time.Time) {},
		"written again": func(now time.Time) { b.SetLeaf(a, now) },
		"late": func(now time.Time) {
			b.RemoveLeaf(a.ID, now, 0)
			b.SetLeaf(a, now)
		},
	} {
		entry(start)
		if got := calls(b, start, time.Second)["a"]; got != 0 {
			t.Errorf("entry %s: %d calls reached the leaf that leaves", name, got)
		}
	}
	if diff := cmp.Diff([]anvilmodel.Departure{{Leaf: "a", StartedAt: a.Started}}, b.Departures(start.Add(time.Hour))); diff != "" {
		t.Errorf("departures told while the entry is there (-want +got):\n%s", diff)
	}
	if due := b.DueChecks(start.Add(time.Minute)); len(due) > 0 {
		t.Errorf("health checks of the leaf that leaves: %v", due)
	}
	a.Started = start
	b.SetLeaf(a, start)
	if got := calls(b, start, time.Second)["a"]; got == 0 {
		t.Error("no call reached the leaf that was started later")
	}
}

// Guards against departures that are kept for good, and against a leaf that is unknown
// when another node tells of its departure.
func TestDepartureOfAnotherNode(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	d := anvilmodel.Departure{
		Leaf:      "b",
		StartedAt: start,
	}
	if news, again := b.Depart(d, start), b.Depart(d, start); !news || again {
		t.Errorf("the departure is new: %t, then %t, want true, then false", news, again)
	}
	late := leaf(1)
	late.Started = start
	b.SetLeaf(late, start)
	if got := calls(b, start, time.Second)["b"]; got != 0 {
		t.Errorf("%d calls reached the leaf whose departure came before its entry", got)
	}
	b.RemoveLeaf("b", start, 0)
	if told := b.Departures(start.Add(time.Minute)); len(told) > 0 {
		t.Errorf("departures told a minute after the entry was removed: %v", told)
	}
}

// Pattern: a leaf turns a call away and wants none for three seconds. Guards against
// first calls, hedges, retries and health checks until then, and against a leaf that is
// not called afterwards.
func TestDeferredLeafGetsNoCalls(t *testing.T) {
	for _, lost := range []int{0, 3} {
		t.Run(fmt.Sprint(lost, " calls were lost before"), func(t *testing.T) { testDeferredLeaf(t, lost) })
	}
}

func testDeferredLeaf(t *testing.T, lost int) {
	t.Helper()
	const wanted = 3 * time.Second
	b := newBalancer(anvilbalance.Config{RetrySlack: 1000}, anvilroute.Service{HealthPath: "/health"}, 2)
	for range lost {
		l, _ := pick(b, anvilbalance.CallFirst, start, "b")
		finish(b, l, anvilbalance.OutcomeLost, time.Millisecond, start)
	}
	effect := say(b, anvilbalance.Result{
		Leaf:     leaf(0),
		Outcome:  anvilbalance.OutcomeShed,
		Deferral: wanted,
	}, start)
	if diff := cmp.Diff(wanted, effect.Deferral); diff != "" {
		t.Errorf("deferral (-want +got):\n%s", diff)
	}
	for now := start; now.Before(start.Add(wanted)); now = now.Add(50 * time.Millisecond) {
		for _, kind := range []anvilbalance.CallKind{anvilbalance.CallFirst, anvilbalance.CallHedge, anvilbalance.CallRetry} {
			if l, verdict := pick(b, kind, now, "b"); verdict != anvilbalance.VerdictNone {
				t.Fatalf("after %s a %s went to %q: %s", now.Sub(start), kind, l.ID, verdict)
			}
		}
		if due := b.DueChecks(now); len(due) > 0 {
			t.Fatalf("after %s a health check went to %v", now.Sub(start), due)
		}
	}
	end := start.Add(wanted)
	b.DueChecks(end)
	b.Checked(leaf(0), true, end)
	if l, verdict := pick(b, anvilbalance.CallFirst, end, "b"); verdict != anvilbalance.VerdictPicked {
		t.Errorf("after its time a call went to %q: %s", l.ID, verdict)
	}
}

// Guards against a service whose callers wait although all leafs want no calls, and
// against a time to come back after which one of them still wants none.
func TestDeferralOfAllLeafs(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 2)
	b.Defer(leaf(0), 4*time.Second, start)
	if diff := cmp.Diff([]any{true, time.Duration(0)}, []any{b.Available("s", start), b.Deferral("s", start)}); diff != "" {
		t.Errorf("availability and deferral with one leaf left (-want +got):\n%s", diff)
	}
	b.Defer(leaf(1), 2*time.Second, start)
	// A shorter time does not end an earlier one.
	b.Defer(leaf(1), time.Second, start)
	at := start.Add(500 * time.Millisecond)
	if diff := cmp.Diff([]any{false, 1500 * time.Millisecond}, []any{b.Available("s", at), b.Deferral("s", at)}); diff != "" {
		t.Errorf("availability and deferral with none left (-want +got):\n%s", diff)
	}
}

// Guards against a leaf that is out of use for hours because of one reply.
func TestDeferralIsBounded(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	if applied := b.Defer(leaf(0), 10*time.Hour, start); applied > 10*time.Minute {
		t.Errorf("ten hours count as %s, want some minutes at most", applied)
	}
	if applied := b.Defer(leaf(0), -time.Second, start); applied != 0 {
		t.Errorf("a negative time counts as %s", applied)
	}
}
