package anvilpeer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// countResults returns the number of replies by result and run state.
func countResults(replies []anvilmodel.CallReply) map[string]int {
	counts := make(map[string]int)
	for _, r := range replies {
		counts[r.Result.String()+" "+r.RunState.String()]++
	}
	return counts
}

// TestEveryCallIsAnsweredWhenItsStreamEnds guards against calls that never get a reply
// because their stream ended, and against a call that may have reached the other node
// but is reported as not run instead of unknown.
func TestEveryCallIsAnsweredWhenItsStreamEnds(t *testing.T) {
	test := func(name, want string, dial anvilpeer.DialFunc, endStream func(p *testPeer)) {
		t.Run(name, func(t *testing.T) {
			p := (&testPeer{
				submit: neverReply,
				dial:   dial,
			}).start(t, anvilpeer.Handlers{})
			p.send(newCall(1), newCall(2), newCall(3))
			endStream(p)
			if diff := cmp.Diff(map[string]int{want: 3}, countResults(p.awaitReplies(3))); diff != "" {
				t.Error(diff)
			}
		})
	}
	test("no connection", "broken not-run", func(context.Context, netip.AddrPort) (net.Conn, error) {
		return nil, errors.New("connection refused")
	}, func(*testPeer) {})
	test("closed while connecting", "broken not-run", func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, func(p *testPeer) {
		p.client.Close()
		if p.mu.Lock(); len(p.replies) != 3 {
			p.tb.Errorf("closed with %d of 3 calls answered", len(p.replies))
		}
		p.mu.Unlock()
	})
	test("reset after sending", "broken unknown", nil, func(p *testPeer) {
		p.awaitSubmitted(3)
		p.client.Reset()
	})
	test("server stopped", "broken unknown", nil, func(p *testPeer) {
		p.awaitSubmitted(3)
		p.stop()
	})
}

