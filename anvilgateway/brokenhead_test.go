package anvilgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Guards against an answer that ends within its head and reaches the caller as a complete
// success with an empty or short body. A leaf closes the connection after any number of bytes
// of its answer. Another operator's clients got a 200 framed as whole.
func TestAnswerThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	const body = "record-1-1234567"
	var mu sync.Mutex
	length := 0
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			mu.Lock()
			defer mu.Unlock()
			text := signedRawReply(r.Header.Get(headerID), body)
			_, _ = io.WriteString(conn, text[:min(length, len(text))])
		}),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	s := newStore()
	s.register(leafEntry("a1", "a", listener.Addr().String()))
	s.configure(anvilroute.Configuration{
		Version:  1,
		Services: []anvilroute.Service{{Name: "a"}},
		Routes: []anvilroute.Route{
			singleServiceRoute("book", "/book/", "a", true),
			{
				Name:          "query",
				Host:          "lots.example",
				Prefix:        "/query/",
				Timeout:       time.Second,
				TargetLatency: time.Second,
				MaxAttempts:   1,
				Shards:        []anvilmodel.ServiceName{"a"},
				TopK:          2,
				MinCoverage:   1,
			},
		},
	})
	g := startReadyGateway(t, s)
	whole := len(signedRawReply("id-000", body))
	for bytes := range whole {
		mu.Lock()
		length = bytes
		mu.Unlock()
		for _, path := range []string{"/book/1", "/query/1"} {
			got, err := g.send(t.Context(), http.MethodPost, path, fmt.Sprintf("id-%03d", bytes))
			if err == nil && got.status < 300 {
				t.Errorf("%s: status %d, body %q after %d of %d bytes", path, got.status, got.body, bytes, whole)
			}
		}
	}
}

// Guards against an empty response with status 200 to a caller that closes its sending side
// after the request: it looks like a complete success of a request that was not answered.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	s := newStore()
	received := make(chan struct{}, 1)
	unblock := make(chan struct{})
	s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		<-unblock
		signingLeaf("a1", "done")(w, r)
	}))
	t.Cleanup(func() { close(unblock) })
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	conn, err := net.Dial("tcp", g.addresses.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET /get/1 HTTP/1.1\r\nHost: lots.example\r\n%s: half\r\n\r\n", headerID); err != nil {
		t.Fatal(err)
	}
	<-received
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if strings.HasPrefix(string(answer), "HTTP/1.1 2") {
		t.Errorf("answer %q, error %v, want no success", answer, err)
	}
}
