package anvilnode_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilwire"
)

// TestFleet runs the tests that share one fleet of four nodes. Each test leaves the
// fleet fully working.
func TestFleet(t *testing.T) {
	f := newFleet(t, 4, 4, nil)
	f.awaitFullCoverage(f.nodes...)
	for _, c := range []struct {
		name string
		test func(*fleet)
	}{
		{name: "complete answers", test: testCompleteAnswers},
		{name: "unavailable shard", test: testUnavailableShard},
		{name: "invalid requests", test: testInvalidRequests},
		{name: "ticket", test: testTicket},
		{name: "refusal before ticket check", test: testRefusalBeforeTicket},
		{name: "ticket of a disconnected caller", test: testDisconnectedCaller},
		{name: "snapshots", test: testSnapshots},
		{name: "draining leaf", test: testDrainingLeaf},
		{name: "silent leaf connections", test: testSilentLeafConnections},
		{name: "silent relay streams", test: testSilentRelayStreams},
		{name: "failure domain out", test: testDomainOut},
		{name: "reconfigured dispatchers", test: testReconfiguredDispatchers},
	} {
		ok := t.Run(c.name, func(t *testing.T) {
			f.tb = t
			c.test(f)
			f.awaitFullCoverage(f.nodes...)
		})
		f.tb = t
		if !ok {
			return
		}
	}
}

// testCompleteAnswers guards against answers that lack parts, belong to another
// request, or mix snapshots, while queries of several classes run concurrently through
// all nodes and some callers disconnect before their answer.
func testCompleteAnswers(f *fleet) {
	t := f.tb
	var senders sync.WaitGroup
	for i, m := range f.nodes {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := range 20 {
				body := fmt.Sprintf("body %d-%d", i, n)
				shortLived, disconnect := context.WithTimeout(context.Background(), time.Duration(n)*time.Millisecond/2)
				f.sendContext(shortLived, m, query{service: serviceLots, class: "broad", body: "disconnected " + body})
				disconnect()
				key := fmt.Sprintf("key-%d", n)
				for _, q := range []query{
					{service: serviceLots, class: "broad", body: body},
					{service: serviceLots, class: "urgent", body: body},
					{service: serviceLots, class: "broad", body: body, key: key},
					{service: serviceArchive, class: "patient", body: body},
				} {
					want := 1
					if q.service == serviceLots && q.key == "" {
						want = lotsShards
					}
					r := f.send(m, q)
					if r.answer == nil {
						t.Errorf("no answer: %+v", r)
						continue
					}
					c := r.answer.Coverage
					if c.Total != want || q.class != "urgent" && c.Covered != want || r.answer.Snapshot != 1 {
						t.Errorf("coverage %+v of snapshot %d, want %d shards of snapshot 1", c, r.answer.Snapshot, want)
					}
				}
			}
		}()
	}
	senders.Wait()
}

// testUnavailableShard guards against coverage that does not name the missing shard,
// and against a shard that stays missing after its leaves are back.
func testUnavailableShard(f *fleet) {
	t := f.tb
	stopped := []*anvilstandin.Upstream{f.cluster.Upstream("lots-3-0"), f.cluster.Upstream("lots-3-1")}
	for _, u := range stopped {
		u.Stop()
	}
	for _, m := range f.nodes {
		r := f.send(m, query{service: serviceLots, class: "broad"})
		if r.answer == nil {
			t.Fatalf("%+v", r)
		}
		if c := r.answer.Coverage; c.Covered != lotsShards-1 || len(c.Missing) != 1 || c.Missing[0] != 3 {
			t.Errorf("coverage %+v, want all but shard 3", c)
		}
	}
	for _, u := range stopped {
		if err := u.Start(); err != nil {
			t.Fatal(err)
		}
	}
}

