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

// shards is a request's surroundings: services whose leafs are named by the
// service and a number.
type shards struct {
	leafs int
	// verdicts are returned for a service in place of a leaf.
	verdicts map[anvilmodel.ServiceName]anvilbalance.PickStatus
	down     map[anvilmodel.ServiceName]bool
	// deferrals are how long the leafs of a service want no calls.
	deferrals map[anvilmodel.ServiceName]time.Duration
}

func (s *shards) available(name anvilmodel.ServiceName, _ time.Time) bool {
	return !s.down[name] && s.deferrals[name] == 0
}

func (s *shards) deferral(name anvilmodel.ServiceName, _ time.Time) time.Duration {
	return s.deferrals[name]
}

func (s *shards) pick(c anvilbalance.PickRequest, _ time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
	if v, ok := s.verdicts[c.Service]; ok {
		return anvilbalance.Leaf{}, v
	}
	if len(c.Tried) >= s.leafs {
		return anvilbalance.Leaf{}, anvilbalance.PickNoLeaf
	}
	return anvilbalance.Leaf{
		ID:      anvilmodel.LeafName(fmt.Sprintf("%s-%d", c.Service, len(c.Tried))),
		Service: c.Service,
	}, anvilbalance.PickOK
}

func newRequest(s *shards, route anvilroute.Route, parts int) *anvilgather.Request {
	c := anvilgather.Config{
		Route:      &route,
		Arrived:    start,
		Timeout:    800 * time.Millisecond,
		HedgeDelay: 40 * time.Millisecond,
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

func ofKind(actions []anvilgather.Action, kind anvilgather.ActionKind) []anvilgather.Action {
	var found []anvilgather.Action
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

func finishOf(actions []anvilgather.Action) string {
	for _, a := range ofKind(actions, anvilgather.ActionFinish) {
		return a.Finish.String() + " " + a.Cause.String()
	}
	return ""
}

// Pattern: a query to 20 shards of which one pauses for longer than the target.
// Guards against an answer that waits for the last shard beyond the target.
func TestAnswersAtTheTargetWithTheFloor(t *testing.T) {
	r := newRequest(&shards{leafs: 1}, anvilroute.Route{MinCoverage: 0.89}, 20)
	calls := ofKind(r.Start(start, nil), anvilgather.ActionCall)
	now := start.Add(20 * time.Millisecond)
	for _, c := range calls[1:] {
		if f := finishOf(r.Handle(c.Call, anvilbalance.OutcomeGood, now, nil)); f != "" {
			t.Fatalf("finished at 20 ms with a shard outstanding: %s", f)
		}
	}
	var finish string
	for finish == "" {
		now = r.Next()
		finish = finishOf(r.Tick(now, nil))
	}
	if diff := cmp.Diff("answered target-reached", finish); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if waited := now.Sub(start); waited < 120*time.Millisecond || waited >= 150*time.Millisecond {
		t.Errorf("answered after %s, want shortly before 150 ms", waited)
	}
}

// Pattern: callers in several failure domains, on a node under load. Guards against
// an answer that is timed for the average way and misses the target of a caller who
// is further away and whose request waited for the processor.
func TestAnswersInTimeForDistantCallers(t *testing.T) {
	const (
		target  = 60 * time.Millisecond
		elapsed = 14 * time.Millisecond
		transit = 7 * time.Millisecond
		further = 3 * time.Millisecond
		waited  = 3 * time.Millisecond
	)
	s := &shards{leafs: 1}
	services := []anvilmodel.ServiceName{"1", "2"}
	r := anvilgather.New(anvilgather.Config{
		Route: &anvilroute.Route{
			Shards:        services,
			TargetLatency: target,
			MaxAttempts:   2,
			MinCoverage:   0.5,
		},
		Services:   services,
		Arrived:    start,
		Elapsed:    elapsed,
		Transit:    transit,
		Timeout:    400 * time.Millisecond,
		HedgeDelay: 20 * time.Millisecond,
		Available:  s.available,
		Pick:       s.pick,
	})
	calls := ofKind(r.Start(start, nil), anvilgather.ActionCall)
	now := start.Add(10 * time.Millisecond)
	r.Handle(calls[0].Call, anvilbalance.OutcomeGood, now, nil)
	for finish := ""; finish == ""; {
		now = r.Next()
		finish = finishOf(r.Tick(now, nil))
	}
	if took := elapsed + now.Sub(start) + transit + further + waited; took > target {
		t.Errorf("the answer is at the caller after %s, want at most %s", took, target)
	}
}

// Guards against an answer below the floor, and against one that is held back
// once the floor is reached after the target.
func TestWaitsForTheFloor(t *testing.T) {
	r := newRequest(&shards{leafs: 1}, anvilroute.Route{MinCoverage: 0.89}, 20)
	calls := ofKind(r.Start(start, nil), anvilgather.ActionCall)
	for _, c := range calls[:17] {
		r.Handle(c.Call, anvilbalance.OutcomeGood, start.Add(20*time.Millisecond), nil)
	}
	now := start.Add(300 * time.Millisecond)
	if f := finishOf(r.Tick(now, nil)); f != "" {
		t.Fatalf("finished with 17 of 20 shards: %s", f)
	}
	if diff := cmp.Diff("answered target-reached", finishOf(r.Handle(calls[17].Call, anvilbalance.OutcomeGood, now, nil))); diff != "" {
		t.Errorf("finish with 18 of 20 shards (-want +got):\n%s", diff)
	}
}

// Pattern: leafs of three shards are lost at once. Guards against calls and waiting
// for a query that cannot reach its floor any more.
func TestUnreachableFloorIsRefusedAtOnce(t *testing.T) {
	s := &shards{
		leafs: 2,
		down: map[anvilmodel.ServiceName]bool{
			"3": true,
			"8": true,
			"9": true,
		},
	}
	actions := newRequest(s, anvilroute.Route{MinCoverage: 0.89}, 20).Start(start, nil)
	if diff := cmp.Diff("refused no-leaf", finishOf(actions)); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if calls := ofKind(actions, anvilgather.ActionCall); len(calls) > 0 {
		t.Errorf("%d calls were sent for a refused query", len(calls))
	}
}

// Pattern: the leafs of four shards turn calls away for 3, 2, 1 and 4 s, and two more
// shards than may be missing are gone for these reasons. Guards against callers who wait
// for what is known not to come, or who are sent back before enough shards take calls.
func TestDeferredShardsAreRefusedWithTheTimeLeft(t *testing.T) {
	s := &shards{
		leafs: 2,
		deferrals: map[anvilmodel.ServiceName]time.Duration{
			"1": 3 * time.Second,
			"4": 2 * time.Second,
			"5": time.Second,
			"7": 4 * time.Second,
		},
	}
	actions := newRequest(s, anvilroute.Route{MinCoverage: 0.89}, 20).Start(start, nil)
	if diff := cmp.Diff("refused leafs-deferred", finishOf(actions)); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if calls := ofKind(actions, anvilgather.ActionCall); len(calls) > 0 {
		t.Errorf("%d calls were sent for a refused query", len(calls))
	}
	if diff := cmp.Diff(2*time.Second, ofKind(actions, anvilgather.ActionFinish)[0].RetryAfter); diff != "" {
		t.Errorf("time to come back (-want +got):\n%s", diff)
	}
}

// Pattern: both leafs of a service turn a request away and want no calls for a while.
// Guards against a refusal that sends the caller back at once.
func TestTurnedAwayByAllLeafs(t *testing.T) {
	s := &shards{
		leafs:     2,
		deferrals: make(map[anvilmodel.ServiceName]time.Duration),
	}
	r := newRequest(s, anvilroute.Route{NonIdempotent: true}, 1)
	calls := ofKind(r.Start(start, nil), anvilgather.ActionCall)
	calls = ofKind(r.Handle(calls[0].Call, anvilbalance.OutcomeShed, start, nil), anvilgather.ActionCall)
	s.deferrals["0"] = 3 * time.Second
	actions := r.Handle(calls[0].Call, anvilbalance.OutcomeShed, start, nil)
	if diff := cmp.Diff("refused leaf-shed", finishOf(actions)); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(3*time.Second, ofKind(actions, anvilgather.ActionFinish)[0].RetryAfter); diff != "" {
		t.Errorf("time to come back (-want +got):\n%s", diff)
	}
}

// Guards against a failed shard that keeps the others waiting.
func TestFailedShardDoesNotDelayTheAnswer(t *testing.T) {
	r := newRequest(&shards{leafs: 1}, anvilroute.Route{MinCoverage: 0.75}, 4)
	calls := ofKind(r.Start(start, nil), anvilgather.ActionCall)
	now := start.Add(10 * time.Millisecond)
	r.Handle(calls[0].Call, anvilbalance.OutcomeFailed, now, nil)
	r.Handle(calls[1].Call, anvilbalance.OutcomeGood, now, nil)
	r.Handle(calls[2].Call, anvilbalance.OutcomeGood, now, nil)
	if diff := cmp.Diff("answered leaf-failed", finishOf(r.Handle(calls[3].Call, anvilbalance.OutcomeGood, now, nil))); diff != "" {
		t.Errorf("finish (-want +got):\n%s", diff)
	}
}

// Guards against a hedge that is sent early, twice or to the same leaf.
func TestHedgesOnce(t *testing.T) {
	r := newRequest(&shards{leafs: 3}, anvilroute.Route{MaxAttempts: 3}, 1)
	first := ofKind(r.Start(start, nil), anvilgather.ActionCall)
	if calls := ofKind(r.Tick(start.Add(39*time.Millisecond), nil), anvilgather.ActionCall); len(calls) > 0 {
		t.Fatal("hedged before the delay")
	}
	second := ofKind(r.Tick(start.Add(40*time.Millisecond), nil), anvilgather.ActionCall)
	if len(second) != 1 || second[0].Leaf.ID == first[0].Leaf.ID {
		t.Fatalf("hedges at the delay: %v", second)
	}
	if calls := ofKind(r.Tick(start.Add(100*time.Millisecond), nil), anvilgather.ActionCall); len(calls) > 0 {
		t.Error("hedged twice")
	}
}

// Guards against a non-idempotent request that runs twice, a refusal of one that
// may have run, and a call to more leafs than the route allows.
func TestPromises(t *testing.T) {
	outcomes := []anvilbalance.Outcome{
		anvilbalance.OutcomeGood, anvilbalance.OutcomeFailed, anvilbalance.OutcomeShed, anvilbalance.OutcomeMisdirected,
		anvilbalance.OutcomeUnsent, anvilbalance.OutcomeLost, anvilbalance.OutcomeTimeout, anvilbalance.OutcomeAbandoned,
	}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 5).Draw(t, "parts")
		route := anvilroute.Route{
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
			MinCoverage: rapid.Float64Range(0, 1).Draw(t, "floor"),
		}
		if parts == 1 {
			route.NonIdempotent = rapid.Bool().Draw(t, "non-idempotent")
		}
		r := newRequest(&shards{leafs: 3}, route, parts)
		perPart := make(map[int]int)
		var open []anvilgather.Action
		mayRun, sentAfterRun, good := false, false, 0
		now := start
		finish := ""
		take := func(actions []anvilgather.Action) {
			for _, a := range ofKind(actions, anvilgather.ActionCall) {
				open = append(open, a)
				perPart[a.Part]++
				sentAfterRun = sentAfterRun || mayRun || len(open) > 1
			}
			if f := finishOf(actions); f != "" {
				if finish != "" {
					t.Fatalf("finished twice: %s, then %s", finish, f)
				}
				finish = f
				if ofKind(actions, anvilgather.ActionFinish)[0].Finish == anvilgather.FinishRefused && (mayRun || len(open) > 0) {
					t.Fatal("refused as not run although a call may have run")
				}
			}
		}
		take(r.Start(now, nil))
		for range 100 {
			if finish != "" {
				break
			}
			if len(open) > 0 && rapid.Bool().Draw(t, "reply") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "call")
				call := open[i]
				open = append(open[:i:i], open[i+1:]...)
				o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
				mayRun = mayRun || !o.NotRun()
				if o == anvilbalance.OutcomeGood {
					good++
				}
				take(r.Handle(call.Call, o, now, nil))
				continue
			}
			now = r.Next()
			take(r.Tick(now, nil))
		}
		if finish == "" {
			t.Fatal("the request never ends")
		}
		for part, n := range perPart {
			if n > route.MaxAttempts {
				t.Fatalf("part %d was sent to %d leafs, at most %d are allowed", part, n, route.MaxAttempts)
			}
		}
		if route.NonIdempotent && sentAfterRun {
			t.Fatal("a non-idempotent request was sent again although it may have run")
		}
		if now.After(start.Add(800 * time.Millisecond)) {
			t.Fatalf("ended %s after the timeout", now.Sub(start.Add(800*time.Millisecond)))
		}
	})
}

// Guards against records that are lost, doubled or misplaced by the merge.
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

// Pattern: the parts of 135 shards, most of whose records are not among the
// greatest. Guards against records that are lost, doubled or out of order.
func TestMergeTopIsTheHeadOfAllRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts [][]byte
		var all []string
		for range rapid.IntRange(0, 20).Draw(t, "parts") {
			var part []byte
			for range rapid.IntRange(0, 20).Draw(t, "records") {
				r := make([]byte, anvilgather.RecordSize)
				// Few different bytes, so that equal records and equal halves are common.
				r[rapid.SampledFrom([]int{0, 7, 8, 15}).Draw(t, "place")] = rapid.Byte().Draw(t, "byte") & 3
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
