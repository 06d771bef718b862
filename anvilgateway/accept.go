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
	// retryAfterLeaving sends callers of a leaving node to another one.
	retryAfterLeaving = 10 * time.Millisecond
	// longestBodyTime is how long the body of a request may take to arrive.
	longestBodyTime = 10 * time.Second
	// retryAfterFull is stated when too many requests are worked on.
	retryAfterFull = 200 * time.Millisecond
)

// refusal is an answer of the gateway's own.
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

// accept reads the request and finds its route.
func (s *served) accept(r *http.Request, running int64) *refusal {
	g := s.gateway
	table := g.table.Load()
	head, err := g.config.Protocol.DecodeRequest(r.Header)
	s.id = head.ID
	switch {
	case g.closing.Load():
		return newRefusal(http.StatusServiceUnavailable, "leaving", retryAfterLeaving)
	case table == nil || !g.copies.Leaves.Loaded():
		g.copies.LoadNow()
		return newRefusal(http.StatusServiceUnavailable, "no-configuration", g.returnAfter(s.arrived.Sub(g.started)))
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
	case running > int64(g.config.MaxRequests):
		return newRefusal(http.StatusServiceUnavailable, "too-many-requests", retryAfterFull)
	}
	limits := table.Limits()
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", 0)
	}
	body, refused := s.readBody(r, limits.MaxBodyBytes, head.Timeout)
	if refused != nil {
		return refused
	}
	s.stated = head.Timeout
	s.timeout = s.route.Timeout
	if head.Timeout > 0 && (head.Timeout < s.timeout || s.timeout <= 0) {
		s.timeout = head.Timeout
	}
	s.out = g.newOutbound(r, target, s.id, body)
	s.out.nonIdempotent = s.route.NonIdempotent
	s.out.deadline = s.arrived.Add(s.timeout)
	return nil
}

// requestTarget returns path and query as the caller sent them.
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

// readBody reads the body of a request, which has to arrive while its caller waits.
func (s *served) readBody(r *http.Request, limit int64, timeout time.Duration) ([]byte, *refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = s.gateway.config.MaxReplyBytes
	}
	if timeout <= 0 {
		timeout = longestBodyTime
	}
	s.limitRead(s.arrived.Add(min(timeout, longestBodyTime)))
	bodies := &bodyReader{
		memory: &s.gateway.bodies,
		limit:  limit,
	}
	body, err := bodies.read(r.Body, r.ContentLength)
	s.held.keep(bodies.held)
	switch {
	case err == nil:
		s.limitRead(time.Time{})
		return body, nil
	case errorx.IsOfType(err, TooLarge):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	case errorx.IsOfType(err, MemoryExhausted):
		return nil, newRefusal(http.StatusServiceUnavailable, "memory-full", retryAfterFull)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusal(http.StatusRequestTimeout, "body-too-slow", 0)
	default:
		return nil, newRefusal(http.StatusBadRequest, "body-incomplete", 0)
	}
}

// limitRead bounds the time in which the rest of the request may arrive. The server
// reads what is left of a body before it sends a refusal.
func (s *served) limitRead(deadline time.Time) {
	// An error shows in the read that follows.
	_ = http.NewResponseController(s.writer).SetReadDeadline(deadline)
}

// refuse answers a request that was not accepted and logs it.
func (s *served) refuse(x *refusal) {
	s.write(x)
	g := s.gateway
	route := ""
	if s.route != nil {
		route = string(s.route.Name)
	}
	g.config.Metrics.Add(anvilmetric.Queries, 1, route, x.reason)
	line := g.config.Log.Info().Str("event", "request").Str("request", s.id).Str("route", route).
		Uint64("version", s.version).Str("outcome", "refused").Int("status", x.status).
		Str("cause", x.reason).Dur("retry-after-ms", x.retryAfter)
	if s.limiter != nil {
		line.Float64("limit", s.limit).Dur("elapsed-before-ms", s.elapsed)
	}
	line.Send()
}

func (s *served) write(x *refusal) {
	header := s.writer.Header()
	if x.retryAfter > 0 {
		s.gateway.config.Protocol.EncodeRetryAfter(header, x.retryAfter)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(x.reason)+1))
	s.limitWrite()
	s.writer.WriteHeader(x.status)
	// The caller may have left; there is nobody else to tell.
	_, _ = io.WriteString(s.writer, x.reason+"\n")
}

// returnAfter returns when a caller should come back that is refused for something that
// has lasted so long.
func (g *Gateway) returnAfter(lasted time.Duration) time.Duration {
	g.balancing.Lock()
	defer g.balancing.Unlock()
	return anvilgather.RetryDelay(lasted, g.balancer.RandomFloat64())
}
