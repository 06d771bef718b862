package anvilleaf_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

const (
	service = 5 * time.Millisecond
	timeout = 100 * time.Millisecond
	margin  = 100 * time.Millisecond
)

// newNode returns a node in front of a leaf of 2 slots that takes one call
// while it is cold. Every call takes 5 ms.
func newNode(change func(*anvilleaf.Config)) *node {
	s := &sim{
		now:     epoch,
		rand:    rand.New(rand.NewPCG(1, 1)),
		delay:   500 * time.Microsecond,
		slots:   2,
		queues:  true,
		service: func() time.Duration { return service },
	}
	s.restart(1)
	c := anvilleaf.Config{
		Leaf:         "a",
		Slots:        2,
		Share:        anvilleaf.Share{Connections: 5, Cold: 1},
		ColdDuration: time.Second,
	}
	if change != nil {
		change(&c)
	}
	return s.add(c)
}

// newWarmNode returns a node that has answered good calls of a warm leaf.
func newWarmNode() *node {
	n := newNode(nil)
	n.do(n.d.AdoptJudgement(anvilmodel.LeafState{Incarnation: 1}, n.sim.now, nil))
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
		ids = append(ids, n.submit(anvilmodel.Call{Leaf: "a", Timeout: timeout, Priority: 1}))
	}
	return ids
}

// result returns the one reply of a call, and a zero reply if there is none yet.
func (n *node) result(id anvilmodel.CallID) anvilmodel.CallReply {
	if len(n.replies[id]) == 0 {
		return anvilmodel.CallReply{}
	}
	return n.replies[id][0]
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
	n := newNode(nil)
	most, good := map[int]time.Duration{}, 0
	for range 400 {
		n.send(2)
		n.sim.runFor(service)
		s := n.status()
		if _, ok := most[s.InFlight]; !ok {
			most[s.InFlight] = n.sim.now.Sub(epoch)
		}
		if s.Cold {
			good = int(s.Counters.Started)
		}
	}
	if most[2] < time.Second+margin || good < 8 {
		t.Errorf("2 calls in flight after %v and %d cold calls", most[2], good)
	}
	if s := n.status(); s.Cold || s.Ramping || s.Limit < 2 {
		t.Errorf("not warm at the end: %+v", s)
	}
}

// TestJudgement guards against signals that fail to make a leaf cold, and
// against endpoints or stale peers that make it warm or cold wrongly.
func TestJudgement(t *testing.T) {
	type act = func(n *node, now time.Time)
	state := func(s anvilmodel.LeafState) act {
		return func(n *node, now time.Time) { n.do(n.d.ObserveState(s, now, nil)) }
	}
	peer := func(s anvilmodel.LeafState) act {
		return func(n *node, now time.Time) { n.do(n.d.AdoptJudgement(s, now, nil)) }
	}
	slow := func(by time.Duration) act {
		return func(n *node, _ time.Time) {
			n.sim.service = func() time.Duration { return by }
			for i := 0; i < 40 && !n.status().Cold; i++ {
				n.send(1)
				n.sim.runFor(by + 5*time.Millisecond)
			}
		}
	}
	tests := []struct {
		name string
		// fresh begins with a cold leaf of incarnation 1 instead of a warm one.
		fresh bool
		act   act
		cold  bool
	}{
		{name: "new incarnation at the endpoint", act: state(anvilmodel.LeafState{Incarnation: 2}), cold: true},
		{name: "earlier incarnation at the endpoint", act: state(anvilmodel.LeafState{Cold: true})},
		{name: "endpoint says cold", act: state(anvilmodel.LeafState{Incarnation: 1, Cold: true}), cold: true},
		{name: "endpoint said cold before it was warm", act: state(anvilmodel.LeafState{Incarnation: 1, Cold: true, Age: time.Minute})},
		{name: "endpoint says warm", fresh: true, act: state(anvilmodel.LeafState{Incarnation: 1}), cold: true},
		{name: "peer saw a new incarnation", act: peer(anvilmodel.LeafState{Incarnation: 2, Cold: true}), cold: true},
		{name: "peer says cold later", act: peer(anvilmodel.LeafState{Incarnation: 1, Cold: true}), cold: true},
		{name: "peer said cold before", act: peer(anvilmodel.LeafState{Incarnation: 1, Cold: true, Age: time.Second})},
		{name: "peer says warm", fresh: true, act: peer(anvilmodel.LeafState{Incarnation: 1, Age: time.Hour})},
		{name: "peer says warm of an earlier process", fresh: true, act: peer(anvilmodel.LeafState{}), cold: true},
		{name: "twice the latency", act: slow(2 * service)},
		{name: "6 times the latency", act: slow(6 * service), cold: true},
		{name: "all time out", act: func(n *node, _ time.Time) {
			n.silence()
			n.sim.service = func() time.Duration { return time.Second }
			for range 30 {
				n.send(1)
				n.sim.runFor(300 * time.Millisecond)
			}
		}, cold: true},
		{name: "restart", act: func(n *node, _ time.Time) {
			n.sim.restart(2)
			n.sim.runFor(timeout)
			n.send(1)
			n.sim.runFor(timeout)
		}, cold: true},
		{name: "reply says cold", act: func(n *node, now time.Time) {
			id := n.send(1)[0]
			n.do(n.d.Done(anvilleaf.Outcome{
				Reply:   anvilmodel.CallReply{ID: id, Result: anvilmodel.CallOK, Incarnation: 1, Cold: true},
				Written: true,
			}, now, nil))
		}, cold: true},
		{name: "out and back", act: func(n *node, now time.Time) {
			n.do(n.d.SetOut(true, now, nil))
			n.do(n.d.SetOut(false, now, nil))
		}, cold: true},
		{name: "drained and back", act: func(n *node, now time.Time) {
			n.do(n.d.ObserveState(anvilmodel.LeafState{Incarnation: 1, Draining: true}, now, nil))
			n.sim.runFor(time.Millisecond)
			n.do(n.d.ObserveState(anvilmodel.LeafState{Incarnation: 1}, n.sim.now, nil))
		}, cold: true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newWarmNode()
			if c.fresh {
				n = newNode(nil)
				n.do(n.d.ObserveState(anvilmodel.LeafState{Incarnation: 1}, n.sim.now, nil))
			}
			c.act(n, n.sim.now)
			if got := n.status().Cold; got != c.cold {
				t.Errorf("cold is %t, want %t", got, c.cold)
			}
		})
	}
}

