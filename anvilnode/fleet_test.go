package anvilnode_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilwire"
)

// TestFleet runs the tests that can share one fleet of four nodes. Each leaves the
// fleet whole.
func TestFleet(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitWhole(f.nodes...)
	for _, c := range []struct {
		name string
		test func(*fleet)
	}{
		{name: "whole answers", test: testWholeAnswers},
		{name: "lost shard", test: testLostShard},
		{name: "bad input", test: testBadInput},
		{name: "ticket", test: testTicket},
		{name: "ticket refused early", test: testTicketRefusedEarly},
		{name: "ticket of a caller that left", test: testDisconnectedTicket},
		{name: "snapshots", test: testSnapshots},
		{name: "draining leaf", test: testDrainingLeaf},
		{name: "silent leaf connections", test: testSilentLeaf},
		{name: "silent streams between nodes", test: testSilentStreams},
		{name: "failure domain out", test: testDomainOut},
		{name: "changed dispatchers", test: testChangedDispatchers},
	} {
		ok := t.Run(c.name, func(t *testing.T) {
			f.tb = t
			c.test(f)
			f.awaitWhole(f.nodes...)
		})
		f.tb = t
		if !ok {
			return
		}
	}
}

// testWholeAnswers guards against answers that lack parts, belong to another
// request, or mix snapshots, when queries of all services run at the same time
// through all nodes, and some callers leave in the middle of theirs.
func testWholeAnswers(f *fleet) {
	t := f.tb
	var senders sync.WaitGroup
	for i, m := range f.nodes {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := range 20 {
				body := fmt.Sprintf("body %d-%d", i, n)
				hasty, leave := context.WithTimeout(context.Background(), time.Duration(n)*time.Millisecond/2)
				f.sendContext(hasty, m, query{service: lots, class: "broad", body: "hasty " + body})
				leave()
				key := fmt.Sprintf("key-%d", n)
				for _, q := range []query{
					{service: lots, class: "broad", body: body},
					{service: lots, class: "urgent", body: body},
					{service: lots, class: "broad", body: body, key: key},
					{service: archive, class: "patient", body: body},
				} {
					want := 1
					if q.service == lots && q.key == "" {
						want = lotShards
					}
					r := f.send(m, q)
					if r.answer == nil {
						t.Errorf("no answer: %+v", r)
						continue
					}
					c := r.answer.Coverage
					if c.Total != want || q.class != "urgent" && c.Covered != want || r.answer.Snapshot != 1 {
						t.Errorf("coverage %+v of snapshot %d, want %d of 1", c, r.answer.Snapshot, want)
					}
				}
			}
		}()
	}
	senders.Wait()
}

// testLostShard guards against coverage that does not say which shard is missing,
// and against a shard that stays lost after its leafs are back.
func testLostShard(f *fleet) {
	t := f.tb
	lost := []*anvilstandin.Upstream{f.cluster.Upstream("lots-3-0"), f.cluster.Upstream("lots-3-1")}
	for _, u := range lost {
		u.Stop()
	}
	for _, m := range f.nodes {
		r := f.send(m, query{service: lots, class: "broad"})
		if r.answer == nil {
			t.Fatalf("%+v", r)
		}
		want := anvilmodel.Coverage{
			Covered: lotShards - 1,
			Total:   lotShards,
			Missing: []anvilmodel.Shard{3},
		}
		if diff := cmp.Diff(want, r.answer.Coverage); diff != "" {
			t.Error(diff)
		}
	}
	for _, u := range lost {
		if err := u.Start(); err != nil {
			t.Fatal(err)
		}
	}
}

