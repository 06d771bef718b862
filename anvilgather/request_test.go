package anvilgather_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilgather"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

var start = time.Date(2026, time.December, 4, 8, 0, 0, 0, time.UTC)

// fakeShards provides the functions of a Config. Leaves are named by their service and a
// number.
type fakeShards struct {
	// leaves is the number of leaves of each service.
	leaves int
	// statuses are returned by pick in place of a leaf.
	statuses    map[anvilmodel.ServiceName]anvilbalance.PickStatus
	unavailable map[anvilmodel.ServiceName]bool
	// deferrals holds the time for which the leaves of a service accept no calls.
	deferrals map[anvilmodel.ServiceName]time.Duration
	// trial makes the request a trial.
	trial bool
}

func (s *fakeShards) available(name anvilmodel.ServiceName, _ time.Time) bool {
	return !s.unavailable[name] && s.deferrals[name] == 0
}

func (s *fakeShards) deferral(name anvilmodel.ServiceName, _ time.Time) time.Duration {
	return s.deferrals[name]
}

func (s *fakeShards) pick(c anvilbalance.PickRequest, _ time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
	if v, ok := s.statuses[c.Service]; ok {
		return anvilbalance.Leaf{}, v
	}
	if len(c.Tried) >= s.leaves {
		return anvilbalance.Leaf{}, anvilbalance.PickNoLeaf
	}
	return anvilbalance.Leaf{
		Name:    anvilmodel.LeafName(fmt.Sprintf("%s-%d", c.Service, len(c.Tried))),
		Service: c.Service,
	}, anvilbalance.PickOK
}

func newRequest(s *fakeShards, route anvilroute.Route, parts int) *anvilgather.Request {
	c := anvilgather.Config{
		Route:      &route,
		ArrivedAt:  start,
		Timeout:    800 * time.Millisecond,
		HedgeDelay: 40 * time.Millisecond,
		Trial:      s.trial,
		Available:  s.available,
		Deferral:   s.deferral,
		Pick:       s.pick,
	}
	for i := range parts {
		c.Services = append(c.Services, anvilmodel.ServiceName(fmt.Sprint(i)))
	}
	if parts > 1 {
		route.Shards = c.Services
	}
	route.TargetLatency = 150 * time.Millisecond
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 2
	}
	return anvilgather.New(c)
}

