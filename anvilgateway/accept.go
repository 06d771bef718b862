package anvilgateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilgather"
	"anvilbridge/anvilmetric"
)

const (
	// retryAfterShutdown is the delay sent to callers of a node that is shutting down. It
	// is short because they can go to another node.
	retryAfterShutdown = 10 * time.Millisecond
	// maxBodyReadTime bounds the time in which the body of a request must arrive.
	maxBodyReadTime = 10 * time.Second
	// retryAfterOverload is the delay sent to callers when too many requests are in
	// flight or the memory for bodies is exhausted.
	retryAfterOverload = 200 * time.Millisecond
)

// refusal is an error response that the gateway generates itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func newRefusal(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{
		status:     status,
		reason:     reason,
		retryAfter: retryAfter,
	}
}

// prepare validates the request, finds its route and reads its body.
func (s *servedRequest) prepare(r *http.Request, inFlight int64) *refusal {
	g := s.gateway
	table := g.table.Load()
	metadata, err := g.config.Protocol.DecodeRequest(r.Header)
	s.id = metadata.ID
	switch {
	case g.refusing.Load():
		return newRefusal(http.StatusServiceUnavailable, "leaving", retryAfterShutdown)
	case table == nil || !g.followers.Leaves.Loaded():
		g.followers.LoadNow()
		return newRefusal(http.StatusServiceUnavailable, "no-configuration", g.outageRetryAfter(s.arrivedAt.Sub(g.startedAt)))
	case err != nil:
		return newRefusal(http.StatusBadRequest, err.Error(), 0)
	}
	s.version = table.Version()
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	s.route = table.Find(r.Host, path)
	switch {
	case s.route == nil:
		return newRefusal(http.StatusNotFound, "no-route", 0)
	case inFlight > int64(g.config.MaxRequests):
		return newRefusal(http.StatusServiceUnavailable, "too-many-requests", retryAfterOverload)
	}
	limits := table.Limits()
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", 0)
	}
	body, refused := s.readBody(r, limits.MaxBodyBytes, metadata.Timeout)
	if refused != nil {
		return refused
	}
	s.callerTimeout = metadata.Timeout
	s.timeout = s.route.Timeout
	if metadata.Timeout > 0 && (metadata.Timeout < s.timeout || s.timeout <= 0) {
		s.timeout = metadata.Timeout
	}
	s.method, s.host, s.target = r.Method, r.Host, target
	s.authorization = r.Header.Get("Authorization")
	s.outbound = g.newOutboundRequest(r, target, s.id, body)
	s.outbound.nonIdempotent = s.route.NonIdempotent
	s.outbound.deadline = s.arrivedAt.Add(s.timeout)
	if !s.canFinish(time.Now()) {
		return newRefusal(http.StatusServiceUnavailable, "leaving", retryAfterShutdown)
	}
	return s.checkQuarantine()
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// headerBytes returns the size of the request's header lines.
func headerBytes(r *http.Request) int64 {
	const separators = len(": ") + len("\r\n")
	size := 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

// readBody reads the body of a request. The body must arrive within the caller's timeout
// and within maxBodyReadTime.
func (s *servedRequest) readBody(r *http.Request, limit int64, timeout time.Duration) ([]byte, *refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = s.gateway.config.MaxReplyBytes
	}
	if timeout <= 0 {
		timeout = maxBodyReadTime
	}
	s.setReadDeadline(s.arrivedAt.Add(min(timeout, maxBodyReadTime)))
	reader := &bodyReader{
		budget: &s.gateway.bodyBudget,
		limit:  limit,
	}
	body, err := reader.read(r.Body, r.ContentLength)
	s.memory.add(reader.reserved)
	switch {
	case err == nil:
		s.setReadDeadline(time.Time{})
		return body, nil
	case errorx.IsOfType(err, TooLarge):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	case errorx.IsOfType(err, MemoryExhausted):
		return nil, newRefusal(http.StatusServiceUnavailable, "memory-full", retryAfterOverload)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusal(http.StatusRequestTimeout, "body-too-slow", 0)
	default:
		return nil, newRefusal(http.StatusBadRequest, "body-incomplete", 0)
	}
}

// setReadDeadline bounds the time in which the rest of the request may arrive. It also
// applies to refused requests, because the HTTP server reads the rest of the body before
// it sends the response.
func (s *servedRequest) setReadDeadline(deadline time.Time) {
	// An error is reported by the read that follows.
	_ = http.NewResponseController(s.writer).SetReadDeadline(deadline)
}

// refuse sends an error response to a request that was not accepted, and logs it.
func (s *servedRequest) refuse(r *refusal) {
	s.writeRefusal(r)
	g := s.gateway
	route := ""
	if s.route != nil {
		route = string(s.route.Name)
	}
	g.config.Metrics.Add(anvilmetric.Queries, 1, route, r.reason)
	line := g.config.Log.Info().Str("event", "request").Str("request", s.id).Str("route", route).
		Uint64("version", s.version).Str("outcome", "refused").Int("status", r.status).
		Str("cause", r.reason).Dur("retry-after-ms", r.retryAfter)
	if s.limiter != nil {
		line.Float64("limit", s.limit).Dur("elapsed-before-ms", s.elapsedBefore)
	}
	if s.underSuspicion.Load() {
		line.Stringer("fingerprint", s.fingerprint())
	}
	line.Send()
}

func (s *servedRequest) writeRefusal(r *refusal) {
	header := s.writer.Header()
	if r.retryAfter > 0 {
		s.gateway.config.Protocol.EncodeRetryAfter(header, r.retryAfter)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	s.setWriteDeadline()
	s.writer.WriteHeader(r.status)
	// A write error means that the caller has disconnected and is ignored.
	_, _ = io.WriteString(s.writer, r.reason+"\n")
}

// outageRetryAfter returns the Retry-After delay for a refusal whose cause has persisted
// for the given time.
func (g *Gateway) outageRetryAfter(outage time.Duration) time.Duration {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	return anvilgather.RetryDelay(outage, g.balancer.RandomFloat64())
}
