package anvilgateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A leaf states in its replies that it is leaving while its entry still has the state
// ready, and the store is unreachable. Guards against new calls to it, both from the node
// that received the reply and from the others, and against abandoning a call that it is
// still working on.
func TestLeavingLeafReceivesNoNewCalls(t *testing.T) {
	s := newStore()
	var leaving atomic.Bool
	var calls atomic.Int64
	blocked, unblock := make(chan struct{}), make(chan struct{})
	s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if leaving.Load() {
			w.Header().Set(headerLeaving, "1")
		}
		if r.URL.Path == "/get/blocked" {
			close(blocked)
			<-unblock
		}
		signingLeaf("a1", "one")(w, r)
	}))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	nodes := []*testGateway{startReadyGateway(t, s)}
	nodes = append(nodes, startReadyGateway(t, s, nodes[0].addresses.Peer))
	s.register(startLeaf(t, "a2", "a", signingLeaf("a2", "two")))
	eventually(t, "both nodes use both leaves", func() bool {
		for _, g := range nodes {
			if bodies := countReplies(t, g, 10); len(bodies) < 2 {
				return false
			}
		}
		return true
	})
	s.down.Store(true)
	leaving.Store(true)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		for i := 0; ; i++ {
			before := calls.Load()
			got, err := nodes[0].send(t.Context(), http.MethodGet, "/get/blocked", fmt.Sprint("blocked-", i))
			if err != nil || got.status != http.StatusOK {
				t.Errorf("blocked request: status %d, error %v", got.status, err)
			}
			if got.body == "one" || calls.Load() > before {
				return
			}
		}
	})
	// The leaf announces its departure in each reply, so the first one must not arrive before
	// the call that it is still working on.
	<-blocked
	eventually(t, "the first node sends no calls to the leaving leaf", func() bool { return len(countReplies(t, nodes[0], 10)) == 1 })
	close(unblock)
	waiting.Wait()
	eventually(t, "the other node sends no calls to the leaving leaf", func() bool { return len(countReplies(t, nodes[1], 10)) == 1 })
	before := calls.Load()
	for _, g := range nodes {
		if diff := cmp.Diff(map[string]int{"two": 200}, countReplies(t, g, 200)); diff != "" {
			t.Errorf("answers by leaf (-want +got):\n%s", diff)
		}
	}
	if got := calls.Load() - before; got != 0 {
		t.Errorf("%d requests reached the leaving leaf", got)
	}
}

// countReplies sends requests one after the other and counts the replies by body.
func countReplies(t *testing.T, g *testGateway, requests int) map[string]int {
	t.Helper()
	bodies := make(map[string]int)
	for i := range requests {
		got, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-"+strconv.Itoa(i))
		if err != nil {
			t.Fatal(err)
		}
		bodies[got.body]++
	}
	return bodies
}

// deferringLeaf is a leaf that refuses requests for a time and counts the calls that it
// receives meanwhile.
type deferringLeaf struct {
	// deferral is the time for which it accepts no calls, from the first refusal on.
	deferral time.Duration

	mu sync.Mutex
	// firstRefusal is when it refused the first request.
	firstRefusal        time.Time
	callsDuringDeferral int
	accepting           bool
}

