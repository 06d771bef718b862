// Package anvilserver implements the HTTP server of a node for callers and operators.
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
	// readHeaderTimeout is the time within which a connection has to send the headers
	// of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is the time after which unused connections are closed, such as those
	// of callers that have gone away.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is far above what the protocol's headers need.
	maxHeaderBytes = 16 << 10
	// bodyTimeout limits how long a body may take to arrive. It is the longest timeout
	// that a class may have.
	bodyTimeout = time.Minute
	// refusedBodyTimeout limits how long the body of a query with invalid headers is
	// read.
	refusedBodyTimeout = time.Second
	// writeTimeout limits the duration of a query and of writing its answer, so that a
	// caller that does not read cannot hold a connection indefinitely.
	writeTimeout = 2 * time.Minute
	// drainPollInterval is the time between two checks for active connections.
	drainPollInterval = 5 * time.Millisecond
)

// QueryFunc answers an admitted query and releases its admission. It must be called
// exactly once. Exactly one result is not nil.
type QueryFunc func(context.Context) (*anvilmodel.Answer, *anvilmodel.Refusal)

// Config configures a Server. All functions must be set and safe for concurrent use.
type Config struct {
	// Admit returns the function that answers a decoded query, or a refusal. Exactly
	// one result is not nil.
	Admit func(anvilwire.Query) (QueryFunc, *anvilmodel.Refusal)
	// AdjustRefusal corrects the run state of a refusal of a query that could not be
	// decoded. The ticket is zero if the query has no readable one.
	AdjustRefusal func(anvilmodel.Ticket, *anvilmodel.Refusal) *anvilmodel.Refusal
	// FindOutcome returns the outcome of a ticket.
	FindOutcome func(context.Context, anvilmodel.Ticket) anvilwire.Outcome
	// ChooseAddresses returns the nodes that a caller in a failure domain should use.
	ChooseAddresses func(anvilmodel.FailureDomain) anvilwire.AddressList
	// EncodeStatus returns the status of the node as JSON.
	EncodeStatus func() ([]byte, error)
	// NotReadyReason returns the reason why callers should use another node, or "" if
	// the node is ready.
	NotReadyReason func() string
	// Leaving reports whether the node is shutting down. Connections are then closed
	// after the next reply, so that callers send further requests elsewhere.
	Leaving func() bool
	// MaxBodyBytes returns the size limit of a query body.
	MaxBodyBytes func() int
	// ObserveQuery is called for every finished query, for the metrics.
	ObserveQuery func(QueryResult)
	Metrics      http.Handler
	Log          zerolog.Logger
}

// QueryResult describes a finished query for metrics and logs. Either Answer or Refusal
// is set.
type QueryResult struct {
	Query    anvilwire.Query
	Answer   *anvilmodel.Answer
	Refusal  *anvilmodel.Refusal
	Duration time.Duration
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
	// listeners are being served. activeConns are the connections with a request in
	// progress.
	listeners   []net.Listener
	activeConns map[net.Conn]struct{}
}

// New returns a server that is not yet listening.
func New(c Config) *Server {
	s := &Server{
		activeConns: make(map[net.Conn]struct{}),
	}
	s.http = &http.Server{
		Handler:           closeWhenLeaving(c.Leaving, recoverRequests(c.Log, routes(c))),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.trackConn,
		ErrorLog:          log.New(c.Log.With().Str("event", "http-error").Logger(), "", 0),
	}
	return s
}

// Use wraps the handler of all requests. It must be called before Serve.
func (s *Server) Use(wrap func(http.Handler) http.Handler) {
	s.http.Handler = wrap(s.http.Handler)
}

// Serve serves connections of a listener until Drain or Close is called. It returns
// http.ErrServerClosed after Close, or else the error that ended it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	return s.http.Serve(l)
}

// Drain stops listening and waits until every reply is completely written, or until the
// context ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.hasActiveConns() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close stops listening and closes all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// trackConn records which connections have a request in progress. http.Server.Shutdown
// is not used, because it also waits 5 s for connections on which nothing was sent.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateActive {
		s.activeConns[c] = struct{}{}
		return
	}
	delete(s.activeConns, c)
}

func (s *Server) hasActiveConns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.activeConns) > 0
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
		observeQueries(c.ObserveQuery),
		logQueries(c.Log),
		recoverQueries(c.Log),
		admitQueries(c.Admit),
	)(queryEndpoint(c))
	mux := http.NewServeMux()
	mux.Handle("POST "+anvilwire.PathQuery, queryHandler(query, c.MaxBodyBytes))
	mux.Handle("GET "+anvilwire.PathOutcome, outcomeHandler(outcomeEndpoint(c.FindOutcome)))
	mux.Handle("GET "+anvilwire.PathAddresses, addressHandler(addressEndpoint(c.ChooseAddresses)))
	mux.HandleFunc("GET "+pathStatus, statusHandler(c.EncodeStatus))
	mux.HandleFunc("GET "+pathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok\n")
	})
	mux.HandleFunc("GET "+pathReady, func(w http.ResponseWriter, _ *http.Request) {
		if reason := c.NotReadyReason(); reason != "" {
			writeText(w, http.StatusServiceUnavailable, reason+"\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	mux.Handle("GET "+pathMetrics, c.Metrics)
	mux.HandleFunc("/", refuseUnknownPath)
	return mux
}
