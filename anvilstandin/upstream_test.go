package anvilstandin_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilupstream"
)

// longEnough is a time that no test waits for.
const longEnough = time.Hour

// rig is a leaf and a client to it.
type rig struct {
	leaf   *anvilstandin.Upstream
	client *anvilupstream.Client
	calls  chan anvilupstream.Outcome
	next   int
}

func newRig(t *testing.T, c anvilstandin.UpstreamConfig) *rig {
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
	return &rig{
		leaf:   leaf,
		client: client,
		calls:  make(chan anvilupstream.Outcome),
	}
}

func (r *rig) call(t *testing.T, connection int, ticket anvilmodel.Ticket) anvilupstream.Outcome {
	t.Helper()
	r.next++
	return r.client.Call(t.Context(), r.leaf.Address(), connection, anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "r",
			Attempt: r.next,
		},
		Snapshot: 1,
		Timeout:  longEnough,
		Ticket:   ticket,
	})
}

// start begins a call on a connection of its own and waits until it arrived.
func (r *rig) start(t *testing.T, connection int) {
	t.Helper()
	before := r.leaf.Stats().Calls
	r.next++
	attempt := r.next
	go func() {
		r.calls <- r.client.Call(t.Context(), r.leaf.Address(), connection, anvilmodel.Call{
			ID: anvilmodel.CallID{
				Request: "r",
				Attempt: attempt,
			},
			Snapshot: 1,
			Timeout:  longEnough,
		})
	}()
	for r.leaf.Stats().Calls == before {
		time.Sleep(time.Millisecond)
	}
}

// TestColdLeafRecordsTooMuchWork guards against a stand-in that does not
// notice more concurrency than a cold leaf can bear (R3).
func TestColdLeafRecordsTooMuchWork(t *testing.T) {
	r := newRig(t, anvilstandin.UpstreamConfig{
		Cold:            true,
		ColdConcurrency: 2,
		WarmAfter:       1,
	})
	r.leaf.SetSlow(longEnough)
	for connection := range 3 {
		r.start(t, connection)
		violations := 0
		if connection == 2 {
			violations = 1
		}
		if s := r.leaf.Stats(); s.ColdPeak != connection+1 || s.ColdViolations != violations {
			t.Errorf("%d calls: got cold peak %d and %d violations", connection+1, s.ColdPeak, s.ColdViolations)
		}
	}
	r.leaf.TurnCold()
	for range 3 {
		if out := <-r.calls; out.Reply.Result != anvilmodel.CallBroken {
			t.Errorf("call to a replaced process: got %s", out.Reply.Result)
		}
	}
	for r.leaf.Stats().Cancelled < 3 {
		time.Sleep(time.Millisecond)
	}
	r.leaf.SetSlow(0)
	out := r.call(t, 3, anvilmodel.Ticket{})
	if out.Reply.Result != anvilmodel.CallOK || out.Reply.Incarnation != 2 {
		t.Errorf("call to the new process: got %s from incarnation %d", out.Reply.Result, out.Reply.Incarnation)
	}
	if out = r.call(t, 3, anvilmodel.Ticket{}); out.Reply.Cold {
		t.Error("the leaf is still cold after the calls that warm it")
	}
}

// TestExecutionsAreRecorded guards against a double run that a test cannot see
// (R7): also calls whose reply is lost count.
func TestExecutionsAreRecorded(t *testing.T) {
	r := newRig(t, anvilstandin.UpstreamConfig{})
	ticket := anvilmodel.Ticket{
		Incarnation: 5,
		Epoch:       1,
		ID:          "00112233445566778899aabbccddeeff",
	}
	r.leaf.InjectReplyFaults(anvilstandin.BreakReply, 1)
	if out := r.call(t, 0, ticket); out.Reply.Result != anvilmodel.CallBroken {
		t.Fatalf("call whose reply is lost: got %s", out.Reply.Result)
	}
	r.call(t, 1, ticket)
	r.call(t, 1, anvilmodel.Ticket{})
	want := map[anvilstandin.Execution]int{{Ticket: ticket, Request: "r"}: 2}
	if diff := cmp.Diff(want, r.leaf.Executions()); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}

// TestStateLagsAndLies guards against a stand-in whose endpoint always tells
// the truth, so that trust in it would go unnoticed.
func TestStateLagsAndLies(t *testing.T) {
	r := newRig(t, anvilstandin.UpstreamConfig{})
	r.leaf.SetStateFrozen(true)
	r.leaf.SetDraining(true)
	if s, err := r.client.ReadState(t.Context(), r.leaf.Address()); err != nil || s.Draining {
		t.Errorf("lagging endpoint: got %+v, %v", s, err)
	}
	r.leaf.SetStateFrozen(false)
	if s, err := r.client.ReadState(t.Context(), r.leaf.Address()); err != nil || !s.Draining {
		t.Errorf("true endpoint: got %+v, %v", s, err)
	}
	r.leaf.SetClaim(&anvilstandin.Claim{Load: 0.25})
	if s, err := r.client.ReadState(t.Context(), r.leaf.Address()); err != nil || s.Draining || s.Load != 0.25 {
		t.Errorf("lying endpoint: got %+v, %v", s, err)
	}
	r.leaf.SetOut(true)
	if out := r.call(t, 0, anvilmodel.Ticket{}); out.Reply.Draining || out.Reply.Load != 0.25 {
		t.Errorf("lying reply: got %+v", out.Reply)
	}
	if s := r.leaf.Stats(); s.WhileDraining != 1 || s.WhileOut != 1 || s.StateReads != 3 {
		t.Errorf("got %+v", s)
	}
}

// TestConnectionLimit guards against a stand-in that accepts more connections
// than its limit, and against one that cannot come back after a stop.
func TestConnectionLimit(t *testing.T) {
	r := newRig(t, anvilstandin.UpstreamConfig{
		ConnectionLimit: 1,
	})
	if out := r.call(t, 0, anvilmodel.Ticket{}); out.Reply.Result != anvilmodel.CallOK {
		t.Fatalf("first connection: got %s", out.Reply.Result)
	}
	if out := r.call(t, 1, anvilmodel.Ticket{}); out.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("connection above the limit: got %s", out.Reply.Result)
	}
	if s := r.leaf.Stats(); s.ConnectionsRefused != 1 || s.ConnectionsPeak != 1 {
		t.Errorf("got %+v", s)
	}
	r.leaf.Stop()
	if out := r.call(t, 0, anvilmodel.Ticket{}); out.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("call to a stopped leaf: got %s", out.Reply.Result)
	}
	if err := r.leaf.Start(); err != nil {
		t.Fatal(err)
	}
	if out := r.call(t, 2, anvilmodel.Ticket{}); out.Reply.Incarnation != 2 || !out.Reply.Cold {
		t.Errorf("call to a restarted leaf: got %+v", out.Reply)
	}
}

// TestServiceTimesAreSeeded guards against service times that differ between
// runs, and against a tail that is not there.
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
