package anvilnode_test

import (
	"slices"
	"testing"
	"time"

	"anvilbridge/anvilstandin"
	"anvilbridge/anvilwire"
)

// TestFailover guards against shards that are missing in an answer because the
// node that dispatched for their leaf was lost, although another candidate can
// dispatch for it. Without retries and hedges no other leaf can help.
func TestFailover(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitRevision(f.cluster.Config().SetDocument(overlay, []byte("site: port\npolicy: {retry-budget: 0, hedge-budget: 0}\n")))
	f.awaitWhole(f.nodes...)
	// A candidate sends nothing to a leaf that it judges cold until its quiet
	// period is over, so the next ones have to know the leafs as warm.
	eventually(t, "leafs that both of their first candidates judge warm", func() bool {
		for _, m := range f.nodes {
			f.send(m, query{service: lots, class: "broad"})
		}
		return !slices.ContainsFunc(f.nodes, coldCandidate)
	})
	leafs := f.cluster.Upstreams(lots)
	for _, u := range leafs {
		u.SetServiceDelay(1500 * time.Millisecond)
		u.ResetStats()
	}
	done := make(chan reply, 1)
	go func() { done <- f.send(f.nodes[0], query{service: lots, class: "broad"}) }()
	eventually(t, "calls running at the leafs", func() bool { return executed(leafs) >= lotShards })
	f.kill(f.nodes[1])
	r := <-done
	if r.answer == nil {
		t.Fatalf("%+v", r)
	}
	if c := r.answer.Coverage; c.Covered != lotShards {
		t.Errorf("coverage %+v after the loss of a dispatching node, want all shards", c)
	}
	if executed(leafs) == lotShards {
		t.Error("the lost node dispatched for none of the shards, so nothing was tested")
	}
}

// coldCandidate reports whether a node judges a leaf cold for which it is the
// first or second candidate.
func coldCandidate(m *testNode) bool {
	return slices.ContainsFunc(m.Status().Leafs, func(l anvilwire.LeafStatus) bool {
		return l.Service == lots && l.Rank < 2 && l.Cold
	})
}

func executed(leafs []*anvilstandin.Upstream) int {
	sum := 0
	for _, u := range leafs {
		sum += u.Stats().Executed
	}
	return sum
}
