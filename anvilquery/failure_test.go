package anvilquery_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
)

const (
	shed    = anvilmodel.CallShed
	timeout = anvilmodel.CallTimeout
	broken  = anvilmodel.CallBroken
	gone    = anvilmodel.CallSnapshotGone
	failed  = anvilmodel.CallFailed
	broad   = anvilmodel.ModeBroad
)

// warm lets every leaf answer queries after the given time, so that latencies
// are learned and tokens earned.
func (f *fleet) warm(queries int, latency time.Duration) {
	for range queries {
		q := f.start(request(broad, 100*ms))
		f.wait(latency)
		f.endAll(q, ok, run)
	}
}

// endAll ends all outstanding calls of a query.
func (f *fleet) endAll(q *tracked, result anvilmodel.CallResult, ran anvilmodel.RunState) {
	for i := 0; i < len(q.calls); i++ {
		if q.calls[i].open {
			f.end(q.calls[i], result, ran)
		}
	}
}

// TestHedge guards against a straggler, then a second one and a duplicate: the
// late call is hedged once, the first reply counts and the loser is cancelled.
func TestHedge(t *testing.T) {
	f := grid(t, 1, 3)
	f.warm(40, ms)
	q := f.start(request(broad, 100*ms))
	f.wait(50 * ms)
	if len(q.calls) != 2 || !q.calls[1].Hedge || q.calls[0].Leaf == q.calls[1].Leaf {
		t.Fatalf("calls are %+v", q.calls)
	}
	f.end(q.calls[1], ok, run)
	f.end(q.calls[1], ok, run)
	f.end(q.calls[0], ok, run)
	c := f.origin.Counters()
	if q.answer == nil || c.HedgesWon != 1 || c.Cancelled != 1 || c.DroppedLate != 2 {
		t.Errorf("answer %v, counters %+v", q.answer, c)
	}
}

// TestHedgeStorm guards against extra load when all leafs are slow at once, and
// against a hedge delay that grows with the slowness until hedges are useless.
func TestHedgeStorm(t *testing.T) {
	f := grid(t, 20, 2)
	f.warm(50, 2*ms)
	before := f.origin.Counters()
	for range 200 {
		q := f.start(request(broad, 100*ms))
		f.wait(60 * ms)
		f.endAll(q, ok, run)
	}
	c := f.origin.Counters()
	hedges, earned := c.HedgesSent-before.HedgesSent, (c.Calls-before.Calls)/20
	if hedges > earned+10 || hedges == 0 || c.HedgesRefused == 0 {
		t.Errorf("%d hedges for %d earned", hedges, earned)
	}
	q := f.start(request(broad, 100*ms))
	if delay := q.Next().Sub(f.now); delay > 49*ms {
		t.Errorf("hedge delay is %v of 98 ms", delay)
	}
}

// TestHedgeDelayIgnoresTimeouts guards against timeouts of a few calls in ten
// moving the hedge delay to where it helps no longer.
func TestHedgeDelayIgnoresTimeouts(t *testing.T) {
	f := grid(t, 10, 2)
	for range 60 {
		q := f.start(request(broad, 100*ms))
		f.wait(2 * ms)
		for _, c := range q.calls[:7] {
			f.end(c, ok, run)
		}
		f.wait(96 * ms)
	}
	q := f.start(request(broad, 100*ms))
	if delay := q.Next().Sub(f.now); delay > 17*ms {
		t.Errorf("hedge delay is %v with a median of 2 ms", delay)
	}
}

// TestTooShortIsNotSent guards against work that cannot be done in time, and
// against refusing forever because nothing new is learned.
func TestTooShortIsNotSent(t *testing.T) {
	f := grid(t, 1, 2)
	f.warm(40, 20*ms)
	f.wait(time.Second)
	short := request(broad, 15*ms)
	sent := 0
	for range 100 {
		q := f.start(short)
		sent += len(q.calls)
		f.wait(10 * ms)
		f.endAll(q, shed, never)
		if q.refusal.Ran != never {
			t.Fatalf("refusal is %v", q.refusal)
		}
	}
	if sent < 10 || sent > 25 {
		t.Errorf("%d calls in one second of trials every 100 ms", sent)
	}
}

