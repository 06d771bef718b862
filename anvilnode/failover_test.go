package anvilnode_test

import (
	"slices"
	"testing"
	"time"

	"anvilbridge/anvilstandin"
	"anvilbridge/anvilwire"
)

// TestFailover guards against missing shards in an answer when the node that dispatches
// for a leaf fails, although another candidate can dispatch for it. Retries and hedges
// are disabled, so that no other leaf can answer instead.
func TestFailover(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitRevision(f.cluster.Config().SetDocument(overlayName, []byte("site: port\npolicy: {retry-budget: 0, hedge-budget: 0}\n")))
	f.awaitFullCoverage(f.nodes...)
	// A candidate sends nothing to a leaf that it considers cold until its quiet period
	// is over, so the first two candidates must consider the leaves warm.
	eventually(t, "leaves that their first two candidates consider warm", func() bool {
		for _, m := range f.nodes {
			f.send(m, query{service: serviceLots, class: "broad"})
		}
		return !slices.ContainsFunc(f.nodes, hasColdCandidate)
	})
	leaves := f.cluster.Upstreams(serviceLots)
	for _, u := range leaves {
		u.SetServiceDelay(1500 * time.Millisecond)
		u.ResetStats()
	}
	done := make(chan reply, 1)
	go func() { done <- f.send(f.nodes[0], query{service: serviceLots, class: "broad"}) }()
	eventually(t, "calls running at the leaves", func() bool { return executedCalls(leaves) >= lotsShards })
	f.kill(f.nodes[1])
	r := <-done
	if r.answer == nil {
		t.Fatalf("%+v", r)
	}
	if c := r.answer.Coverage; c.Covered != lotsShards {
		t.Errorf("coverage %+v after a dispatching node failed, want all shards", c)
	}
	if executedCalls(leaves) == lotsShards {
		t.Error("the killed node dispatched for none of the shards, so failover was not tested")
	}
}

// hasColdCandidate reports whether a node is the first or second candidate for a leaf
// that it considers cold.
func hasColdCandidate(m *testNode) bool {
	return slices.ContainsFunc(m.Status().Leaves, func(l anvilwire.LeafStatus) bool {
		return l.Service == serviceLots && l.Rank < 2 && l.Cold
	})
}

func executedCalls(leaves []*anvilstandin.Upstream) int {
	total := 0
	for _, u := range leaves {
		total += u.Stats().Executed
	}
	return total
}