func actionsOfKind(actions []anvilgather.Action, kind anvilgather.ActionKind) []anvilgather.Action {
	var found []anvilgather.Action
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

func describeFinish(actions []anvilgather.Action) string {
	for _, a := range actionsOfKind(actions, anvilgather.ActionFinish) {
		return a.Finish.String() + " " + a.Cause.String()
	}
	return ""
}

// One of 20 shards pauses for longer than the target. Guards against an answer that waits
// for the last shard beyond the target although the minimum coverage is reached.
func TestAnswersAtTargetWithMinCoverage(t *testing.T) {
	r := newRequest(&fakeShards{leaves: 1}, anvilroute.Route{MinCoverage: 0.89}, 20)
	calls := actionsOfKind(r.Start(start, nil), anvilgather.ActionCall)
	now := start.Add(20 * time.Millisecond)
	for _, c := range calls[1:] {
		if f := describeFinish(r.HandleOutcome(c.CallIndex, anvilbalance.OutcomeGood, now, nil)); f != "" {
			t.Fatalf("finished after 20 ms with a call in flight: %s", f)
		}
	}
	var finish string
	for finish == "" {
		now = r.NextTick()
		finish = describeFinish(r.Tick(now, nil))
	}
	if diff := cmp.Diff("answered target-reached", finish); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if waited := now.Sub(start); waited < 120*time.Millisecond || waited >= 150*time.Millisecond {
		t.Errorf("answered after %s, want shortly before 150 ms", waited)
	}
}

// Callers are in several failure domains, and the node is under load. Guards against an
// answer that is timed for the average transit time and misses the target of a caller that
// is further away and whose request waited for the processor.
func TestAnswersInTimeForDistantCallers(t *testing.T) {
	const (
		target        = 60 * time.Millisecond
		elapsed       = 14 * time.Millisecond
		transit       = 7 * time.Millisecond
		extraTransit  = 3 * time.Millisecond
		processorWait = 3 * time.Millisecond
	)
	s := &fakeShards{leaves: 1}
	services := []anvilmodel.ServiceName{"1", "2"}
	r := anvilgather.New(anvilgather.Config{
		Route: &anvilroute.Route{
			Shards:        services,
			TargetLatency: target,
			MaxAttempts:   2,
			MinCoverage:   0.5,
		},
		Services:   services,
		ArrivedAt:  start,
		Elapsed:    elapsed,
		Transit:    transit,
		Timeout:    400 * time.Millisecond,
		HedgeDelay: 20 * time.Millisecond,
		Available:  s.available,
		Pick:       s.pick,
	})
	calls := actionsOfKind(r.Start(start, nil), anvilgather.ActionCall)
	now := start.Add(10 * time.Millisecond)
	r.HandleOutcome(calls[0].CallIndex, anvilbalance.OutcomeGood, now, nil)
	for finish := ""; finish == ""; {
		now = r.NextTick()
		finish = describeFinish(r.Tick(now, nil))
	}
	if took := elapsed + now.Sub(start) + transit + extraTransit + processorWait; took > target {
		t.Errorf("the answer reaches the caller after %s, want at most %s", took, target)
	}
}

// Guards against an answer below the minimum coverage, and against one that is held back
// although the minimum coverage is reached after the target.
func TestWaitsForMinCoverage(t *testing.T) {
	r := newRequest(&fakeShards{leaves: 1}, anvilroute.Route{MinCoverage: 0.89}, 20)
	calls := actionsOfKind(r.Start(start, nil), anvilgather.ActionCall)
	for _, c := range calls[:17] {
		r.HandleOutcome(c.CallIndex, anvilbalance.OutcomeGood, start.Add(20*time.Millisecond), nil)
	}
	now := start.Add(300 * time.Millisecond)
	if f := describeFinish(r.Tick(now, nil)); f != "" {
		t.Fatalf("finished with 17 of 20 shards, below the minimum coverage: %s", f)
	}
	if diff := cmp.Diff("answered target-reached", describeFinish(r.HandleOutcome(calls[17].CallIndex, anvilbalance.OutcomeGood, now, nil))); diff != "" {
		t.Errorf("finish with 18 of 20 shards (-want +got):\n%s", diff)
	}
}

// The leaves of three shards become unavailable at the same time. Guards against calls and
// waiting for a query that can no longer reach its minimum coverage.
func TestRefusesWhenMinCoverageUnreachable(t *testing.T) {
	s := &fakeShards{
		leaves: 2,
		unavailable: map[anvilmodel.ServiceName]bool{
			"3": true,
			"8": true,
			"9": true,
		},
	}
	actions := newRequest(s, anvilroute.Route{MinCoverage: 0.89}, 20).Start(start, nil)
	if diff := cmp.Diff("refused no-leaf", describeFinish(actions)); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if calls := actionsOfKind(actions, anvilgather.ActionCall); len(calls) > 0 {
		t.Errorf("%d calls were sent for a refused query", len(calls))
	}
}

// The leaves of four shards accept no calls for 3, 2, 1 and 4 s, which is two shards more
// than may be missing. Guards against callers that wait for shards known to be unavailable,
// and against a retry delay that ends before enough shards accept calls.
func TestRetryAfterOfDeferredShards(t *testing.T) {
	s := &fakeShards{
		leaves: 2,
		deferrals: map[anvilmodel.ServiceName]time.Duration{
			"1": 3 * time.Second,
			"4": 2 * time.Second,
			"5": time.Second,
			"7": 4 * time.Second,
		},
	}
	actions := newRequest(s, anvilroute.Route{MinCoverage: 0.89}, 20).Start(start, nil)
	if diff := cmp.Diff("refused leafs-deferred", describeFinish(actions)); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if calls := actionsOfKind(actions, anvilgather.ActionCall); len(calls) > 0 {
		t.Errorf("%d calls were sent for a refused query", len(calls))
	}
	if diff := cmp.Diff(2*time.Second, actionsOfKind(actions, anvilgather.ActionFinish)[0].RetryAfter); diff != "" {
		t.Errorf("retry delay (-want +got):\n%s", diff)
	}
}

// Both leaves of a service refuse a request and accept no calls for some time. Guards
// against a refusal that lets the caller retry at once.
func TestRetryAfterWhenAllLeavesRefuse(t *testing.T) {
	s := &fakeShards{
		leaves:    2,
		deferrals: make(map[anvilmodel.ServiceName]time.Duration),
	}
	r := newRequest(s, anvilroute.Route{NonIdempotent: true}, 1)
	calls := actionsOfKind(r.Start(start, nil), anvilgather.ActionCall)
	calls = actionsOfKind(r.HandleOutcome(calls[0].CallIndex, anvilbalance.OutcomeShed, start, nil), anvilgather.ActionCall)
	s.deferrals["0"] = 3 * time.Second
	actions := r.HandleOutcome(calls[0].CallIndex, anvilbalance.OutcomeShed, start, nil)
	if diff := cmp.Diff("refused leaf-shed", describeFinish(actions)); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(3*time.Second, actionsOfKind(actions, anvilgather.ActionFinish)[0].RetryAfter); diff != "" {
		t.Errorf("retry delay (-want +got):\n%s", diff)
	}
}

// Guards against a failed shard that delays the answer until the target.
func TestFailedShardDoesNotDelayTheAnswer(t *testing.T) {
	r := newRequest(&fakeShards{leaves: 1}, anvilroute.Route{MinCoverage: 0.75}, 4)
	calls := actionsOfKind(r.Start(start, nil), anvilgather.ActionCall)
	now := start.Add(10 * time.Millisecond)
	r.HandleOutcome(calls[0].CallIndex, anvilbalance.OutcomeFailed, now, nil)
	r.HandleOutcome(calls[1].CallIndex, anvilbalance.OutcomeGood, now, nil)
	r.HandleOutcome(calls[2].CallIndex, anvilbalance.OutcomeGood, now, nil)
	if diff := cmp.Diff("answered leaf-failed", describeFinish(r.HandleOutcome(calls[3].CallIndex, anvilbalance.OutcomeGood, now, nil))); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
}

// Guards against a hedge that is sent early, twice or to the leaf of the first call.
func TestHedgesOnce(t *testing.T) {
	r := newRequest(&fakeShards{leaves: 3}, anvilroute.Route{MaxAttempts: 3}, 1)
	first := actionsOfKind(r.Start(start, nil), anvilgather.ActionCall)
	if calls := actionsOfKind(r.Tick(start.Add(39*time.Millisecond), nil), anvilgather.ActionCall); len(calls) > 0 {
		t.Fatal("hedged before the hedge delay")
	}
	second := actionsOfKind(r.Tick(start.Add(40*time.Millisecond), nil), anvilgather.ActionCall)
	if len(second) != 1 || second[0].Leaf.Name == first[0].Leaf.Name {
		t.Fatalf("hedges at the delay are %v, want one at another leaf", second)
	}
	if calls := actionsOfKind(r.Tick(start.Add(100*time.Millisecond), nil), anvilgather.ActionCall); len(calls) > 0 {
		t.Error("hedged twice")
	}
}

// Guards against a non-idempotent request that runs twice, a refusal of a request that may
// have run, calls to more leaves than the route allows, and a request that does not end
// before its timeout, and a trial that is sent to more than one leaf before one has answered.
func TestRequestInvariants(t *testing.T) {
	outcomes := []anvilbalance.Outcome{
		anvilbalance.OutcomeGood, anvilbalance.OutcomeFailed, anvilbalance.OutcomeShed, anvilbalance.OutcomeMisdirected,
		anvilbalance.OutcomeUnsent, anvilbalance.OutcomeLost, anvilbalance.OutcomeTimeout, anvilbalance.OutcomeAbandoned,
	}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 5).Draw(t, "parts")
		route := anvilroute.Route{
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
			MinCoverage: rapid.Float64Range(0, 1).Draw(t, "minimum coverage"),
		}
		if parts == 1 {
			route.NonIdempotent = rapid.Bool().Draw(t, "non-idempotent")
		}
		shards := &fakeShards{
			leaves: 3,
			trial:  rapid.Bool().Draw(t, "trial"),
		}
		r := newRequest(shards, route, parts)
		callsPerPart := make(map[int]int)
		var inFlight []anvilgather.Action
		mayHaveRun, sentAgain, good := false, false, 0
		now := start
		finish := ""
		apply := func(actions []anvilgather.Action) {
			for _, a := range actionsOfKind(actions, anvilgather.ActionCall) {
				inFlight = append(inFlight, a)
				callsPerPart[a.PartIndex]++
				if shards.trial && good == 0 && (mayHaveRun || len(inFlight) > 1) {
					t.Fatal("a trial was sent to a second leaf before the first one answered")
				}
				sentAgain = sentAgain || mayHaveRun || len(inFlight) > 1
			}
			if f := describeFinish(actions); f != "" {
				if finish != "" {
					t.Fatalf("finished twice: %s, then %s", finish, f)
				}
				finish = f
				if actionsOfKind(actions, anvilgather.ActionFinish)[0].Finish == anvilgather.FinishRefused && (mayHaveRun || len(inFlight) > 0) {
					t.Fatal("request refused although a call may have run")
				}
			}
		}
		apply(r.Start(now, nil))
		for range 100 {
			if finish != "" {
				break
			}
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "reply") {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "call")
				call := inFlight[i]
				inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
				mayHaveRun = mayHaveRun || !o.NotRun()
				if o == anvilbalance.OutcomeGood {
					good++
				}
				apply(r.HandleOutcome(call.CallIndex, o, now, nil))
				continue
			}
			now = r.NextTick()
			apply(r.Tick(now, nil))
		}
		if finish == "" {
			t.Fatal("request has not finished after 100 steps")
		}
		for part, n := range callsPerPart {
			if n > route.MaxAttempts {
				t.Fatalf("part %d was sent to %d leaves, want at most %d", part, n, route.MaxAttempts)
			}
		}
		if route.NonIdempotent && sentAgain {
			t.Fatal("a non-idempotent request was sent again although it may have run")
		}
		if now.After(start.Add(800 * time.Millisecond)) {
			t.Fatalf("ended %s after the timeout", now.Sub(start.Add(800*time.Millisecond)))
		}
	})
}

