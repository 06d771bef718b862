package anvilgateway_test

import (
	"net/http"
	"strings"
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
	eventually(t, "all leaves are used", func() bool { return len(countReplies(t, g, 30)) == 3 })
	draining.Draining = true
	draining.ReportNumber++
	s.register(draining)
	ended.Store(true)
	s.unregister("a2")
	eventually(t, "both changes are applied", func() bool { return strings.Contains(g.metrics(t), "leafs_known 2\n") })
	if diff := cmp.Diff(map[string]int{"ready": 30}, countReplies(t, g, 30)); diff != "" {
		t.Fatalf("answers by leaf before the restore (-want +got):\n%s", diff)
	}
	restore()
	s.register(startLeaf(t, "a4", "a", signingLeaf("a4", "new")))
	for seen := map[string]int{}; seen["new"] == 0; {
		seen = countReplies(t, g, 30)
		if seen["draining"] > 0 || seen["left"] > 0 {
			t.Fatalf("answers by leaf after the restore: %v", seen)
		}
	}
	for range 5 {
		if seen := countReplies(t, g, 30); seen["draining"] > 0 || seen["left"] > 0 {
			t.Fatalf("answers by leaf after the restore: %v", seen)
		}
	}
	ended.Store(false)
	eventually(t, "the leaf that is listed again and answers its health check is used", func() bool {
		return countReplies(t, g, 30)["left"] > 0
	})
}
