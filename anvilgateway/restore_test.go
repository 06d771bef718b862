package anvilgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against calls to leaves that drain or have left, because the store was restored from
// a copy of before and lists them as ready.
func TestRestoredEntriesOfLeavingLeavesAreNotUsed(t *testing.T) {
	s := newStore()
	var ended atomic.Bool
	draining := startLeaf(t, "a1", "a", signingLeaf("a1", "draining"))
	left := startLeaf(t, "a2", "a", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set(headerInstance, "a2")
			if ended.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		signingLeaf("a2", "left")(w, r)
	})
	s.register(draining)
	s.register(left)
	s.register(startLeaf(t, "a3", "a", signingLeaf("a3", "ready")))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	restore := s.backup()
	g := startReadyGateway(t, s)
	eventually(t, "all leaves are used", func() bool { return len(countConcurrentReplies(t, g)) == 3 })
	draining.Draining = true
	draining.ReportNumber++
	s.register(draining)
	ended.Store(true)
	s.unregister("a2")
	eventually(t, "both changes are applied", func() bool { return strings.Contains(g.metrics(t), "leafs_known 2\n") })
	if diff := cmp.Diff(map[string]int{"ready": concurrentRequests}, countConcurrentReplies(t, g)); diff != "" {
		t.Fatalf("answers by leaf before the restore (-want +got):\n%s", diff)
	}
	restore()
	s.register(startLeaf(t, "a4", "a", signingLeaf("a4", "new")))
	eventually(t, "the restored entries and the new one are applied", func() bool {
		return strings.Contains(g.metrics(t), "leafs_known 4\n")
	})
	for range 10 {
		if seen := countConcurrentReplies(t, g); seen["draining"] > 0 || seen["left"] > 0 {
			t.Fatalf("answers by leaf after the restore: %v", seen)
		}
	}
	ended.Store(false)
	eventually(t, "the leaf that is listed again and answers its health check is used", func() bool {
		return countConcurrentReplies(t, g)["left"] > 0
	})
}

// concurrentRequests is the number of requests that a node gets at once, so that their load
// spreads over all leaves that it uses.
const concurrentRequests = 16

// countConcurrentReplies sends requests at once and counts the answers by their bodies.
func countConcurrentReplies(t *testing.T, g *testGateway) map[string]int {
	t.Helper()
	var mu sync.Mutex
	var sending sync.WaitGroup
	bodies := make(map[string]int)
	for i := range concurrentRequests {
		sending.Go(func() {
			got, err := g.send(t.Context(), http.MethodGet, "/get/x", fmt.Sprint("id-", i))
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			bodies[got.body]++
		})
	}
	sending.Wait()
	return bodies
}
