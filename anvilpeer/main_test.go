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

// TestMain guards against goroutines and connections that outlive their owners.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
	os.Exit(1)
}

// testTimeout is far longer than any test takes, also on a slow machine.
const testTimeout = time.Minute

const serverIncarnation anvilmodel.Incarnation = 77

// eventually waits until a condition holds, and fails the test after testTimeout.
func eventually(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("after %s, still waiting for: %s", testTimeout, description)
		}
	}
}

// testPeer is a server whose calls are answered by a function of the test, and its
// relay client.
type testPeer struct {
	tb      testing.TB
	server  *anvilpeer.Server
	client  *anvilpeer.RelayClient
	address netip.AddrPort
	stop    func()
	// submit answers a call; the default is echo.
	submit func(call anvilmodel.Call, reply func(anvilmodel.CallReply))
	// dial opens the client's connections; the default is TCP.
	dial anvilpeer.DialFunc

	mu        sync.Mutex
	submitted []anvilmodel.Call
	cancelled []anvilmodel.CallID
	replies   []anvilmodel.CallReply
}

// start starts the server with the handlers h, and creates the client. Incarnation,
// Submit and Cancel of h are replaced.
func (p *testPeer) start(tb testing.TB, h anvilpeer.Handlers) *testPeer {
	tb.Helper()
	p.tb = tb
	if p.submit == nil {
		p.submit = echo
	}
	h.Incarnation = func() anvilmodel.Incarnation { return serverIncarnation }
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
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(ctx, listener)
	}()
	p.server = server
	p.address = listener.Addr().(*net.TCPAddr).AddrPort()
	p.stop = sync.OnceFunc(func() {
		cancel()
		<-stopped
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

func (p *testPeer) send(calls ...anvilmodel.Call) {
	for _, c := range calls {
		p.client.Enqueue(serverIncarnation, c)
	}
	p.client.Flush()
}

// recorded returns the calls that were submitted and cancelled so far.
func (p *testPeer) recorded() (submitted []anvilmodel.Call, cancelled []anvilmodel.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.submitted), slices.Clone(p.cancelled)
}

// awaitReplies waits for at least count replies and returns all so far.
func (p *testPeer) awaitReplies(count int) []anvilmodel.CallReply {
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

func (p *testPeer) awaitSubmitted(count int) {
	p.tb.Helper()
	eventually(p.tb, "submitted calls", func() bool {
		submitted, _ := p.recorded()
		return len(submitted) >= count
	})
}

// echo replies to a call at once with its body.
func echo(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	reply(anvilmodel.CallReply{
		ID:       call.ID,
		Leaf:     call.Leaf,
		Result:   anvilmodel.CallOK,
		RunState: anvilmodel.RunStateRun,
		Body:     call.Body,
	})
}

// neverReply is a submit function that does not reply.
func neverReply(anvilmodel.Call, func(anvilmodel.CallReply)) {}

func newCall(attempt int) anvilmodel.Call {
	return anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "request-1",
			Origin:  3,
			Attempt: attempt,
		},
		Leaf:    "leaf-1",
		Timeout: testTimeout,
	}
}

func probeHandlers(answer func(anvilmember.ProbeRequest) anvilmember.ProbeReply) anvilpeer.Handlers {
	return anvilpeer.Handlers{
		Probe: func(_ context.Context, request anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool) {
			return answer(request), true
		},
		Chunk: func(anvilrevision.ChunkHash) []byte { return nil },
	}
}

func checkResult(t *testing.T, name string, err error, diff string) {
	t.Helper()
	if err != nil || diff != "" {
		t.Errorf("%s: error %v, diff %s", name, err, diff)
	}
}

func isUnreachable(err error) bool {
	return errorx.IsOfType(err, anvilpeer.Unreachable)
}