func (l *deferringLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Requests may still be in flight for this time after the first refusal.
	const inFlightAllowance = 500 * time.Millisecond
	l.mu.Lock()
	now := time.Now()
	if l.firstRefusal.IsZero() {
		l.firstRefusal = now
	}
	since := now.Sub(l.firstRefusal)
	if since > inFlightAllowance && since < l.deferral {
		l.callsDuringDeferral++
	}
	l.accepting = since >= l.deferral
	accepting := l.accepting
	l.mu.Unlock()
	if accepting {
		signingLeaf(r.Header.Get(headerLeaf), "done")(w, r)
		return
	}
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerNotRun, "1")
	w.Header().Set(headerRetry, (l.deferral - since).String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Both leaves of a service refuse requests and state for how long they accept none.
// Guards against requests and health checks that reach them in this time, against callers
// that receive no retry delay, and against leaves that are not used afterwards.
func TestCallsResumeAfterDeferral(t *testing.T) {
	const deferral = 2 * time.Second
	s := newStore()
	leaves := []*deferringLeaf{{deferral: deferral}, {deferral: deferral}}
	for i, l := range leaves {
		s.register(startLeaf(t, fmt.Sprint("a", i), "a", l.ServeHTTP))
	}
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	start := time.Now()
	for number := 0; ; number++ {
		got, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-"+strconv.Itoa(number))
		if err != nil {
			t.Fatal(err)
		}
		if got.status == http.StatusOK {
			break
		}
		if time.Since(start) > waitTimeout {
			t.Fatalf("no successful response within %s", waitTimeout)
		}
		left, err := time.ParseDuration(got.header.Get(headerRetry))
		if err != nil || got.status != http.StatusServiceUnavailable || left <= 0 || left > deferral {
			t.Fatalf("refusal %d: status %d, retry after %s, error %v", number, got.status, left, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	for i, l := range leaves {
		l.mu.Lock()
		if l.callsDuringDeferral > 2 {
			t.Errorf("%d requests reached leaf %d during its deferral, want at most 2", l.callsDuringDeferral, i)
		}
		l.mu.Unlock()
	}
}

// One of two leaves refuses a request and states for how long it accepts none. Guards
// against requests that reach it in this time while the other leaf can serve them.
func TestDeferringLeafIsSkipped(t *testing.T) {
	s := newStore()
	l := &deferringLeaf{deferral: 2 * time.Second}
	s.register(startLeaf(t, "a0", "a", l.ServeHTTP))
	s.register(startLeaf(t, "a1", "a", signingLeaf("a1", "other")))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	start := time.Now()
	deferralOver := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.firstRefusal.IsZero() && time.Since(l.firstRefusal) > l.deferral
	}
	for number := 0; !deferralOver(); number++ {
		got, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-"+strconv.Itoa(number))
		if err != nil || got.status != http.StatusOK {
			t.Fatalf("request %d: status %d, error %v", number, got.status, err)
		}
		if time.Since(start) > waitTimeout {
			t.Fatalf("no request was refused within %s", waitTimeout)
		}
	}
	if l.callsDuringDeferral > 2 {
		t.Errorf("%d requests reached the leaf during its deferral, want at most 2", l.callsDuringDeferral)
	}
}

// Another leaf now has the address and answers that it is leaving. Guards against
// attributing this to the leaf that had the address before.
func TestMisdirectedReplyDoesNotMarkLeafAsLeaving(t *testing.T) {
	s := newStore()
	var misdirected atomic.Bool
	misdirected.Store(true)
	l := startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		if misdirected.Swap(false) {
			w.Header().Set(headerID, r.Header.Get(headerID))
			w.Header().Set(headerLeaving, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			return
		}
		signingLeaf("a1", "done")(w, r)
	})
	s.register(l)
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	eventually(t, "the leaf is used again", func() bool {
		got, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-1")
		return err == nil && got.status == http.StatusOK
	})
}

// A leaf that identifies itself as another leaf announces that it accepts no calls.
// Guards against attributing this to the leaf that was called.
func TestReplyFromOtherInstanceDoesNotDeferLeaf(t *testing.T) {
	s := newStore()
	var first atomic.Bool
	first.Store(true)
	s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		if first.Swap(false) {
			w.Header().Set(headerID, r.Header.Get(headerID))
			w.Header().Set(headerInstance, "a2")
			w.Header().Set(headerNotRun, "1")
			w.Header().Set(headerRetry, time.Hour.String())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		signingLeaf("a1", "done")(w, r)
	}))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	g := startReadyGateway(t, s)
	if _, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-1"); err != nil {
		t.Fatal(err)
	}
	got, err := g.send(t.Context(), http.MethodGet, "/get/x", "id-2")
	if err != nil || got.status != http.StatusOK {
		t.Errorf("next request: status %d, error %v", got.status, err)
	}
}
