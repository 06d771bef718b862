package anvilquery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
)

// TestFailedCalls guards against failing after one bad leaf, a late refusal (R11),
// a wrong run state (R6) and, for non-idempotent requests, a hedge or a second call
// without a certain not-run (R7).
func TestFailedCalls(t *testing.T) {
	idempotent := request(anvilmodel.ModeBroad, 100*ms)
	nonIdempotentRequest := nonIdempotent(idempotent)
	for ends, want := range map[string][2]string{
		"shed/not-run broken/not-run shed/not-run":                          {"3 shed not-run", "3 shed not-run"},
		"shed/not-run shed/run shed/not-run":                                {"3 shed run", "2 shed run"},
		"broken/unknown shed/not-run broken/not-run":                        {"3 shed unknown", "1 upstream unknown"},
		"broken/not-run broken/not-run broken/not-run":                      {"3 upstream not-run", "3 upstream not-run"},
		"snapshot-gone/not-run snapshot-gone/not-run snapshot-gone/not-run": {"3 upstream not-run", "3 upstream not-run"},
		"snapshot-gone/unknown failed/run":                                  {"2 upstream run", "1 upstream unknown"},
		"timeout/unknown failed/run":                                        {"2 upstream run", "1 upstream unknown"},
		"failed/not-run":                                                    {"1 upstream run", "1 upstream run"},
	} {
		for i, r := range []anvilmodel.Request{idempotent, nonIdempotentRequest} {
			f := grid(t, 1, 3)
			f.learnLatency(40, ms)
			q := f.start(r)
			f.wait(time.Duration(i) * 50 * ms)
			f.endInOrder(q, ends)
			if got := fmt.Sprint(len(q.calls), " ", q.refusal.Reason, " ", q.refusal.RunState); got != want[i] || q.refusal.RetryAfter <= 0 {
				t.Errorf("%s: got calls, reason and run state %s, want %s", ends, got, want[i])
			}
		}
	}
}

// TestNoRetryAtSheddingLeaf guards against retries that add to an overload: before
// the retry-after time of the leaf, or beyond the budget.
func TestNoRetryAtSheddingLeaf(t *testing.T) {
	f := grid(t, 1, 2)
	q := f.startBroad()
	r := f.reply(q.calls[0], anvilmodel.CallShed, notRun)
	r.RetryAfter = 50 * ms
	f.deliver(q.calls[0], r)
	f.endCall(q.calls[1], ok, 0)
	for _, want := range []int{1, 2} {
		q := f.startBroad()
		f.endInOrder(q, "broken/not-run")
		if len(q.calls) != want {
			t.Errorf("sent %d calls, want %d", len(q.calls), want)
		}
		f.wait(60 * ms)
	}
	for range 40 {
		f.endAllCalls(f.startBroad(), anvilmodel.CallCancelled, notRun)
	}
	if c := f.origin.Counters(); c.Retries > 10+c.Calls/10 || c.RetriesRefused == 0 {
		t.Errorf("want retries limited by the budget: counters %+v", c)
	}
}

// TestRestart guards R1 against mixing snapshots when shards are dropped, and
// against repeated restarts during a roll-out: the second loss of a snapshot does
// not restart the query again, and replies to calls before the restart are dropped.
func TestRestart(t *testing.T) {
	f := newFleet(t, gridStates(2, 2, 1))
	q := f.startBroad()
	f.endCall(q.calls[0], ok, 0)
	f.reportStates(gridStates(2, 2, 1, 2))
	f.endCall(q.calls[1], anvilmodel.CallSnapshotGone, notRun)
	f.endCall(q.calls[2], anvilmodel.CallSnapshotGone, notRun)
	if c := f.origin.Counters(); len(q.calls) != 5 || c.Restarts != 1 || c.Reroutes != 1 || q.Snapshot() != 2 {
		t.Fatalf("want one reroute and one restart on snapshot 2: %d calls, counters %+v", len(q.calls), c)
	}
	f.endCall(q.calls[0], ok, 0)
	f.reportStates(gridStates(2, 2, 2, 3))
	f.endCall(q.calls[4], anvilmodel.CallSnapshotGone, notRun)
	f.endCall(q.calls[5], anvilmodel.CallSnapshotGone, notRun)
	f.endCall(q.calls[3], ok, 0)
	want := anvilmodel.Coverage{
		Covered: 1,
		Total:   2,
		Missing: []anvilmodel.Shard{q.calls[4].Shard},
	}
	if diff := cmp.Diff(want, q.answer.Coverage); diff != "" || q.answer.Snapshot != 2 {
		t.Errorf("snapshot %d, coverage (-want +got):\n%s", q.answer.Snapshot, diff)
	}
}

