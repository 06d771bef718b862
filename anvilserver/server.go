// Package anvilserver is the HTTP server of a node, for callers and operators.
package anvilserver

import (
	"context"
	"net/http"
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
)

// Config sets up a Server. All functions must be set and safe for concurrent use.
type Config struct {
	// Query answers a decoded query. Exactly one result is not nil.
	Query func(context.Context, anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal)
	// Outcome says what became of a ticket.
	Outcome func(context.Context, anvilmodel.Ticket) anvilwire.Outcome
	// Addresses names the nodes that a caller of a failure domain should use.
	Addresses func(anvilmodel.FailureDomain) anvilwire.AddressAnswer
	// Status returns the JSON status of the node.
	Status func() ([]byte, error)
	// Ready returns an empty string when the node serves, else the reason.
	Ready func() string
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

// New returns an HTTP server without an address; the node hands it a listener.
func New(c Config) *http.Server {
	query := endpoint.Chain(
		observeQueries(c.Observe),
		logQueries(c.Log),
		recoverQueries(c.Log),
	)(queryEndpoint(c.Query))
	mux := http.NewServeMux()
	mux.Handle("POST /v1/query", queryHandler(query, c.MaxBodyBytes))
	mux.Handle("GET /v1/outcome", outcomeHandler(outcomeEndpoint(c.Outcome)))
	mux.Handle("GET /v1/addresses", addressHandler(addressEndpoint(c.Addresses)))
	mux.HandleFunc("GET /v1/status", statusHandler(c.Status))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := c.Ready(); reason != "" {
			writeText(w, http.StatusServiceUnavailable, reason+"\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	mux.Handle("GET /metrics", c.Metrics)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
