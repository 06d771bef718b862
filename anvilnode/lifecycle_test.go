package anvilnode_test

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilnode"
	"anvilbridge/anvilwire"
)

// TestKilledNode guards against callers that are left without an answer, requests
// that run twice, and a not-run that is not certain, when a node is killed under
// load; and against a second run of a ticket whose node is gone.
func TestKilledNode(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitWhole(f.nodes...)
	killed, others := f.nodes[3], f.nodes[:3]
	run, unused := killed.ticket(1), killed.ticket(2)
	q := query{service: certify, class: "once", key: "k", ticket: run}
	if r := f.send(killed, q); r.answer == nil {
		t.Fatalf("%+v", r)
	}
	l := f.startLoad(8, 3)
	l.await(100)
	f.kill(killed)
	if n := f.network.openBy(killed); n > 0 {
		t.Errorf("the node left %d connections open", n)
	}
	l.await(300)
	f.awaitWhole(others...)
	l.stop()
	for _, m := range others {
		for _, ticket := range []anvilmodel.Ticket{run, unused} {
			q.ticket = ticket
			r := f.send(m, q)
			if r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateUnknown {
				t.Errorf("ticket of the killed node: %+v, want unknown", r)
			}
			if o := f.outcome(m, ticket); o.State != anvilwire.OutcomeUnknown {
				t.Errorf("outcome %s, want unknown", o.State)
			}
		}
	}
	if f.executions(run) != 1 || f.executions(unused) != 0 {
		t.Errorf("ran %d and %d times, want 1 and 0", f.executions(run), f.executions(unused))
	}
	eventually(t, "answers that name the others only", func() bool {
		return !slices.ContainsFunc(others, func(m *testNode) bool { return slices.Contains(f.named(m), killed.listed.Name) })
	})
}

// TestGracefulShutdown guards against requests that a shutdown under load cuts
// off: no caller sees a failure or an unknown outcome. It may be asked for twice.
func TestGracefulShutdown(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitWhole(f.nodes...)
	l := f.startLoad(10, 4)
	l.await(100)
	for _, m := range f.nodes[2:] {
		cut := make(chan int, 2)
		for range 2 {
			go func() {
				n := m.Shutdown(context.Background(), "test")
				if len(m.log.lines("node-stopped")) == 0 {
					t.Error("returned before the node had stopped")
				}
				cut <- n
			}()
		}
		// Callers may hold its address for as long as the answer says, and 1 s more.
		eventually(t, "leaving", func() bool { return m.Status().Leaving })
		begun := time.Now()
		if r := f.send(m, query{service: lots, class: "broad"}); r.answer == nil && time.Since(begun) < 2*time.Second {
			t.Errorf("refused in the time that callers may hold the address: %+v", r)
		}
		l.await(100)
		for range 2 {
			if n := <-cut; n != 0 {
				t.Errorf("%d cut off, want 0", n)
			}
		}
		<-m.ended
		if m.err != nil {
			t.Error(m.err)
		}
		if lines := m.log.lines("node-stopped"); len(lines) != 1 || !strings.Contains(lines[0], `"cut-off":0`) {
			t.Errorf("log %v", lines)
		}
	}
	l.await(100)
	l.stop()
	if l.refused > 0 || l.unknown > 0 {
		t.Errorf("%d refused, %d unknown, want none", l.refused, l.unknown)
	}
}

// TestForcedEnd guards against a forced end that waits, or that does not say what
// it cut off.
func TestForcedEnd(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	f.awaitWhole(f.nodes...)
	m := f.nodes[0]
	for _, u := range f.cluster.Upstreams(archive) {
		u.SetServiceDelay(classTimeout / 2)
	}
	sent := make(chan reply, 1)
	go func() { sent <- f.send(m, query{service: archive, class: "patient"}) }()
	eventually(t, "a running query", func() bool { return m.Status().QueriesInFlight == 1 })
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if n := m.Shutdown(over, "test"); n == 0 {
		t.Error("nothing was cut off")
	}
	<-m.ended
	if lines := m.log.lines(`"class":"patient","outcome":"deadline"`); len(lines) != 1 {
		t.Errorf("the node ended before its queries: %v", lines)
	}
	if r := <-sent; r.answer != nil {
		t.Errorf("%+v, want a broken connection", r)
	}
	lines := m.log.lines("node-stopped")
	if len(lines) != 1 || !strings.Contains(lines[0], `"requests":["request-1"]`) || !strings.Contains(lines[0], `"queries":1`) {
		t.Errorf("log %v", lines)
	}
}

