// Package anvilstandin holds small stand-ins of the systems around anvilbridge:
// the configuration service, the list of VMs and upstream leafs. They listen
// on loopback addresses, and their faults are controlled by methods and by an
// HTTP control endpoint.
package anvilstandin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	loopback      = "127.0.0.1:0"
	headerTimeout = 10 * time.Second
	maxBodyBytes  = 8 << 20
)

// server is an HTTP server on a loopback address that can stop and start again
// at the same address.
type server struct {
	handler http.Handler

	mu       sync.Mutex
	address  netip.AddrPort
	limit    int
	listener *listener
	http     *http.Server
	// run counts the handlers under way and the serving goroutine.
	run *run
}

// run is the time from a start to a stop.
type run struct {
	mu       sync.Mutex
	stopping bool
	work     sync.WaitGroup
}

// begin counts a handler; it is false once the run is stopping.
func (r *run) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.work.Add(1)
	return true
}

// end waits for the handlers under way.
func (r *run) end() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.work.Wait()
}

func startServer(handler http.Handler, connectionLimit int) (*server, error) {
	s := &server{
		handler: handler,
		limit:   connectionLimit,
	}
	return s, s.start()
}

// start listens, at the earlier address if there was one.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	where := loopback
	if s.address.IsValid() {
		where = s.address.String()
	}
	raw, err := net.Listen("tcp", where)
	if err != nil {
		return StartFailed.Wrap(err, "listen on %s", where)
	}
	tcp, ok := raw.Addr().(*net.TCPAddr)
	if !ok {
		_ = raw.Close()
		return StartFailed.New("listen on %s: not a TCP address", where)
	}
	s.address = tcp.AddrPort()
	s.listener = newListener(raw, s.limit)
	s.run = &run{}
	s.http = &http.Server{
		Handler:           s.counted(s.run),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	s.run.work.Add(1)
	go func(r *run, h *http.Server, l net.Listener) {
		defer r.work.Done()
		// It returns when the server is closed.
		_ = h.Serve(l)
	}(s.run, s.http, s.listener)
	return nil
}

func (s *server) counted(r *run) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.begin() {
			panic(http.ErrAbortHandler)
		}
		defer r.work.Done()
		s.handler.ServeHTTP(w, req)
	})
}

// stop closes the listener and every connection at once, and waits for the
// handlers, whose contexts end.
func (s *server) stop() {
	s.mu.Lock()
	h, r := s.http, s.run
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return
	}
	_ = h.Close()
	r.end()
}

func (s *server) addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// connections returns the listener of the present run.
func (s *server) connections() *listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// pause waits, and reports false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
