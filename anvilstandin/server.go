// Package anvilstandin implements small stand-ins (fakes) of the systems around
// anvilbridge: the configuration service, the VM list and the leaves of upstreams.
// They listen on loopback addresses. Faults are injected by methods and by an HTTP
// control endpoint.
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
	anyLoopbackAddress = "127.0.0.1:0"
	readHeaderTimeout  = 10 * time.Second
	maxBodyBytes       = 8 << 20
)

// server is an HTTP server on a loopback address that can be stopped and started
// again at the same address.
type server struct {
	handler http.Handler

	mu              sync.Mutex
	address         netip.AddrPort
	connectionLimit int
	listener        *listener
	http            *http.Server
	// run tracks the running handlers and the serving goroutine.
	run *serverRun
}

// serverRun tracks the goroutines of a server between a start and the next stop.
type serverRun struct {
	mu       sync.Mutex
	stopping bool
	tasks    sync.WaitGroup
}

// beginRequest registers a running handler. It reports false if the server is
// stopping.
func (r *serverRun) beginRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.tasks.Add(1)
	return true
}

// stopAndWait rejects new requests and waits for the running handlers.
func (r *serverRun) stopAndWait() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.tasks.Wait()
}

func startServer(handler http.Handler, connectionLimit int) (*server, error) {
	s := &server{
		handler:         handler,
		connectionLimit: connectionLimit,
	}
	return s, s.start()
}

// start starts the server, at its earlier address if it was stopped.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	address := anyLoopbackAddress
	if s.address.IsValid() {
		address = s.address.String()
	}
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return StartFailed.Wrap(err, "listen on %s", address)
	}
	tcp, ok := raw.Addr().(*net.TCPAddr)
	if !ok {
		_ = raw.Close()
		return StartFailed.New("listen on %s: not a TCP address", address)
	}
	s.address = tcp.AddrPort()
	s.listener = newListener(raw, s.connectionLimit)
	s.run = &serverRun{}
	s.http = &http.Server{
		Handler:           s.trackRequests(s.run),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	s.run.tasks.Add(1)
	go func(r *serverRun, h *http.Server, l net.Listener) {
		defer r.tasks.Done()
		// Serve returns only when the server is closed, so the error is ignored.
		_ = h.Serve(l)
	}(s.run, s.http, s.listener)
	return nil
}

func (s *server) trackRequests(r *serverRun) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		defer r.tasks.Done()
		s.handler.ServeHTTP(w, req)
	})
}

// stop immediately closes the listener and all connections, which cancels the
// contexts of the handlers, and waits for the handlers.
func (s *server) stop() {
	s.mu.Lock()
	h, r := s.http, s.run
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return
	}
	_ = h.Close()
	r.stopAndWait()
}

func (s *server) addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// currentListener returns the listener of the current or the last run.
func (s *server) currentListener() *listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// sleep waits for the given time. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
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
