package anvilleaf_test

import (
	"testing"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// TestColdLeafRampsUp guards against a leaf that gets more than its share
// before 8 consecutive calls have succeeded, or its full load at once after
// them.
func TestColdLeafRampsUp(t *testing.T) {
	n := newWarmNode(2)
	n.sim.runFor(time.Second)
	n.execute(n.dispatcher.SetFailureDomainOut(true, n.sim.now, nil))
	n.execute(n.dispatcher.SetFailureDomainOut(false, n.sim.now, nil))
	n.sim.runFor(time.Second)
	for i := 1; i <= 16; i++ {
		n.submitCalls(1)
		n.sim.runFor(2 * service)
		if s := n.status(); s.Cold != (i < 8) || s.Limit != 1+i/16 {
			t.Errorf("cold is %t and the limit %d after %d successful calls", s.Cold, s.Limit, i)
		}
	}
}

// TestReturnedLeafStaysCold guards against a leaf that returns in the same
// incarnation and counts as warm after a few successful calls, although it lost
// its caches while it was out.
func TestReturnedLeafStaysCold(t *testing.T) {
	n := newWarmNode(2)
	n.execute(n.dispatcher.SetFailureDomainOut(true, n.sim.now, nil))
	n.sim.runFor(time.Minute)
	n.execute(n.dispatcher.SetFailureDomainOut(false, n.sim.now, nil))
	returned := n.sim.now
	for n.sim.now.Sub(returned) < time.Second {
		if !n.status().Cold {
			t.Fatalf("the leaf is warm %s after its return, before its cold duration of 1 s", n.sim.now.Sub(returned))
		}
		n.submitCalls(1)
		n.sim.runFor(2 * service)
	}
	n.submitCalls(1)
	n.sim.runFor(2 * service)
	if n.status().Cold {
		t.Error("the leaf is still cold after its cold duration and many successful calls")
	}
}

// TestColdDetection guards against signals that fail to make a leaf cold, and
// against state endpoints or stale reports of other nodes that wrongly make it
// warm or cold.
func TestColdDetection(t *testing.T) {
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
		n.observeLeafState(10, false, false, 0)
		return n
	}
	slow := func(by time.Duration) func(n *node) {
		return func(n *node) {
			n.sim.service = func() time.Duration { return by }
			for i := 0; i < 40 && !n.status().Cold; i++ {
				n.submitCalls(1)
				n.sim.runFor(by + 5*time.Millisecond)
			}
		}
	}
	check("new incarnation at the state endpoint", newWarmNode(2), func(n *node) { n.observeLeafState(11, false, false, 0) }, cold)
	check("earlier incarnation at the state endpoint", newWarmNode(2), func(n *node) { n.observeLeafState(9, true, false, 0) }, warm)
	check("state endpoint reports cold", newWarmNode(2), func(n *node) { n.observeLeafState(10, true, false, 0) }, cold)
	check("state endpoint reported cold before the leaf was warm", newWarmNode(2), func(n *node) { n.observeLeafState(10, true, false, time.Hour) }, warm)
	check("state endpoint reports warm", fresh(), func(n *node) { n.observeLeafState(10, false, false, 0) }, cold)
	check("peer reports a new incarnation", newWarmNode(2), func(n *node) { n.observePeerState(11, true, 0) }, cold)
	check("peer reports cold later", newWarmNode(2), func(n *node) { n.observePeerState(10, true, 0) }, cold)
	check("peer reported cold before", newWarmNode(2), func(n *node) { n.observePeerState(10, true, time.Second) }, warm)
	check("peer reports warm", fresh(), func(n *node) { n.observePeerState(10, false, time.Hour) }, warm)
	check("peer reports an earlier process as warm", fresh(), func(n *node) { n.observePeerState(9, false, 0) }, cold)
	check("twice the latency", newWarmNode(2), slow(2*service), warm)
	check("6 times the latency", newWarmNode(2), slow(6*service), cold)
	check("all calls time out", newWarmNode(2), slow(time.Second), cold)
	restart := func(i anvilmodel.Incarnation) func(n *node) {
		return func(n *node) {
			n.sim.restart(i)
			n.sim.runFor(timeout)
			n.submitCalls(1)
			n.sim.runFor(timeout)
		}
	}
	check("restart", newWarmNode(2), restart(11), cold)
	check("restart with a lower incarnation", newWarmNode(2), restart(9), cold)
	check("replies report cold", newWarmNode(2), func(n *node) {
		n.sim.reportsCold = true
		n.submitCalls(1)
		n.sim.runFor(timeout)
	}, cold)
	check("out and back", newWarmNode(2), func(n *node) {
		n.execute(n.dispatcher.SetFailureDomainOut(true, n.sim.now, nil))
		n.execute(n.dispatcher.SetFailureDomainOut(false, n.sim.now, nil))
	}, cold)
	check("drained and back", newWarmNode(2), func(n *node) {
		n.observeLeafState(10, false, true, 0)
		n.sim.runFor(time.Millisecond)
		n.observeLeafState(10, false, false, 0)
	}, cold)
}

