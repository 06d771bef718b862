package anvilstandin_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilupstream"
)

// testTimeout is longer than any test runs, so that timeouts do not affect it.
const testTimeout = time.Hour

// fixture holds a fake leaf and a client of it.
type fixture struct {
	leaf        *anvilstandin.Upstream
	client      *anvilupstream.Client
	outcomes    chan anvilupstream.Outcome
	lastAttempt int
}

func newFixture(t *testing.T, c anvilstandin.UpstreamConfig) *fixture {
	t.Helper()
	c.Name = "lots-0-0"
	c.Service = "lots"
	c.Holdings = []anvilmodel.Holding{{Snapshot: 1, ShardCount: 1}}
	leaf, err := anvilstandin.NewUpstream(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(leaf.Stop)
	client := anvilupstream.New(anvilupstream.Config{})
	t.Cleanup(client.Shutdown)
	return &fixture{
		leaf:     leaf,
		client:   client,
		outcomes: make(chan anvilupstream.Outcome),
	}
}

func (f *fixture) call(t *testing.T, connection int, ticket anvilmodel.Ticket) anvilupstream.Outcome {
	t.Helper()
	f.lastAttempt++
	return f.client.Call(t.Context(), f.leaf.Address(), connection, anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "r",
			Attempt: f.lastAttempt,
		},
		Snapshot: 1,
		Timeout:  testTimeout,
		Ticket:   ticket,
	})
}

// startCall starts a call on the given connection and waits until the leaf has
// received it.
func (f *fixture) startCall(t *testing.T, connection int) {
	t.Helper()
	before := f.leaf.Stats().Calls
	f.lastAttempt++
	attempt := f.lastAttempt
	go func() {
		f.outcomes <- f.client.Call(t.Context(), f.leaf.Address(), connection, anvilmodel.Call{
			ID: anvilmodel.CallID{
				Request: "r",
				Attempt: attempt,
			},
			Snapshot: 1,
			Timeout:  testTimeout,
		})
	}()
	for f.leaf.Stats().Calls == before {
		time.Sleep(time.Millisecond)
	}
}

// TestColdLeafCountsExcessCalls guards against a fake that does not count calls
// above the concurrency of a cold leaf, so that tests of requirement R3 would miss
// them.
func TestColdLeafCountsExcessCalls(t *testing.T) {
	f := newFixture(t, anvilstandin.UpstreamConfig{
		Cold:            true,
		ColdConcurrency: 2,
		WarmAfter:       1,
	})
	f.leaf.SetServiceDelay(testTimeout)
	for connection := range 3 {
		f.startCall(t, connection)
		violations := 0
		if connection == 2 {
			violations = 1
		}
		if s := f.leaf.Stats(); s.ColdPeak != connection+1 || s.ColdViolations != violations {
			t.Errorf("%d calls: got cold peak %d and %d violations", connection+1, s.ColdPeak, s.ColdViolations)
		}
	}
	f.leaf.ReplaceProcess()
	for range 3 {
		if outcome := <-f.outcomes; outcome.Reply.Result != anvilmodel.CallBroken {
			t.Errorf("call to a replaced process: got %s", outcome.Reply.Result)
		}
	}
	for f.leaf.Stats().Cancelled < 3 {
		time.Sleep(time.Millisecond)
	}
	f.leaf.SetServiceDelay(0)
	outcome := f.call(t, 3, anvilmodel.Ticket{})
	if outcome.Reply.Result != anvilmodel.CallOK || outcome.Reply.Incarnation != 2 {
		t.Errorf("call to the new process: got %s from incarnation %d", outcome.Reply.Result, outcome.Reply.Incarnation)
	}
	if outcome = f.call(t, 3, anvilmodel.Ticket{}); outcome.Reply.Cold {
		t.Error("the leaf is still cold after the calls that warm it")
	}
}

