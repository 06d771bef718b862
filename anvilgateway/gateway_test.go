package anvilgateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Guards against a merged answer with wrong parts or records, and checks the responses to
// requests without a route or an ID.
func TestServesQueriesAndRefusals(t *testing.T) {
	s := newStore()
	s.register(startLeaf(t, "a1", "a", signingLeaf("a1", "record-1-1234567record-3-1234567")))
	s.register(startLeaf(t, "b1", "b", signingLeaf("b1", "record-2-1234567")))
	s.configure(anvilroute.Configuration{
		Version:  1,
		Services: []anvilroute.Service{serviceNamed("a"), serviceNamed("b"), serviceNamed("c")},
		Limits: anvilroute.Limits{
			MaxHeaderBytes: 1 << 10,
		},
		Routes: []anvilroute.Route{{
			Name:          "query",
			Host:          "lots.example",
			Prefix:        "/query/",
			Timeout:       5 * time.Second,
			TargetLatency: 4 * time.Second,
			MaxAttempts:   2,
			Shards:        []anvilmodel.ServiceName{"a", "b", "c"},
			TopK:          2,
			MinCoverage:   0.6,
		}},
	})
	g := startReadyGateway(t, s)
	got, err := g.send(t.Context(), http.MethodGet, "/query/x", "id-1")
	if err != nil {
		t.Fatal(err)
	}
	want := response{
		status: http.StatusOK,
		body:   "record-3-1234567record-2-1234567",
	}
	if diff := cmp.Diff([]any{want.status, want.body, "by-a1,by-b1", "1"},
		[]any{got.status, got.body, got.header.Get(headerParts), got.header.Get(headerMissing)}); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	for _, c := range []struct {
		path   string
		id     string
		status int
	}{
		{"/none/", "id-2", http.StatusNotFound},
		{"/query/x", "", http.StatusBadRequest},
		{"/query/x", strings.Repeat("long", 1<<8), http.StatusRequestHeaderFieldsTooLarge},
	} {
		got, err := g.send(t.Context(), http.MethodGet, c.path, c.id)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.status, got.status); diff != "" {
			t.Errorf("status of %s with id %q (-want +got):\n%s", c.path, c.id, diff)
		}
	}
}

// Guards against a gateway that responds that a route does not exist while it has no
// configuration.
func TestRefusesBeforeTheFirstConfiguration(t *testing.T) {
	g := startGateway(t, newStore())
	var got response
	eventually(t, "the gateway listens", func() bool {
		var err error
		got, err = g.send(t.Context(), http.MethodGet, "/query/x", "id-1")
		return err == nil
	})
	if got.status != http.StatusServiceUnavailable || got.header.Get(headerRetry) == "" {
		t.Errorf("status %d with retry delay %q, want 503 with a delay", got.status, got.header.Get(headerRetry))
	}
	if g.ready() {
		t.Error("ready without a configuration")
	}
}

// Guards against running a non-idempotent request a second time after the connection to
// its leaf was lost, and against reporting it as not run.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	s := newStore()
	var runs atomic.Int64
	for i := range 3 {
		s.register(startLeaf(t, fmt.Sprint("a", i), "a", func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}))
	}
	s.configure(singleRouteConfig(singleServiceRoute("book", "/book/", "a", true)))
	g := startReadyGateway(t, s)
	got, err := g.send(t.Context(), http.MethodPost, "/book/1", "id-1")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{http.StatusBadGateway, int64(1)}, []any{got.status, runs.Load()}); diff != "" {
		t.Errorf("status and runs (-want +got):\n%s", diff)
	}
}