// TestQuietPeriod guards against calls to a cold leaf while calls of another
// node may still be running: after the start, and after an increase of the cold
// concurrency.
func TestQuietPeriod(t *testing.T) {
	n := newNode(2, time.Second)
	for _, connect := range []time.Duration{6 * time.Millisecond, 0} {
		n.sim.runFor(time.Second)
		early := n.submitCalls(1)[0]
		if r := n.lastReply[early]; !n.refused(early) || r.RetryAfter != gracePeriod+connect {
			t.Errorf("call that cannot wait: %+v", r)
		}
		n.sim.runFor(gracePeriod / 2)
		waiting := n.submitCalls(1)[0]
		n.sim.runFor(gracePeriod/2 - 1)
		if n.connectionOf[waiting] != 0 {
			t.Error("call was started in the quiet period")
		}
		n.sim.runFor(20 * time.Millisecond)
		if r := n.lastReply[waiting]; r.Result != anvilmodel.CallOK {
			t.Errorf("call that could wait: %+v", r)
		}
		n.config.Share = share(5, 2)
		n.execute(n.dispatcher.Reconfigure(n.config, n.sim.now, nil))
	}
}

// TestPause guards against calls that are sent after a pause of the process, to
// a cold leaf or past their deadline, before the node has heard from other
// nodes.
func TestPause(t *testing.T) {
	n := newNode(2, 0)
	n.replaced = true
	n.sim.runFor(gracePeriod + time.Millisecond)
	for range 2 {
		n.execute(n.dispatcher.SetIsolated(false, n.sim.now, nil))
		ids := n.submitCalls(3)
		n.pausedUntil = n.sim.now.Add(2 * time.Second)
		n.sim.runFor(2*time.Second + time.Millisecond)
		for _, id := range append(ids[1:], n.submitCalls(1)...) {
			if !n.refused(id) {
				t.Errorf("waiting call after the pause: %+v", n.lastReply[id])
			}
		}
	}
}

// TestIsolation guards against an isolated node that sends a call over a
// connection of unknown incarnation. The connection may lead to a process that
// has just started and gets calls from other nodes.
func TestIsolation(t *testing.T) {
	n := newNode(2, 0)
	n.sim.skipsInitialState = true
	n.observePeerState(10, false, 0)
	n.sim.runFor(gracePeriod + time.Millisecond)
	n.isolated = true
	n.execute(n.dispatcher.SetIsolated(true, n.sim.now, nil))
	early := n.submit(time.Second, 1, false)
	n.sim.runFor(time.Second / 2)
	if n.connectionOf[early] != 0 {
		t.Error("call was started while the node was isolated")
	}
	n.isolated = false
	n.execute(n.dispatcher.SetIsolated(false, n.sim.now, nil))
	n.sim.runFor(100 * time.Millisecond)
	if r := n.lastReply[early]; r.Result != anvilmodel.CallOK {
		t.Errorf("call after the isolation: %+v", r)
	}
}

// TestQueue guards against a wrong queue order, a wrong call being displaced, a
// late refusal of a call that cannot finish in time, and hedges that displace
// calls.
func TestQueue(t *testing.T) {
	n := newNode(2, 0)
	n.observePeerState(10, false, 0)
	if id := n.submit(4*time.Millisecond, 1, false); !n.refused(id) {
		t.Error("call with less time than a new connection takes is not refused")
	}
	n = newWarmNode(2)
	n.sim.service = func() time.Duration { return 50 * time.Millisecond }
	running := n.submitCalls(n.status().Limit)
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
		t.Errorf("call of lowest priority in a full queue: %+v", n.lastReply[low])
	}
	for _, id := range []anvilmodel.CallID{urgent, early, late} {
		before := n.connectionOf[id]
		n.finishCall(running[0], anvilmodel.CallOK, run, 10, true)
		running = append(running[1:], id)
		if before != 0 || n.connectionOf[id] == 0 {
			t.Errorf("call %v is on connection %d, then %d", id, before, n.connectionOf[id])
		}
	}
}

// TestBreaker guards against calls that wait for a failed leaf, more than one
// probe at a time, a back-off that does not double, and a probe over an old
// connection that has gone silent.
func TestBreaker(t *testing.T) {
	n := newWarmNode(2)
	n.sim.service = func() time.Duration { return time.Hour }
	for range 2 {
		n.submitCalls(2)
		n.sim.runFor(timeout)
	}
	n.sim.runFor(time.Millisecond)
	for _, backoff := range []time.Duration{100, 200, 400} {
		id := n.submitCalls(1)[0]
		want := backoff * time.Millisecond
		if got := n.lastReply[id].RetryAfter; !n.refused(id) || got > want || got < want-2*time.Millisecond {
			t.Fatalf("call while open for %v: %+v", want, n.lastReply[id])
		}
		n.sim.runFor(want)
		probe := n.submitCalls(2)
		n.sim.runFor(timeout + time.Millisecond)
		if n.connectionOf[probe[0]] == 0 || !n.refused(probe[1]) {
			t.Fatalf("probes: %+v, %+v", n.lastReply[probe[0]], n.lastReply[probe[1]])
		}
	}
	n.sim.service = func() time.Duration { return service }
	n.sim.runFor(time.Second)
	n.silenceConnections()
	n.submitCalls(1)
	n.sim.runFor(timeout)
	if s := n.status(); s.Breaker != anvilleaf.BreakerClosed {
		t.Errorf("breaker after a successful probe is %v", s.Breaker)
	}
}