// TestExecutionsAreRecorded guards against duplicate executions that tests of
// requirement R7 would miss. Calls whose reply is lost must count as well.
func TestExecutionsAreRecorded(t *testing.T) {
	f := newFixture(t, anvilstandin.UpstreamConfig{})
	ticket := anvilmodel.Ticket{
		Incarnation: 5,
		Epoch:       1,
		ID:          "00112233445566778899aabbccddeeff",
	}
	f.leaf.InjectReplyFaults(anvilstandin.BreakReply, 1)
	if outcome := f.call(t, 0, ticket); outcome.Reply.Result != anvilmodel.CallBroken {
		t.Fatalf("call whose reply is lost: got %s", outcome.Reply.Result)
	}
	f.call(t, 1, ticket)
	f.call(t, 1, anvilmodel.Ticket{})
	want := map[anvilstandin.Execution]int{{Ticket: ticket, Request: "r"}: 2}
	if diff := cmp.Diff(want, f.leaf.Executions()); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}

// TestStaleAndFalseState guards against a fake that always reports its real state,
// so that tests would miss code that relies on a stale or false state.
func TestStaleAndFalseState(t *testing.T) {
	f := newFixture(t, anvilstandin.UpstreamConfig{})
	f.leaf.SetStateFrozen(true)
	f.leaf.SetDraining(true)
	if s, err := f.client.ReadState(t.Context(), f.leaf.Address()); err != nil || s.Draining {
		t.Errorf("stale state: got %+v, %v", s, err)
	}
	f.leaf.SetStateFrozen(false)
	if s, err := f.client.ReadState(t.Context(), f.leaf.Address()); err != nil || !s.Draining {
		t.Errorf("real state: got %+v, %v", s, err)
	}
	f.leaf.SetFalseState(&anvilstandin.FalseState{Load: 0.25})
	if s, err := f.client.ReadState(t.Context(), f.leaf.Address()); err != nil || s.Draining || s.Load != 0.25 {
		t.Errorf("false state: got %+v, %v", s, err)
	}
	f.leaf.SetFailureDomainOut(true)
	if outcome := f.call(t, 0, anvilmodel.Ticket{}); outcome.Reply.Draining || outcome.Reply.Load != 0.25 {
		t.Errorf("reply with false state: got %+v", outcome.Reply)
	}
	if s := f.leaf.Stats(); s.CallsWhileDraining != 1 || s.CallsWhileOut != 1 || s.StateReads != 3 {
		t.Errorf("got %+v", s)
	}
}

// TestConnectionLimit guards against a fake that accepts more connections than its
// limit, and against one that cannot be started again after a stop.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, anvilstandin.UpstreamConfig{
		ConnectionLimit: 1,
	})
	if outcome := f.call(t, 0, anvilmodel.Ticket{}); outcome.Reply.Result != anvilmodel.CallOK {
		t.Fatalf("first connection: got %s", outcome.Reply.Result)
	}
	if outcome := f.call(t, 1, anvilmodel.Ticket{}); outcome.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("connection above the limit: got %s", outcome.Reply.Result)
	}
	if s := f.leaf.Stats(); s.ConnectionsRefused != 1 || s.ConnectionsPeak != 1 {
		t.Errorf("got %+v", s)
	}
	f.leaf.Stop()
	if outcome := f.call(t, 0, anvilmodel.Ticket{}); outcome.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("call to a stopped leaf: got %s", outcome.Reply.Result)
	}
	if err := f.leaf.Start(); err != nil {
		t.Fatal(err)
	}
	if outcome := f.call(t, 2, anvilmodel.Ticket{}); outcome.Reply.Incarnation != 2 || !outcome.Reply.Cold {
		t.Errorf("call to a restarted leaf: got %+v", outcome.Reply)
	}
}

// TestServiceTimesAreSeeded guards against service times that differ between runs
// with the same seed, and against a wrong share of stragglers.
func TestServiceTimesAreSeeded(t *testing.T) {
	s := anvilstandin.ServiceTime{
		Median:          time.Millisecond,
		StragglerShare:  0.1,
		StragglerFactor: 50,
	}
	stragglers := 0
	for attempt := range 1000 {
		id := anvilmodel.CallID{
			Request: "r",
			Attempt: attempt,
		}
		d := s.Draw(7, "lots-0-0", id)
		if d != s.Draw(7, "lots-0-0", id) {
			t.Fatalf("attempt %d has two service times", attempt)
		}
		if d > 40*time.Millisecond {
			stragglers++
		}
	}
	if stragglers < 70 || stragglers > 130 {
		t.Errorf("seed 7: %d of 1000 calls are stragglers, want about 100", stragglers)
	}
}