// testBadInput guards against requests that are refused without saying what was
// wrong and what would be accepted, are run all the same, or end the process.
func testBadInput(f *fleet) {
	t := f.tb
	header := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	noHeader := func(name string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Del(name) }
	}
	path := func(method, path string) func(*http.Request) {
		return func(r *http.Request) { r.Method, r.URL.Path = method, path }
	}
	m := f.nodes[1]
	cases := []struct {
		name     string
		query    query
		reason   anvilmodel.Reason
		status   int
		detail   string
		accepted string
	}{
		{"unknown service", query{service: "rags"}, anvilmodel.ReasonUnknownService, 404, `"rags"`, "archive, certify, lots"},
		{"unknown class", query{class: "slow"}, anvilmodel.ReasonUnknownClass, 404, `"slow"`, "broad, urgent"},
		{"class of another service", query{class: "patient"}, anvilmodel.ReasonUnknownClass, 404, `"patient"`, "broad, urgent"},
		{"no service", query{change: noHeader(anvilwire.HeaderService)}, anvilmodel.ReasonBadRequest, 400, anvilwire.HeaderService, anvilwire.HeaderService},
		{"service not a name", query{service: "a b"}, anvilmodel.ReasonBadRequest, 400, anvilwire.HeaderService, "A-Z"},
		{"no request id", query{change: noHeader(anvilwire.HeaderRequestID)}, anvilmodel.ReasonBadRequest, 400, anvilwire.HeaderRequestID, anvilwire.HeaderRequestID},
		{"long key", query{key: strings.Repeat("k", 129)}, anvilmodel.ReasonBadRequest, 400, anvilwire.HeaderKey, "128 bytes"},
		{"no timeout", query{change: noHeader(anvilwire.HeaderTimeout)}, anvilmodel.ReasonBadTimeout, 400, anvilwire.HeaderTimeout, "250ms"},
		{"past timeout", query{timeout: -time.Second}, anvilmodel.ReasonBadTimeout, 400, anvilwire.HeaderTimeout, "250ms"},
		{"absurd timeout", query{timeout: 1000000 * time.Hour}, anvilmodel.ReasonBadTimeout, 400, "longer than class", "at most 4s"},
		{"overflowing timeout", query{change: header(anvilwire.HeaderTimeout, "99999999999999h")}, anvilmodel.ReasonBadTimeout, 400, anvilwire.HeaderTimeout, "250ms"},
		{"large body", query{body: strings.Repeat("b", 65537)}, anvilmodel.ReasonBodyTooLarge, 413, "65536", "65536"},
		{"endless body", query{body: strings.Repeat("b", 65537), change: func(r *http.Request) { r.ContentLength = -1 }}, anvilmodel.ReasonBodyTooLarge, 413, "65536", "65536"},
		{"no ticket", query{service: certify, class: "once", key: "k"}, anvilmodel.ReasonBadTicket, 409, "once", anvilwire.HeaderTicket},
		{"malformed ticket", query{change: header(anvilwire.HeaderTicket, "1.2.3")}, anvilmodel.ReasonBadTicket, 409, anvilwire.HeaderTicket, "32 hex digits"},
		{"ticket not wanted", query{ticket: m.ticket(1)}, anvilmodel.ReasonBadTicket, 409, "broad", "no " + anvilwire.HeaderTicket},
		{"once without key", query{service: certify, class: "once", ticket: m.ticket(2)}, anvilmodel.ReasonBadRequest, 400, "one shard", "routing key"},
		{"wrong method", query{change: path("PUT", anvilwire.PathQuery)}, anvilmodel.ReasonBadRequest, 405, "PUT", "POST " + anvilwire.PathQuery},
		{"wrong path", query{change: path("POST", "/v2/query")}, anvilmodel.ReasonBadRequest, 404, "/v2/query", "POST " + anvilwire.PathQuery},
	}
	for _, c := range cases {
		if c.query.service == "" {
			c.query.service = lots
		}
		if c.query.class == "" {
			c.query.class = "broad"
		}
		r := f.send(m, c.query)
		if r.refusal == nil {
			t.Errorf("%s: %+v", c.name, r)
			continue
		}
		got := *r.refusal
		if got.Reason != c.reason || r.status != c.status || got.Ran != anvilmodel.RunStateNotRun ||
			!strings.Contains(got.Detail, c.detail) || !strings.Contains(got.Accepted, c.accepted) {
			t.Errorf("%s: status %d, %+v; want %d %s not-run with %q, accepted %q", c.name, r.status, got, c.status, c.reason, c.detail, c.accepted)
		}
	}
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/metrics": 200, "/v1/status": 200, "/v1/outcome?ticket=x": 409, "/v1/addresses?failure-domain=a+b": 400} {
		if status, _, body := f.get(m, path); status != want {
			t.Errorf("%s: status %d, want %d: %s", path, status, want, body)
		}
	}
	if names := f.named(m); len(names) != 4 {
		t.Errorf("%v are named, want 4 nodes", names)
	}
}