// TestPause guards against wrong decisions after a process pause. Past its
// deadline, a query must send nothing and answer with the replies it has. Before
// its deadline, it must neither hedge calls whose replies have not been read yet
// nor record their durations as latencies.
func TestPause(t *testing.T) {
	f := grid(t, 2, 2)
	f.learnLatency(40, ms)
	q, long := f.startBroad(), f.start(request(anvilmodel.ModeBroad, 5*time.Second))
	f.endCall(q.calls[0], ok, 0)
	f.now = f.now.Add(3 * time.Second)
	f.endCall(q.calls[1], anvilmodel.CallBroken, notRun)
	f.applyActions(long, long.Tick(f.now, nil))
	if q.answer == nil || q.answer.Coverage.Covered != 1 || len(q.calls) != 2 || len(long.calls) != 2 {
		t.Fatalf("want a partial answer and no new calls after a pause: answer %+v, %d and %d calls", q.answer, len(q.calls), len(long.calls))
	}
	f.endAllCalls(long, ok, 0)
	if s, _ := f.origin.Status("s", f.now.Add(time.Second)); s.TailLatency > 2*ms {
		t.Errorf("tail latency is %v after a pause, want at most 2 ms", s.TailLatency)
	}
}

// TestUrgent guards against an urgent query that waits for slow leaves, that
// answers before its hedges had time to reply, or that answers below its coverage
// floor.
func TestUrgent(t *testing.T) {
	f := grid(t, 4, 2)
	f.learnLatency(40, 4*ms)
	for replies, want := range map[int][2]time.Duration{2: {7 * ms, 10 * ms}, 1: {98 * ms, 98 * ms}} {
		q := f.start(request(anvilmodel.ModeUrgent, 100*ms))
		for _, c := range q.calls[:replies] {
			f.endCall(c, ok, 0)
		}
		f.wait(time.Second)
		if took := q.answer.Elapsed; took < want[0] || took > want[1] || len(q.calls) < 6 {
			t.Errorf("%d of 4 replies: answered after %v with %d calls", replies, took, len(q.calls))
		}
	}
}

// TestTooShortIsNotSent guards against sending calls that cannot be answered in
// time, and against refusing them forever because no new latencies are recorded.
func TestTooShortIsNotSent(t *testing.T) {
	f := grid(t, 1, 2)
	f.learnLatency(40, 20*ms)
	f.wait(time.Second)
	sent := 0
	for range 100 {
		q := f.start(request(anvilmodel.ModeBroad, 15*ms))
		sent += len(q.calls)
		f.wait(10 * ms)
		f.endAllCalls(q, anvilmodel.CallShed, notRun)
	}
	if sent < 10 || sent > 12 {
		t.Errorf("sent %d calls in one second with a trial every 100 ms, want 10 to 12", sent)
	}
}