// TestSilentConnections guards against calls that are lost on permanently
// silent connections: first on one of them, then twice on all of them, with a
// share that leaves no room for another connection.
func TestSilentConnections(t *testing.T) {
	n := newWarmNode(2)
	n.submitCalls(4)
	n.sim.runFor(50 * time.Millisecond)
	n.connections[1].silent = true
	for range 30 {
		n.submitCalls(2)
		n.sim.runFor(10 * time.Millisecond)
	}
	if s := n.status(); s.SuspectConnections != 0 || s.Counters.SilentConnections != 1 {
		t.Errorf("after one connection went silent: %+v", s)
	}
	n.config.Share = share(3, 1)
	n.execute(n.dispatcher.Reconfigure(n.config, n.sim.now, nil))
	for range 2 {
		n.silenceConnections()
		n.submitCalls(2)
		n.sim.runFor(timeout + gracePeriod + 5*time.Millisecond)
		s, next := n.status(), n.submitCalls(1)[0]
		n.sim.runFor(50 * time.Millisecond)
		if s.SuspectConnections != 0 || n.lastReply[next].Result != anvilmodel.CallOK {
			t.Errorf("after all connections went silent: %+v, %+v", s, n.lastReply[next])
		}
	}
}

// TestOutOfService guards against new calls to a leaf whose failure domain is
// out, that is leaving or that is draining, and against cutting off the calls
// that run there.
func TestOutOfService(t *testing.T) {
	for name, takeOut := range map[string]func(*node){
		"out":      func(n *node) { n.execute(n.dispatcher.SetFailureDomainOut(true, n.sim.now, nil)) },
		"leaving":  func(n *node) { n.execute(n.dispatcher.SetLeaving(true, n.sim.now, nil)) },
		"draining": func(n *node) { n.observeLeafState(10, false, true, 0) },
	} {
		n := newWarmNode(2)
		limit := n.status().Limit
		ids := n.submitCalls(limit + 2)
		n.sim.runFor(3 * time.Millisecond)
		takeOut(n)
		ids = append(ids, n.submitCalls(1)...)
		for i, id := range ids {
			if n.refused(id) != (i >= limit) {
				t.Errorf("%s: call %d: %+v", name, i, n.lastReply[id])
			}
		}
		n.sim.runFor(50 * time.Millisecond)
		if r := n.lastReply[ids[0]]; r.Result != anvilmodel.CallOK {
			t.Errorf("%s: running call: %+v", name, r)
		}
	}
}

// TestStrayReplies guards against late, misdirected and repeated replies that
// reach an origin or change the state of the leaf.
func TestStrayReplies(t *testing.T) {
	n := newWarmNode(2)
	id := n.submitCalls(1)[0]
	other := id
	other.Origin++
	n.finishCall(other, anvilmodel.CallOK, run, 10, true)
	n.finishCall(id, anvilmodel.CallOK, run, 10, true)
	n.finishCall(id, anvilmodel.CallOK, run, 10, true)
	n.execute(n.dispatcher.Submit(n.calls[n.submitCalls(1)[0]], n.sim.now, nil))
	if c := n.status().Counters; n.replyCounts[id] != 1 || c.DroppedReplies != 2 || c.Duplicates != 1 {
		t.Errorf("%d replies, %+v", n.replyCounts[id], c)
	}
	id = n.submitCalls(1)[0]
	n.finishCall(id, anvilmodel.CallShed, unknown, 10, true)
	if r := n.lastReply[id]; r.RunState != unknown {
		t.Errorf("shed without a run state: %+v", r)
	}
	n.sim.runFor(timeout)
	n.finishCall(n.submitCalls(1)[0], anvilmodel.CallOK, run, 11, true)
	if s := n.status(); !s.Cold || s.Incarnation != 11 || s.Counters.MismatchedReplies != 1 || s.IdleConnections != 0 {
		t.Errorf("after a reply of another incarnation on the connection: %+v", s)
	}
}

// TestLimitIsCutOncePerRoundTrip guards against a burst of sheds that reduces
// the limit to 1, and against a limit that ignores sheds.
func TestLimitIsCutOncePerRoundTrip(t *testing.T) {
	n := newWarmNode(4)
	before := n.status().AdaptiveLimit
	for range 2 {
		ids := n.submitCalls(int(before))
		n.sim.runFor(3 * time.Millisecond)
		for _, id := range ids {
			n.sim.now = n.sim.now.Add(time.Millisecond)
			n.finishCall(id, anvilmodel.CallShed, notRun, 10, true)
		}
		if got := n.status().AdaptiveLimit; got != max(before/2, 1) {
			t.Fatalf("limit changed from %g to %g", before, got)
		}
		before = n.status().AdaptiveLimit
		n.sim.runFor(10 * time.Millisecond)
	}
}