// TestDrainAnswersAcceptedCalls guards against calls that are cut off by a graceful
// shutdown: accepted calls are answered, and later ones are reported as not run.
func TestDrainAnswersAcceptedCalls(t *testing.T) {
	release := make(chan struct{})
	p := (&testPeer{
		submit: func(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
			go func() {
				<-release
				echo(call, reply)
			}()
		},
	}).start(t, anvilpeer.Handlers{})
	p.send(newCall(1), newCall(2))
	p.awaitSubmitted(2)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		p.server.Drain(t.Context())
	}()
	// The drain begins concurrently, so the first refused call is found by trial.
	sent := 2
	eventually(t, "a call that is not accepted", func() bool {
		sent++
		p.send(newCall(sent))
		time.Sleep(time.Millisecond)
		submitted, _ := p.recorded()
		return len(submitted) < sent
	})
	close(release)
	<-drained
	submitted, _ := p.recorded()
	got := countResults(p.awaitReplies(sent))
	want := map[string]int{
		"ok run":         len(submitted),
		"broken not-run": sent - len(submitted),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// invalidEncoding encodes every message to a byte that is not valid protobuf.
type invalidEncoding struct{}

func (invalidEncoding) Marshal(drpc.Message) ([]byte, error) { return []byte{0xff}, nil }
func (invalidEncoding) Unmarshal([]byte, drpc.Message) error { return nil }

// TestMalformedBatchIsNotTakenForDrain guards against a stream that ends after a
// malformed batch in the same way as a drained one: the client would take its
// outstanding calls for not run.
func TestMalformedBatchIsNotTakenForDrain(t *testing.T) {
	p := (&testPeer{}).start(t, anvilpeer.Handlers{})
	raw, err := net.Dial("tcp", p.address.String())
	if err != nil {
		t.Fatal(err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	stream, err := conn.NewStream(t.Context(), "/anvilproto.Peer/Relay", invalidEncoding{})
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.MsgSend(nil, invalidEncoding{}); err != nil {
		t.Fatal(err)
	}
	if err := stream.MsgRecv(nil, invalidEncoding{}); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("stream ended with %v, want an error other than EOF", err)
	}
}

// TestWrongIncarnationIsRefused guards against a process that runs calls that were sent
// to its predecessor at the same address.
func TestWrongIncarnationIsRefused(t *testing.T) {
	p := (&testPeer{}).start(t, anvilpeer.Handlers{})
	p.client.Enqueue(serverIncarnation-1, newCall(1))
	p.client.Enqueue(serverIncarnation, newCall(2))
	p.client.Flush()
	want := map[string]int{
		"broken not-run": 1,
		"ok run":         1,
	}
	if diff := cmp.Diff(want, countResults(p.awaitReplies(2))); diff != "" {
		t.Error(diff)
	}
	if submitted, _ := p.recorded(); len(submitted) != 1 || submitted[0].ID.Attempt != 2 {
		t.Errorf("submitted %v, want only the call for this incarnation", submitted)
	}
}

// TestCancelReachesTheServer guards against cancellations that do not arrive, and
// against idempotent calls that keep running after their client has closed the stream.
// A non-idempotent call is not cancelled.
func TestCancelReachesTheServer(t *testing.T) {
	p := (&testPeer{
		submit: neverReply,
	}).start(t, anvilpeer.Handlers{})
	nonIdempotent := newCall(3)
	nonIdempotent.NonIdempotent = true
	p.send(newCall(1), newCall(2), nonIdempotent)
	p.client.Cancel(serverIncarnation, newCall(1).ID)
	eventually(t, "cancellation", func() bool {
		submitted, cancelled := p.recorded()
		return len(submitted) == 3 && len(cancelled) == 1 && cancelled[0].Attempt == 1
	})
	p.client.Cancel(serverIncarnation, newCall(9).ID)
	p.client.Close()
	eventually(t, "cancellation after the close", func() bool {
		_, cancelled := p.recorded()
		return len(cancelled) == 3
	})
	_, cancelled := p.recorded()
	for _, id := range cancelled[1:] {
		if id.Attempt > 2 {
			t.Errorf("call %d was cancelled", id.Attempt)
		}
	}
}

// TestBatchesKeepOrder guards against calls or replies that are lost, duplicated or
// reordered across the batches of a stream.
func TestBatchesKeepOrder(t *testing.T) {
	const count = 1000
	p := (&testPeer{}).start(t, anvilpeer.Handlers{})
	for n := range count {
		p.client.Enqueue(serverIncarnation, newCall(n))
		if n%7 == 0 {
			p.client.Flush()
		}
	}
	p.client.Flush()
	replies := p.awaitReplies(count)
	submitted, _ := p.recorded()
	for n := range count {
		if submitted[n].ID.Attempt != n || replies[n].ID.Attempt != n {
			t.Fatalf("at %d: call %d, reply %d", n, submitted[n].ID.Attempt, replies[n].ID.Attempt)
		}
	}
	if len(submitted) != count || len(replies) != count {
		t.Errorf("%d calls and %d replies, want %d", len(submitted), len(replies), count)
	}
}

// TestLargeBodies guards against a message above the size limit because of one body or
// of several together: it would break the stream and every call on it.
func TestLargeBodies(t *testing.T) {
	p := (&testPeer{}).start(t, anvilpeer.Handlers{})
	tooLarge := newCall(0)
	tooLarge.Body = make([]byte, anvilpeer.MaxBodyBytes+1)
	largest := newCall(1)
	largest.Body = tooLarge.Body[:anvilpeer.MaxBodyBytes]
	calls := []anvilmodel.Call{tooLarge, largest}
	for n := range 40 {
		c := newCall(2 + n)
		c.Body = tooLarge.Body[:1<<20]
		calls = append(calls, c)
	}
	p.send(calls...)
	want := map[string]int{
		"broken not-run": 1,
		"ok run":         41,
	}
	if diff := cmp.Diff(want, countResults(p.awaitReplies(42))); diff != "" {
		t.Error(diff)
	}
}

// TestQueueTimeReducesTimeout guards against calls that are sent after their timeout has
// passed, or with a timeout that does not account for the time in the queue.
func TestQueueTimeReducesTimeout(t *testing.T) {
	connect := make(chan struct{})
	p := (&testPeer{
		dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			<-connect
			return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
		},
	}).start(t, anvilpeer.Handlers{})
	short, long := newCall(1), newCall(2)
	short.Timeout = 5 * time.Millisecond
	p.send(short, long)
	time.Sleep(2 * short.Timeout)
	close(connect)
	want := map[string]int{
		"timeout not-run": 1,
		"ok run":          1,
	}
	if diff := cmp.Diff(want, countResults(p.awaitReplies(2))); diff != "" {
		t.Error(diff)
	}
	submitted, _ := p.recorded()
	if len(submitted) != 1 || submitted[0].Timeout > testTimeout-2*short.Timeout {
		t.Errorf("submitted %v, want only call 2 with a reduced timeout", submitted)
	}
}

// TestSilence guards against a slow call that makes its stream count as silent, and
// against a silent stream that is not detected.
func TestSilence(t *testing.T) {
	slow := (&testPeer{
		submit: neverReply,
	}).start(t, anvilpeer.Handlers{})
	slow.send(newCall(1))
	// The silence decreases only when an empty message arrives, because there is no
	// reply.
	last, heartbeats := time.Duration(0), 0
	eventually(t, "three heartbeats", func() bool {
		current := slow.client.Silence()
		if current < last {
			heartbeats++
		}
		last = current
		return heartbeats == 3
	})
	silentListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silentListener.Close()
	silent := (&testPeer{
		dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", silentListener.Addr().String())
		},
	}).start(t, anvilpeer.Handlers{})
	silent.send(newCall(1))
	eventually(t, "silence", func() bool { return silent.client.Silence() > time.Second })
	silent.client.Reset()
	if diff := cmp.Diff(map[string]int{"broken unknown": 1}, countResults(silent.awaitReplies(1))); diff != "" {
		t.Error(diff)
	}
	if s := silent.client.Silence(); s != 0 {
		t.Errorf("silence of %s without an outstanding call", s)
	}
}