// executions returns how often the ticket ran.
func (f *fleet) executions(ticket anvilmodel.Ticket) int {
	count := 0
	for e, n := range f.cluster.Executions() {
		if e.Ticket == ticket {
			count += n
		}
	}
	return count
}

// testTicket guards against a request that runs twice, and against outcomes that
// differ between the nodes that are asked.
func testTicket(f *fleet) {
	t := f.tb
	ticket := f.nodes[0].ticket(10)
	q := query{service: certify, class: "once", key: "mill-1", body: "grade A", ticket: ticket}
	first := f.send(f.nodes[0], q)
	if first.answer == nil {
		t.Fatalf("%+v", first)
	}
	for _, m := range f.nodes[:3] {
		again := f.send(m, q)
		if diff := cmp.Diff(first.answer, again.answer); diff != "" {
			t.Errorf("%s: %s", m.listed.Name, diff)
		}
		outcome := f.outcome(m, ticket)
		answer, _, err := anvilwire.DecodeRecord(outcome.Record)
		if outcome.State != anvilwire.OutcomeRun || err != nil || cmp.Diff(first.answer, answer) != "" {
			t.Errorf("%s: outcome %s, %+v, %v", m.listed.Name, outcome.State, answer, err)
		}
	}
	other := q
	other.body = "grade B"
	if r := f.send(f.nodes[0], other); r.refusal == nil || r.refusal.Reason != anvilmodel.ReasonBadTicket || r.refusal.Ran != anvilmodel.RunStateNotRun {
		t.Errorf("other body: %+v", r)
	}
	if n := f.executions(ticket); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
	// Asking for the outcome of an unused ticket makes it void, wherever it is asked.
	unused := f.nodes[0].ticket(11)
	if o := f.outcome(f.nodes[1], unused); o.State != anvilwire.OutcomeNotRun {
		t.Errorf("outcome of an unused ticket: %s", o.State)
	}
	q.ticket = unused
	if r := f.send(f.nodes[0], q); r.refusal == nil || r.refusal.Ran != anvilmodel.RunStateNotRun || f.executions(unused) != 0 {
		t.Errorf("void ticket: %+v, ran %d times", r, f.executions(unused))
	}
	// Every node has its own incarnation, or a ticket would name several.
	incarnations := make(map[anvilmodel.Incarnation]bool)
	for _, m := range f.nodes {
		incarnations[m.Status().Incarnation] = true
	}
	if len(incarnations) != len(f.nodes) {
		t.Errorf("%d incarnations of %d nodes", len(incarnations), len(f.nodes))
	}
}

// testTicketRefusedEarly guards against a not-run that does not last: a request
// that is refused before its ticket is looked at must not run when a copy of it
// arrives, and must not be called not-run when an earlier copy has run.
func testTicketRefusedEarly(f *fleet) {
	t := f.tb
	m := f.nodes[2]
	good := query{service: certify, class: "once", key: "mill-2", body: "grade A"}
	refusals := map[string]func(*query){
		"class":   func(q *query) { q.class = "none" },
		"timeout": func(q *query) { q.timeout = time.Hour },
		"body":    func(q *query) { q.body = strings.Repeat("b", 65537) },
		"header":  func(q *query) { q.service = "" },
	}
	number := 20
	for name, damage := range refusals {
		number += 2
		bad := good
		bad.ticket = m.ticket(number)
		damage(&bad)
		if r := f.send(m, bad); r.refusal == nil || r.refusal.Ran != anvilmodel.RunStateNotRun {
			t.Errorf("%s: %+v", name, r)
		}
		copied := good
		copied.ticket = bad.ticket
		if r := f.send(m, copied); r.refusal == nil || f.executions(bad.ticket) != 0 {
			t.Errorf("%s: %+v, ran %d times after a not-run", name, r, f.executions(bad.ticket))
		}
		used := good
		used.ticket = m.ticket(number + 1)
		if r := f.send(m, used); r.answer == nil {
			t.Errorf("%s: %+v", name, r)
		}
		damage(&used)
		for _, at := range []*testNode{m, f.nodes[3]} {
			if r := f.send(at, used); r.refusal == nil || r.refusal.Ran != anvilmodel.RunStateUnknown {
				t.Errorf("%s at %s: %+v, want unknown", name, at.listed.Name, r)
			}
		}
	}
}

