package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	// warmUp is how long the leaf is cold after a restart, and crashRate the number of
	// requests within a second at which it crashes while it is cold.
	warmUp    time.Duration
	crashRate int

	mu        sync.Mutex
	state     string
	coldUntil time.Time
	crashed   chan struct{}
	running   int
	arrivals  []arrival
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
	l.state = "ready"
	l.serve(listener)
	l.register()
	return nil
}

// serve starts a lifetime of the leaf.
func (l *leaf) serve(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	server := &http.Server{
		Handler: l,
	}
	l.server = server
	l.crashed = make(chan struct{})
	l.running = 0
	go func() { _ = server.Serve(listener) }()
}

// drain reports that the leaf is leaving, and returns when the store has acknowledged that.
// The leaf serves on.
func (l *leaf) drain() time.Time {
	l.mu.Lock()
	l.state = "draining"
	l.mu.Unlock()
	l.register()
	return time.Now()
}

// crash ends the lifetime: the leaf resets its connections and says nothing.
func (l *leaf) crash() {
	l.mu.Lock()
	server := l.server
	select {
	case <-l.crashed:
	default:
		l.record.add("leaf %s: crashes, with %d requests running", l.id, l.running)
		close(l.crashed)
	}
	l.mu.Unlock()
	_ = server.Close()
}

// restart starts the leaf again under its name and address. It is cold then. Its status
// report follows after the given time.
func (l *leaf) restart(report time.Duration) error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.state = "ready"
	l.born = time.Now().UnixMilli()
	l.coldUntil = time.Now().Add(l.warmUp)
	l.mu.Unlock()
	l.serve(listener)
	l.record.add("leaf %s: starts again at %s, cold for %s", l.id, l.address, l.warmUp)
	crashed := l.crashed
	time.AfterFunc(report, func() {
		select {
		case <-crashed:
		default:
			l.register()
		}
	})
	return nil
}

func (l *leaf) key() string {
	return word("key-leaves") + l.id
}

// register writes the entry of the leaf to the store.
func (l *leaf) register() {
	l.mu.Lock()
	cold := max(time.Until(l.coldUntil), 0).Milliseconds()
	born, state := l.born, l.state
	l.mu.Unlock()
	l.store.put(l.key(), map[string]any{
		"service":           l.service,
		"address":           l.address,
		"zone":              l.zone,
		"version":           "v1",
		word("field-slots"): l.slots,
		"state":             state,
		word("field-cold"):  cold,
		"sequence":          1,
		"born":              born,
	})
}

// ServeHTTP runs a request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == healthPath {
		l.serveHealth(h)
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
	crashes := l.crashRate > 0 && now.Before(l.coldUntil) && l.countSince(now.Add(-time.Second)) > l.crashRate
	crashed := l.crashed
	load := fmt.Sprintf("%d,0,%d", l.running, l.slots)
	l.mu.Unlock()
	h.Set(word("header-load"), load)
	if turnedAway {
		l.record.add("leaf %s: turns request %s away, %s", l.id, id, formatHeader(h))
		time.Sleep(rejectionTime)
		h.Set(word("header-not-run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	l.record.add("leaf %s: runs request %s", l.id, id)
	if crashes {
		go l.crash()
	}
	select {
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-time.After(l.work):
	}
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
	h.Set(word("header-signature"), l.service+"."+l.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+l.service+" to "+id)
}

// serveHealth answers a health check.
func (l *leaf) serveHealth(h http.Header) {
	h.Set(word("header-instance"), l.id)
	l.mu.Lock()
	cold := max(time.Until(l.coldUntil), 0).Milliseconds()
	l.mu.Unlock()
	if cold > 0 {
		h.Set(word("header-cold"), strconv.FormatInt(cold, 10))
	}
	l.record.add("leaf %s: health check, cold for %d ms", l.id, cold)
}

// countSince returns the number of requests that ran since a moment. The caller must hold
// mu.
func (l *leaf) countSince(from time.Time) int {
	count := 0
	for i := len(l.arrivals) - 1; i >= 0 && l.arrivals[i].at.After(from); i-- {
		if l.arrivals[i].ran {
			count++
		}
	}
	return count
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