// TestConfigServiceDown guards against a fleet that needs the configuration
// service after its start, and against a fresh node that serves without having
// got the configuration from its peers.
func TestConfigServiceDown(t *testing.T) {
	f := newFleet(t, 4, 3, nil)
	f.awaitWhole(f.nodes[:3]...)
	f.cluster.Config().Stop()
	m, listeners := f.prepare(3)
	f.nodes[3] = m
	f.list(f.nodes...)
	f.start(m, listeners[0], listeners[1])
	f.awaitWhole(m)
	if got, want := m.Status().Revision, f.nodes[0].Status().Revision; got != want {
		t.Errorf("revision %d, want %d", got, want)
	}
	eventually(t, "address answers that name the fresh node", func() bool {
		return slices.Contains(f.named(f.nodes[0]), m.listed.Name)
	})
	f.awaitWhole(f.nodes...)
}

// TestNotReady guards against a fresh node that serves what the configuration
// service says although it has heard none of the listed nodes.
func TestNotReady(t *testing.T) {
	f := newFleet(t, 4, 1, nil)
	m := f.nodes[0]
	eventually(t, "a configuration", func() bool { return m.Status().Revision > 0 && m.Status().Incarnation > 0 })
	// A ticket of its own: the refusal has to be certain for that one only.
	for _, q := range []query{{service: lots, class: "broad"}, {service: certify, class: "once", key: "k", ticket: m.ticket(1)}} {
		r := f.send(m, q)
		if r.refusal == nil || r.status != 503 || r.refusal.Reason != anvilmodel.ReasonNotReady ||
			r.refusal.RunState != anvilmodel.RunStateNotRun || r.refusal.Detail == "" || r.refusal.RetryAfter == 0 {
			t.Errorf("%+v, want not-ready, not-run and a time to come back", r)
		}
	}
	if status, _ := f.get(m, "/readyz"); status != 503 {
		t.Errorf("readyz %d, want 503", status)
	}
	if names := f.named(m); len(names) != 0 {
		t.Errorf("%v are named, want nobody", names)
	}
}

// TestReplacedNode guards against a process that goes on working after another one
// has taken its place, and against relayed calls that the new one takes for its
// predecessor.
func TestReplacedNode(t *testing.T) {
	f := newFleet(t, 3, 3, nil)
	f.awaitWhole(f.nodes...)
	old := f.nodes[2]
	ticket := old.ticket(1)
	l := f.startLoad(6, 2)
	l.await(50)
	next, listeners := f.prepare(2)
	f.nodes[2] = next
	f.list(f.nodes...)
	f.start(next, listeners[0], listeners[1])
	<-old.ended
	if old.err != nil || len(old.log.lines("node-superseded")) == 0 {
		t.Errorf("ended with %v", old.err)
	}
	f.awaitWhole(f.nodes...)
	l.stop()
	if o := f.outcome(next, ticket); o.State != anvilwire.OutcomeUnknown {
		t.Errorf("outcome of a ticket of the predecessor: %s", o.State)
	}
}

// TestListenerFails guards against a node that goes on without one of its servers.
func TestListenerFails(t *testing.T) {
	f := newFleet(t, 1, 0, nil)
	m, listeners := f.prepare(0)
	f.nodes[0] = m
	f.start(m, listeners[0], listeners[1])
	eventually(t, "healthz", func() bool { status, _ := f.get(m, "/healthz"); return status == 200 })
	_ = listeners[0].Close()
	<-m.ended
	if !errorx.IsOfType(m.err, anvilnode.ListenFailed) {
		t.Errorf("ended with %v", m.err)
	}
}

// TestBadSettings guards against faults of the settings that are reported one at a
// time, or not at all.
func TestBadSettings(t *testing.T) {
	same := netip.MustParseAddrPort("127.0.0.1:1")
	c := anvilnode.Config{
		CallerAddress: same,
		PeerAddress:   same,
		ConfigService: netip.MustParseAddrPort("0.0.0.0:1"),
		MaxQueries:    -1,
		ShutdownLimit: -time.Second,
	}
	var settings []string
	for _, x := range c.Check() {
		settings = append(settings, x.Setting)
		if x.Message == "" || x.Accepted == "" {
			t.Errorf("%+v", x)
		}
	}
	want := []string{"name", "site", "slot", "failure-domain", "config-service", "vm-list", "peer-address", "max-queries", "shutdown-limit"}
	if diff := cmp.Diff(want, settings); diff != "" {
		t.Error(diff)
	}
	if _, err := anvilnode.New(c); !errorx.IsOfType(err, anvilnode.BadSettings) {
		t.Errorf("error %v", err)
	}
}
