package anvilgateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// A leaf does not answer until the grace period of a planned shutdown is over. Guards
// against closing the connection of an accepted request without a response.
func TestShutdownAnswersUnfinishedRequests(t *testing.T) {
	s := newStore()
	started := make(chan struct{}, 2)
	stuck := make(chan struct{})
	defer close(stuck)
	hang := func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-stuck
	}
	s.register(startLeaf(t, "a1", "a", hang))
	s.register(startLeaf(t, "b1", "b", signingLeaf("b1", "record-1-1234567")))
	s.configure(anvilroute.Configuration{
		Version:  1,
		Services: []anvilroute.Service{serviceNamed("a"), serviceNamed("b")},
		Routes: []anvilroute.Route{
			singleServiceRoute("book", "/book/", "a", true),
			{
				Name:          "query",
				Host:          "lots.example",
				Prefix:        "/query/",
				Timeout:       time.Minute,
				TargetLatency: time.Minute,
				MaxAttempts:   1,
				Shards:        []anvilmodel.ServiceName{"a", "b"},
				TopK:          2,
				MinCoverage:   0.5,
			},
		},
	})
	g := startGatewayWithGrace(t, s, 1500*time.Millisecond)
	eventually(t, "the gateway is ready", g.ready)
	type result struct {
		path   string
		answer response
		err    error
	}
	results := make(chan result, 2)
	for _, path := range []string{"/book/1", "/query/x"} {
		go func() {
			got, err := g.send(t.Context(), http.MethodPost, path, "id-"+path)
			results <- result{
				path:   path,
				answer: got,
				err:    err,
			}
		}()
		<-started
	}
	g.Shutdown(t.Context(), "test")
	want := map[string]int{
		"/book/1":  http.StatusBadGateway,
		"/query/x": http.StatusOK,
	}
	for range want {
		e := <-results
		if e.err != nil {
			t.Errorf("%s: %v", e.path, e.err)
			continue
		}
		if diff := cmp.Diff(want[e.path], e.answer.status); diff != "" {
			t.Errorf("status of %s (-want +got):\n%s", e.path, diff)
		}
	}
}

// A planned shutdown under load, with callers that keep using their open connections
// until the process ends. Guards against requests that have run at a leaf and whose
// callers receive no response.
func TestShutdownUnderLoadAnswersExecutedRequests(t *testing.T) {
	s := newStore()
	var ran sync.Map
	leaf := signingLeaf("a1", "done")
	s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get(headerID), true)
		time.Sleep(time.Millisecond)
		leaf(w, r)
	}))
	c := singleRouteConfig(singleServiceRoute("book", "/book/", "a", true))
	c.Services[0].MaxConnections = 200
	s.configure(c)
	g := startGatewayWithGrace(t, s, 2*time.Second)
	eventually(t, "the gateway is ready", g.ready)
	const callers = 8
	var sent atomic.Int64
	var calling sync.WaitGroup
	stopped := make(chan struct{})
	for i := range callers {
		calling.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("id-%d-%d", i, k)
				sent.Add(1)
				if _, err := g.send(t.Context(), http.MethodPost, "/book/1", id); err != nil {
					if _, ok := ran.Load(id); ok {
						t.Errorf("request %s has run but its caller received no response: %v", id, err)
					}
					return
				}
			}
		})
	}
	for sent.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	g.Shutdown(t.Context(), "test")
	close(stopped)
	calling.Wait()
}

// Guards against requests that arrive late in the grace period, are sent to a leaf although
// they cannot finish before the end, and are then cut with an unknown outcome. The leaf takes
// longer than the part of the grace period in which all requests are refused. Bookings sent
// 3.4 s to 4.7 s after the signal were answered with 502.
func TestShutdownRefusesRequestsThatCannotFinish(t *testing.T) {
	const workTime = 1200 * time.Millisecond
	s := newStore()
	var ran sync.Map
	leaf := signingLeaf("a1", "done")
	s.register(startLeaf(t, "a1", "a", func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get(headerID), true)
		time.Sleep(workTime)
		leaf(w, r)
	}))
	c := singleRouteConfig(singleServiceRoute("book", "/book/", "a", true))
	c.Services[0].MaxConnections = 200
	s.configure(c)
	g := startGatewayWithGrace(t, s, 4*time.Second)
	eventually(t, "the gateway is ready", g.ready)
	if got, err := g.send(t.Context(), http.MethodPost, "/book/1", "first"); err != nil || got.status != http.StatusOK {
		t.Fatalf("first booking: status %d, error %v", got.status, err)
	}
	ended := make(chan struct{})
	go func() {
		g.Shutdown(t.Context(), "test")
		close(ended)
	}()
	var waiting sync.WaitGroup
	var served, refused atomic.Int64
	for i := 0; ; i++ {
		select {
		case <-ended:
			waiting.Wait()
			if served.Load() == 0 || refused.Load() == 0 {
				t.Errorf("%d bookings were served and %d refused, want some of each", served.Load(), refused.Load())
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		waiting.Go(func() {
			id := fmt.Sprint("late-", i)
			got, err := g.send(t.Context(), http.MethodPost, "/book/1", id)
			_, hasRun := ran.Load(id)
			switch {
			case err == nil && got.status == http.StatusOK:
				served.Add(1)
			case hasRun:
				t.Errorf("booking %s was sent to the leaf and ended with status %d, error %v", id, got.status, err)
			case err == nil && got.status == http.StatusServiceUnavailable:
				refused.Add(1)
			}
		})
	}
}
