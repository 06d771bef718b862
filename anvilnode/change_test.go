package anvilnode_test

import (
	"fmt"
	"slices"
	"strings"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
)

// awaitNoNewCalls waits until a count of calls stays the same while 100 queries are
// answered.
func (f *fleet) awaitNoNewCalls(l *load, description string, count func() int) {
	f.tb.Helper()
	previous := -1
	eventually(f.tb, description, func() bool {
		current := count()
		if current == previous {
			return true
		}
		previous = current
		l.awaitAnswers(100)
		return false
	})
}

// testDrainingLeaf guards against new calls to a draining leaf, and against missing
// coverage although the shard's other leaf serves.
func testDrainingLeaf(f *fleet) {
	t := f.tb
	u := f.cluster.Upstream("lots-5-0")
	l := f.startLoad(4, 0)
	l.awaitAnswers(20)
	u.SetDraining(true)
	f.awaitNoNewCalls(l, "no new calls to the draining leaf", func() int { return u.Stats().CallsWhileDraining })
	f.awaitFullCoverage(f.nodes...)
	u.SetDraining(false)
	before := u.Stats().Executed
	eventually(t, "calls to the leaf that no longer drains", func() bool { return u.Stats().Executed > before })
	l.stop()
}

// testSilentLeafConnections guards against connections to a leaf that stay in use after
// they stopped delivering anything, and against a leaf that gets no more calls because
// of them.
func testSilentLeafConnections(f *fleet) {
	t := f.tb
	u := f.cluster.Upstream("lots-7-1")
	l := f.startLoad(4, 0)
	l.awaitAnswers(20)
	u.SilenceConnections()
	before := u.Stats().Executed
	eventually(t, "calls over new connections", func() bool { return u.Stats().Executed > before+20 })
	f.awaitFullCoverage(f.nodes...)
	l.stop()
}

// testSilentRelayStreams guards against relay streams that stay in use after they
// stopped delivering anything in either direction, while new connections work.
func testSilentRelayStreams(f *fleet) {
	t := f.tb
	l := f.startLoad(4, 1)
	l.awaitAnswers(20)
	stalled := slices.DeleteFunc(f.network.stall(), func(c *stallConn) bool { return !c.carriesRelay.Load() })
	eventually(t, "replacement of all silent streams", func() bool {
		// Only a stream with outstanding calls is detected as silent, so every node
		// sends some.
		for _, m := range f.nodes {
			f.send(m, query{service: serviceLots, class: "broad", timeout: classTimeout / 6})
		}
		return !slices.ContainsFunc(stalled, func(c *stallConn) bool { return !isClosed(c.closed) })
	})
	f.awaitFullCoverage(f.nodes...)
	received := relayedCalls(f)
	eventually(t, "relayed calls", func() bool { return relayedCalls(f) > received+100 })
	l.stop()
	t.Logf("%d streams stalled", len(stalled))
}

// relayedCalls returns the number of calls that the nodes received from each other.
func relayedCalls(f *fleet) int {
	total := 0
	for _, m := range f.nodes {
		_, body := f.get(m, "/metrics")
		for line := range strings.Lines(string(body)) {
			var count int
			if n, _ := fmt.Sscanf(line, `anvilbridge_relayed_calls_total{direction="received"} %d`, &count); n == 1 {
				total += count
			}
		}
	}
	return total
}

// testDomainOut guards against new calls to leaves and new queries to nodes of a failure
// domain that is taken out of service, also after a further revision. It also guards
// against a domain that gets no calls after it is back in service.
func testDomainOut(f *fleet) {
	t := f.tb
	const domain = "fd-2"
	inService, takenOut := "site: port\n", "site: port\nfailure-domains: {fd-2: {state: out}}\n"
	publish := func(text string) {
		f.awaitRevision(f.cluster.Config().SetDocument(overlayName, []byte(text)))
	}
	var leaves []*anvilstandin.Upstream
	for _, u := range f.cluster.Upstreams("") {
		if u.Leaf().FailureDomain == domain {
			leaves = append(leaves, u)
		}
	}
	l := f.startLoad(4, 1)
	l.awaitAnswers(20)
	publish(takenOut)
	for _, u := range leaves {
		u.SetFailureDomainOut(true)
	}
	calls := func() int {
		total := 0
		for _, u := range leaves {
			total += u.Stats().CallsWhileOut
		}
		return total
	}
	f.awaitNoNewCalls(l, "no new calls to the failure domain that is taken out", calls)
	m := f.nodes[1]
	refused := func() bool {
		r := f.send(m, query{service: serviceLots, class: "broad"})
		return r.refusal != nil && r.refusal.Reason == anvilmodel.ReasonFailureDomainOut && r.refusal.RunState == anvilmodel.RunStateNotRun
	}
	eventually(t, "refusals by the node in the failure domain that is taken out", refused)
	for _, at := range f.nodes {
		if slices.Contains(f.advertisedNodes(at), m.listed.Name) {
			t.Errorf("%s advertises a node of a failure domain that is taken out", at.listed.Name)
		}
	}
	publish(takenOut + "policy: {hedge-quantile: 0.9}\n")
	if !refused() {
		t.Error("node serves again after a further revision")
	}
	f.awaitFullCoverage(f.nodes[0], f.nodes[2], f.nodes[3])
	publish(inService)
	eventually(t, "calls to the failure domain that is back in service", func() bool { return calls() > 0 })
	for _, u := range leaves {
		u.SetFailureDomainOut(false)
	}
	f.awaitFullCoverage(m)
	l.stop()
}

// testReconfiguredDispatchers guards against dispatchers that keep settings of an
// earlier revision, cut off calls when their leaf is assigned to other nodes, or do not
// work when it is assigned to them again.
func testReconfiguredDispatchers(f *fleet) {
	t := f.tb
	l := f.startLoad(4, 1)
	l.awaitAnswers(20)
	publish := func(slots, calls int) {
		f.awaitRevision(f.cluster.Config().SetDocument(anvilconfig.BaseFileName, f.baseFile(slots, calls)))
	}
	limit := func() int {
		highest := 0
		for _, m := range f.nodes {
			for _, s := range m.Status().Leaves {
				highest = max(highest, s.Limit)
			}
		}
		return highest
	}
	eventually(t, "limits above 2", func() bool { return limit() > 2 })
	// No node occupies slot 5, so leaves are reassigned.
	publish(5, 1)
	eventually(t, "limits of at most 2", func() bool { return limit() <= 2 })
	l.awaitAnswers(50)
	publish(4, 4)
	f.awaitFullCoverage(f.nodes...)
	l.stop()
}
