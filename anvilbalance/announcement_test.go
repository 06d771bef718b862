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

// finishWithReply finishes a call whose reply reports the state of the leaf.
func finishWithReply(b *anvilbalance.Balancer, r anvilbalance.CallResult, now time.Time) anvilbalance.LeafChanges {
	r.Route = "r"
	r.Elapsed = 10 * time.Millisecond
	return b.Finish(r, now)
}

// countCalls sends a call every 10 ms for the duration and counts the calls per leaf.
func countCalls(b *anvilbalance.Balancer, from time.Time, duration time.Duration) map[anvilmodel.LeafName]int {
	counts := make(map[anvilmodel.LeafName]int)
	for now := from; now.Before(from.Add(duration)); now = now.Add(10 * time.Millisecond) {
		if l, status := pick(b, anvilbalance.CallFirst, now); status == anvilbalance.PickOK {
			counts[l.Name]++
			finish(b, l, anvilbalance.OutcomeGood, 10*time.Millisecond, now)
		}
	}
	return counts
}

// A leaf announces its shutdown in its replies while its entry still has the state ready,
// or reappears late. Guards against new calls to it, and against mistaking a leaf process
// that was started later under the same name for the one that shut down.
func TestLeavingLeafGetsNoNewCalls(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{HealthPath: "/health"}, 2)
	a := testLeaf(0)
	a.StartedAt = start.Add(-time.Minute)
	b.SetLeaf(a, start)
	changes := finishWithReply(b, anvilbalance.CallResult{
		Leaf:    a,
		Outcome: anvilbalance.OutcomeGood,
		Leaving: true,
	}, start)
	if diff := cmp.Diff(anvilbalance.LeafChanges{NewDeparture: true}, changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	for name, entry := range map[string]func(now time.Time){
		"unchanged": func(time.Time) {},
		"rewritten": func(now time.Time) { b.SetLeaf(a, now) },
		"removed and restored": func(now time.Time) {
			b.RemoveLeaf(a.Name, now, 0)
			b.SetLeaf(a, now)
		},
	} {
		entry(start)
		if got := countCalls(b, start, time.Second)["a"]; got != 0 {
			t.Errorf("entry %s: %d calls reached the leaf that is shutting down", name, got)
		}
	}
	if diff := cmp.Diff([]anvilmodel.Departure{{Leaf: "a", StartedAt: a.StartedAt}}, b.DeparturesToAnnounce(start.Add(time.Hour))); diff != "" {
		t.Errorf("departures to announce while the entry exists (-want +got):\n%s", diff)
	}
	if due := b.DueHealthChecks(start.Add(time.Minute)); len(due) > 0 {
		t.Errorf("health checks of the leaf that is shutting down: %v", due)
	}
	a.StartedAt = start
	b.SetLeaf(a, start)
	if got := countCalls(b, start, time.Second)["a"]; got == 0 {
		t.Error("no call reached the leaf process that was started later")
	}
}

// Another node reports that a leaf is shutting down before the entry of the leaf is read.
// Guards against calls to that leaf, and against departures that are announced forever.
func TestDepartureReportedByAnotherNode(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	d := anvilmodel.Departure{
		Leaf:      "b",
		StartedAt: start,
	}
	if first, second := b.RecordDeparture(d, start), b.RecordDeparture(d, start); !first || second {
		t.Errorf("the departure was unknown: %t, then %t, want true, then false", first, second)
	}
	registered := testLeaf(1)
	registered.StartedAt = start
	b.SetLeaf(registered, start)
	if got := countCalls(b, start, time.Second)["b"]; got != 0 {
		t.Errorf("%d calls reached the leaf whose departure was reported before its entry was read", got)
	}
	b.RemoveLeaf("b", start, 0)
	if announced := b.DeparturesToAnnounce(start.Add(time.Minute)); len(announced) > 0 {
		t.Errorf("departures to announce one minute after the entry was removed: %v", announced)
	}
}