// testInvalidRequests guards against invalid requests that are run, that end the
// process, or whose refusal does not say what is wrong and what is accepted.
func testInvalidRequests(f *fleet) {
	t, m := f.tb, f.nodes[1]
	refused := func(q query, status int, reason anvilmodel.RefusalReason, detail, accepted string) {
		t.Helper()
		q.service, q.class = cmp.Or(q.service, serviceLots), cmp.Or(q.class, "broad")
		r := f.send(m, q)
		if r.refusal == nil || r.status != status || r.refusal.Reason != reason || r.refusal.RunState != anvilmodel.RunStateNotRun ||
			!strings.Contains(r.refusal.Detail, detail) || !strings.Contains(r.refusal.Accepted, accepted) {
			t.Errorf("status %d, %+v, error %v; want %d %s not-run with %q, accepted %q", r.status, r.refusal, r.err, status, reason, detail, accepted)
		}
	}
	header := func(name, value string) query {
		return query{modify: func(r *http.Request) { r.Header[name] = []string{value} }}
	}
	target := func(method, path string) query {
		return query{modify: func(r *http.Request) { r.Method, r.URL.Path = method, path }}
	}
	large := strings.Repeat("b", 65537)
	refused(query{service: "rags"}, 404, anvilmodel.ReasonUnknownService, `"rags"`, "archive, certify, lots")
	refused(query{class: "slow"}, 404, anvilmodel.ReasonUnknownClass, `"slow"`, "broad, urgent")
	refused(query{class: "patient"}, 404, anvilmodel.ReasonUnknownClass, `"patient"`, "broad, urgent")
	refused(header(anvilwire.HeaderService, ""), 400, anvilmodel.ReasonBadRequest, anvilwire.HeaderService, anvilwire.HeaderService)
	refused(query{service: "a b"}, 400, anvilmodel.ReasonBadRequest, anvilwire.HeaderService, "A-Z")
	refused(header(anvilwire.HeaderRequestID, ""), 400, anvilmodel.ReasonBadRequest, anvilwire.HeaderRequestID, anvilwire.HeaderRequestID)
	refused(query{key: strings.Repeat("k", 129)}, 400, anvilmodel.ReasonBadRequest, anvilwire.HeaderKey, "128 bytes")
	refused(header(anvilwire.HeaderTimeout, ""), 400, anvilmodel.ReasonBadTimeout, anvilwire.HeaderTimeout, "250ms")
	refused(query{timeout: -time.Second}, 400, anvilmodel.ReasonBadTimeout, anvilwire.HeaderTimeout, "250ms")
	refused(query{timeout: 1000000 * time.Hour}, 400, anvilmodel.ReasonBadTimeout, "longer than class", "at most 4s")
	refused(header(anvilwire.HeaderTimeout, "99999999999999h"), 400, anvilmodel.ReasonBadTimeout, anvilwire.HeaderTimeout, "250ms")
	refused(query{body: large}, 413, anvilmodel.ReasonBodyTooLarge, "65536", "65536")
	refused(query{body: large, modify: func(r *http.Request) { r.ContentLength = -1 }}, 413, anvilmodel.ReasonBodyTooLarge, "65536", "65536")
	refused(query{service: serviceCertify, class: "once", key: "k"}, 409, anvilmodel.ReasonBadTicket, "once", anvilwire.HeaderTicket)
	refused(header(anvilwire.HeaderTicket, "1.2.3"), 409, anvilmodel.ReasonBadTicket, anvilwire.HeaderTicket, "32 hex digits")
	refused(query{ticket: m.newTicket(1)}, 409, anvilmodel.ReasonBadTicket, "broad", "no "+anvilwire.HeaderTicket)
	refused(query{service: serviceCertify, class: "once", ticket: m.newTicket(2)}, 400, anvilmodel.ReasonBadRequest, "one shard", "routing key")
	refused(target("PUT", anvilwire.PathQuery), 405, anvilmodel.ReasonBadRequest, "PUT", "POST "+anvilwire.PathQuery)
	refused(target("POST", "/v2/query"), 404, anvilmodel.ReasonBadRequest, "/v2/query", "POST "+anvilwire.PathQuery)
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/metrics": 200, "/v1/status": 200, "/v1/outcome?ticket=x": 409, "/v1/addresses?failure-domain=a+b": 400} {
		if status, body := f.get(m, path); status != want {
			t.Errorf("%s: status %d, want %d: %s", path, status, want, body)
		}
	}
	if names := f.advertisedNodes(m); len(names) != 3 {
		t.Errorf("advertised nodes %v, want 3 of the 4 nodes", names)
	}
}

// testSnapshots guards against answers that mix snapshots, or count coverage with
// another snapshot's shards. Under load, snapshots with other shard counts are
// published and old ones dropped.
func testSnapshots(f *fleet) {
	t := f.tb
	counts := map[anvilmodel.Snapshot]int{1: lotsShards, 2: 10, 3: 40, 4: lotsShards}
	l := f.startLoad(6, 0)
	l.awaitAnswers(20)
	for next := anvilmodel.Snapshot(2); next <= 4; next++ {
		if err := f.cluster.PublishSnapshot(serviceLots, next, counts[next]); err != nil {
			t.Fatal(err)
		}
		for _, m := range f.nodes {
			eventually(t, fmt.Sprintf("answer from snapshot %d", next), func() bool {
				r := f.send(m, query{service: serviceLots, class: "broad"})
				if r.answer != nil && r.answer.Coverage.Total != counts[r.answer.Snapshot] {
					t.Errorf("coverage %+v of snapshot %d", r.answer.Coverage, r.answer.Snapshot)
				}
				return r.answer != nil && r.answer.Snapshot == next && len(r.answer.Coverage.Missing) == 0
			})
		}
		f.cluster.DropSnapshot(serviceLots, next-1)
		l.awaitAnswers(50)
	}
	l.stop()
}