// Guards against passing one leaf's refusal on to the caller although another leaf can
// run the request.
func TestShedCallGoesToAnotherLeaf(t *testing.T) {
	s := newStore()
	s.register(startLeaf(t, "full", "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	s.register(startLeaf(t, "free", "a", signingLeaf("free", "done")))
	s.configure(singleRouteConfig(singleServiceRoute("book", "/book/", "a", true)))
	g := startReadyGateway(t, s)
	for i := range 20 {
		got, err := g.send(t.Context(), http.MethodPost, "/book/1", fmt.Sprint("id-", i))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]any{http.StatusOK, "done"}, []any{got.status, got.body}); diff != "" {
			t.Fatalf("answer %d (-want +got):\n%s", i, diff)
		}
	}
}

// A leaf sends a second reply to a request, which arrives where the reply to the next
// request is expected. Guards against sending it to another caller.
func TestDuplicateReplyIsDiscarded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { replyTwice(conn) })
		}
	})
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	s := newStore()
	s.register(leafEntry("a1", "a", listener.Addr().String()))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	for i := range 30 {
		id := fmt.Sprint("id-", i)
		got, err := g.send(t.Context(), http.MethodGet, "/get/x", id)
		if err != nil {
			t.Fatal(err)
		}
		if got.status == http.StatusOK && got.body != id {
			t.Fatalf("request %s got the answer %q", id, got.body)
		}
	}
}

// A leaf receives calls only occasionally. Guards against discarding a connection because
// the deadline of its last call has passed, which makes the next call open a new one.
func TestConnectionIsReusedAfterCallDeadline(t *testing.T) {
	const timeout = 100 * time.Millisecond
	connections := make(chan string, 100)
	s := newStore()
	s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		connections <- r.RemoteAddr
		signingLeaf("a1", "done")(w, r)
	}))
	route := singleServiceRoute("get", "/get/", "a", false)
	route.Timeout = timeout
	s.configure(singleRouteConfig(route))
	g := startReadyGateway(t, s)
	connectionUsedBy := func(id string) (connection string) {
		eventually(t, "a request is answered in time", func() bool {
			got, err := g.send(t.Context(), http.MethodGet, "/get/x", id)
			if err != nil {
				t.Fatal(err)
			}
			for len(connections) > 0 {
				connection = <-connections
			}
			return got.status == http.StatusOK
		})
		return connection
	}
	first := connectionUsedBy("id-1")
	time.Sleep(3 * timeout)
	if diff := cmp.Diff(first, connectionUsedBy("id-2")); diff != "" {
		t.Errorf("connections of the two calls (-first +second):\n%s", diff)
	}
}

// replyTwice sends two replies to every request on a connection.
func replyTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(headerID)
		reply := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSignature, len(id), id)
		if _, err := conn.Write([]byte(reply)); err != nil {
			return
		}
		// The duplicate must arrive separately from the first reply.
		time.Sleep(time.Millisecond)
		if _, err := conn.Write([]byte(reply)); err != nil {
			return
		}
	}
}

// Guards against leaves that keep working after the caller has disconnected.
func TestCallsAreCancelledWhenCallerDisconnects(t *testing.T) {
	s := newStore()
	started, ended := make(chan struct{}), make(chan struct{})
	s.register(startLeaf(t, "a1", "a", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	ctx, disconnect := context.WithCancel(t.Context())
	sent := make(chan error, 1)
	go func() {
		_, err := g.send(ctx, http.MethodGet, "/get/x", "id-1")
		sent <- err
	}()
	<-started
	disconnect()
	<-sent
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Error("the leaf still works after the caller has disconnected")
	}
}

// Guards against a shutdown that cuts off a request, and against a node that reports
// itself as ready while it is shutting down.
func TestShutdownFinishesRequests(t *testing.T) {
	s := newStore()
	started, release := make(chan struct{}), make(chan struct{})
	s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		signingLeaf("a1", "done")(w, r)
	}))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	answers := make(chan response, 1)
	go func() {
		got, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-1")
		if err != nil {
			t.Error(err)
		}
		answers <- got
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		g.Shutdown(t.Context(), "test")
		close(stopped)
	}()
	eventually(t, "the node is no longer ready", func() bool { return !g.ready() })
	close(release)
	if diff := cmp.Diff("done", (<-answers).body); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	<-stopped
}

