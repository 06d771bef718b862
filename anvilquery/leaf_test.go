package anvilquery_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
)

// queryWithBadLeaf runs a query in which the given leaf fails and the others
// answer. It reports whether the given leaf was called.
func (f *fleet) queryWithBadLeaf(bad anvilmodel.LeafName, result anvilmodel.CallResult) (called bool) {
	q := f.startBroad()
	for i := 0; i < len(q.calls); i++ {
		switch c := q.calls[i]; {
		case c.Leaf == bad:
			called = true
			f.endCall(c, result, 0)
		case c.outstanding:
			f.endCall(c, ok, 0)
		}
	}
	return called
}

// TestCircuit guards against a leaf that fails quickly and so attracts calls: after
// three failures it gets one probe per backoff, which doubles from 100 ms to 5 s,
// and a success closes the circuit. It also guards against one caller whose request
// fails at every shard opening the circuits of all leaves.
func TestCircuit(t *testing.T) {
	for _, result := range []anvilmodel.CallResult{anvilmodel.CallBroken, failed, anvilmodel.CallTimeout} {
		f := grid(t, 2, 2)
		for range 20 {
			f.endAllCalls(f.startBroad(), failed, anvilmodel.RunStateRun)
		}
		var calls []time.Time
		for range 2000 {
			if f.queryWithBadLeaf("0.0", result) {
				calls = append(calls, f.now)
			}
			f.wait(10 * ms)
		}
		for i := 3; i < len(calls); i++ {
			want := min(100*ms<<(i-3), 5*time.Second)
			if got := calls[i].Sub(calls[i-1]); got < want || got > want+10*ms {
				t.Errorf("%v: probe %d after %v, want %v", result, i-2, got, want)
			}
		}
		f.wait(5 * time.Second)
		f.queryWithBadLeaf("", ok)
		c := f.origin.Counters()
		for range 10 {
			f.queryWithBadLeaf("", ok)
		}
		if n := len(calls); n < 9 || f.snapshotSummary() != "1 1:2/2" || c.CircuitsOpened != 1 {
			t.Errorf("%v: %d calls to the bad leaf, snapshots %s, counters %+v", result, n, f.snapshotSummary(), c)
		}
	}
}

// TestProbeOfNewerSnapshot guards against a leaf with an open circuit that is never
// probed because it holds only a newer snapshot and queries are pinned to an older
// one.
func TestProbeOfNewerSnapshot(t *testing.T) {
	f := newFleet(t, "old 1:0/1, new 2:0/1")
	for i, want := range []bool{true, true, true, false} {
		if got := f.queryWithBadLeaf("new", anvilmodel.CallTimeout); got != want {
			t.Errorf("query %d called the failing leaf: %v", i, got)
		}
	}
	f.wait(200 * ms)
	f.queryWithBadLeaf("", ok)
	if f.snapshotSummary() != "2 2:1/1 1:1/1" {
		t.Errorf("snapshots are %s, want 2 2:1/1 1:1/1", f.snapshotSummary())
	}
}

// TestStaleLoad guards against one leaf getting all queries: while its calls are
// outstanding, because it reported a low load, or more than 2 s after that report.
func TestStaleLoad(t *testing.T) {
	f := grid(t, 1, 2)
	for range 10 {
		f.startBroad()
	}
	f.wait(time.Second)
	for i := 0; i < 10; i += 2 {
		if f.calls[i].Leaf == f.calls[i+1].Leaf {
			t.Errorf("calls %d and %d both went to leaf %s", i, i+1, f.calls[i].Leaf)
		}
	}
	f.reportStates("0.0 load=0.1 1:0/1, 0.1 load=0.9 1:0/1")
	for _, want := range [][2]int{{320, 395}, {150, 250}} {
		n := 0
		for range 400 {
			q := f.startBroad()
			if q.calls[0].Leaf == "0.0" {
				n++
			}
			r := f.reply(q.calls[0], ok, 0)
			r.Incarnation = 0
			f.deliver(q.calls[0], r)
		}
		if n < want[0] || n > want[1] {
			t.Errorf("%d of 400 calls to the leaf that reported less load, want %v", n, want)
		}
		f.wait(3 * time.Second)
	}
}

