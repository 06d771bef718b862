package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// idSource numbers requests.
type idSource struct{ last atomic.Uint64 }

func (s *idSource) next() string { return fmt.Sprintf("%016x", s.last.Add(1)) }

// leaf stands in for a leaf. It serves one request at a time on each connection.
type leaf struct {
	name, service string
	rec           *record
	listener      net.Listener
	slots         chan struct{}
	work          time.Duration
	born          time.Time
	sequence      atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// refuseUntil is until when the leaf turns all requests away and says so; zero if it
	// does not.
	refuseUntil time.Time
	// refused holds when each request was turned away.
	refused map[string]time.Time
	// ran holds when each request was run.
	ran map[string][]time.Time
}

// startLeaves starts the leaves of a service and registers them in the store.
func (l *lab) startLeaves(service string, count, slots int, work time.Duration) error {
	for i := range count {
		listener, err := net.Listen("tcp", l.address(100)+":0")
		if err != nil {
			return err
		}
		f := &leaf{
			name:     fmt.Sprintf("i-%s-%d", service, i+1),
			service:  service,
			rec:      l.rec,
			listener: listener,
			slots:    make(chan struct{}, slots),
			work:     work,
			born:     time.Now(),
			conns:    make(map[net.Conn]bool),
			refused:  make(map[string]time.Time),
			ran:      make(map[string][]time.Time),
		}
		l.leaves = append(l.leaves, f)
		go f.accept()
		l.store.put(word("leaf-prefix")+f.name, f.entry("ready"))
	}
	return nil
}

func (f *leaf) entry(state string) map[string]any {
	return map[string]any{
		"service": f.service, "address": f.listener.Addr().String(), "zone": "nord", "version": "v1",
		word("slots"): cap(f.slots), "state": state, word("cold"): 0, "sequence": f.sequence.Add(1), "born": f.born.UnixMilli(),
	}
}

func (f *leaf) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

func (f *leaf) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[conn] = true
		f.mu.Unlock()
		go f.serve(conn)
	}
}

func (f *leaf) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		f.mu.Lock()
		delete(f.conns, conn)
		f.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, f.answer(request, body)); err != nil {
			return
		}
	}
}

// answer runs a request and returns the reply.
func (f *leaf) answer(request *http.Request, body []byte) string {
	id := request.Header.Get("Request-Id")
	if request.URL.Path == "/health" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", word("instance"), f.name)
	}
	if expected := request.Header.Get(word("expected")); expected != "" && expected != f.name {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", id, word("instance"), f.name, word("not-run"))
	}
	if left := f.refusalLeft(id); left > 0 {
		f.rec.add("leaf %s turns %s away for %.3f s", f.name, id, left.Seconds())
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\n%s: %s\r\n%s: 1\r\nRetry-After: %.3f\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n",
			id, word("instance"), f.name, word("not-run"), left.Seconds())
	}
	f.slots <- struct{}{}
	f.mu.Lock()
	f.ran[id] = append(f.ran[id], time.Now())
	f.mu.Unlock()
	f.rec.add("leaf %s runs %s %s %s, %d bytes", f.name, id, request.Method, request.URL.Path, len(body))
	time.Sleep(f.work)
	<-f.slots
	text := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: %s\r\n%s: proof-%s-%s\r\n%s: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		id, word("instance"), f.name, word("proof"), f.name, id, word("load"), len(f.slots), cap(f.slots), len(text), text)
}

// runs returns when the leaf ran a request.
func (f *leaf) runs(id string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

// refuse makes the leaf turn all requests away until the given time.
func (f *leaf) refuse(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuseUntil = until
}

// refusalLeft returns for how long the leaf still turns requests away, and records that it turns
// this one away if it does.
func (f *leaf) refusalLeft(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := time.Until(f.refuseUntil)
	if left > 0 {
		f.refused[id] = time.Now()
	}
	return left
}