// Guards against a request that crashes all leaves again when it comes again, and against one
// that is not served although its first leaf has answered.
func TestTrialStartsWithOneLeaf(t *testing.T) {
	for _, c := range []struct {
		outcome anvilbalance.Outcome
		calls   int
		finish  string
	}{
		{anvilbalance.OutcomeGood, 4, ""},
		{anvilbalance.OutcomeShed, 1, ""},
		{anvilbalance.OutcomeLost, 0, "failed leaf-lost"},
		{anvilbalance.OutcomeTimeout, 0, "failed timeout"},
	} {
		r := newRequest(&fakeShards{
			leaves: 3,
			trial:  true,
		}, anvilroute.Route{}, 5)
		actions := r.Start(start, nil)
		if calls := actionsOfKind(actions, anvilgather.ActionCall); len(calls) != 1 {
			t.Fatalf("%d calls at the start of a trial, want 1", len(calls))
		}
		if late := r.Tick(start.Add(50*time.Millisecond), nil); len(actionsOfKind(late, anvilgather.ActionCall)) > 0 {
			t.Error("the call of a trial is hedged")
		}
		actions = r.HandleOutcome(0, c.outcome, start.Add(60*time.Millisecond), nil)
		if calls := actionsOfKind(actions, anvilgather.ActionCall); len(calls) != c.calls {
			t.Errorf("outcome %s: %d calls, want %d", c.outcome, len(calls), c.calls)
		}
		if diff := cmp.Diff(c.finish, describeFinish(actions)); diff != "" {
			t.Errorf("outcome %s (-want +got):\n%s", c.outcome, diff)
		}
	}
}