// TestRetry guards against giving up after one bad leaf, retrying at a leaf that
// sheds, a held refusal (R11) and an untrue run state (R6).
func TestRetry(t *testing.T) {
	type end struct {
		result anvilmodel.CallResult
		ran    anvilmodel.RunState
	}
	for name, c := range map[string]struct {
		ends   []end
		reason anvilmodel.Reason
		ran    anvilmodel.RunState
	}{
		"shed by all":          {[]end{{shed, never}, {shed, never}, {shed, never}}, anvilmodel.ReasonShed, never},
		"broken then shed":     {[]end{{broken, maybe}, {shed, never}, {broken, never}}, anvilmodel.ReasonShed, maybe},
		"broken by all":        {[]end{{broken, never}, {broken, never}, {broken, never}}, anvilmodel.ReasonUpstream, never},
		"gone everywhere":      {[]end{{gone, never}, {gone, never}, {gone, never}}, anvilmodel.ReasonUpstream, never},
		"early timeout":        {[]end{{timeout, maybe}, {failed, run}}, anvilmodel.ReasonUpstream, run},
		"error":                {[]end{{failed, run}}, anvilmodel.ReasonUpstream, run},
		"shed, yet it ran":     {[]end{{shed, never}, {shed, run}, {shed, never}}, anvilmodel.ReasonShed, run},
		"error that denies it": {[]end{{failed, never}}, anvilmodel.ReasonUpstream, run},
	} {
		t.Run(name, func(t *testing.T) {
			f := grid(t, 1, 3)
			q := f.start(request(broad, 100*ms))
			for i, e := range c.ends {
				f.end(q.calls[i], e.result, e.ran)
			}
			if r := q.refusal; r == nil || r.Reason != c.reason || r.Ran != c.ran || r.RetryAfter <= 0 {
				t.Errorf("refusal is %+v", r)
			}
		})
	}
}

// TestNoRetryAtSheddingLeaf guards against retries that add to an overload: not
// before the leaf's retry-after, and not beyond the budget.
func TestNoRetryAtSheddingLeaf(t *testing.T) {
	f := grid(t, 1, 2)
	first := f.start(request(broad, 100*ms))
	r := f.reply(first.calls[0], shed, never)
	r.RetryAfter = 50 * ms
	f.deliver(first.calls[0], r)
	f.end(first.calls[1], ok, run)
	for _, after := range []time.Duration{20 * ms, 40 * ms} {
		f.wait(after)
		q := f.start(request(broad, 100*ms))
		if shedding := f.now.Sub(time.Unix(1000, 0)) < 50*ms; shedding {
			f.end(q.calls[0], broken, never)
			if q.refusal == nil || q.calls[0].Leaf == first.calls[0].Leaf {
				t.Fatalf("calls %+v while the other leaf sheds", q.calls)
			}
			continue
		}
		f.end(q.calls[0], broken, never)
		if len(q.calls) != 2 {
			t.Fatalf("no retry after the retry-after")
		}
	}
	f.warm(1, ms)
	for range 40 {
		q := f.start(request(broad, 100*ms))
		f.endAll(q, anvilmodel.CallCancelled, never)
	}
	if c := f.origin.Counters(); c.Retries > 10+c.Calls/10 || c.RetriesRefused == 0 {
		t.Errorf("counters are %+v", c)
	}
}

// TestRestart guards R1 against mixing snapshots when shards vanish, and against
// restarting again and again during a roll-out: the second loss is not followed
// by a restart, and replies to the first round are dropped.
func TestRestart(t *testing.T) {
	f := grid(t, 2, 2)
	restate := func(snapshots ...anvilmodel.Snapshot) {
		for i := range 4 {
			f.state(leafName(i%2, i/2), anvilmodel.Shard(i%2), snapshots...)
		}
	}
	q := f.start(request(broad, 100*ms))
	old := slices.Clone(q.calls)
	f.end(old[0], ok, run)
	restate(1, 2)
	f.end(old[1], gone, never)
	f.end(q.calls[2], gone, never)
	if c := f.origin.Counters(); len(q.calls) != 5 || c.Restarts != 1 || c.Moves != 1 || q.Snapshot() != 2 {
		t.Fatalf("%d calls, counters %+v", len(q.calls), c)
	}
	f.end(old[0], ok, run)
	restate(2, 3)
	for range 2 {
		f.end(q.calls[len(q.calls)-1], gone, never)
	}
	f.end(q.calls[3], ok, run)
	c := anvilmodel.Coverage{Covered: 1, Total: 2, Missing: []anvilmodel.Shard{q.calls[4].Shard}}
	if diff := cmp.Diff(c, q.answer.Coverage); diff != "" || q.answer.Snapshot != 2 {
		t.Errorf("snapshot %d, coverage (-want +got):\n%s", q.answer.Snapshot, diff)
	}
}

