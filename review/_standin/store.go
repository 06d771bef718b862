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

// storePageSize is the number of items in a page of a range.
const storePageSize = 50

// storeItem is a key of the store at a revision.
type storeItem struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	deleted  bool
}

func (i storeItem) encode() map[string]any {
	if i.deleted {
		return map[string]any{
			"key":      i.key,
			"revision": i.revision,
			"deleted":  true,
		}
	}
	return map[string]any{
		"key":      i.key,
		"value":    i.value,
		"revision": i.revision,
		"created":  i.created,
		"lease":    0,
	}
}

// store is a stand-in of the platform's store.
type store struct {
	address string
	record  *record
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func startStore(r *record) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address:  listener.Addr().String(),
		record:   r,
		revision: 1,
		items:    make(map[string]storeItem),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(word("path-key"), s.serveKey)
	mux.HandleFunc(word("path-range"), s.serveRange)
	mux.HandleFunc(word("path-watch"), s.serveWatch)
	s.server = &http.Server{
		Handler: mux,
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a key. The return of the call is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(storeItem{
		key:   key,
		value: data,
	})
	s.record.add("store: %s written, revision %d: %.300s", key, s.currentRevision(), data)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.change(storeItem{
		key:     key,
		deleted: true,
	})
	s.record.add("store: %s removed, revision %d", key, s.currentRevision())
}

func (s *store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *store) change(item storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.revision = s.revision
	item.created = s.revision
	if old, ok := s.items[item.key]; ok {
		item.created = old.created
	}
	if item.deleted {
		delete(s.items, item.key)
	} else {
		s.items[item.key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply := item.encode()
	reply[word("field-store-revision")] = revision
	writeJSON(w, reply)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var selected []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			selected = append(selected, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(selected, func(a, b storeItem) int { return strings.Compare(a.key, b.key) })
	more := len(selected) > storePageSize
	selected = selected[:min(len(selected), storePageSize)]
	writeJSON(w, map[string]any{
		"items":                      encodeItems(selected),
		word("field-has-more"):       more,
		word("field-store-revision"): revision,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for expired := wait <= 0; ; {
		s.mu.Lock()
		var events []storeItem
		for _, item := range s.history {
			if item.revision > after && strings.HasPrefix(item.key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{
				"events":                     encodeItems(events),
				word("field-store-revision"): revision,
			})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func encodeItems(items []storeItem) []map[string]any {
	encoded := make([]map[string]any, 0, len(items))
	for _, i := range items {
		encoded = append(encoded, i.encode())
	}
	return encoded
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader has left.
	_ = json.NewEncoder(w).Encode(value)
}
