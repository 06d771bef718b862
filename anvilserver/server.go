// Package anvilserver is the HTTP server of a node, for callers and operators.
package anvilserver

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/rs/zerolog"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const (
	// readHeaderTimeout bounds how long a connection may take to send headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes connections of callers that went away.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is far above what the protocol's headers need.
	maxHeaderBytes = 16 << 10
	// bodyTimeout bounds how long a body may take to arrive: the longest timeout
	// that a class may have.
	bodyTimeout = time.Minute
	// refusedBodyTimeout bounds it for a query that is refused for its headers.
	refusedBodyTimeout = time.Second
	// writeTimeout bounds a query and the writing of its answer, so that a caller
	// that does not read holds no connection for good.
	writeTimeout = 2 * time.Minute
	// drainPoll is the time between two checks for active connections.
	drainPoll = 5 * time.Millisecond
)

// QueryFunc answers an admitted query and ends its admission. It is called once.
// Exactly one result is not nil.
type QueryFunc func(context.Context) (*anvilmodel.Answer, *anvilmodel.Refusal)

// Config sets up a Server. All functions must be set and safe for concurrent use.
type Config struct {
	// Admit returns how a decoded query is answered, or why it is not admitted.
	// Exactly one result is not nil.
	Admit func(anvilwire.Query) (QueryFunc, *anvilmodel.Refusal)
	// Refuse corrects the refusal of a query that cannot be handed to Admit. The
	// ticket is the absent one if the query has no readable ticket.
	Refuse func(anvilmodel.Ticket, *anvilmodel.Refusal) *anvilmodel.Refusal
	// Outcome says what became of a ticket.
	Outcome func(context.Context, anvilmodel.Ticket) anvilwire.Outcome
	// Addresses names the nodes that a caller of a failure domain should use.
	Addresses func(anvilmodel.FailureDomain) anvilwire.AddressList
	// Status returns the JSON status of the node.
	Status func() ([]byte, error)
	// Ready returns an empty string when the node serves, else the reason.
	Ready func() string
	// Leaving reports whether callers should open no further requests here. Their
	// connections are then closed after the reply.
	Leaving func() bool
	// MaxBodyBytes returns the largest accepted query body.
	MaxBodyBytes func() int
	// Observe receives every finished query, for the metrics.
	Observe func(QueryResult)
	Metrics http.Handler
	Log     zerolog.Logger
}

// QueryResult describes a finished query for metrics and logs.
type QueryResult struct {
	Query   anvilwire.Query
	Answer  *anvilmodel.Answer
	Refusal *anvilmodel.Refusal
	Took    time.Duration
}

// Outcome returns "answer", "partial" or the reason of the refusal.
func (r QueryResult) Outcome() string {
	switch {
	case r.Refusal != nil:
		return string(r.Refusal.Reason)
	case r.Answer.Coverage.Covered < r.Answer.Coverage.Total:
		return "partial"
	default:
		return "answer"
	}
}

// Server serves callers and operators.
type Server struct {
	http *http.Server

	mu sync.Mutex
	// listeners are those being served, active the connections with a request.
	listeners []net.Listener
	active    map[net.Conn]struct{}
}

// New returns a server that is not yet listening.
func New(c Config) *Server {
	s := &Server{
		active: make(map[net.Conn]struct{}),
	}
	s.http = &http.Server{
		Handler:           closeWhenLeaving(c.Leaving, recoverRequests(c.Log, routes(c))),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.track,
		ErrorLog:          log.New(c.Log.With().Str("event", "http-error").Logger(), "", 0),
	}
	return s
}

// Use wraps the handler of all requests. It has to be called before Serve.
func (s *Server) Use(wrap func(http.Handler) http.Handler) {
	s.http.Handler = wrap(s.http.Handler)
}

// Serve answers on the listener until Drain or Close, and returns
// http.ErrServerClosed, or the error that ended it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	return s.http.Serve(l)
}

// Drain stops listening and waits until no connection has a request whose reply
// is not completely written, or until the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close stops listening and closes every connection.
func (s *Server) Close() error {
	return s.http.Close()
}

// track notes which connections have a request. http.Server.Shutdown would also
// wait 5 s for connections on which nothing was sent.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateActive {
		s.active[c] = struct{}{}
		return
	}
	delete(s.active, c)
}

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) > 0
}

func closeWhenLeaving(leaving func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func routes(c Config) http.Handler {
	query := endpoint.Chain(
		observeQueries(c.Observe),
		logQueries(c.Log),
		recoverQueries(c.Log),
		limitQueries(c.Admit),
	)(queryEndpoint(c))
	mux := http.NewServeMux()
	mux.Handle("POST "+anvilwire.PathQuery, queryHandler(query, c.MaxBodyBytes))
	mux.Handle("GET "+anvilwire.PathOutcome, outcomeHandler(outcomeEndpoint(c.Outcome)))
	mux.Handle("GET "+anvilwire.PathAddresses, addressHandler(addressEndpoint(c.Addresses)))
	mux.HandleFunc("GET "+pathStatus, statusHandler(c.Status))
	mux.HandleFunc("GET "+pathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok\n")
	})
	mux.HandleFunc("GET "+pathReady, func(w http.ResponseWriter, _ *http.Request) {
		if reason := c.Ready(); reason != "" {
			writeText(w, http.StatusServiceUnavailable, reason+"\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	mux.Handle("GET "+pathMetrics, c.Metrics)
	mux.HandleFunc("/", refusePath)
	return mux
}