// TestNonIdempotent guards R7 and R6: a second leaf only after a certain
// not-run, and never a not-run that is not certain.
func TestNonIdempotent(t *testing.T) {
	for name, c := range map[string]struct {
		result anvilmodel.CallResult
		ran    anvilmodel.RunState
		calls  int
		says   anvilmodel.RunState
	}{
		"shed":                {shed, never, 2, maybe},
		"not connected":       {broken, never, 2, maybe},
		"connection lost":     {broken, maybe, 1, maybe},
		"lost reply":          {timeout, maybe, 1, maybe},
		"snapshot gone":       {gone, never, 2, maybe},
		"gone, but uncertain": {gone, maybe, 1, maybe},
		"error":               {failed, never, 1, run},
	} {
		t.Run(name, func(t *testing.T) {
			f := grid(t, 1, 2)
			f.warm(40, ms)
			r := request(broad, 100*ms)
			r.Class.NonIdempotent = true
			r.Ticket.ID = "t"
			q := f.start(r)
			f.wait(50 * ms)
			f.take(q, q.Abandon(f.now, nil))
			f.end(q.calls[0], c.result, c.ran)
			f.wait(time.Second)
			if len(q.calls) != c.calls || q.refusal == nil || q.refusal.Ran != c.says {
				t.Errorf("%d calls, refusal %v", len(q.calls), q.refusal)
			}
		})
	}
}

// TestWrongHolding guards R1 and R7 against a leaf that answers from another
// snapshot than it was asked for. What it states is learned all the same.
func TestWrongHolding(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		f := grid(t, 1, 2)
		r := request(broad, 100*ms)
		r.Class.NonIdempotent = nonIdempotent
		r.Ticket.ID = "t"
		q := f.start(r)
		reply := f.reply(q.calls[0], ok, run)
		reply.Holding.Snapshot = 2
		f.deliver(q.calls[0], reply)
		if status, _ := f.origin.Status("s", f.now); status.Pinned != 2 || f.origin.Counters().DroppedSnapshot != 1 {
			t.Errorf("status %+v", status)
		}
		if nonIdempotent && q.refusal.Ran == run {
			continue
		}
		f.end(q.calls[1], ok, run)
		if q.answer.Snapshot != 1 {
			t.Errorf("answer from %d", q.answer.Snapshot)
		}
	}
}

// TestPause guards against a process that resumes late: past the deadline it
// sends nothing and answers with what it has; before, it does not hedge calls
// whose replies are still to be read.
func TestPause(t *testing.T) {
	f := grid(t, 2, 2)
	f.warm(40, ms)
	q := f.start(request(broad, 100*ms))
	f.end(q.calls[0], ok, run)
	long := f.start(request(broad, 5*time.Second))
	f.now = f.now.Add(3 * time.Second)
	f.end(q.calls[1], broken, never)
	f.take(long, long.Tick(f.now, nil))
	if q.answer == nil || q.answer.Coverage.Covered != 1 || len(q.calls) != 2 || len(long.calls) != 2 {
		t.Fatalf("answer %+v, %d and %d calls", q.answer, len(q.calls), len(long.calls))
	}
	f.endAll(long, ok, run)
	if s, _ := f.origin.Status("s", f.now.Add(time.Second)); long.answer == nil || s.Tail > 2*ms {
		t.Errorf("learned %v from a pause", s.Tail)
	}
}

// TestUrgent guards against an urgent query that waits for stragglers, and
// against one that answers while its hedges are about to reply.
func TestUrgent(t *testing.T) {
	f := grid(t, 4, 2)
	f.warm(40, 4*ms)
	q := f.start(request(anvilmodel.ModeUrgent, 100*ms))
	began := f.now
	f.wait(ms)
	f.end(q.calls[0], ok, run)
	f.end(q.calls[1], ok, run)
	f.wait(time.Second)
	if took := q.answer.Took; took < 7*ms || took > 10*ms || len(q.calls) != 6 {
		t.Errorf("answered %v after %v with %d calls", took, began, len(q.calls))
	}
	q = f.start(request(anvilmodel.ModeUrgent, 100*ms))
	f.end(q.calls[0], ok, run)
	f.wait(time.Second)
	if q.answer.Took != 98*ms {
		t.Errorf("answered after %v below the coverage floor", q.answer.Took)
	}
}