// TestPin guards R1 and R2 against pinning a snapshot that is not the newest
// complete one, and against leaves that report different shard counts. Leaf x is
// not usable.
func TestPin(t *testing.T) {
	for name, c := range map[string][2]string{
		"newest complete":     {"a 1:0/1 2:0/2, b 2:1/2", "2 2:2/2 1:1/1"},
		"newest incomplete":   {"a 1:0/1 2:0/2", "1 2:1/2 1:1/1"},
		"larger fraction":     {"a 1:0/2 2:0/3", "1 2:1/3 1:1/2"},
		"equal fractions":     {"a 1:0/2 2:0/2", "2 2:1/2 1:1/2"},
		"leaf unusable":       {"a 1:0/1 2:0/2, x 2:1/2", "1 2:1/2 1:1/1"},
		"other leaf unusable": {"a 1:0/1, x 1:0/1", "1 1:1/1"},
		"minority of few":     {"a 1:0/1, b 1:0/2, c 1:1/2", "1 1:2/2"},
		"minority of many":    {"a 1:0/9, b 1:0/2, c 1:1/2", "1 1:2/2"},
		"no majority":         {"a 1:0/1, b 1:0/2", "1 1:1/2"},
		"invalid holdings":    {"a 1:2/2, b 1:-1/2, c 1:0/0, d 1:0/99999", "0"},
	} {
		f := newFleet(t, c[0])
		f.origin.SetUsable("x", false)
		if diff := cmp.Diff(c[1], f.snapshotSummary()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestReportOrder guards against applying outdated states: from before draining
// began, of an earlier process, or older than the known state.
func TestReportOrder(t *testing.T) {
	f := grid(t, 1, 1)
	f.wait(time.Second)
	for _, step := range [][2]string{
		{"0.0 draining 1:0/1", "1 1:0/1"},
		{"0.0 age=100ms 1:0/1", "1 1:0/1"},
		{"0.0 incarnation=2 1:0/1", "1 1:1/1"},
		{"0.0", "1 1:1/1"},
		{"0.0 incarnation=2 age=1ms", "1 1:1/1"},
		{"0.0 incarnation=2", "0"},
	} {
		f.reportStates(step[0])
		if diff := cmp.Diff(step[1], f.snapshotSummary()); diff != "" {
			t.Errorf("after %s (-want +got):\n%s", step[0], diff)
		}
	}
}

// TestRepliesUpdateHoldings guards against a shard map that ignores holdings
// reported in replies, and against an older state that restores a dropped snapshot.
func TestRepliesUpdateHoldings(t *testing.T) {
	f := grid(t, 1, 1)
	f.wait(time.Second)
	c := f.startBroad().calls[0]
	r := f.reply(c, ok, 0)
	r.Holding.Snapshot = 2
	f.deliver(c, r)
	afterReply := f.snapshotSummary()
	f.endCall(f.startBroad().calls[0], anvilmodel.CallSnapshotGone, notRun)
	f.reportStates("0.0 age=10ms 1:0/1 2:0/1")
	if diff := cmp.Diff([]string{"2 2:1/1 1:1/1", "1 1:1/1"}, []string{afterReply, f.snapshotSummary()}); diff != "" {
		t.Errorf("snapshots (-want +got):\n%s", diff)
	}
}

// TestRefusalAtStart guards R6 and R11 against requests that cannot be run but are
// delayed or sent to a leaf.
func TestRefusalAtStart(t *testing.T) {
	for reason, change := range map[anvilmodel.RefusalReason]func(*fleet, *anvilmodel.Request){
		anvilmodel.ReasonUnknownService: func(_ *fleet, r *anvilmodel.Request) { r.Service = "x" },
		anvilmodel.ReasonDeadline:       func(_ *fleet, r *anvilmodel.Request) { r.Timeout = 2 * ms },
		anvilmodel.ReasonBadRequest:     func(_ *fleet, r *anvilmodel.Request) { *r = nonIdempotent(*r) },
		anvilmodel.ReasonBadTicket:      func(_ *fleet, r *anvilmodel.Request) { r.Class.NonIdempotent = true },
		anvilmodel.ReasonNoSnapshot:     func(f *fleet, _ *anvilmodel.Request) { f.reportStates("0.0, 1.0") },
		anvilmodel.ReasonUpstream: func(f *fleet, _ *anvilmodel.Request) {
			f.origin.SetUsable("0.0", false)
			f.origin.SetUsable("1.0", false)
		},
	} {
		f := grid(t, 2, 1)
		r := request(anvilmodel.ModeBroad, 100*ms)
		change(f, &r)
		q := f.start(r)
		later := reason == anvilmodel.ReasonNoSnapshot || reason == anvilmodel.ReasonUpstream
		if r := q.refusal; r == nil || r.Reason != reason || r.RunState != notRun || len(q.calls) != 0 || later != (r.RetryAfter > 0) {
			t.Errorf("%s: refusal is %v after %d calls", reason, q.refusal, len(q.calls))
		}
	}
}

// TestKey guards R2 and R7 against sending a request with a key to another
// shard than that of its key, also when a restart uses another shard count.
func TestKey(t *testing.T) {
	f := newFleet(t, "a 1:0/2, b 1:1/2, c")
	r := request(anvilmodel.ModeBroad, 100*ms)
	r.Key = "lot 2"
	q := f.start(r)
	f.reportStates("a 2:0/3, b 2:1/3, c 2:2/3")
	f.endInOrder(q, "snapshot-gone/not-run ok/run")
	nonIdempotentQuery := f.start(nonIdempotent(r))
	f.reportStates("a 3:0/1, b 3:0/1, c 3:0/1")
	f.endInOrder(nonIdempotentQuery, "snapshot-gone/not-run")
	if len(nonIdempotentQuery.calls) != 1 {
		t.Errorf("R7: a non-idempotent query was restarted")
	}
	// The hash of the key leaves 0 modulo 2 and 2 modulo 3.
	if c := q.answer.Coverage; q.calls[0].Shard != 0 || q.calls[1].Shard != 2 || c.Covered != 1 || c.Total != 1 {
		t.Errorf("got shards %d and %d, want 0 and 2; coverage %+v", q.calls[0].Shard, q.calls[1].Shard, c)
	}
}