// Guards against records that are lost, duplicated or out of order.
func TestMergeTop(t *testing.T) {
	record := func(b byte) []byte {
		r := make([]byte, anvilgather.RecordSize)
		r[0] = b
		return r
	}
	join := func(records ...[]byte) []byte {
		var all []byte
		for _, r := range records {
			all = append(all, r...)
		}
		return all
	}
	parts := [][]byte{
		join(record(3), record(9), record(1)),
		join(record(9), record(5), []byte("rest")),
		nil,
	}
	want := join(record(9), record(9), record(5), record(3))
	if diff := cmp.Diff(want, anvilgather.MergeTop(parts, 4)); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}

// Most records of the parts are not among the greatest, as in a query over 135 shards.
// Guards against records that are lost, duplicated or out of order.
func TestMergeTopMatchesSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts [][]byte
		var all []string
		for range rapid.IntRange(0, 20).Draw(t, "parts") {
			var part []byte
			for range rapid.IntRange(0, 20).Draw(t, "records") {
				r := make([]byte, anvilgather.RecordSize)
				// Few different values make equal records and equal halves of records common.
				r[rapid.SampledFrom([]int{0, 7, 8, 15}).Draw(t, "position")] = rapid.Byte().Draw(t, "byte") & 3
				all = append(all, string(r))
				part = append(part, r...)
			}
			parts = append(parts, append(part, "rest"...))
		}
		limit := rapid.IntRange(0, 60).Draw(t, "limit")
		slices.Sort(all)
		slices.Reverse(all)
		want := strings.Join(all[:min(limit, len(all))], "")
		if diff := cmp.Diff(want, string(anvilgather.MergeTop(parts, limit))); diff != "" {
			t.Errorf("merged records (-want +got):\n%s", diff)
		}
	})
}

func ExampleMergeTop() {
	parts := [][]byte{
		[]byte("record-a-1234567record-c-1234567"),
		[]byte("record-b-1234567"),
	}
	// A record has 16 bytes; "record-a-1234567" is one.
	fmt.Printf("%s\n", anvilgather.MergeTop(parts, 2))
	// Output: record-c-1234567record-b-1234567
}
