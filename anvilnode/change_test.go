package anvilnode_test

import (
	"fmt"
	"slices"
	"strings"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
)

// quietCalls waits until a count stays the same while some queries are answered.
func (f *fleet) quietCalls(l *load, what string, count func() int) {
	f.tb.Helper()
	before := -1
	eventually(f.tb, what, func() bool {
		now := count()
		if now == before {
			return true
		}
		before = now
		l.await(100)
		return false
	})
}

// testDrainingLeaf guards against new work for a leaf that drains, and against
// coverage that is lost although the shard's other leaf serves.
func testDrainingLeaf(f *fleet) {
	t := f.tb
	u := f.cluster.Upstream("lots-5-0")
	l := f.startLoad(4, 0)
	l.await(20)
	u.SetDraining(true)
	f.quietCalls(l, "no new calls to a draining leaf", func() int { return u.Stats().CallsWhileDraining })
	f.awaitWhole(f.nodes...)
	u.SetDraining(false)
	before := u.Stats().Executed
	eventually(t, "calls to the leaf that is back", func() bool { return u.Stats().Executed > before })
	l.stop()
}

// testSilentLeaf guards against connections to a leaf that stay in use after they
// went silent, and against a leaf that is lost for it.
func testSilentLeaf(f *fleet) {
	t := f.tb
	u := f.cluster.Upstream("lots-7-1")
	l := f.startLoad(4, 0)
	l.await(20)
	u.SilenceConnections()
	before := u.Stats().Executed
	eventually(t, "calls over new connections", func() bool { return u.Stats().Executed > before+20 })
	f.awaitWhole(f.nodes...)
	l.stop()
}

// testSilentStreams guards against relay streams that stay in use after they went
// silent in both directions, while new connections work.
func testSilentStreams(f *fleet) {
	t := f.tb
	l := f.startLoad(4, 1)
	l.await(20)
	stalled := slices.DeleteFunc(f.network.stall(), func(c *stallConn) bool { return !c.relay.Load() })
	eventually(t, "replacement of all silent streams", func() bool {
		// A stream without calls is not missed, so every node gets some.
		for _, m := range f.nodes {
			f.send(m, query{service: lots, class: "broad", timeout: classTimeout / 6})
		}
		return !slices.ContainsFunc(stalled, func(c *stallConn) bool { return !isClosed(c.closed) })
	})
	f.awaitWhole(f.nodes...)
	received := relayed(f)
	eventually(t, "relayed calls", func() bool { return relayed(f) > received+100 })
	l.stop()
	t.Logf("%d streams stalled", len(stalled))
}

// relayed returns how many calls the nodes took from each other.
func relayed(f *fleet) int {
	sum := 0
	for _, m := range f.nodes {
		_, body := f.get(m, "/metrics")
		for line := range strings.Lines(string(body)) {
			var count int
			if n, _ := fmt.Sscanf(line, `anvilbridge_relayed_calls_total{direction="received"} %d`, &count); n == 1 {
				sum += count
			}
		}
	}
	return sum
}

// testDomainOut guards against new work for leafs and nodes of a failure domain
// that operators have taken out, also after a further revision, and against a
// domain that stays out when it is returned.
func testDomainOut(f *fleet) {
	t := f.tb
	const domain = "fd-2"
	in, out := "site: port\n", "site: port\nfailure-domains: {fd-2: {state: out}}\n"
	publish := func(text string) {
		f.awaitRevision(f.cluster.Config().SetDocument(overlay, []byte(text)))
	}
	var leafs []*anvilstandin.Upstream
	for _, u := range f.cluster.Upstreams("") {
		if u.Leaf().FailureDomain == domain {
			leafs = append(leafs, u)
		}
	}
	l := f.startLoad(4, 1)
	l.await(20)
	publish(out)
	for _, u := range leafs {
		u.SetFailureDomainOut(true)
	}
	calls := func() int {
		sum := 0
		for _, u := range leafs {
			sum += u.Stats().CallsWhileOut
		}
		return sum
	}
	f.quietCalls(l, "no new calls to a domain that is out", calls)
	m := f.nodes[1]
	refused := func() bool {
		r := f.send(m, query{service: lots, class: "broad"})
		return r.refusal != nil && r.refusal.Reason == anvilmodel.ReasonFailureDomainOut && r.refusal.RunState == anvilmodel.RunStateNotRun
	}
	eventually(t, "refusals by the node in the domain", refused)
	for _, at := range f.nodes {
		if slices.Contains(f.named(at), m.listed.Name) {
			t.Errorf("%s names a node of a domain that is out", at.listed.Name)
		}
	}
	publish(out + "policy: {hedge-quantile: 0.9}\n")
	if !refused() {
		t.Error("a further revision let the node serve again")
	}
	f.awaitWhole(f.nodes[0], f.nodes[2], f.nodes[3])
	publish(in)
	eventually(t, "calls to the domain that is back", func() bool { return calls() > 0 })
	for _, u := range leafs {
		u.SetFailureDomainOut(false)
	}
	f.awaitWhole(m)
	l.stop()
}

// testChangedDispatchers guards against dispatchers that keep settings of an
// earlier revision, cut off calls when their leaf moves to other nodes, or do not
// work when it comes back.
func testChangedDispatchers(f *fleet) {
	t := f.tb
	l := f.startLoad(4, 1)
	l.await(20)
	publish := func(slots, calls int) {
		f.awaitRevision(f.cluster.Config().SetDocument(anvilconfig.BaseName, f.baseFile(slots, calls)))
	}
	limit := func() int {
		highest := 0
		for _, m := range f.nodes {
			for _, s := range m.Status().Leafs {
				highest = max(highest, s.Limit)
			}
		}
		return highest
	}
	eventually(t, "limits that have grown", func() bool { return limit() > 2 })
	// No node is at slot 5, so that leafs move.
	publish(5, 1)
	eventually(t, "limits for one call per leaf", func() bool { return limit() <= 2 })
	l.await(50)
	publish(4, 4)
	f.awaitWhole(f.nodes...)
	l.stop()
}
