package anvilleaf_test

import (
	"testing"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

const (
	service = 5 * time.Millisecond
	timeout = 100 * time.Millisecond
	margin  = 100 * time.Millisecond

	unknown = anvilmodel.RunStateUnknown
	notRun  = anvilmodel.RunStateNotRun
	run     = anvilmodel.RunStateRun
)

// newNode returns a node in front of a leaf of 2 slots that takes one call
// while it is cold. Every call takes 5 ms.
func newNode(quiet time.Duration) *node {
	s := newSim(1, 2, true)
	s.service = func() time.Duration { return service }
	return s.add(anvilleaf.Config{
		Slots: 2,
		Share: anvilleaf.Share{
			Connections: 5,
			Cold:        1,
		},
		ColdDuration: time.Second,
		QuietPeriod:  quiet,
	})
}

// newWarmNode returns a node that has answered good calls of a warm leaf.
func newWarmNode() *node {
	n := newNode(0)
	n.adopt(1, false, 0)
	for range 50 {
		n.send(1)
		n.sim.runFor(10 * time.Millisecond)
	}
	return n
}

// send submits calls of priority 1 and returns their ids.
func (n *node) send(count int) []anvilmodel.CallID {
	var ids []anvilmodel.CallID
	for range count {
		ids = append(ids, n.submit(timeout, 1, false))
	}
	return ids
}

// result returns the reply of a call, and a zero reply if there is none yet.
func (n *node) result(id anvilmodel.CallID) anvilmodel.CallReply {
	if len(n.replies[id]) == 0 {
		return anvilmodel.CallReply{}
	}
	return n.replies[id][0]
}

// refused reports whether a call was answered not-run by the dispatcher, with
// a time to retry after.
func (n *node) refused(id anvilmodel.CallID) bool {
	r := n.result(id)
	return n.on[id] == 0 && r.Result == anvilmodel.CallShed && r.Ran == notRun && r.RetryAfter > 0
}

func (n *node) status() anvilleaf.Status { return n.d.Status(n.sim.now) }

func (n *node) silence() {
	for _, w := range n.connections {
		w.silent = true
	}
}

// TestColdLeafRampsUp guards against a leaf that gets its full load before the
// cold duration is over and 8 calls in a row were good, or all at once then.
func TestColdLeafRampsUp(t *testing.T) {
	n := newNode(0)
	first, started := map[int]time.Duration{}, map[int]uint64{}
	for range 400 {
		n.send(2)
		n.sim.runFor(service)
		s := n.status()
		if _, ok := first[s.InFlight]; !ok {
			first[s.InFlight] = n.sim.now.Sub(epoch)
			started[s.InFlight] = s.Counters.Started
		}
	}
	if first[2] < time.Second+margin || started[2] < 2*8 {
		t.Errorf("2 calls in flight after %v and %d calls", first[2], started[2])
	}
	if s := n.status(); s.Cold || s.Ramping || s.Limit < 2 {
		t.Errorf("not warm at the end: %+v", s)
	}
}

// TestJudgement guards against signals that fail to make a leaf cold, and
// against endpoints or stale peers that make it warm or cold wrongly.
func TestJudgement(t *testing.T) {
	check := func(name string, n *node, act func(n *node), cold bool) {
		t.Run(name, func(t *testing.T) {
			act(n)
			if got := n.status().Cold; got != cold {
				t.Errorf("cold is %t, want %t", got, cold)
			}
		})
	}
	const cold, warm = true, false
	fresh := func() *node {
		n := newNode(0)
		n.observe(1, false, false, 0)
		return n
	}
	slow := func(by time.Duration) func(n *node) {
		return func(n *node) {
			n.sim.service = func() time.Duration { return by }
			for i := 0; i < 40 && !n.status().Cold; i++ {
				n.send(1)
				n.sim.runFor(by + 5*time.Millisecond)
			}
		}
	}
	check("new incarnation at the endpoint", newWarmNode(), func(n *node) { n.observe(2, false, false, 0) }, cold)
	check("earlier incarnation at the endpoint", newWarmNode(), func(n *node) { n.observe(0, true, false, 0) }, warm)
	check("endpoint says cold", newWarmNode(), func(n *node) { n.observe(1, true, false, 0) }, cold)
	check("endpoint said cold before it was warm", newWarmNode(), func(n *node) { n.observe(1, true, false, time.Hour) }, warm)
	check("endpoint says warm", fresh(), func(n *node) { n.observe(1, false, false, 0) }, cold)
	check("peer saw a new incarnation", newWarmNode(), func(n *node) { n.adopt(2, true, 0) }, cold)
	check("peer says cold later", newWarmNode(), func(n *node) { n.adopt(1, true, 0) }, cold)
	check("peer said cold before", newWarmNode(), func(n *node) { n.adopt(1, true, time.Second) }, warm)
	check("peer says warm", fresh(), func(n *node) { n.adopt(1, false, time.Hour) }, warm)
	check("peer says an earlier process was warm", fresh(), func(n *node) { n.adopt(0, false, 0) }, cold)
	check("twice the latency", newWarmNode(), slow(2*service), warm)
	check("6 times the latency", newWarmNode(), slow(6*service), cold)
	check("all time out", newWarmNode(), slow(time.Second), cold)
	check("restart", newWarmNode(), func(n *node) {
		n.sim.restart(2)
		n.sim.runFor(timeout)
		n.send(1)
		n.sim.runFor(timeout)
	}, cold)
	check("out and back", newWarmNode(), func(n *node) {
		n.do(n.d.SetOut(true, n.sim.now, nil))
		n.do(n.d.SetOut(false, n.sim.now, nil))
	}, cold)
	check("drained and back", newWarmNode(), func(n *node) {
		n.observe(1, false, true, 0)
		n.sim.runFor(time.Millisecond)
		n.observe(1, false, false, 0)
	}, cold)
}

// TestColdCountsUnanswered guards against a cold leaf that gets a call while
// it may still be working on a cancelled one, twice in a row.
func TestColdCountsUnanswered(t *testing.T) {
	n := newNode(0)
	n.sim.runFor(margin + time.Millisecond)
	for range 2 {
		first := n.send(1)[0]
		n.sim.runFor(4 * time.Millisecond)
		n.silence()
		n.do(n.d.Cancel(first, n.sim.now, nil))
		n.sim.runFor(timeout + margin - 10*time.Millisecond)
		second := n.send(1)[0]
		n.sim.runFor(2 * time.Millisecond)
		if n.on[first] == 0 || n.on[second] != 0 {
			t.Fatalf("started on connections %d and %d", n.on[first], n.on[second])
		}
		n.sim.runFor(30 * time.Millisecond)
		if r := n.result(second); r.Result != anvilmodel.CallOK {
			t.Fatalf("call after the margin: %+v", r)
		}
	}
}

// TestQuietPeriod guards against calls to a cold leaf while a predecessor's
// may be running: after the start, and after the cold share has grown.
func TestQuietPeriod(t *testing.T) {
	n := newNode(time.Second)
	for range 2 {
		n.sim.runFor(time.Second)
		early := n.send(1)[0]
		if r := n.result(early); !n.refused(early) || r.RetryAfter != margin {
			t.Errorf("call that cannot wait: %+v", r)
		}
		n.sim.runFor(margin / 2)
		waits := n.send(1)[0]
		n.sim.runFor(margin/2 - 1)
		if n.on[waits] != 0 {
			t.Error("call was started in the quiet period")
		}
		n.sim.runFor(20 * time.Millisecond)
		if r := n.result(waits); r.Result != anvilmodel.CallOK {
			t.Errorf("call that could wait: %+v", r)
		}
		n.do(n.d.SetShare(anvilleaf.Share{
			Connections: 5,
			Cold:        2,
		}, n.sim.now, nil))
	}
}

// TestPause guards against calls that are sent after a pause of the process to
// a cold leaf, or after their time, before the node has heard from others.
func TestPause(t *testing.T) {
	n := newNode(0)
	n.replaced = true
	n.sim.runFor(margin + time.Millisecond)
	for range 2 {
		n.do(n.d.SetIsolated(false, n.sim.now, nil))
		ids := n.send(3)
		n.pausedUntil = n.sim.now.Add(2 * time.Second)
		n.sim.runFor(2*time.Second + time.Millisecond)
		for _, id := range append(ids[1:], n.send(1)...) {
			if !n.refused(id) {
				t.Errorf("waiting call after the pause: %+v", n.result(id))
			}
		}
	}
}

// TestQueue guards against a queue in the wrong order, a wrong call displaced,
// a late refusal of a call that cannot make it, and hedges that crowd out calls.
func TestQueue(t *testing.T) {
	n := newWarmNode()
	n.sim.service = func() time.Duration { return 50 * time.Millisecond }
	running := n.send(n.status().Limit)
	low := n.submit(time.Second, 0, false)
	late := n.submit(2*time.Second, 1, false)
	early := n.submit(time.Second, 1, false)
	if id := n.submit(2*time.Millisecond, 9, false); !n.refused(id) {
		t.Error("call shorter than any is not refused at once")
	}
	if id := n.submit(9*time.Millisecond, 0, false); !n.refused(id) {
		t.Error("call with too many ahead is not refused at once")
	}
	for range 5 {
		n.submit(3*time.Second, 1, false)
	}
	if id := n.submit(time.Second, 2, true); !n.refused(id) {
		t.Error("hedge with the queue over half full is not refused")
	}
	if r := n.result(low); r.Result != 0 {
		t.Errorf("displaced before the queue was full: %+v", r)
	}
	urgent := n.submit(time.Second, 2, false)
	if !n.refused(low) {
		t.Errorf("lowest call of a full queue: %+v", n.result(low))
	}
	for _, id := range []anvilmodel.CallID{urgent, early, late} {
		if n.on[id] != 0 {
			t.Errorf("call %v started before its turn", id)
		}
		n.done(running[0], anvilmodel.CallOK, run, 1, true)
		running = append(running[1:], id)
		if n.on[id] == 0 {
			t.Errorf("call %v not started in its turn", id)
		}
	}
}

// TestBreaker guards against calls that wait for a dead leaf, more than one
// probe at a time, and a back-off that does not double.
func TestBreaker(t *testing.T) {
	n := newWarmNode()
	n.sim.service = func() time.Duration { return time.Hour }
	for range 2 {
		n.send(2)
		n.sim.runFor(timeout)
	}
	n.sim.runFor(time.Millisecond)
	for _, backoff := range []time.Duration{100, 200, 400} {
		id := n.send(1)[0]
		want := backoff * time.Millisecond
		if got := n.result(id).RetryAfter; !n.refused(id) || got > want || got < want-2*time.Millisecond {
			t.Fatalf("call while open for %v: %+v", want, n.result(id))
		}
		n.sim.runFor(want)
		probe := n.send(2)
		n.sim.runFor(timeout + time.Millisecond)
		if n.on[probe[0]] == 0 || !n.refused(probe[1]) {
			t.Fatalf("probes: %+v, %+v", n.result(probe[0]), n.result(probe[1]))
		}
	}
	n.sim.service = func() time.Duration { return service }
	n.sim.runFor(time.Second)
	n.send(1)
	n.sim.runFor(timeout)
	if s := n.status(); s.Breaker != anvilleaf.BreakerClosed {
		t.Errorf("breaker after a good probe is %v", s.Breaker)
	}
}

// TestSilentConnections guards against calls that are lost on connections that
// have gone silent for good: one of them, then all of them, twice.
func TestSilentConnections(t *testing.T) {
	n := newWarmNode()
	n.send(4)
	n.sim.runFor(50 * time.Millisecond)
	n.connections[1].silent = true
	for range 3 {
		for range 60 {
			n.send(1)
			n.sim.runFor(10 * time.Millisecond)
		}
		good := n.send(1)[0]
		n.sim.runFor(50 * time.Millisecond)
		if r := n.result(good); r.Result != anvilmodel.CallOK {
			t.Errorf("call after the connections were replaced: %+v", r)
		}
		if s := n.status(); s.Suspect != 0 || s.Counters.Silent == 0 {
			t.Errorf("suspect connections stay: %+v", s)
		}
		n.silence()
	}
}

// TestAway guards against new work for a leaf whose failure domain is out, that
// is leaving or drains, and against cutting off what runs there.
func TestAway(t *testing.T) {
	for name, away := range map[string]func(*node){
		"out":      func(n *node) { n.do(n.d.SetOut(true, n.sim.now, nil)) },
		"leaving":  func(n *node) { n.do(n.d.SetLeaving(true, n.sim.now, nil)) },
		"draining": func(n *node) { n.observe(1, false, true, 0) },
	} {
		n := newWarmNode()
		limit := n.status().Limit
		ids := n.send(limit + 2)
		n.sim.runFor(3 * time.Millisecond)
		away(n)
		ids = append(ids, n.send(1)...)
		n.sim.runFor(50 * time.Millisecond)
		for i, id := range ids {
			if r := n.result(id); (i < limit && r.Result != anvilmodel.CallOK) || (i >= limit && !n.refused(id)) {
				t.Errorf("%s: call %d of %d: %+v", name, i, len(ids), r)
			}
		}
	}
}

// TestRunState guards against not-run for a call that may have run (R6).
func TestRunState(t *testing.T) {
	check := func(r anvilmodel.CallResult, said anvilmodel.RunState, i anvilmodel.Incarnation, written bool, want anvilmodel.RunState) {
		n := newWarmNode()
		id := n.send(1)[0]
		n.done(id, r, said, i, written)
		if got := n.result(id).Ran; got != want {
			t.Errorf("%v, said %v by %d, written %t: ran is %v, want %v", r, said, i, written, got, want)
		}
	}
	check(anvilmodel.CallOK, unknown, 1, true, run)
	check(anvilmodel.CallShed, notRun, 1, true, notRun)
	check(anvilmodel.CallShed, unknown, 1, true, unknown)
	check(anvilmodel.CallFailed, run, 1, true, run)
	check(anvilmodel.CallBroken, unknown, 0, false, notRun)
	check(anvilmodel.CallBroken, notRun, 0, true, unknown)
	check(anvilmodel.CallTimeout, notRun, 0, true, unknown)
	n := newWarmNode()
	id := n.send(1)[0]
	n.do(n.d.Cancel(id, n.sim.now, nil))
	if r := n.result(id); r.Result != anvilmodel.CallCancelled || r.Ran != unknown {
		t.Errorf("call cancelled in flight: %+v", r)
	}
}

// TestStrayReplies guards against late, crossed and repeated replies that
// reach an origin or move the judgement of the leaf (R5).
func TestStrayReplies(t *testing.T) {
	n := newWarmNode()
	id := n.send(1)[0]
	other := id
	other.Origin++
	n.done(other, anvilmodel.CallOK, run, 1, true)
	n.done(id, anvilmodel.CallOK, run, 1, true)
	n.done(id, anvilmodel.CallOK, run, 1, true)
	n.do(n.d.Submit(n.calls[n.send(1)[0]], n.sim.now, nil))
	if c := n.status().Counters; len(n.replies[id]) != 1 || c.DroppedReplies != 2 || c.Duplicates != 1 {
		t.Errorf("%d replies, %+v", len(n.replies[id]), c)
	}
	n.done(n.send(1)[0], anvilmodel.CallOK, run, 2, true)
	if s := n.status(); !s.Cold || s.Incarnation != 2 || s.Counters.Mismatched != 1 || s.Idle != 0 {
		t.Errorf("after a reply of another incarnation on the connection: %+v", s)
	}
}

// TestLimitIsCutOncePerRoundTrip guards against a burst of sheds that takes
// the limit to 1, and against a limit that ignores sheds.
func TestLimitIsCutOncePerRoundTrip(t *testing.T) {
	n := newWarmNode()
	before := n.status().Adaptive
	for range 2 {
		for _, id := range n.send(int(before)) {
			n.sim.now = n.sim.now.Add(time.Millisecond)
			n.done(id, anvilmodel.CallShed, notRun, 1, true)
		}
		if got := n.status().Adaptive; got != max(before/2, 1) {
			t.Fatalf("limit went from %g to %g", before, got)
		}
		before = n.status().Adaptive
		n.sim.runFor(10 * time.Millisecond)
	}
}
