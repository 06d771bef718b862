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

// countResults returns how often each result and run state occurs.
func countResults(replies []anvilmodel.CallReply) map[string]int {
	counts := make(map[string]int)
	for _, r := range replies {
		counts[r.Result.String()+" "+r.RunState.String()]++
	}
	return counts
}

// TestEveryCallIsAnsweredWhenItsStreamEnds guards against calls that wait for a
// reply that cannot come, and against a not-run that is not certain: a call that
// may have reached the other node is unknown.
func TestEveryCallIsAnsweredWhenItsStreamEnds(t *testing.T) {
	end := func(name, want string, dial anvilpeer.DialFunc, end func(p *testPeer)) {
		t.Run(name, func(t *testing.T) {
			p := (&testPeer{
				submit: neverReply,
				dial:   dial,
			}).start(t, anvilpeer.Handlers{})
			p.send(newCall(1), newCall(2), newCall(3))
			end(p)
			if diff := cmp.Diff(map[string]int{want: 3}, countResults(p.awaitReplies(3))); diff != "" {
				t.Error(diff)
			}
		})
	}
	end("no connection", "broken not-run", func(context.Context, netip.AddrPort) (net.Conn, error) {
		return nil, errors.New("connection refused")
	}, func(*testPeer) {})
	end("closed while connecting", "broken not-run", func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, func(p *testPeer) {
		p.client.Close()
		if p.mu.Lock(); len(p.replies) != 3 {
			p.tb.Errorf("closed with %d of 3 calls answered", len(p.replies))
		}
		p.mu.Unlock()
	})
	end("reset after sending", "broken unknown", nil, func(p *testPeer) {
		p.awaitSubmitted(3)
		p.client.Reset()
	})
	end("other node gone", "broken unknown", nil, func(p *testPeer) {
		p.awaitSubmitted(3)
		p.stop()
	})
}

// TestDrainAnswersAcceptedCalls guards against calls that a graceful shutdown cuts
// off: those taken are answered, later ones are certainly not run.
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
	// From some call on, the draining server takes none.
	number := 2
	eventually(t, "a call that is not taken", func() bool {
		number++
		p.send(newCall(number))
		time.Sleep(time.Millisecond)
		submitted, _ := p.recorded()
		return len(submitted) < number
	})
	close(release)
	<-drained
	submitted, _ := p.recorded()
	got := countResults(p.awaitReplies(number))
	want := map[string]int{
		"ok run":         len(submitted),
		"broken not-run": number - len(submitted),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// invalidEncoding writes what is no protobuf message.
type invalidEncoding struct{}

func (invalidEncoding) Marshal(drpc.Message) ([]byte, error) { return []byte{0xff}, nil }
func (invalidEncoding) Unmarshal([]byte, drpc.Message) error { return nil }

// TestMalformedBatchIsNotTakenForDrain guards against a stream that ends for a fault as a
// drained one does, from which the other side would conclude not-run.
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
		t.Errorf("the stream ended with %v", err)
	}
}

// TestWrongIncarnationIsRefused guards against calls that a process runs although
// they were meant for its predecessor at the same address.
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
// against work that goes on for an origin that is gone. A non-idempotent call
// runs on.
func TestCancelReachesTheServer(t *testing.T) {
	p := (&testPeer{
		submit: neverReply,
	}).start(t, anvilpeer.Handlers{})
	once := newCall(3)
	once.NonIdempotent = true
	p.send(newCall(1), newCall(2), once)
	p.client.Cancel(serverIncarnation, newCall(1).ID)
	eventually(t, "cancellation", func() bool {
		submitted, cancelled := p.recorded()
		return len(submitted) == 3 && len(cancelled) == 1 && cancelled[0].Attempt == 1
	})
	p.client.Cancel(serverIncarnation, newCall(9).ID)
	p.client.Close()
	eventually(t, "cancellation of what is left", func() bool {
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

// TestBatchesKeepOrder guards against calls or replies that are lost, doubled or
// reordered between the batches of a stream.
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

// TestLargeBodies guards against bodies that together, or one alone, exceed what
// a message may hold: that breaks the stream and every call on it.
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

// TestQueueTimeReducesTimeout guards against calls that are sent after their time has run
// out, or with the time that they had when they were queued.
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
		t.Errorf("submitted %v, want call 2 with less time", submitted)
	}
}

// TestSilence guards against a slow call that is taken for a silent stream, and
// against a silent stream that goes unnoticed.
func TestSilence(t *testing.T) {
	slow := (&testPeer{
		submit: neverReply,
	}).start(t, anvilpeer.Handlers{})
	slow.send(newCall(1))
	// Each time that the silence ends without a reply, an empty message came.
	last, ends := time.Duration(0), 0
	eventually(t, "signs of life", func() bool {
		now := slow.client.Silence()
		if now < last {
			ends++
		}
		last = now
		return ends == 3
	})
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	silent := (&testPeer{
		dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", mute.Addr().String())
		},
	}).start(t, anvilpeer.Handlers{})
	silent.send(newCall(1))
	eventually(t, "silence", func() bool { return silent.client.Silence() > time.Second })
	silent.client.Reset()
	if diff := cmp.Diff(map[string]int{"broken unknown": 1}, countResults(silent.awaitReplies(1))); diff != "" {
		t.Error(diff)
	}
	if s := silent.client.Silence(); s != 0 {
		t.Errorf("silence %s without a call", s)
	}
}
