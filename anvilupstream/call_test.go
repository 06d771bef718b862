package anvilupstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilupstream"
)

// longEnough is a timeout that never expires in a test.
const longEnough = time.Hour

// startLeaf starts a leaf with 4 slots that holds shard 2 of 5 of snapshot 7.
func startLeaf(t *testing.T, change func(*anvilstandin.UpstreamConfig)) *anvilstandin.Upstream {
	t.Helper()
	c := anvilstandin.UpstreamConfig{
		Name:    "lots-2-0",
		Service: "lots",
		Slots:   4,
		Holdings: []anvilmodel.Holding{{
			Snapshot:   7,
			Shard:      2,
			ShardCount: 5,
		}},
	}
	if change != nil {
		change(&c)
	}
	u, err := anvilstandin.NewUpstream(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Stop)
	return u
}

func startClient(t *testing.T, c anvilupstream.Config) *anvilupstream.Client {
	t.Helper()
	client := anvilupstream.New(c)
	t.Cleanup(client.Shutdown)
	return client
}

func newCall(attempt int, timeout time.Duration) anvilmodel.Call {
	return anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "r-1",
			Origin:  11,
			Attempt: attempt,
		},
		Leaf:     "lots-2-0",
		Service:  "lots",
		Snapshot: 7,
		Shard:    2,
		Timeout:  timeout,
		Body:     []byte("grade A linen"),
	}
}

// eventually waits until a fake leaf reaches a state.
func eventually(t *testing.T, reached func() bool) {
	t.Helper()
	for !reached() {
		if t.Context().Err() != nil {
			t.Fatal("the leaf did not reach the expected state before the end of the test")
		}
		time.Sleep(time.Millisecond)
	}
}

func wantOK(t *testing.T, out anvilupstream.Outcome, opened bool) {
	t.Helper()
	if out.Reply.Result != anvilmodel.CallOK {
		t.Fatalf("got %s (%v), want ok", out.Reply.Result, out.Err)
	}
	if out.ConnectionOpened != opened {
		t.Fatalf("opened a connection: got %t, want %t", out.ConnectionOpened, opened)
	}
}

// TestCallReturnsTheReply guards against replies that lose fields sent by the leaf.
func TestCallReturnsTheReply(t *testing.T) {
	u := startLeaf(t, func(c *anvilstandin.UpstreamConfig) { c.Cold = true })
	client := startClient(t, anvilupstream.Config{})
	call := newCall(1, longEnough)
	out := client.Call(t.Context(), u.Address(), 3, call)
	wantOK(t, out, true)
	want := anvilmodel.CallReply{
		ID:          call.ID,
		Leaf:        "lots-2-0",
		Result:      anvilmodel.CallOK,
		RunState:    anvilmodel.RunStateRun,
		Incarnation: 1,
		Holding: anvilmodel.Holding{
			Snapshot:   7,
			Shard:      2,
			ShardCount: 5,
		},
		Cold: true,
		Body: anvilstandin.ExpectedPart("lots", 7, 2, call.Body),
	}
	if diff := cmp.Diff(want, out.Reply); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	if !out.BytesWritten || out.Connection != 3 {
		t.Errorf("got bytes written %t on connection %d", out.BytesWritten, out.Connection)
	}
	call.Body = nil
	call.ID.Attempt = 2
	wantOK(t, client.Call(t.Context(), u.Address(), 3, call), false)
	call.Snapshot = 6
	call.ID.Attempt = 3
	if out = client.Call(t.Context(), u.Address(), 3, call); out.Reply.Result != anvilmodel.CallSnapshotGone {
		t.Errorf("call for a snapshot that the leaf does not hold: got %s", out.Reply.Result)
	}
	state, err := client.ReadState(t.Context(), u.Address())
	if err != nil || state.Incarnation != 1 || !state.Cold || len(state.Holdings) != 1 {
		t.Errorf("state: got %+v, %v", state, err)
	}
}

// TestShedIsNotRun guards against a shed call that is reported as possibly run
// (R6), and against closing the connection of a shed call.
func TestShedIsNotRun(t *testing.T) {
	u := startLeaf(t, func(c *anvilstandin.UpstreamConfig) {
		c.Slots = 1
		c.QueueLength = -1
	})
	client := startClient(t, anvilupstream.Config{})
	u.SetServiceDelay(longEnough)
	busy := make(chan anvilupstream.Outcome)
	go func() { busy <- client.Call(t.Context(), u.Address(), 0, newCall(1, longEnough)) }()
	eventually(t, func() bool { return u.Stats().Executed == 1 })
	for attempt := 2; attempt <= 3; attempt++ {
		out := client.Call(t.Context(), u.Address(), 1, newCall(attempt, longEnough))
		if out.Reply.Result != anvilmodel.CallShed || out.Reply.RunState != anvilmodel.RunStateNotRun || out.ConnectionOpened != (attempt == 2) {
			t.Errorf("attempt %d: got %s, %s, opened %t", attempt, out.Reply.Result, out.Reply.RunState, out.ConnectionOpened)
		}
	}
	if err := client.Cancel(t.Context(), u.Address(), newCall(1, 0).ID); err != nil {
		t.Error(err)
	}
	if out := <-busy; out.Reply.Result != anvilmodel.CallCancelled {
		t.Errorf("cancelled call: got %s", out.Reply.Result)
	}
}

