package anvilgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"anvilbridge/anvilbalance"
)

// leafDowntime is how long a leaf that has crashed does not listen.
const leafDowntime = 150 * time.Millisecond

// crashingLeaf is a leaf whose process ends when it begins to run a request for deadlyPath,
// with all of its connections, and is started again later.
type crashingLeaf struct {
	entry   anvilbalance.Leaf
	store   *fakeStore
	crashes *atomic.Int64

	mu     sync.Mutex
	server *http.Server
	closed bool
}

const deadlyPath = "/deadly"

// startCrashingLeaf starts a leaf that runs until the test ends. Its crashes are counted.
func startCrashingLeaf(t *testing.T, s *fakeStore, name, service string, crashes *atomic.Int64) {
	t.Helper()
	l := &crashingLeaf{
		entry:   leafEntry(name, service, freeAddress(t).String()),
		store:   s,
		crashes: crashes,
	}
	l.start()
	t.Cleanup(l.stop)
}

// start starts the process of the leaf and registers it.
func (l *crashingLeaf) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	listener, err := net.Listen("tcp", l.entry.Address.String())
	if err != nil {
		// The port is still in use by a connection of the process before.
		time.AfterFunc(leafDowntime, l.start)
		return
	}
	server := &http.Server{}
	var ended sync.Once
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/health":
			w.Header().Set(headerInstance, string(l.entry.Name))
		case strings.HasSuffix(r.URL.Path, deadlyPath):
			ended.Do(func() {
				l.crashes.Add(1)
				_ = server.Close()
				time.AfterFunc(leafDowntime, l.start)
			})
		default:
			signingLeaf(string(l.entry.Name), "record-1-1234567")(w, r)
		}
	})
	l.server = server
	l.entry.StartedAt = l.entry.StartedAt.Add(time.Second)
	l.store.register(l.entry)
	go func() { _ = server.Serve(listener) }()
}

func (l *crashingLeaf) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.server != nil {
		_ = l.server.Close()
	}
}

// Guards against a request that crashes leaf after leaf because each attempt, and each node,
// sends it again, and against the refusal of other requests whose calls were at these leaves.
func TestRequestThatCrashesLeavesIsQuarantined(t *testing.T) {
	const (
		shards = 5
		// maxCrashes allows for the first attempt, whose calls may all run before the first
		// crash is noticed, for two nodes with attempts at the same time, and for two trials
		// at each of them.
		maxCrashes = 2*2*shards + 4
	)
	for name, route := range map[string]string{
		"all shards": "/all/",
		"one leaf":   "/one/",
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			var crashes atomic.Int64
			c := singleRouteConfig(singleServiceRoute("one", "/one/", "a", false))
			query := singleServiceRoute("all", "/all/", "", false)
			query.Services, query.TopK, query.MinCoverage = nil, 3, 0.9
			for i := range shards {
				service := fmt.Sprint("s", i)
				startCrashingLeaf(t, s, service+"-1", service, &crashes)
				startCrashingLeaf(t, s, service+"-2", service, &crashes)
				query.Shards = append(query.Shards, serviceNamed(service).Name)
				c.Services = append(c.Services, serviceNamed(service))
			}
			for i := range 4 {
				startCrashingLeaf(t, s, fmt.Sprint("a", i), "a", &crashes)
			}
			c.Routes = append(c.Routes, query)
			s.configure(c)
			first := startReadyGateway(t, s)
			nodes := []*testGateway{first, startReadyGateway(t, s, first.addresses.Peer)}
			serves := func(g *testGateway, path, id string) bool {
				got, err := g.send(t.Context(), http.MethodGet, route+path, id)
				return err == nil && got.status == http.StatusOK
			}
			for _, g := range nodes {
				eventually(t, "the node serves requests", func() bool { return serves(g, "other", "id-other") })
			}
			quarantined := func(g *testGateway, id string) bool {
				got, err := g.send(t.Context(), http.MethodGet, route+strings.TrimPrefix(deadlyPath, "/"), id)
				return err == nil && got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "request-quarantined")
			}
			for i, g := range nodes {
				eventually(t, "the request is quarantined", func() bool { return quarantined(g, fmt.Sprint("id-", i)) })
			}
			before := crashes.Load()
			if before > maxCrashes {
				t.Errorf("%d leaves crashed until both nodes refused the request, want at most %d", before, maxCrashes)
			}
			for i := range 20 {
				if !quarantined(nodes[i%2], fmt.Sprint("again-", i)) {
					t.Error("the request is no longer refused")
				}
			}
			if after := crashes.Load(); after != before {
				t.Errorf("%d leaves crashed although both nodes refuse the request", after-before)
			}
			for i, g := range nodes {
				eventually(t, "other requests are served", func() bool { return serves(g, "other", fmt.Sprint("other-", i)) })
			}
		})
	}
}