// The store refuses one node and serves the others. Guards against a node that stays
// without the configuration that its peers have.
func TestConfigurationFromPeer(t *testing.T) {
	s := newStore()
	s.register(startLeaf(t, "a1", "a", signingLeaf("a1", "done")))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	first := startReadyGateway(t, s)
	unreachable := newStore()
	unreachable.down.Store(true)
	unreachable.configuration.Store(s.configuration.Load())
	s.leaves.Range(func(key, l any) bool {
		unreachable.leaves.Store(key, l)
		return true
	})
	second := startReadyGateway(t, unreachable, first.addresses.Peer)
	got, err := second.send(t.Context(), http.MethodGet, "/get/x", "id-1")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("done", got.body); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// The store drops its history and sends nothing to open watches. Guards against a
// configuration that is applied only after the watch has ended.
func TestConfigurationDespiteSilentWatch(t *testing.T) {
	s := newStore()
	s.register(startLeaf(t, "a1", "a", signingLeaf("a1", "done")))
	c := singleRouteConfig(singleServiceRoute("get", "/get/", "a", false))
	s.configure(c)
	g := startReadyGateway(t, s)
	s.silenceWatches.Store(true)
	c.Version = 2
	c.Routes = append(c.Routes, singleServiceRoute("new", "/new/", "a", false))
	s.configure(c)
	eventually(t, "the new route is served", func() bool {
		got, err := g.send(t.Context(), http.MethodGet, "/new/x", "id-1")
		return err == nil && got.status == http.StatusOK
	})
}

// All nodes lose power and restart together. Guards against requests for addresses that
// fail until the membership has settled.
func TestReadyNodeListsItself(t *testing.T) {
	s := newStore()
	s.configure(anvilroute.Configuration{
		Version: 1,
	})
	// No node listens on the seed address.
	g := startReadyGateway(t, s, freeAddress(t))
	got, err := g.client.Get("http://" + g.addresses.Directory.String() + "/addresses")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = got.Body.Close() }()
	var addresses []netip.AddrPort
	if err := json.NewDecoder(got.Body).Decode(&addresses); err != nil {
		t.Fatalf("status %d: %v", got.StatusCode, err)
	}
	want := []netip.AddrPort{g.addresses.Caller}
	if diff := cmp.Diff(want, addresses, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("addresses (-want +got):\n%s", diff)
	}
}

// A failure domain is disconnected from the others while callers still reach it. Guards
// against a node that lists itself although it reaches neither leaves nor other nodes.
func TestIsolatedNodeReturnsNoAddresses(t *testing.T) {
	s := newStore()
	s.configure(anvilroute.Configuration{
		Version:  1,
		Services: []anvilroute.Service{serviceNamed("a"), serviceNamed("b")},
		Routes: []anvilroute.Route{{
			Name:          "query",
			Host:          "lots.example",
			Prefix:        "/query/",
			Timeout:       time.Second,
			TargetLatency: time.Second,
			Shards:        []anvilmodel.ServiceName{"a", "b"},
			MinCoverage:   0.5,
		}},
	})
	other := startReadyGateway(t, s)
	g := startGateway(t, s, other.addresses.Peer)
	listed := func() int {
		resp, err := g.client.Get("http://" + g.addresses.Directory.String() + "/addresses")
		if err != nil {
			return -1
		}
		defer func() { _ = resp.Body.Close() }()
		var addresses []netip.AddrPort
		_ = json.NewDecoder(resp.Body).Decode(&addresses)
		return len(addresses)
	}
	// No leaf is registered, so neither node reaches a shard. They list each other
	// nevertheless.
	eventually(t, "both nodes are listed", func() bool { return listed() == 2 })
	other.stop()
	eventually(t, "the isolated node returns no addresses", func() bool { return listed() == 0 })
}