// TestCancelKeepsTheConnection guards against closing the connection of a cancelled
// call: opening a new one takes up to 6 ms.
func TestCancelKeepsTheConnection(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{})
	u.SetServiceDelay(longEnough)
	ended := make(chan anvilupstream.Outcome)
	go func() { ended <- client.Call(t.Context(), u.Address(), 0, newCall(1, longEnough)) }()
	eventually(t, func() bool { return u.Stats().Executed == 1 })
	if err := client.Cancel(t.Context(), u.Address(), newCall(1, 0).ID); err != nil {
		t.Fatal(err)
	}
	if out := <-ended; out.Reply.Result != anvilmodel.CallCancelled || out.Reply.RunState != anvilmodel.RunStateUnknown {
		t.Fatalf("cancelled call: got %s, %s", out.Reply.Result, out.Reply.RunState)
	}
	u.SetServiceDelay(0)
	wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(2, longEnough)), false)
	if n := u.Stats().ConnectionsOpened; n != 2 {
		t.Errorf("the leaf saw %d connections, want one for calls and one for control", n)
	}
	if err := client.Cancel(t.Context(), u.Address(), newCall(9, 0).ID); err != nil {
		t.Errorf("cancel of a call that the leaf does not know: got %v", err)
	}
}

// TestTimeoutKeepsTheConnection guards against closing the connection of a
// timed-out call although the leaf still replies.
func TestTimeoutKeepsTheConnection(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{
		CancelGrace: longEnough,
	})
	wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(0, longEnough)), true)
	u.SetServiceDelay(longEnough)
	for attempt, ignore := range []bool{false, true} {
		u.SetIgnoreTimeouts(ignore)
		out := client.Call(t.Context(), u.Address(), 0, newCall(1+attempt, time.Second))
		if out.Reply.Result != anvilmodel.CallTimeout || out.ConnectionOpened || out.Err != nil {
			t.Fatalf("leaf ignores timeouts %t: got %s, %v, opened %t", ignore, out.Reply.Result, out.Err, out.ConnectionOpened)
		}
	}
	u.SetServiceDelay(0)
	wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(3, longEnough)), false)
}

// TestConnectionCarriesOneCall guards against a second connection for one number,
// which would exceed this node's share of the connection limit of the leaf.
func TestConnectionCarriesOneCall(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{})
	u.SetServiceDelay(longEnough)
	busy := make(chan anvilupstream.Outcome)
	go func() { busy <- client.Call(t.Context(), u.Address(), 0, newCall(1, longEnough)) }()
	eventually(t, func() bool { return u.Stats().Executed == 1 })
	out := client.Call(t.Context(), u.Address(), 0, newCall(2, 20*time.Millisecond))
	if out.Reply.Result != anvilmodel.CallTimeout || out.Reply.RunState != anvilmodel.RunStateNotRun || out.BytesWritten {
		t.Errorf("second call: got %s, %s, bytes written %t", out.Reply.Result, out.Reply.RunState, out.BytesWritten)
	}
	client.CloseConnection(u.Address(), 0)
	if out = <-busy; out.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("call on a closed connection: got %s", out.Reply.Result)
	}
}

// TestSilentConnection guards against a connection that stops replying and delays
// all calls to its leaf, while a new connection would work (6.8).
func TestSilentConnection(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{
		CancelGrace: time.Millisecond,
	})
	wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(1, longEnough)), true)
	wantOK(t, client.Call(t.Context(), u.Address(), 1, newCall(2, longEnough)), true)
	u.SilenceConnections()
	out := client.Call(t.Context(), u.Address(), 0, newCall(3, 20*time.Millisecond))
	if out.Reply.Result != anvilmodel.CallTimeout || !errorx.IsOfType(out.Err, anvilupstream.TimedOut) {
		t.Fatalf("call on a silent connection: got %s, %v", out.Reply.Result, out.Err)
	}
	wantOK(t, client.Call(t.Context(), u.Address(), 2, newCall(4, longEnough)), true)
	client.CloseConnection(u.Address(), 1)
	wantOK(t, client.Call(t.Context(), u.Address(), 1, newCall(5, longEnough)), true)
	wantUnsent(t, client.Call(t.Context(), u.Address(), 0, newCall(6, longEnough)))
	client.CloseConnection(u.Address(), 0)
	wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(7, longEnough)), true)
}