// A leaf sheds a call and announces that it accepts none for three seconds. Guards
// against first calls, hedges, retries and health checks within that time, and against a
// leaf that gets no calls afterwards.
func TestDeferredLeafGetsNoCalls(t *testing.T) {
	for _, lost := range []int{0, 3} {
		t.Run(fmt.Sprint(lost, " lost calls before"), func(t *testing.T) { testDeferredLeaf(t, lost) })
	}
}

func testDeferredLeaf(t *testing.T, lost int) {
	t.Helper()
	const requested = 3 * time.Second
	b := newBalancer(anvilbalance.Config{RetrySlack: 1000}, anvilroute.Service{HealthPath: "/health"}, 2)
	for range lost {
		l, _ := pick(b, anvilbalance.CallFirst, start, "b")
		finish(b, l, anvilbalance.OutcomeLost, time.Millisecond, start)
	}
	changes := finishWithReply(b, anvilbalance.CallResult{
		Leaf:     testLeaf(0),
		Outcome:  anvilbalance.OutcomeShed,
		Deferral: requested,
	}, start)
	if diff := cmp.Diff(requested, changes.Deferral); diff != "" {
		t.Errorf("deferral (-want +got):\n%s", diff)
	}
	for now := start; now.Before(start.Add(requested)); now = now.Add(50 * time.Millisecond) {
		for _, kind := range []anvilbalance.CallKind{anvilbalance.CallFirst, anvilbalance.CallHedge, anvilbalance.CallRetry} {
			if l, status := pick(b, kind, now, "b"); status != anvilbalance.PickNoLeaf {
				t.Fatalf("after %s a call of kind %s: leaf %q, status %s, want no-leaf", now.Sub(start), kind, l.Name, status)
			}
		}
		if due := b.DueHealthChecks(now); len(due) > 0 {
			t.Fatalf("after %s a health check went to %v", now.Sub(start), due)
		}
	}
	end := start.Add(requested)
	b.DueHealthChecks(end)
	b.FinishHealthCheck(anvilbalance.HealthResult{
		Leaf:     testLeaf(0),
		Answered: true,
		Healthy:  true,
		SentAt:   end,
	}, end)
	if l, status := pick(b, anvilbalance.CallFirst, end, "b"); status != anvilbalance.PickOK {
		t.Errorf("call after the deferral: leaf %q, status %s, want picked", l.Name, status)
	}
}

// Guards against callers that wait for a service although all of its leaves defer calls,
// and against a retry time at which no leaf accepts calls yet.
func TestServiceDeferral(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 2)
	b.DeferCalls(testLeaf(0), 4*time.Second, start)
	if diff := cmp.Diff([]any{true, time.Duration(0)}, []any{b.ServiceAvailable("s", start), b.ServiceDeferral("s", start)}); diff != "" {
		t.Errorf("availability and deferral with one leaf that accepts calls (-want +got):\n%s", diff)
	}
	b.DeferCalls(testLeaf(1), 2*time.Second, start)
	// A later request for a shorter time does not shorten the deferral.
	b.DeferCalls(testLeaf(1), time.Second, start)
	at := start.Add(500 * time.Millisecond)
	if diff := cmp.Diff([]any{false, 1500 * time.Millisecond}, []any{b.ServiceAvailable("s", at), b.ServiceDeferral("s", at)}); diff != "" {
		t.Errorf("availability and deferral with no leaf that accepts calls (-want +got):\n%s", diff)
	}
}

// Guards against a leaf that gets no calls for hours because of a single reply.
func TestDeferralIsLimited(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 1)
	if deferral := b.DeferCalls(testLeaf(0), 10*time.Hour, start); deferral > 10*time.Minute {
		t.Errorf("deferral of %s for a request of ten hours, want at most 10 minutes", deferral)
	}
	if deferral := b.DeferCalls(testLeaf(0), -time.Second, start); deferral != 0 {
		t.Errorf("deferral of %s for a negative request, want none", deferral)
	}
}
