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
	running       atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// ran counts the runs of each request.
	ran map[string]int
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
			conns:    make(map[net.Conn]bool),
			ran:      make(map[string]int),
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
		word("slots"): cap(f.slots), "state": state, word("cold"): 0, "sequence": 1, "born": time.Now().UnixMilli(),
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
	f.slots <- struct{}{}
	f.mu.Lock()
	f.ran[id]++
	f.mu.Unlock()
	f.rec.add("leaf %s runs %s %s %s, %d bytes", f.name, id, request.Method, request.URL.Path, len(body))
	time.Sleep(f.work)
	<-f.slots
	text := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: %s\r\n%s: proof-%s-%s\r\n%s: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		id, word("instance"), f.name, word("proof"), f.name, id, word("load"), len(f.slots), cap(f.slots), len(text), text)
}
