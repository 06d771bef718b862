package anvilpeer_test

import (
	"context"
	"flag"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilrevision"
)

// TestMain guards against streams and connections that outlive their owners.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
	os.Exit(1)
}

// generous is far more than anything here takes, also on a slow machine.
const generous = time.Minute

const dispatcher anvilmodel.Incarnation = 77

// eventually waits until a condition holds.
func eventually(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(generous); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("not within %s: %s", generous, what)
		}
	}
}

// peer is a server whose dispatcher is a function of the test, and a client of it.
type peer struct {
	tb      testing.TB
	server  *anvilpeer.Server
	client  *anvilpeer.RelayClient
	address netip.AddrPort
	stop    func()
	// submit answers a call; the default answers at once with the call's body.
	submit func(call anvilmodel.Call, reply func(anvilmodel.CallReply))
	// dial opens the client's connections; the default is TCP.
	dial anvilpeer.DialFunc

	mu        sync.Mutex
	submitted []anvilmodel.Call
	cancelled []anvilmodel.CallID
	replies   []anvilmodel.CallReply
}

// start serves p and connects its client. Handlers that h does not set are not used.
func (p *peer) start(tb testing.TB, h anvilpeer.Handlers) *peer {
	tb.Helper()
	p.tb = tb
	if p.submit == nil {
		p.submit = echo
	}
	h.Incarnation = func() anvilmodel.Incarnation { return dispatcher }
	h.Submit = func(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
		p.mu.Lock()
		p.submitted = append(p.submitted, call)
		p.mu.Unlock()
		p.submit(call, reply)
	}
	h.Cancel = func(id anvilmodel.CallID) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancelled = append(p.cancelled, id)
	}
	server, err := anvilpeer.NewServer(h)
	if err != nil {
		tb.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ctx, listener)
	}()
	p.server = server
	p.address = listener.Addr().(*net.TCPAddr).AddrPort()
	p.stop = sync.OnceFunc(func() {
		cancel()
		<-served
	})
	p.client = anvilpeer.NewRelayClient(anvilpeer.RelayClientConfig{
		Address: p.address,
		HandleReply: func(r anvilmodel.CallReply) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.replies = append(p.replies, r)
		},
		Dial: p.dial,
	})
	tb.Cleanup(func() {
		p.client.Close()
		p.stop()
	})
	return p
}

func (p *peer) send(calls ...anvilmodel.Call) {
	for _, c := range calls {
		p.client.Enqueue(dispatcher, c)
	}
	p.client.Flush()
}

func (p *peer) seen() (submitted []anvilmodel.Call, cancelled []anvilmodel.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.submitted), slices.Clone(p.cancelled)
}

// awaitReplies returns the replies so far once there are count of them.
func (p *peer) awaitReplies(count int) []anvilmodel.CallReply {
	p.tb.Helper()
	var replies []anvilmodel.CallReply
	eventually(p.tb, "replies", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		replies = slices.Clone(p.replies)
		return len(replies) >= count
	})
	return replies
}

func (p *peer) awaitSubmitted(count int) {
	p.tb.Helper()
	eventually(p.tb, "submitted calls", func() bool {
		submitted, _ := p.seen()
		return len(submitted) >= count
	})
}

func echo(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	reply(anvilmodel.CallReply{
		ID:       call.ID,
		Leaf:     call.Leaf,
		Result:   anvilmodel.CallOK,
		RunState: anvilmodel.RunStateRun,
		Body:     call.Body,
	})
}

// hold never answers.
func hold(anvilmodel.Call, func(anvilmodel.CallReply)) {}

func callNumber(n int) anvilmodel.Call {
	return anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "request-1",
			Origin:  3,
			Attempt: n,
		},
		Leaf:    "leaf-1",
		Timeout: generous,
	}
}

func probeHandlers(answer func(anvilmember.ProbeRequest) anvilmember.ProbeReply) anvilpeer.Handlers {
	return anvilpeer.Handlers{
		Probe: func(_ context.Context, q anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool) {
			return answer(q), true
		},
		Chunk: func(anvilrevision.ChunkHash) []byte { return nil },
	}
}

func check(t *testing.T, what string, err error, diff string) {
	t.Helper()
	if err != nil || diff != "" {
		t.Errorf("%s: error %v, diff %s", what, err, diff)
	}
}

func isUnreachable(err error) bool {
	return errorx.IsOfType(err, anvilpeer.Unreachable)
}