// TestColdCountsUnanswered guards against a cold leaf that gets a call while
// it may still be working on a cancelled one, twice in a row.
func TestColdCountsUnanswered(t *testing.T) {
	n := newNode(nil)
	n.sim.runFor(margin + time.Millisecond)
	for range 2 {
		first := n.send(1)[0]
		n.sim.runFor(4 * time.Millisecond)
		n.silence()
		n.do(n.d.Cancel(first, n.sim.now, nil))
		n.sim.runFor(timeout + margin - 10*time.Millisecond)
		second := n.send(1)[0]
		n.sim.runFor(2 * time.Millisecond)
		if !n.started[first] || n.started[second] {
			t.Fatalf("started: first %t, second %t", n.started[first], n.started[second])
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
	n := newNode(func(c *anvilleaf.Config) { c.QuietPeriod = time.Second })
	for range 2 {
		n.sim.runFor(time.Second)
		early := n.send(1)[0]
		if r := n.result(early); r.Ran != anvilmodel.RunStateNotRun || r.RetryAfter != margin {
			t.Errorf("call that cannot wait: %+v", r)
		}
		n.sim.runFor(margin / 2)
		waits := n.send(1)[0]
		n.sim.runFor(margin/2 - 1)
		if n.started[early] || n.started[waits] {
			t.Error("call was started in the quiet period")
		}
		n.sim.runFor(20 * time.Millisecond)
		if r := n.result(waits); r.Result != anvilmodel.CallOK {
			t.Errorf("call that could wait: %+v", r)
		}
		n.do(n.d.SetShare(anvilleaf.Share{Connections: 5, Cold: 2}, n.sim.now, nil))
	}
}

// TestPause guards against calls that are sent after a pause of the process to
// a cold leaf, or after their time, before the node has heard from others.
func TestPause(t *testing.T) {
	n := newNode(nil)
	n.replaced = true
	n.sim.runFor(margin + time.Millisecond)
	for range 2 {
		n.do(n.d.SetIsolated(false, n.sim.now, nil))
		ids := n.send(3)
		n.pausedUntil = n.sim.now.Add(2 * time.Second)
		n.sim.runFor(2*time.Second + time.Millisecond)
		for _, id := range ids[1:] {
			if r := n.result(id); n.started[id] || r.Ran != anvilmodel.RunStateNotRun {
				t.Errorf("waiting call after the pause: started %t, %+v", n.started[id], r)
			}
		}
		if r := n.result(n.send(1)[0]); r.Ran != anvilmodel.RunStateNotRun || r.RetryAfter == 0 {
			t.Errorf("call before contact: %+v", r)
		}
	}
}

// TestQueue guards against a queue in the wrong order, a wrong call displaced,
// a late refusal of a call that cannot make it, and hedges that crowd out calls.
func TestQueue(t *testing.T) {
	n := newWarmNode()
	n.sim.service = func() time.Duration { return 50 * time.Millisecond }
	running := n.send(n.status().Limit)
	low := n.submit(anvilmodel.Call{Timeout: time.Second})
	late := n.submit(anvilmodel.Call{Timeout: 2 * time.Second, Priority: 1})
	early := n.submit(anvilmodel.Call{Timeout: time.Second, Priority: 1})
	if r := n.result(n.submit(anvilmodel.Call{Timeout: 2 * time.Millisecond})); r.Ran != anvilmodel.RunStateNotRun {
		t.Errorf("call shorter than any: %+v", r)
	}
	if r := n.result(n.submit(anvilmodel.Call{Timeout: 9 * time.Millisecond})); r.Ran != anvilmodel.RunStateNotRun || r.RetryAfter == 0 {
		t.Errorf("call with too many ahead: %+v", r)
	}
	for range 5 {
		n.submit(anvilmodel.Call{Timeout: 3 * time.Second, Priority: 1})
	}
	if r := n.result(n.submit(anvilmodel.Call{Timeout: time.Second, Priority: 2, Hedge: true})); r.Result != anvilmodel.CallShed {
		t.Errorf("hedge with the queue over half full: %+v", r)
	}
	if r := n.result(low); r.Result != 0 {
		t.Errorf("displaced before the queue was full: %+v", r)
	}
	urgent := n.submit(anvilmodel.Call{Timeout: time.Second, Priority: 2})
	if r := n.result(low); r.Result != anvilmodel.CallShed || r.Ran != anvilmodel.RunStateNotRun || r.RetryAfter == 0 {
		t.Errorf("lowest call of a full queue: %+v", r)
	}
	for _, id := range []anvilmodel.CallID{urgent, early, late} {
		if n.started[id] {
			t.Errorf("call %v started before its turn", id)
		}
		n.do(n.d.Done(anvilleaf.Outcome{
			Reply:   anvilmodel.CallReply{ID: running[0], Result: anvilmodel.CallOK, Incarnation: 1},
			Written: true,
		}, n.sim.now, nil))
		running = append(running[1:], id)
		if !n.started[id] {
			t.Errorf("call %v not started in its turn", id)
		}
	}
}

// TestBreaker guards against calls that wait for a dead leaf, more than one
// probe at a time, and a back-off that does not double.
func TestBreaker(t *testing.T) {
	n := newWarmNode()
	n.sim.service = func() time.Duration { return time.Hour }
	n.send(2)
	n.sim.runFor(timeout)
	n.send(2)
	n.sim.runFor(timeout + time.Millisecond)
	for _, backoff := range []time.Duration{100, 200, 400} {
		r := n.result(n.send(1)[0])
		want := backoff * time.Millisecond
		if r.Ran != anvilmodel.RunStateNotRun || r.RetryAfter > want || r.RetryAfter < want-2*time.Millisecond {
			t.Fatalf("call while open for %v: %+v", want, r)
		}
		n.sim.runFor(want)
		probe := n.send(2)
		n.sim.runFor(timeout + time.Millisecond)
		if !n.started[probe[0]] || n.started[probe[1]] {
			t.Fatalf("probes: %t, %t", n.started[probe[0]], n.started[probe[1]])
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
	for _, w := range n.connections {
		w.silent = true
		break
	}
	for range 2 {
		for range 60 {
			n.send(1)
			n.sim.runFor(10 * time.Millisecond)
		}
		good := n.send(1)[0]
		n.sim.runFor(50 * time.Millisecond)
		if r := n.result(good); r.Result != anvilmodel.CallOK {
			t.Errorf("call after the connections were replaced: %+v", r)
		}
		if s := n.status(); s.Suspect != 0 || s.Connections > 4 || s.Counters.Silent == 0 {
			t.Errorf("suspect connections stay: %+v", s)
		}
		n.silence()
	}
}

// TestAway guards against new work for a leaf whose failure domain is out, that
// is leaving or drains, and against cutting off what runs there.
func TestAway(t *testing.T) {
	for name, away := range map[string]func(*node){
		"out":     func(n *node) { n.do(n.d.SetOut(true, n.sim.now, nil)) },
		"leaving": func(n *node) { n.do(n.d.SetLeaving(true, n.sim.now, nil)) },
		"draining": func(n *node) {
			n.do(n.d.ObserveState(anvilmodel.LeafState{Incarnation: 1, Draining: true}, n.sim.now, nil))
		},
	} {
		n := newWarmNode()
		limit := n.status().Limit
		ids := n.send(limit + 2)
		n.sim.runFor(3 * time.Millisecond)
		away(n)
		ids = append(ids, n.send(1)...)
		n.sim.runFor(50 * time.Millisecond)
		for i, id := range ids {
			want := anvilmodel.CallOK
			if i >= limit {
				want = anvilmodel.CallShed
			}
			if r := n.result(id); r.Result != want {
				t.Errorf("%s: call %d of %d: %+v", name, i, len(ids), r)
			}
		}
	}
}

// TestRunState guards against not-run for a call that may have run (R6).
func TestRunState(t *testing.T) {
	const unknown, notRun, run = anvilmodel.RunStateUnknown, anvilmodel.RunStateNotRun, anvilmodel.RunStateRun
	tests := []struct {
		result      anvilmodel.CallResult
		said        anvilmodel.RunState
		incarnation anvilmodel.Incarnation
		written     bool
		want        anvilmodel.RunState
	}{
		{result: anvilmodel.CallOK, incarnation: 1, written: true, want: run},
		{result: anvilmodel.CallShed, said: notRun, incarnation: 1, written: true, want: notRun},
		{result: anvilmodel.CallShed, incarnation: 1, written: true, want: unknown},
		{result: anvilmodel.CallFailed, said: run, incarnation: 1, written: true, want: run},
		{result: anvilmodel.CallBroken, written: false, want: notRun},
		{result: anvilmodel.CallBroken, said: notRun, written: true, want: unknown},
		{result: anvilmodel.CallTimeout, said: notRun, written: true, want: unknown},
	}
	for _, c := range tests {
		n := newWarmNode()
		o := anvilleaf.Outcome{
			Reply:   anvilmodel.CallReply{ID: n.send(1)[0], Result: c.result, Ran: c.said, Incarnation: c.incarnation},
			Written: c.written,
		}
		n.do(n.d.Done(o, n.sim.now, nil))
		if r := n.result(o.Reply.ID); r.Ran != c.want {
			t.Errorf("%+v: ran is %v, want %v", c, r.Ran, c.want)
		}
	}
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
	reply := anvilmodel.CallReply{ID: id, Result: anvilmodel.CallOK, Incarnation: 1}
	other := reply
	other.ID.Origin++
	for _, r := range []anvilmodel.CallReply{other, reply, reply} {
		n.do(n.d.Done(anvilleaf.Outcome{Reply: r, Connection: 1, Written: true}, n.sim.now, nil))
	}
	n.do(n.d.Submit(anvilmodel.Call{ID: n.send(1)[0], Timeout: timeout}, n.sim.now, nil))
	want := anvilleaf.Counters{DroppedReplies: 2, Duplicates: 1}
	c := n.status().Counters
	got := anvilleaf.Counters{DroppedReplies: c.DroppedReplies, Duplicates: c.Duplicates}
	if diff := cmp.Diff(want, got); diff != "" || len(n.replies[id]) != 1 {
		t.Errorf("%d replies, counters (-want +got):\n%s", len(n.replies[id]), diff)
	}
	id = n.send(1)[0]
	reply = anvilmodel.CallReply{ID: id, Result: anvilmodel.CallOK, Incarnation: 2}
	n.do(n.d.Done(anvilleaf.Outcome{Reply: reply, Connection: 1, Written: true}, n.sim.now, nil))
	if s := n.status(); !s.Cold || s.Incarnation != 2 || s.Counters.Mismatched == 0 || s.Idle != 0 {
		t.Errorf("after a reply of another incarnation on the connection: %+v", s)
	}
}

// TestLimitIsCutOncePerRoundTrip guards against a burst of sheds that takes
// the limit to 1, and against a limit that ignores sheds.
func TestLimitIsCutOncePerRoundTrip(t *testing.T) {
	n := newWarmNode()
	before := n.status().Adaptive
	for range 2 {
		for _, id := range n.send(int(n.status().Adaptive)) {
			n.do(n.d.Done(anvilleaf.Outcome{
				Reply:   anvilmodel.CallReply{ID: id, Result: anvilmodel.CallShed, Incarnation: 1},
				Written: true,
			}, n.sim.now.Add(time.Millisecond), nil))
		}
		if got := n.status().Adaptive; got != max(before/2, 1) {
			t.Fatalf("limit went from %g to %g", before, got)
		}
		before = n.status().Adaptive
		n.sim.runFor(10 * time.Millisecond)
	}
}
