package anvilquery_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

func (f *fleet) reconfigure(names ...anvilmodel.LeafName) {
	var leafs []anvilmodel.Leaf
	for _, name := range names {
		leafs = append(leafs, anvilmodel.Leaf{Name: name, Service: "s"})
	}
	f.origin.SetLeafs(leafs)
}

func keyShard(shards uint64) anvilmodel.Shard {
	return anvilmodel.Shard(xxhash.Sum64String("k") % shards)
}

// answerFrom runs a query in which the first leaf called fails if it is the bad
// one. It reports whether the bad leaf was called.
func (f *fleet) answerFrom(bad anvilmodel.LeafName, result anvilmodel.CallResult) bool {
	q := f.start(request(broad, 100*ms))
	called := false
	for i := 0; i < len(q.calls); i++ {
		if q.calls[i].Leaf == bad {
			called = true
			f.end(q.calls[i], result, maybe)
		} else if q.calls[i].open {
			f.end(q.calls[i], ok, run)
		}
	}
	return called
}

// TestCircuit guards against a leaf that fails quickly and so attracts calls:
// after three failures it gets one probe per back-off, which doubles to 5 s, and
// a success returns it to use.
func TestCircuit(t *testing.T) {
	for _, result := range []anvilmodel.CallResult{broken, failed, timeout} {
		f := grid(t, 2, 2)
		var probes []time.Duration
		for begin := f.now; f.now.Sub(begin) < 20*time.Second; f.wait(10 * ms) {
			if f.answerFrom("0.0", result) {
				probes = append(probes, f.now.Sub(begin))
			}
		}
		for i, p := range probes[3:] {
			gap := min(100*ms<<i, 5*time.Second)
			if since := p - probes[i+2]; since < gap || since > gap+20*ms {
				t.Errorf("%v: probe %d after %v, want %v", result, i, since, gap)
			}
		}
		f.wait(5 * time.Second)
		for range 3 {
			f.answerFrom("", ok)
		}
		if s, _ := f.origin.Status("s", f.now); s.Snapshots[0].Covered != 2 || len(probes) < 9 || len(probes) > 12 {
			t.Errorf("%v: %d probes, status %+v", result, len(probes), s)
		}
	}
}

// TestProbeOfNewerSnapshot guards against a leaf that is set aside and needed
// only for a newer snapshot: it is probed although queries pin the older one.
func TestProbeOfNewerSnapshot(t *testing.T) {
	f := newFleet(t, map[anvilmodel.Snapshot]int{1: 1, 2: 1}, "old", "new")
	f.state("old", 0, 1)
	f.state("new", 0, 2)
	for range 3 {
		f.answerFrom("new", timeout)
	}
	if f.answerFrom("new", timeout) {
		t.Fatalf("a leaf that was set aside is called at once")
	}
	f.wait(200 * ms)
	f.answerFrom("", ok)
	if s, _ := f.origin.Status("s", f.now); s.Pinned != 2 {
		t.Errorf("status %+v", s)
	}
}

// TestBadRequestSetsNoLeafAside guards against one caller whose request fails at
// every shard taking the service away from all others.
func TestBadRequestSetsNoLeafAside(t *testing.T) {
	f := grid(t, 3, 2)
	for range 20 {
		f.endAll(f.start(request(broad, 100*ms)), failed, run)
	}
	if c := f.origin.Counters(); c.CircuitsOpened != 0 {
		t.Errorf("counters %+v", c)
	}
}

// TestSilentLeaf guards against a leaf that swallows calls and goes unnoticed
// because hedges always win, and against a silent shard of which nothing is left.
func TestSilentLeaf(t *testing.T) {
	f := grid(t, 20, 2)
	f.warm(20, ms)
	for range 60 {
		q := f.start(request(broad, 100*ms))
		for range 3 {
			for _, c := range q.calls {
				if c.open && c.Leaf != "0.0" {
					f.end(c, ok, run)
				}
			}
			f.wait(5 * ms)
		}
		f.wait(100 * ms)
	}
	called := 0
	for _, c := range f.calls[20*20:] {
		if c.Leaf == "0.0" {
			called++
		}
	}
	if c := f.origin.Counters(); c.CircuitsOpened != 1 || called > 20 || c.Partial > 0 {
		t.Errorf("%d calls to the silent leaf, counters %+v", called, c)
	}
}

// TestStaleLoad guards against one leaf that reported a low load attracting all
// queries, and against a load that is older than 2 s.
func TestStaleLoad(t *testing.T) {
	f := grid(t, 1, 2)
	share := func() int {
		n := 0
		for range 400 {
			q := f.start(request(broad, 100*ms))
			if q.calls[0].Leaf == "0.0" {
				n++
			}
			r := f.reply(q.calls[0], ok, run)
			r.Incarnation = 0
			f.deliver(q.calls[0], r)
		}
		return n
	}
	for i, load := range []float64{0.1, 0.9} {
		f.origin.ObserveState(anvilmodel.LeafState{
			Leaf: leafName(0, i), Incarnation: 1, Load: load,
			Holdings: []anvilmodel.Holding{{Snapshot: 1, Shards: 1}},
		}, f.now)
	}
	fresh := share()
	f.wait(3 * time.Second)
	if stale := share(); fresh < 320 || fresh > 395 || stale < 150 || stale > 250 {
		t.Errorf("of 400 calls %d with a fresh load, %d with a stale one", fresh, stale)
	}
}

// TestStatementOrder guards against old statements: of an earlier process, of a
// snapshot that was dropped since, and of a time before draining began.
func TestStatementOrder(t *testing.T) {
	f := grid(t, 1, 1)
	held := []anvilmodel.Holding{{Snapshot: 1, Shards: 1}}
	f.wait(time.Second)
	observe := func(s anvilmodel.LeafState) int {
		s.Leaf = "0.0"
		f.origin.ObserveState(s, f.now)
		status, _ := f.origin.Status("s", f.now)
		covered := 0
		for _, m := range status.Snapshots {
			covered += m.Covered
		}
		return covered
	}
	for i, step := range []struct {
		state anvilmodel.LeafState
		want  int
	}{
		{anvilmodel.LeafState{Incarnation: 1, Holdings: held, Draining: true}, 0},
		{anvilmodel.LeafState{Incarnation: 1, Holdings: held, Age: 100 * ms}, 0},
		{anvilmodel.LeafState{Incarnation: 2, Holdings: held}, 1},
		{anvilmodel.LeafState{Incarnation: 1}, 1},
		{anvilmodel.LeafState{Incarnation: 2, Age: ms}, 1},
		{anvilmodel.LeafState{Incarnation: 2}, 0},
	} {
		if got := observe(step.state); got != step.want {
			t.Errorf("step %d: %d shards covered, want %d", i, got, step.want)
		}
	}
}
