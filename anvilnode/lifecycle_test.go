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

// TestKilledNode guards against callers without an answer, requests that run twice, and
// refusals as not-run of requests that ran, when a node is killed under load. It also
// guards against a second run of a ticket whose node was killed.
func TestKilledNode(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitFullCoverage(f.nodes...)
	killed, others := f.nodes[3], f.nodes[:3]
	run, unused := killed.newTicket(1), killed.newTicket(2)
	q := query{service: serviceCertify, class: "once", key: "k", ticket: run}
	if r := f.send(killed, q); r.answer == nil {
		t.Fatalf("%+v", r)
	}
	l := f.startLoad(8, 3)
	l.awaitAnswers(100)
	f.kill(killed)
	if n := f.network.openConnections(killed); n > 0 {
		t.Errorf("killed node has %d open connections", n)
	}
	l.awaitAnswers(300)
	f.awaitFullCoverage(others...)
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
	eventually(t, "address answers without the killed node", func() bool {
		return !slices.ContainsFunc(others, func(m *testNode) bool { return slices.Contains(f.advertisedNodes(m), killed.listed.Name) })
	})
}

// TestGracefulShutdown guards against requests that a shutdown under load cuts off:
// callers must see no failure, refusal or unknown outcome. Shutdown may be called
// twice.
func TestGracefulShutdown(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitFullCoverage(f.nodes...)
	l := f.startLoad(10, 4)
	l.awaitAnswers(100)
	for _, m := range f.nodes[2:] {
		cutOff := make(chan int, 2)
		for range 2 {
			go func() {
				n := m.Shutdown(context.Background(), "test")
				if len(m.log.lines("node-stopped")) == 0 {
					t.Error("Shutdown returned before the node had stopped")
				}
				cutOff <- n
			}()
		}
		// Callers may hold the node's address for the lifetime stated in the answer,
		// plus 1 s.
		eventually(t, "a leaving node", func() bool { return m.Status().Leaving })
		startedAt := time.Now()
		if r := f.send(m, query{service: serviceLots, class: "broad"}); r.answer == nil && time.Since(startedAt) < 2*time.Second {
			t.Errorf("query refused while callers may still hold the address: %+v", r)
		}
		l.awaitAnswers(100)
		for range 2 {
			if n := <-cutOff; n != 0 {
				t.Errorf("%d queries and calls cut off, want 0", n)
			}
		}
		<-m.stopped
		if m.err != nil {
			t.Error(m.err)
		}
		if lines := m.log.lines("node-stopped"); len(lines) != 1 || !strings.Contains(lines[0], `"cut-off":0`) {
			t.Errorf("log %v", lines)
		}
	}
	l.awaitAnswers(100)
	l.stop()
	if l.refused > 0 || l.unknown > 0 {
		t.Errorf("%d refused, %d unknown, want none", l.refused, l.unknown)
	}
}

// TestForcedShutdown guards against a forced shutdown that waits, or that does not log
// what it cut off.
func TestForcedShutdown(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	f.awaitFullCoverage(f.nodes...)
	m := f.nodes[0]
	for _, u := range f.cluster.Upstreams(serviceArchive) {
		u.SetServiceDelay(classTimeout / 2)
	}
	replied := make(chan reply, 1)
	go func() { replied <- f.send(m, query{service: serviceArchive, class: "patient"}) }()
	eventually(t, "a running query", func() bool { return m.Status().QueriesInFlight == 1 })
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	if n := m.Shutdown(expired, "test"); n == 0 {
		t.Error("nothing was cut off")
	}
	<-m.stopped
	if lines := m.log.lines(`"class":"patient","outcome":"deadline"`); len(lines) != 1 {
		t.Errorf("node stopped before its queries ended: %v", lines)
	}
	if r := <-replied; r.answer != nil {
		t.Errorf("%+v, want a broken connection", r)
	}
	lines := m.log.lines("node-stopped")
	if len(lines) != 1 || !strings.Contains(lines[0], `"requests":["request-1"]`) || !strings.Contains(lines[0], `"queries":1`) {
		t.Errorf("log %v", lines)
	}
}

