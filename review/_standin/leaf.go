package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// healthPath is the path of the health checks of leaves.
const healthPath = "/health"

// leaf is a stand-in of a leaf.
type leaf struct {
	id      string
	service string
	zone    string
	address string
	born    int64
	slots   int
	work    time.Duration
	store   *store
	record  *record
	server  *http.Server
	// turnAway, if set, decides whether a request is turned away, with the headers that it
	// adds to the reply. It is called with mu held.
	turnAway func(l *leaf, now time.Time, h http.Header) bool

	mu       sync.Mutex
	running  int
	arrivals []arrival
}

// arrival is a request that reached a leaf.
type arrival struct {
	at  time.Time
	id  string
	ran bool
}

func startLeaf(l *leaf) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	l.born = time.Now().UnixMilli()
	l.server = &http.Server{
		Handler: l,
	}
	go func() { _ = l.server.Serve(listener) }()
	l.register()
	return nil
}

func (l *leaf) key() string {
	return word("key-leaves") + l.id
}

// register writes the entry of the leaf to the store.
func (l *leaf) register() {
	l.store.put(l.key(), map[string]any{
		"service":           l.service,
		"address":           l.address,
		"zone":              l.zone,
		"version":           "v1",
		word("field-slots"): l.slots,
		"state":             "ready",
		word("field-cold"):  0,
		"sequence":          1,
		"born":              l.born,
	})
}

// ServeHTTP runs a request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == healthPath {
		h.Set(word("header-instance"), l.id)
		return
	}
	id := r.Header.Get(word("header-request"))
	h.Set(word("header-request"), id)
	if id == "" {
		h.Set(word("header-not-run"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(word("header-expected")); expected != "" && expected != l.id {
		h.Set(word("header-instance"), l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	l.mu.Lock()
	turnedAway := l.turnAway != nil && l.turnAway(l, now, h)
	l.arrivals = append(l.arrivals, arrival{
		at:  now,
		id:  id,
		ran: !turnedAway,
	})
	if !turnedAway {
		l.running++
	}
	load := fmt.Sprintf("%d,0,%d", l.running, l.slots)
	l.mu.Unlock()
	h.Set(word("header-load"), load)
	if turnedAway {
		l.record.add("leaf %s: turns request %s away, %s", l.id, id, formatHeader(h))
		h.Set(word("header-not-run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	l.record.add("leaf %s: runs request %s", l.id, id)
	time.Sleep(l.work)
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
	h.Set(word("header-signature"), l.service+"."+l.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+l.service+" to "+id)
}

// formatHeader formats the headers by which a leaf announces something.
func formatHeader(h http.Header) string {
	var text []string
	for _, key := range []string{"header-retry-after", "header-leaving", "header-limit"} {
		if value := h.Get(word(key)); value != "" {
			text = append(text, word(key)+": "+value)
		}
	}
	return strings.Join(text, ", ")
}

// arrivalsBetween returns the requests that reached the leaf after one moment and before
// another.
func (l *leaf) arrivalsBetween(from, to time.Time) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []arrival
	for _, a := range l.arrivals {
		if a.at.After(from) && a.at.Before(to) {
			selected = append(selected, a)
		}
	}
	return selected
}