// TestHedge guards against a slow leaf and duplicate replies: the late call is
// hedged once, the first reply counts and the other call is cancelled. A leaf whose
// dispatcher sheds a hedge still gets other calls.
func TestHedge(t *testing.T) {
	f := grid(t, 1, 4)
	f.learnLatency(80, ms)
	retried := f.startBroad()
	f.wait(20 * ms)
	f.endCall(retried.calls[1], anvilmodel.CallShed, notRun)
	f.endInOrder(retried, "broken/not-run")
	f.wait(20 * ms)
	f.endCall(retried.calls[2], ok, 0)
	calledAgain := false
	for range 4 {
		q := f.startBroad()
		calledAgain = calledAgain || q.calls[0].Leaf == retried.calls[1].Leaf
	}
	for _, c := range f.calls[len(f.calls)-4:] {
		f.endCall(c, ok, 0)
	}
	q := f.startBroad()
	f.wait(50 * ms)
	if len(retried.calls) != 3 || len(q.calls) != 2 || !q.calls[1].Hedge || !calledAgain {
		t.Fatalf("sent %d and %d calls, want 3 and 2; leaf that shed a hedge called again: %v, want true", len(retried.calls), len(q.calls), calledAgain)
	}
	f.endCall(q.calls[1], ok, 0)
	f.endCall(q.calls[1], ok, 0)
	f.endCall(q.calls[0], ok, 0)
	if c := f.origin.Counters(); q.answer == nil || c.HedgesWon != 1 || c.Cancelled != 1 || c.DroppedLate != 2 {
		t.Errorf("want one won hedge, one cancelled call and two late replies: answer %v, counters %+v", q.answer, c)
	}
}

// TestHedgeQuantile guards against a configured hedge quantile that has no effect.
func TestHedgeQuantile(t *testing.T) {
	for quantile, most := range map[float64]time.Duration{0.85: 3 * ms, 0.95: 11 * ms} {
		f := grid(t, 1, 2)
		f.origin.SetBudgets(0, 0)
		f.origin.SetHedgeQuantile(quantile)
		for range 40 {
			f.learnLatency(9, 2*ms)
			f.learnLatency(1, 10*ms)
		}
		if delay := f.startBroad().NextTick().Sub(f.now); delay > most || delay < most-2*ms {
			t.Errorf("hedge delay is %v at quantile %g with a tenth of the calls at 10 ms", delay, quantile)
		}
	}
}

// TestHedgeStorm guards against additional load when all leaves are slow at once,
// and against a hedge delay that grows with the latency until hedges are useless.
func TestHedgeStorm(t *testing.T) {
	f := grid(t, 20, 2)
	f.learnLatency(50, 2*ms)
	before := f.origin.Counters()
	f.learnLatency(200, 60*ms)
	c := f.origin.Counters()
	if hedges := c.HedgesSent - before.HedgesSent; hedges > (c.Calls-before.Calls)/20+10 || hedges == 0 || c.HedgesRefused == 0 {
		t.Errorf("sent %d hedges for %d calls, want some within the budget and some refused", hedges, c.Calls-before.Calls)
	}
	if q := f.startBroad(); q.NextTick().Sub(f.now) > 49*ms {
		t.Errorf("hedge delay is %v of 98 ms, want at most 49 ms", q.NextTick().Sub(f.now))
	}
}

// TestHedgeDelayIgnoresTimeouts guards against a hedge delay that becomes too long
// to be useful when a few calls in ten time out.
func TestHedgeDelayIgnoresTimeouts(t *testing.T) {
	f := grid(t, 10, 2)
	for range 60 {
		q := f.startBroad()
		f.wait(2 * ms)
		for _, c := range q.calls[:7] {
			f.endCall(c, ok, 0)
		}
		f.wait(100 * ms)
	}
	if q := f.startBroad(); q.NextTick().Sub(f.now) > 17*ms {
		t.Errorf("hedge delay is %v with a median of 2 ms, want at most 17 ms", q.NextTick().Sub(f.now))
	}
}

// TestSilentLeaf guards against a leaf that never replies and is not detected
// because hedges win. Its circuit must open. A shard without other leaves must be
// reported as missing at the deadline.
func TestSilentLeaf(t *testing.T) {
	f := grid(t, 20, 2)
	f.learnLatency(20, ms)
	for range 60 {
		q := f.startBroad()
		for range 2 {
			for _, c := range q.calls {
				if c.outstanding && c.Leaf != "0.0" {
					f.endCall(c, ok, 0)
				}
			}
			f.wait(5 * ms)
		}
		f.wait(100 * ms)
	}
	if c := f.origin.Counters(); c.CircuitsOpened != 1 || c.Partial > 3 {
		t.Errorf("want one open circuit and at most 3 partial answers: counters %+v", c)
	}
}
