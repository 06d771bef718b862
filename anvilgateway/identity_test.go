package anvilgateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// startRawLeaf starts a leaf that writes the result of reply for each request. The
// requests of a connection are numbered from 0. It returns the address of the leaf and
// the number of requests that it ran.
func startRawLeaf(t *testing.T, reply func(id string, number int) string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	runs := new(atomic.Int64)
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for number := 0; ; number++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					runs.Add(1)
					if _, err := conn.Write([]byte(reply(r.Header.Get(headerID), number))); err != nil {
						return
					}
				}
			})
		}
	})
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), runs
}

// signedRawReply returns a signed reply. It has no ID header if id is empty.
func signedRawReply(id, body string) string {
	line := ""
	if id != "" {
		line = headerID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: s\r\nContent-Length: %d\r\n\r\n%s", line, headerSignature, len(body), body)
}

// A duplicate reply arrives on a connection after it was found reusable and was assigned
// to the next request, before the reply to that request. Guards against sending it to
// another caller, and against reporting a non-idempotent request as lost although its own
// reply follows.
func TestLateDuplicateReplyIsSkipped(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var mu sync.Mutex
			last := ""
			address, runs := startRawLeaf(t, func(id string, number int) string {
				mu.Lock()
				defer mu.Unlock()
				text := signedRawReply(id, id)
				if number > 0 {
					text = signedRawReply(last, last) + text
				}
				last = id
				return text
			})
			s := newStore()
			s.register(leafEntry("a1", "a", address))
			s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", method == http.MethodPost)))
			g := startReadyGateway(t, s)
			const requests = 10
			for i := range requests {
				id := fmt.Sprint("id-", i)
				got, err := g.send(t.Context(), method, "/get/x", id)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff([]any{http.StatusOK, id}, []any{got.status, got.body}); diff != "" {
					t.Fatalf("answer to %s (-want +got):\n%s", id, diff)
				}
			}
			if diff := cmp.Diff(int64(requests), runs.Load()); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// A leaf's reply does not state which request it answers. Guards against accepting a
// duplicate of another request's reply, either as a success or as proof that a
// non-idempotent request has not run.
func TestReplyWithoutRequestIDIsRejected(t *testing.T) {
	notRun := "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"success": signedRawReply("", "another caller's"),
		"not run": notRun,
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			var all []*atomic.Int64
			for i := range 3 {
				address, runs := startRawLeaf(t, func(string, int) string { return text })
				s.register(leafEntry(fmt.Sprint("a", i), "a", address))
				all = append(all, runs)
			}
			s.configure(singleRouteConfig(singleServiceRoute("book", "/book/", "a", true)))
			g := startReadyGateway(t, s)
			got, err := g.send(t.Context(), http.MethodPost, "/book/1", "id-1")
			if err != nil {
				t.Fatal(err)
			}
			sum := int64(0)
			for _, runs := range all {
				sum += runs.Load()
			}
			if diff := cmp.Diff([]any{http.StatusBadGateway, int64(1)}, []any{got.status, sum}); diff != "" {
				t.Errorf("status and runs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a part without an ID, or for another request, in a merged answer.
func TestMismatchedPartCountsAsMissing(t *testing.T) {
	s := newStore()
	s.register(startLeaf(t, "a1", "a", signingLeaf("a1", "record-1-1234567")))
	for name, id := range map[string]string{"b": "", "c": "id-other"} {
		address, _ := startRawLeaf(t, func(string, int) string { return signedRawReply(id, "record-9-1234567") })
		s.register(leafEntry(name+"1", name, address))
	}
	s.configure(anvilroute.Configuration{
		Version:  1,
		Services: []anvilroute.Service{serviceNamed("a"), serviceNamed("b"), serviceNamed("c")},
		Routes: []anvilroute.Route{{
			Name:          "query",
			Host:          "lots.example",
			Prefix:        "/query/",
			Timeout:       2 * time.Second,
			TargetLatency: time.Second,
			MaxAttempts:   1,
			Shards:        []anvilmodel.ServiceName{"a", "b", "c"},
			TopK:          3,
			MinCoverage:   0.3,
		}},
	})
	g := startReadyGateway(t, s)
	got, err := g.send(t.Context(), http.MethodGet, "/query/x", "id-1")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{http.StatusOK, "record-1-1234567", "2"}, []any{got.status, got.body, got.header.Get(headerMissing)}); diff != "" {
		t.Errorf("status, records and missing parts (-want +got):\n%s", diff)
	}
}

// A leaf closes the connection in the middle of its reply. Guards against passing a
// truncated reply on to the caller as a complete success.
func TestTruncatedReplyIsRejected(t *testing.T) {
	for name, body := range map[string]string{
		"content length":     "Content-Length: 100\r\n\r\nhalf",
		"chunk":              "Transfer-Encoding: chunked\r\n\r\n64\r\nhalf",
		"missing last chunk": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s", headerID, r.Header.Get(headerID), headerSignature, body)
				_ = conn.Close()
			}))
			s.configure(singleRouteConfig(singleServiceRoute("book", "/book/", "a", true)))
			g := startReadyGateway(t, s)
			got, err := g.send(t.Context(), http.MethodPost, "/book/1", "id-1")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(http.StatusBadGateway, got.status); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// A leaf's entry expires during a call because its reports are late. Guards against
// repeating the running request elsewhere, and against abandoning it.
func TestCallContinuesAfterLeafEntryExpires(t *testing.T) {
	s := newStore()
	var runs atomic.Int64
	started, release := make(chan struct{}, 2), make(chan struct{})
	for i := range 2 {
		id := fmt.Sprint("a", i)
		s.register(startLeaf(t, id, "a", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(headerID) == "id-1" {
				runs.Add(1)
				started <- struct{}{}
				<-release
			}
			signingLeaf(id, "done")(w, r)
		}))
	}
	s.configure(singleRouteConfig(singleServiceRoute("book", "/book/", "a", true)))
	g := startReadyGateway(t, s)
	answers := make(chan response, 1)
	go func() {
		got, err := g.send(t.Context(), http.MethodPost, "/book/1", "id-1")
		if err != nil {
			t.Error(err)
		}
		answers <- got
	}()
	<-started
	s.unregister("a0")
	s.unregister("a1")
	eventually(t, "the gateway has no leaf", func() bool {
		got, err := g.send(t.Context(), http.MethodPost, "/book/1", "id-2")
		return err == nil && got.status == http.StatusServiceUnavailable
	})
	close(release)
	if diff := cmp.Diff([]any{"done", int64(1)}, []any{(<-answers).body, runs.Load()}); diff != "" {
		t.Errorf("answer and runs (-want +got):\n%s", diff)
	}
}

// Guards against an answer whose status is outside the range of HTTP and that reaches the caller,
// and against taking the body of such an answer for the next one on the connection.
func TestReplyWithInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			address, _ := startRawLeaf(t, func(id string, _ int) string {
				body := signedRawReply(id, "body of the invalid answer")
				return fmt.Sprintf("HTTP/1.1 %s Trouble\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", status, headerID, id, headerSignature, len(body), body)
			})
			s := newStore()
			s.register(leafEntry("a1", "a", address))
			s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
			g := startReadyGateway(t, s)
			got, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-1")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{http.StatusBadGateway, "leaf-lost\n", ""}, []any{got.status, got.body, got.header.Get(headerSignature)}); diff != "" {
				t.Errorf("status, body and signature of the answer (-want +got):\n%s", diff)
			}
		})
	}
}
