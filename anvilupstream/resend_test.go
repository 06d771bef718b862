package anvilupstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilupstream"
	"anvilbridge/anvilwire"
)

// fakeLeaf reads requests from its connections and counts them. It replies only
// while answer is true, and otherwise closes the connection.
type fakeLeaf struct {
	listener net.Listener
	work     sync.WaitGroup

	mu     sync.Mutex
	answer bool
	seen   map[string]int
}

func startFakeLeaf(t *testing.T) *fakeLeaf {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeLeaf{
		listener: l,
		answer:   true,
		seen:     make(map[string]int),
	}
	f.work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.work.Go(func() { f.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		f.work.Wait()
	})
	return f
}

func (f *fakeLeaf) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		attempt := req.Header.Get(anvilwire.HeaderAttempt)
		if req.Method == http.MethodDelete {
			attempt = "delete"
		}
		f.mu.Lock()
		f.seen[attempt]++
		answer := f.answer
		f.mu.Unlock()
		_, err = io.Copy(io.Discard, req.Body)
		if err != nil || !answer || f.reply(c, req) != nil {
			return
		}
	}
}

func (f *fakeLeaf) reply(c net.Conn, req *http.Request) error {
	call, err := anvilwire.DecodeCallHeader(req.Header)
	if err != nil {
		return err
	}
	h := make(http.Header)
	anvilwire.SetLeafReplyHeader(h, &anvilmodel.CallReply{
		ID:          call.ID,
		Incarnation: anvilmodel.Incarnation(1 + call.ID.Attempt/1000),
		Holding: anvilmodel.Holding{
			Snapshot:   call.Snapshot,
			Shard:      call.Shard,
			ShardCount: int(call.Shard) + 1,
		},
	})
	resp := http.Response{
		StatusCode: http.StatusOK,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     h,
		Body:       http.NoBody,
	}
	return resp.Write(c)
}

func (f *fakeLeaf) setAnswer(answer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

func (f *fakeLeaf) count(attempt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[attempt]
}

func (f *fakeLeaf) address(t *testing.T) netip.AddrPort {
	t.Helper()
	return netip.MustParseAddrPort(f.listener.Addr().String())
}

// TestBrokenConnectionIsNotResent guards against a Transport that resends a call by
// itself after its connection broke (R7): each call must arrive once.
func TestBrokenConnectionIsNotResent(t *testing.T) {
	for name, body := range map[string]string{"with body": "booking", "without body": ""} {
		t.Run(name, func(t *testing.T) {
			f := startFakeLeaf(t)
			client := startClient(t, anvilupstream.Config{})
			call := newCall(1, longEnough)
			call.Body = []byte(body)
			wantOK(t, client.Call(t.Context(), f.address(t), 0, call), true)
			f.setAnswer(false)
			call.ID.Attempt = 2
			out := client.Call(t.Context(), f.address(t), 0, call)
			if out.Reply.Result != anvilmodel.CallBroken || out.Reply.RunState != anvilmodel.RunStateUnknown || out.ConnectionOpened {
				t.Errorf("got %s, %s, opened %t", out.Reply.Result, out.Reply.RunState, out.ConnectionOpened)
			}
			if n := f.count("2"); n != 1 {
				t.Errorf("the call arrived %d times, want 1", n)
			}
		})
	}
}

// TestUnreachableLeafIsNotRun guards against a failed dial that is not reported as
// certainly not run.
func TestUnreachableLeafIsNotRun(t *testing.T) {
	client := startClient(t, anvilupstream.Config{
		Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("connection refused")
		},
	})
	out := client.Call(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), 0, newCall(1, longEnough))
	if out.Reply.Result != anvilmodel.CallBroken || out.Reply.RunState != anvilmodel.RunStateNotRun || out.BytesWritten {
		t.Errorf("got %s, %s, bytes written %t", out.Reply.Result, out.Reply.RunState, out.BytesWritten)
	}
	if out = client.Call(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), 0, newCall(2, 0)); out.Reply.Result != anvilmodel.CallTimeout || out.BytesWritten {
		t.Errorf("call with zero timeout: got %s, bytes written %t", out.Reply.Result, out.BytesWritten)
	}
}

// TestNotWrittenIsCertain guards against a call that is reported as not written but
// arrives at the leaf (R6, R7). Calls are cancelled at random times around their
// start.
func TestNotWrittenIsCertain(t *testing.T) {
	const seed = 20260727
	r := rand.New(rand.NewPCG(seed, 1))
	f := startFakeLeaf(t)
	client := startClient(t, anvilupstream.Config{})
	var unwritten []anvilmodel.CallID
	for attempt := range 400 {
		ctx, cancel := context.WithCancel(t.Context())
		timer := time.AfterFunc(time.Duration(r.IntN(600))*time.Microsecond, cancel)
		out := client.Call(ctx, f.address(t), attempt%2, newCall(attempt, longEnough))
		timer.Stop()
		cancel()
		if !out.BytesWritten {
			unwritten = append(unwritten, out.Reply.ID)
		}
	}
	client.Shutdown()
	_ = f.listener.Close()
	f.work.Wait()
	for _, id := range unwritten {
		path := anvilwire.LeafCallPath(id)
		if n := f.count(path[strings.LastIndexByte(path, '/')+1:]); n != 0 {
			t.Errorf("seed %d: attempt %d was reported as not written and arrived %d times", seed, id.Attempt, n)
		}
	}
	t.Logf("seed %d: %d of 400 calls were cancelled before a byte was written", seed, len(unwritten))
}

// TestIncarnationOfAConnection guards against accepting a reply from a process
// other than the one that the connection was opened to.
func TestIncarnationOfAConnection(t *testing.T) {
	f := startFakeLeaf(t)
	client := startClient(t, anvilupstream.Config{})
	wantOK(t, client.Call(t.Context(), f.address(t), 0, newCall(1, longEnough)), true)
	if out := client.Call(t.Context(), f.address(t), 0, newCall(1000, longEnough)); out.Reply.Result != anvilmodel.CallBroken {
		t.Errorf("reply from another incarnation: got %s, want broken", out.Reply.Result)
	}
	client.CloseConnection(f.address(t), 0)
	wantOK(t, client.Call(t.Context(), f.address(t), 0, newCall(1001, longEnough)), true)
}