// TestDamagedRepliesBreakTheConnection guards against accepting a reply that
// belongs to another call or is truncated or corrupt, and against further calls on
// the connection after that (R5).
func TestDamagedRepliesBreakTheConnection(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{})
	wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(0, longEnough)), true)
	faults := map[anvilstandin.ReplyFault]*errorx.Type{
		anvilstandin.CrossReply:    anvilupstream.BadReply,
		anvilstandin.TruncateReply: anvilupstream.BadReply,
		anvilstandin.CorruptReply:  anvilupstream.BadReply,
		anvilstandin.BreakReply:    anvilupstream.Unreachable,
	}
	attempt := 0
	for fault, want := range faults {
		u.InjectReplyFaults(fault, 1)
		attempt += 2
		out := client.Call(t.Context(), u.Address(), 0, newCall(attempt, longEnough))
		if out.Reply.Result != anvilmodel.CallBroken || out.Reply.RunState != anvilmodel.RunStateUnknown || !errorx.IsOfType(out.Err, want) {
			t.Errorf("reply fault %d: got %s, %s, %v", fault, out.Reply.Result, out.Reply.RunState, out.Err)
		}
		wantUnsent(t, client.Call(t.Context(), u.Address(), 0, newCall(1000+attempt, longEnough)))
		client.CloseConnection(u.Address(), 0)
		wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(attempt+1, longEnough)), true)
	}
}

// wantUnsent checks that a call on a lost connection was not sent: an automatic
// reconnect could reach a process that has just started.
func wantUnsent(t *testing.T, out anvilupstream.Outcome) {
	t.Helper()
	if out.Reply.Result != anvilmodel.CallBroken || out.Reply.RunState != anvilmodel.RunStateNotRun || out.BytesWritten {
		t.Errorf("call on a lost connection: got %s, %s, written %t", out.Reply.Result, out.Reply.RunState, out.BytesWritten)
	}
}

// TestOpenReadsTheIncarnation guards against calls to a process that restarted
// between the opening of a connection and its first call.
func TestOpenReadsTheIncarnation(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{})
	state, err := client.OpenConnection(t.Context(), u.Address(), 0)
	if err != nil || state.Incarnation == 0 {
		t.Fatalf("open: got incarnation %d, %v", state.Incarnation, err)
	}
	wantOK(t, client.Call(t.Context(), u.Address(), 0, newCall(1, longEnough)), false)
	u.ReplaceProcess()
	// The first call may still be written to the closed connection.
	if out := client.Call(t.Context(), u.Address(), 0, newCall(2, longEnough)); out.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("call after a restart: got %s", out.Reply.Result)
	}
	wantUnsent(t, client.Call(t.Context(), u.Address(), 0, newCall(3, longEnough)))
	client.CloseConnection(u.Address(), 0)
	again, err := client.OpenConnection(t.Context(), u.Address(), 0)
	if err != nil || again.Incarnation == state.Incarnation {
		t.Errorf("open after a restart: got incarnation %d, %v", again.Incarnation, err)
	}
}

// TestContextEndsCall guards against a call that continues after its context has
// ended, and against state and cancel requests without a time limit.
func TestContextEndsCall(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{
		ControlTimeout: time.Millisecond,
	})
	u.SetServiceDelay(longEnough)
	u.SetStateDelay(longEnough)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan anvilupstream.Outcome)
	go func() { ended <- client.Call(ctx, u.Address(), 0, newCall(1, longEnough)) }()
	eventually(t, func() bool { return u.Stats().Executed == 1 })
	cancel()
	if out := <-ended; out.Reply.Result != anvilmodel.CallCancelled || out.Reply.RunState != anvilmodel.RunStateUnknown {
		t.Errorf("got %s, %s", out.Reply.Result, out.Reply.RunState)
	}
	if _, err := client.ReadState(t.Context(), u.Address()); !errorx.IsOfType(err, anvilupstream.TimedOut) {
		t.Errorf("state of a slow endpoint: got %v", err)
	}
}

// TestShutdownEndsCalls guards against a shutdown that waits for a slow leaf, and
// against a client that sends calls after its shutdown.
func TestShutdownEndsCalls(t *testing.T) {
	u := startLeaf(t, nil)
	client := startClient(t, anvilupstream.Config{})
	u.SetServiceDelay(longEnough)
	ended := make(chan anvilupstream.Outcome)
	go func() { ended <- client.Call(t.Context(), u.Address(), 0, newCall(1, longEnough)) }()
	eventually(t, func() bool { return u.Stats().Executed == 1 })
	client.Shutdown()
	if out := <-ended; out.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("call in progress: got %s", out.Reply.Result)
	}
	out := client.Call(t.Context(), u.Address(), 0, newCall(2, longEnough))
	if out.Reply.RunState != anvilmodel.RunStateNotRun || !errorx.IsOfType(out.Err, anvilupstream.Closed) {
		t.Errorf("call after shutdown: got %s, %v", out.Reply.RunState, out.Err)
	}
}
