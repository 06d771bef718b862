package anvilleaf_test

import (
	"testing"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// TestColdLeafRampsUp guards against a leaf that gets more than its share
// before 8 calls in a row were good, or its full load at once then.
func TestColdLeafRampsUp(t *testing.T) {
	n := newWarmNode(2)
	n.sim.runFor(time.Second)
	n.do(n.d.SetFailureDomainOut(true, n.sim.now, nil))
	n.do(n.d.SetFailureDomainOut(false, n.sim.now, nil))
	n.sim.runFor(time.Second)
	for i := 1; i <= 16; i++ {
		n.send(1)
		n.sim.runFor(2 * service)
		if s := n.status(); s.Cold != (i < 8) || s.Limit != 1+i/16 {
			t.Errorf("cold is %t and the limit %d after %d good calls", s.Cold, s.Limit, i)
		}
	}
}

// TestReturnedLeafStaysCold guards against a leaf that returns in the same
// incarnation and is taken for warm after a few good calls, although it lost its
// caches while it was out.
func TestReturnedLeafStaysCold(t *testing.T) {
	n := newWarmNode(2)
	n.do(n.d.SetFailureDomainOut(true, n.sim.now, nil))
	n.sim.runFor(time.Minute)
	n.do(n.d.SetFailureDomainOut(false, n.sim.now, nil))
	returned := n.sim.now
	for n.sim.now.Sub(returned) < time.Second {
		if !n.status().Cold {
			t.Fatalf("the leaf is warm %s after its return, before its cold duration of 1 s", n.sim.now.Sub(returned))
		}
		n.send(1)
		n.sim.runFor(2 * service)
	}
	n.send(1)
	n.sim.runFor(2 * service)
	if n.status().Cold {
		t.Error("the leaf is still cold after its cold duration and many good calls")
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
		n := newNode(2, 0)
		n.observe(10, false, false, 0)
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
	check("new incarnation at the endpoint", newWarmNode(2), func(n *node) { n.observe(11, false, false, 0) }, cold)
	check("earlier incarnation at the endpoint", newWarmNode(2), func(n *node) { n.observe(9, true, false, 0) }, warm)
	check("endpoint says cold", newWarmNode(2), func(n *node) { n.observe(10, true, false, 0) }, cold)
	check("endpoint said cold before it was warm", newWarmNode(2), func(n *node) { n.observe(10, true, false, time.Hour) }, warm)
	check("endpoint says warm", fresh(), func(n *node) { n.observe(10, false, false, 0) }, cold)
	check("peer saw a new incarnation", newWarmNode(2), func(n *node) { n.adopt(11, true, 0) }, cold)
	check("peer says cold later", newWarmNode(2), func(n *node) { n.adopt(10, true, 0) }, cold)
	check("peer said cold before", newWarmNode(2), func(n *node) { n.adopt(10, true, time.Second) }, warm)
	check("peer says warm", fresh(), func(n *node) { n.adopt(10, false, time.Hour) }, warm)
	check("peer says an earlier process was warm", fresh(), func(n *node) { n.adopt(9, false, 0) }, cold)
	check("twice the latency", newWarmNode(2), slow(2*service), warm)
	check("6 times the latency", newWarmNode(2), slow(6*service), cold)
	check("all time out", newWarmNode(2), slow(time.Second), cold)
	restart := func(i anvilmodel.Incarnation) func(n *node) {
		return func(n *node) {
			n.sim.restart(i)
			n.sim.runFor(timeout)
			n.send(1)
			n.sim.runFor(timeout)
		}
	}
	check("restart", newWarmNode(2), restart(11), cold)
	check("restart under a lower number", newWarmNode(2), restart(9), cold)
	check("replies say cold", newWarmNode(2), func(n *node) {
		n.sim.saysCold = true
		n.send(1)
		n.sim.runFor(timeout)
	}, cold)
	check("out and back", newWarmNode(2), func(n *node) {
		n.do(n.d.SetFailureDomainOut(true, n.sim.now, nil))
		n.do(n.d.SetFailureDomainOut(false, n.sim.now, nil))
	}, cold)
	check("drained and back", newWarmNode(2), func(n *node) {
		n.observe(10, false, true, 0)
		n.sim.runFor(time.Millisecond)
		n.observe(10, false, false, 0)
	}, cold)
}

// TestQuietPeriod guards against calls to a cold leaf while a predecessor's
// may be running: after the start, and after the cold share has grown.
func TestQuietPeriod(t *testing.T) {
	n := newNode(2, time.Second)
	for _, connect := range []time.Duration{6 * time.Millisecond, 0} {
		n.sim.runFor(time.Second)
		early := n.send(1)[0]
		if r := n.last[early]; !n.refused(early) || r.RetryAfter != margin+connect {
			t.Errorf("call that cannot wait: %+v", r)
		}
		n.sim.runFor(margin / 2)
		waits := n.send(1)[0]
		n.sim.runFor(margin/2 - 1)
		if n.on[waits] != 0 {
			t.Error("call was started in the quiet period")
		}
		n.sim.runFor(20 * time.Millisecond)
		if r := n.last[waits]; r.Result != anvilmodel.CallOK {
			t.Errorf("call that could wait: %+v", r)
		}
		n.config.Share = share(5, 2)
		n.do(n.d.Reconfigure(n.config, n.sim.now, nil))
	}
}

// TestPause guards against calls that are sent after a pause of the process to
// a cold leaf, or after their time, before the node has heard from others.
func TestPause(t *testing.T) {
	n := newNode(2, 0)
	n.replaced = true
	n.sim.runFor(margin + time.Millisecond)
	for range 2 {
		n.do(n.d.SetIsolated(false, n.sim.now, nil))
		ids := n.send(3)
		n.pausedUntil = n.sim.now.Add(2 * time.Second)
		n.sim.runFor(2*time.Second + time.Millisecond)
		for _, id := range append(ids[1:], n.send(1)...) {
			if !n.refused(id) {
				t.Errorf("waiting call after the pause: %+v", n.last[id])
			}
		}
	}
}

// TestIsolation guards against a node without contact that sends a call over a
// connection of unknown incarnation, which may lead to a process that has just
// started and gets calls from other nodes.
func TestIsolation(t *testing.T) {
	n := newNode(2, 0)
	n.sim.blind = true
	n.adopt(10, false, 0)
	n.sim.runFor(margin + time.Millisecond)
	n.isolated = true
	n.do(n.d.SetIsolated(true, n.sim.now, nil))
	early := n.submit(time.Second, 1, false)
	n.sim.runFor(time.Second / 2)
	if n.on[early] != 0 {
		t.Error("call was started while the node was isolated")
	}
	n.isolated = false
	n.do(n.d.SetIsolated(false, n.sim.now, nil))
	n.sim.runFor(100 * time.Millisecond)
	if r := n.last[early]; r.Result != anvilmodel.CallOK {
		t.Errorf("call after the isolation: %+v", r)
	}
}

// TestQueue guards against a queue in the wrong order, a wrong call displaced,
// a late refusal of a call that cannot make it, and hedges that crowd out calls.
func TestQueue(t *testing.T) {
	n := newNode(2, 0)
	n.adopt(10, false, 0)
	if id := n.submit(4*time.Millisecond, 1, false); !n.refused(id) {
		t.Error("call shorter than a new connection takes is not refused")
	}
	n = newWarmNode(2)
	n.sim.service = func() time.Duration { return 50 * time.Millisecond }
	running := n.send(n.status().Limit)
	low := n.submit(time.Second, 0, false)
	late := n.submit(2*time.Second, 1, false)
	early := n.submit(time.Second, 1, false)
	short, behind := n.submit(2*time.Millisecond, 9, false), n.submit(9*time.Millisecond, 0, false)
	for range 5 {
		n.submit(3*time.Second, 1, false)
	}
	hedge := n.submit(time.Second, 2, true)
	if !n.refused(short) || !n.refused(behind) || !n.refused(hedge) || n.refused(low) {
		t.Errorf("refused: %t, %t, %t, %t", n.refused(short), n.refused(behind), n.refused(hedge), n.refused(low))
	}
	urgent := n.submit(time.Second, 2, false)
	if !n.refused(low) {
		t.Errorf("lowest call of a full queue: %+v", n.last[low])
	}
	for _, id := range []anvilmodel.CallID{urgent, early, late} {
		before := n.on[id]
		n.done(running[0], anvilmodel.CallOK, run, 10, true)
		running = append(running[1:], id)
		if before != 0 || n.on[id] == 0 {
			t.Errorf("call %v is on connection %d, then %d", id, before, n.on[id])
		}
	}
}

// TestBreaker guards against calls that wait for a dead leaf, more than one
// probe at a time, a back-off that does not double, and a probe over an old
// connection that has gone silent.
func TestBreaker(t *testing.T) {
	n := newWarmNode(2)
	n.sim.service = func() time.Duration { return time.Hour }
	for range 2 {
		n.send(2)
		n.sim.runFor(timeout)
	}
	n.sim.runFor(time.Millisecond)
	for _, backoff := range []time.Duration{100, 200, 400} {
		id := n.send(1)[0]
		want := backoff * time.Millisecond
		if got := n.last[id].RetryAfter; !n.refused(id) || got > want || got < want-2*time.Millisecond {
			t.Fatalf("call while open for %v: %+v", want, n.last[id])
		}
		n.sim.runFor(want)
		probe := n.send(2)
		n.sim.runFor(timeout + time.Millisecond)
		if n.on[probe[0]] == 0 || !n.refused(probe[1]) {
			t.Fatalf("probes: %+v, %+v", n.last[probe[0]], n.last[probe[1]])
		}
	}
	n.sim.service = func() time.Duration { return service }
	n.sim.runFor(time.Second)
	n.silence()
	n.send(1)
	n.sim.runFor(timeout)
	if s := n.status(); s.Breaker != anvilleaf.BreakerClosed {
		t.Errorf("breaker after a good probe is %v", s.Breaker)
	}
}

// TestSilentConnections guards against calls that are lost on connections that
// have gone silent for good: one of them, then all of them, twice, with a share
// that leaves no room for another one.
func TestSilentConnections(t *testing.T) {
	n := newWarmNode(2)
	n.send(4)
	n.sim.runFor(50 * time.Millisecond)
	n.connections[1].silent = true
	for range 30 {
		n.send(2)
		n.sim.runFor(10 * time.Millisecond)
	}
	if s := n.status(); s.SuspectConnections != 0 || s.Counters.SilentConnections != 1 {
		t.Errorf("after one connection went silent: %+v", s)
	}
	n.config.Share = share(3, 1)
	n.do(n.d.Reconfigure(n.config, n.sim.now, nil))
	for range 2 {
		n.silence()
		n.send(2)
		n.sim.runFor(timeout + margin + 5*time.Millisecond)
		s, good := n.status(), n.send(1)[0]
		n.sim.runFor(50 * time.Millisecond)
		if s.SuspectConnections != 0 || n.last[good].Result != anvilmodel.CallOK {
			t.Errorf("after all connections went silent: %+v, %+v", s, n.last[good])
		}
	}
}

// TestAway guards against new work for a leaf whose failure domain is out, that
// is leaving or drains, and against cutting off what runs there.
func TestAway(t *testing.T) {
	for name, away := range map[string]func(*node){
		"out":      func(n *node) { n.do(n.d.SetFailureDomainOut(true, n.sim.now, nil)) },
		"leaving":  func(n *node) { n.do(n.d.SetLeaving(true, n.sim.now, nil)) },
		"draining": func(n *node) { n.observe(10, false, true, 0) },
	} {
		n := newWarmNode(2)
		limit := n.status().Limit
		ids := n.send(limit + 2)
		n.sim.runFor(3 * time.Millisecond)
		away(n)
		ids = append(ids, n.send(1)...)
		for i, id := range ids {
			if n.refused(id) != (i >= limit) {
				t.Errorf("%s: call %d: %+v", name, i, n.last[id])
			}
		}
		n.sim.runFor(50 * time.Millisecond)
		if r := n.last[ids[0]]; r.Result != anvilmodel.CallOK {
			t.Errorf("%s: running call: %+v", name, r)
		}
	}
}

// TestStrayReplies guards against late, crossed and repeated replies that
// reach an origin or move the judgement of the leaf (R5).
func TestStrayReplies(t *testing.T) {
	n := newWarmNode(2)
	id := n.send(1)[0]
	other := id
	other.Origin++
	n.done(other, anvilmodel.CallOK, run, 10, true)
	n.done(id, anvilmodel.CallOK, run, 10, true)
	n.done(id, anvilmodel.CallOK, run, 10, true)
	n.do(n.d.Submit(n.calls[n.send(1)[0]], n.sim.now, nil))
	if c := n.status().Counters; n.replies[id] != 1 || c.DroppedReplies != 2 || c.Duplicates != 1 {
		t.Errorf("%d replies, %+v", n.replies[id], c)
	}
	id = n.send(1)[0]
	n.done(id, anvilmodel.CallShed, unknown, 10, true)
	if r := n.last[id]; r.RunState != unknown {
		t.Errorf("shed without a word on whether it ran: %+v", r)
	}
	n.sim.runFor(timeout)
	n.done(n.send(1)[0], anvilmodel.CallOK, run, 11, true)
	if s := n.status(); !s.Cold || s.Incarnation != 11 || s.Counters.MismatchedReplies != 1 || s.IdleConnections != 0 {
		t.Errorf("after a reply of another incarnation on the connection: %+v", s)
	}
}

// TestLimitIsCutOncePerRoundTrip guards against a burst of sheds that takes
// the limit to 1, and against a limit that ignores sheds.
func TestLimitIsCutOncePerRoundTrip(t *testing.T) {
	n := newWarmNode(4)
	before := n.status().AdaptiveLimit
	for range 2 {
		ids := n.send(int(before))
		n.sim.runFor(3 * time.Millisecond)
		for _, id := range ids {
			n.sim.now = n.sim.now.Add(time.Millisecond)
			n.done(id, anvilmodel.CallShed, notRun, 10, true)
		}
		if got := n.status().AdaptiveLimit; got != max(before/2, 1) {
			t.Fatalf("limit went from %g to %g", before, got)
		}
		before = n.status().AdaptiveLimit
		n.sim.runFor(10 * time.Millisecond)
	}
}