// testDisconnectedTicket guards against a run that ends with its caller, whose
// outcome could then never be asked for.
func testDisconnectedTicket(f *fleet) {
	t := f.tb
	m := f.nodes[0]
	leafs := f.cluster.Upstreams(certify)
	for _, u := range leafs {
		u.SetReplyDelay(time.Second)
	}
	var ticket anvilmodel.Ticket
	number := 30
	eventually(t, "a caller that leaves before its answer", func() bool {
		number++
		ticket = m.ticket(number)
		ctx, disconnect := context.WithCancel(context.Background())
		left := make(chan reply, 1)
		go func() {
			left <- f.sendContext(ctx, m, query{service: certify, class: "once", key: "mill-3", ticket: ticket})
		}()
		eventually(t, "run", func() bool { return f.executions(ticket) == 1 })
		disconnect()
		return (<-left).err != nil
	})
	asked := f.outcome(f.nodes[1], ticket)
	if asked.State != anvilwire.OutcomeRunning && asked.State != anvilwire.OutcomeRun {
		t.Errorf("outcome %s, want running or run", asked.State)
	}
	eventually(t, "outcome run", func() bool { return f.outcome(f.nodes[1], ticket).State == anvilwire.OutcomeRun })
	for _, u := range leafs {
		u.SetReplyDelay(0)
	}
	if n := f.executions(ticket); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// testSnapshots guards against answers that mix snapshots, or count coverage
// against another snapshot's shards, while snapshots with other shard counts are
// published and dropped during load.
func testSnapshots(f *fleet) {
	t := f.tb
	counts := map[anvilmodel.Snapshot]int{1: lotShards, 2: 10, 3: 40, 4: lotShards}
	l := f.startLoad(6, 0)
	l.await(20)
	for next := anvilmodel.Snapshot(2); next <= 4; next++ {
		if err := f.cluster.Publish(lots, next, counts[next]); err != nil {
			t.Fatal(err)
		}
		for _, m := range f.nodes {
			eventually(t, fmt.Sprintf("answer from snapshot %d", next), func() bool {
				r := f.send(m, query{service: lots, class: "broad"})
				if r.answer != nil && r.answer.Coverage.Total != counts[r.answer.Snapshot] {
					t.Errorf("coverage %+v of snapshot %d", r.answer.Coverage, r.answer.Snapshot)
				}
				return r.answer != nil && r.answer.Snapshot == next && len(r.answer.Coverage.Missing) == 0
			})
		}
		f.cluster.DropSnapshot(lots, next-1)
		l.await(50)
	}
	l.stop()
}

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
	f.quietCalls(l, "no new calls to a draining leaf", func() int { return u.Stats().WhileDraining })
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
	stalled := f.network.stall()
	eventually(t, "replacement of all silent connections", func() bool {
		return !slices.ContainsFunc(stalled, func(c *stallConn) bool { return !isClosed(c.closed) })
	})
	f.awaitWhole(f.nodes...)
	received := relayed(f)
	eventually(t, "relayed calls", func() bool { return relayed(f) > received+100 })
	l.stop()
	t.Logf("%d connections stalled", len(stalled))
}

// relayed returns how many calls the nodes took from each other.
func relayed(f *fleet) int {
	sum := 0
	for _, m := range f.nodes {
		_, _, body := f.get(m, "/metrics")
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
		u.SetOut(true)
	}
	calls := func() int {
		sum := 0
		for _, u := range leafs {
			sum += u.Stats().WhileOut
		}
		return sum
	}
	f.quietCalls(l, "no new calls to a domain that is out", calls)
	m := f.nodes[1]
	refused := func() bool {
		r := f.send(m, query{service: lots, class: "broad"})
		return r.refusal != nil && r.refusal.Reason == anvilmodel.ReasonDomainOut && r.refusal.Ran == anvilmodel.RunStateNotRun
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
		u.SetOut(false)
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