// TestConfigServiceDown guards against nodes that need the configuration service after
// their start, and against a joining node that does not get the configuration from its
// peers.
func TestConfigServiceDown(t *testing.T) {
	f := newFleet(t, 4, 3, nil)
	f.awaitFullCoverage(f.nodes[:3]...)
	f.cluster.Config().Stop()
	m, listeners := f.prepareNode(3)
	f.nodes[3] = m
	f.publishVMList(f.nodes...)
	f.start(m, listeners[0], listeners[1])
	f.awaitFullCoverage(m)
	if got, want := m.Status().Revision, f.nodes[0].Status().Revision; got != want {
		t.Errorf("revision %d, want %d", got, want)
	}
	eventually(t, "address answers with the joining node", func() bool {
		return slices.Contains(f.advertisedNodes(f.nodes[0]), m.listed.Name)
	})
	f.awaitFullCoverage(f.nodes...)
}

// TestNotReady guards against a joining node that serves the configuration of the
// configuration service although it has no contact to any of the listed nodes.
func TestNotReady(t *testing.T) {
	f := newFleet(t, 4, 1, nil)
	m := f.nodes[0]
	eventually(t, "a configuration", func() bool { return m.Status().Revision > 0 && m.Status().Incarnation > 0 })
	// The ticket is the node's own, because only then the refusal is certain to be
	// not-run.
	for _, q := range []query{{service: serviceLots, class: "broad"}, {service: serviceCertify, class: "once", key: "k", ticket: m.newTicket(1)}} {
		r := f.send(m, q)
		if r.refusal == nil || r.status != 503 || r.refusal.Reason != anvilmodel.ReasonNotReady ||
			r.refusal.RunState != anvilmodel.RunStateNotRun || r.refusal.Detail == "" || r.refusal.RetryAfter == 0 {
			t.Errorf("%+v, want not-ready, not-run and a retry delay", r)
		}
	}
	if status, _ := f.get(m, "/readyz"); status != 503 {
		t.Errorf("readyz %d, want 503", status)
	}
	if names := f.advertisedNodes(m); len(names) != 0 {
		t.Errorf("advertised nodes %v, want none", names)
	}
}

// TestReplacedNode guards against a process that keeps working after another one has
// taken its place, and against relayed calls that the new process accepts although they
// were sent to its predecessor.
func TestReplacedNode(t *testing.T) {
	f := newFleet(t, 3, 3, nil)
	f.awaitFullCoverage(f.nodes...)
	replaced := f.nodes[2]
	ticket := replaced.newTicket(1)
	l := f.startLoad(6, 2)
	l.awaitAnswers(50)
	successor, listeners := f.prepareNode(2)
	f.nodes[2] = successor
	f.publishVMList(f.nodes...)
	f.start(successor, listeners[0], listeners[1])
	<-replaced.stopped
	if replaced.err != nil || len(replaced.log.lines("node-superseded")) == 0 {
		t.Errorf("ended with %v", replaced.err)
	}
	f.awaitFullCoverage(f.nodes...)
	l.stop()
	if o := f.outcome(successor, ticket); o.State != anvilwire.OutcomeUnknown {
		t.Errorf("outcome of a ticket of the predecessor: %s", o.State)
	}
}

// TestListenerFailure guards against a node that keeps running without one of its
// servers.
func TestListenerFailure(t *testing.T) {
	f := newFleet(t, 1, 0, nil)
	m, listeners := f.prepareNode(0)
	f.nodes[0] = m
	f.start(m, listeners[0], listeners[1])
	eventually(t, "healthz", func() bool { status, _ := f.get(m, "/healthz"); return status == 200 })
	_ = listeners[0].Close()
	<-m.stopped
	if !errorx.IsOfType(m.err, anvilnode.ListenFailed) {
		t.Errorf("ended with %v", m.err)
	}
}

// TestInvalidSettings guards against invalid settings that are reported one at a time,
// or not at all.
func TestInvalidSettings(t *testing.T) {
	sharedAddress := netip.MustParseAddrPort("127.0.0.1:1")
	c := anvilnode.Config{
		CallerAddress:        sharedAddress,
		PeerAddress:          sharedAddress,
		ConfigServiceAddress: netip.MustParseAddrPort("0.0.0.0:1"),
		MaxQueries:           -1,
		ShutdownLimit:        -time.Second,
	}
	var settings []string
	for _, finding := range c.Validate() {
		settings = append(settings, finding.Setting)
		if finding.Message == "" || finding.Accepted == "" {
			t.Errorf("%+v", finding)
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
