package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or its deletion.
type storeItem struct {
	key      string
	value    []byte
	revision uint64
	deleted  bool
}

// store stands in for the platform's store.
type store struct {
	rec      *record
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func newStore(rec *record) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec:      rec,
		listener: listener,
		revision: 100,
		items:    make(map[string]storeItem),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+word("range-path"), s.serveRange)
	mux.HandleFunc("GET "+word("watch-path"), s.serveWatch)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// put writes an item and returns its revision, which acknowledges it.
func (s *store) put(key string, value any) uint64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(storeItem{
		key:   key,
		value: encoded,
	})
}

func (s *store) remove(key string) uint64 {
	return s.write(storeItem{
		key:     key,
		deleted: true,
	})
}

func (s *store) write(item storeItem) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.revision = s.revision
	s.history = append(s.history, item)
	if item.deleted {
		delete(s.items, item.key)
	} else {
		s.items[item.key] = item
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.rec.add("store: %s at revision %d, deleted %v", item.key, item.revision, item.deleted)
	return item.revision
}

func (i storeItem) encode() map[string]any {
	if i.deleted {
		return map[string]any{"key": i.key, "revision": i.revision, "deleted": true}
	}
	return map[string]any{"key": i.key, "value": i.value, "revision": i.revision, "created": i.revision, "lease": 0}
}

// pageItems is the number of items on a page.
const pageItems = 50

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	page := make([]map[string]any, 0, pageItems)
	for _, key := range keys[:min(len(keys), pageItems)] {
		page = append(page, s.items[key].encode())
	}
	revision := s.revision
	s.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	writeJSON(w, map[string]any{"items": page, word("more"): more, word("revision"): revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := make([]map[string]any, 0)
		for _, item := range s.history {
			if item.revision > after && strings.HasPrefix(item.key, prefix) {
				events = append(events, item.encode())
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			writeJSON(w, map[string]any{"events": events, word("revision"): revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// route returns a route to one service.
func route(name, prefix, service, kind string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "service": service, "type": kind,
		"timeout_ms": timeout.Milliseconds(), word("target"): timeout.Milliseconds() / 10,
		"priority": 1, "attempts": 2,
	}
}

// host is the host of all routes.
const host = "pupu76.example"

// idleTimeout is the operator's limit on idle connections of clients.
const idleTimeout = 15 * time.Second

// configuration returns a configuration with the routes and services.
func configuration(version int, routes []map[string]any, services []string, maxConnections int) map[string]any {
	described := make([]map[string]any, 0, len(services))
	for _, name := range services {
		described = append(described, map[string]any{
			"name": name, "health_path": "/health", "max_connections": maxConnections,
			"protocol": "h1", "tls": false, word("cold-time"): 3.0, word("cold-rate"): 0.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": described,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
			"idle_timeout_ms": idleTimeout.Milliseconds(),
		},
	}
}
