package anvilquery_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// TestPin guards R1 and R2 against pinning a snapshot that is not the newest
// complete one, and against shard counts that leafs disagree on.
func TestPin(t *testing.T) {
	type held struct {
		leaf     anvilmodel.LeafName
		snapshot anvilmodel.Snapshot
		shard    anvilmodel.Shard
		shards   int
	}
	type known = []anvilquery.SnapshotStatus
	for name, c := range map[string]struct {
		held []held
		out  anvilmodel.LeafName
		pin  anvilmodel.Snapshot
		maps known
	}{
		"newest complete":       {[]held{{"a", 1, 0, 1}, {"a", 2, 0, 2}, {"b", 2, 1, 2}}, "", 2, known{{2, 2, 2}, {1, 1, 1}}},
		"newest incomplete":     {[]held{{"a", 1, 0, 1}, {"a", 2, 0, 2}}, "", 1, known{{2, 2, 1}, {1, 1, 1}}},
		"larger part":           {[]held{{"a", 1, 0, 2}, {"a", 2, 0, 3}}, "", 1, known{{2, 3, 1}, {1, 2, 1}}},
		"equal parts":           {[]held{{"a", 1, 0, 2}, {"a", 2, 0, 2}}, "", 2, known{{2, 2, 1}, {1, 2, 1}}},
		"leaf out":              {[]held{{"a", 1, 0, 1}, {"a", 2, 0, 2}, {"b", 2, 1, 2}}, "b", 1, known{{2, 2, 1}, {1, 1, 1}}},
		"two at a shard":        {[]held{{"a", 1, 0, 1}, {"b", 1, 0, 1}}, "b", 1, known{{1, 1, 1}}},
		"minority of few":       {[]held{{"a", 1, 0, 1}, {"b", 1, 0, 2}, {"c", 1, 1, 2}}, "", 1, known{{1, 2, 2}}},
		"minority of many":      {[]held{{"a", 1, 0, 9}, {"b", 1, 0, 2}, {"c", 1, 1, 2}}, "", 1, known{{1, 2, 2}}},
		"undecided shard count": {[]held{{"a", 1, 0, 1}, {"b", 1, 0, 2}}, "", 1, known{{1, 2, 1}}},
		"impossible holdings":   {[]held{{"a", 1, 2, 2}, {"b", 1, -1, 2}, {"c", 1, 0, 0}, {"d", 1, 0, 1 << 30}}, "", 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, nil, "a", "b", "c", "d")
			states := make(map[anvilmodel.LeafName]anvilmodel.LeafState)
			for _, h := range c.held {
				s := states[h.leaf]
				s.Leaf, s.Incarnation = h.leaf, 1
				s.Holdings = append(s.Holdings, anvilmodel.Holding{Snapshot: h.snapshot, Shard: h.shard, Shards: h.shards})
				states[h.leaf] = s
			}
			for _, s := range states {
				f.origin.ObserveState(s, f.now)
			}
			f.setUsable(c.out, false)
			got, _ := f.origin.Status("s", f.now)
			if diff := cmp.Diff(c.maps, got.Snapshots); diff != "" || got.Pinned != c.pin {
				t.Errorf("pinned %d, want %d; maps (-want +got):\n%s", got.Pinned, c.pin, diff)
			}
		})
	}
}

// TestRefusalAtStart guards R6 and R11 against requests that cannot be run being
// held or sent.
func TestRefusalAtStart(t *testing.T) {
	for reason, change := range map[anvilmodel.Reason]func(f *fleet, r *anvilmodel.Request){
		anvilmodel.ReasonUnknownService: func(_ *fleet, r *anvilmodel.Request) { r.Service = "x" },
		anvilmodel.ReasonDeadline:       func(_ *fleet, r *anvilmodel.Request) { r.Timeout = 2 * ms },
		anvilmodel.ReasonBadRequest: func(_ *fleet, r *anvilmodel.Request) {
			r.Class.NonIdempotent, r.Ticket.ID = true, "t"
		},
		anvilmodel.ReasonBadTicket:  func(_ *fleet, r *anvilmodel.Request) { r.Class.NonIdempotent, r.Key = true, "k" },
		anvilmodel.ReasonNoSnapshot: func(f *fleet, _ *anvilmodel.Request) { f.origin.SetLeafs(nil); f.reconfigure("0.0") },
		anvilmodel.ReasonUpstream: func(f *fleet, _ *anvilmodel.Request) {
			f.setUsable("0.0", false)
			f.setUsable("1.0", false)
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			f := grid(t, 2, 1)
			r := request(anvilmodel.ModeBroad, 100*ms)
			change(f, &r)
			q := f.start(r)
			if q.refusal == nil || q.refusal.Reason != reason || q.refusal.Ran != never || len(q.calls) != 0 {
				t.Errorf("refusal is %v after %d calls", q.refusal, len(q.calls))
			}
		})
	}
}

// TestKey guards R2 and R7 against a request with a key that goes to more than
// the shard of its key, and against the shard of an older shard count after a
// repartition. The hash of "k" leaves 0 modulo 2 and 2 modulo 3.
func TestKey(t *testing.T) {
	f := newFleet(t, map[anvilmodel.Snapshot]int{1: 2, 2: 3}, "a", "b", "c")
	f.state("a", 0, 1)
	f.state("b", 1, 1)
	r := request(anvilmodel.ModeBroad, 100*ms)
	r.Key = "k"
	q := f.start(r)
	f.state("a", 0, 2)
	f.state("b", 1, 2)
	f.state("c", 2, 2)
	f.end(q.calls[0], anvilmodel.CallSnapshotGone, never)
	f.end(q.calls[1], ok, run)
	want := anvilmodel.Coverage{Covered: 1, Total: 1}
	if diff := cmp.Diff(want, q.answer.Coverage); diff != "" || q.calls[0].Shard != keyShard(2) || q.calls[1].Shard != keyShard(3) {
		t.Errorf("shards %d, %d; coverage (-want +got):\n%s", q.calls[0].Shard, q.calls[1].Shard, diff)
	}
}
