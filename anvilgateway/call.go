package anvilgateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

const (
	// backgroundWriteThreshold is the size from which a body is written while the reply
	// is read, because a leaf may answer before it has read a long body.
	backgroundWriteThreshold = 4 << 10
	// maxMismatchedReplies bounds the replies to other requests that are skipped before
	// the reply to a call. A leaf sends at most one duplicate.
	maxMismatchedReplies = 2
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// outboundRequest is a caller's request in the form in which it is sent to leaves.
type outboundRequest struct {
	id string
	// request carries only the method of the request, which determines whether a reply
	// has a body.
	request *http.Request
	// head holds the request line and the headers that all calls have in common.
	head          []byte
	body          []byte
	deadline      time.Time
	nonIdempotent bool
}

// newOutboundRequest prepares the bytes that all calls of a request have in common.
func (g *Gateway) newOutboundRequest(r *http.Request, target, id string, body []byte) *outboundRequest {
	var head bytes.Buffer
	head.WriteString(r.Method)
	head.WriteByte(' ')
	head.WriteString(target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(r.Host)
	head.WriteString("\r\n")
	listed := connectionHeaders(r.Header)
	header := make(http.Header, len(r.Header))
	for name, values := range r.Header {
		if !hopByHopHeaders[name] && !listed[name] && !g.config.Protocol.ReplacesHeader(name) {
			header[name] = values
		}
	}
	// Writing to a bytes.Buffer cannot fail.
	_ = header.Write(&head)
	if len(body) > 0 || r.ContentLength >= 0 && r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(body)))
		head.WriteString("\r\n")
	}
	return &outboundRequest{
		id:      id,
		request: &http.Request{Method: r.Method},
		head:    head.Bytes(),
		body:    body,
	}
}

// connectionHeaders returns the names of the headers listed in the Connection header.
func connectionHeaders(h http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range h["Connection"] {
		for name := range bytes.SplitSeq([]byte(value), []byte(",")) {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(string(bytes.TrimSpace(name)))] = true
		}
	}
	return named
}

// exchangeResult is the result of sending a call to a leaf and reading the reply.
type exchangeResult struct {
	outcome anvilbalance.Outcome
	// status, header and body are set if the leaf answered.
	status int
	header http.Header
	body   []byte
	reply  LeafReply
	// reservedBytes is the part of the memory budget that the body holds.
	reservedBytes int64
	// err is the reason why the call has no valid reply.
	err error
}

func (r *exchangeResult) answered() bool {
	return r.status != 0
}

// call sends a request to a leaf once and reads the reply. It returns early when ctx is
// done. The leaf is given the time until the deadline of the call, and its reply is
// awaited until shortly after the deadline of the request. If a pooled connection turns
// out to be closed by the leaf, a new one is used, but only if no byte of the call has
// been sent.
func (g *Gateway) call(ctx context.Context, outbound *outboundRequest, c *leafCall) *exchangeResult {
	leaf := c.leaf
	startedAt := time.Now()
	p := g.poolFor(leaf)
	replyDeadline := outbound.deadline.Add(replySlack)
	conn, ended := p.get(startedAt, replyDeadline, outbound.nonIdempotent)
	if ended {
		g.suspectRestart(leaf, "connections closed")
	}
	for {
		isNew := conn == nil
		if isNew {
			var err error
			if conn, err = p.dial(ctx, replyDeadline); err != nil {
				if ctx.Err() == nil {
					g.suspectRestart(leaf, "no connection")
				}
				return &exchangeResult{
					outcome: anvilbalance.OutcomeUnsent,
					err:     err,
				}
			}
			if !g.acceptsNewConnection(leaf, c.pickedAt) {
				p.put(conn, time.Now(), g.maxIdleConnections(leaf))
				return &exchangeResult{
					outcome: anvilbalance.OutcomeWithdrawn,
				}
			}
		}
		r, sent := g.exchange(ctx, p, conn, outbound, leaf, c.deadline)
		if connectionEnded(r.err) && ctx.Err() == nil && !p.hasOpenSince(startedAt) {
			g.suspectRestart(leaf, "connection ended")
		}
		if isNew || sent || ctx.Err() != nil {
			return r
		}
		conn = nil
	}
}

// connectionEnded reports whether a call failed because the leaf ended its connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// exchange sends the call over a connection of the pool and reads the reply. Afterwards
// it returns the connection to the pool or closes it. sent is false only if no byte of
// the call has been sent.
func (g *Gateway) exchange(ctx context.Context, p *connPool, conn *leafConn, outbound *outboundRequest, leaf anvilbalance.Leaf, deadline time.Time) (r *exchangeResult, sent bool) {
	remaining := time.Until(deadline)
	message := make([]byte, 0, len(outbound.head)+len(outbound.body)+128)
	message = append(message, outbound.head...)
	message = g.config.Protocol.AppendCallHeaders(message, max(remaining, time.Millisecond), leaf.Name)
	message = append(message, '\r', '\n')
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	written, err := g.write(conn, message, outbound.body)
	if err == nil || written > 0 {
		r = g.readReply(conn, outbound)
		sent = true
	} else {
		r = &exchangeResult{
			outcome: anvilbalance.OutcomeUnsent,
			err:     err,
		}
	}
	interrupted := !stop()
	keep := r.answered() && r.err == nil && !interrupted && conn.idleTimeout > 0 && conn.reader.Buffered() == 0 && len(outbound.body) < backgroundWriteThreshold
	if keep {
		p.put(conn, time.Now(), g.maxIdleConnections(leaf))
	} else {
		_ = conn.Close()
	}
	if !r.answered() && sent {
		r.outcome = classifyError(ctx, r.err)
	}
	return r, sent
}

// replySlack is the time after the deadline in which a leaf's own timeout reply may still
// arrive.
const replySlack = 50 * time.Millisecond

// write sends head and body. A long body is written in the background while the reply is
// read, because a leaf may answer before it has read it. The connection is then closed
// after the reply.
func (g *Gateway) write(conn *leafConn, head, body []byte) (int, error) {
	if len(body) < backgroundWriteThreshold {
		return conn.Write(append(head, body...))
	}
	n, err := conn.Write(head)
	if err != nil {
		return n, err
	}
	go func() {
		// A write error shows up as a missing reply.
		_, _ = conn.Write(body)
	}()
	return n, nil
}

// readReply reads the reply to a call. It skips replies to other requests, because a leaf
// may send duplicates late.
func (g *Gateway) readReply(conn *leafConn, outbound *outboundRequest) *exchangeResult {
	var reserved int64
	for range maxMismatchedReplies + 1 {
		r, last := g.readNextReply(conn, outbound)
		reserved += r.reservedBytes
		r.reservedBytes = reserved
		if last || !errorx.IsOfType(r.err, MismatchedReply) {
			return r
		}
	}
	return &exchangeResult{
		reservedBytes: reserved,
		err:           MismatchedReply.New("received more than %d replies to other requests", maxMismatchedReplies),
	}
}

// readNextReply reads the next reply on a connection. last is set if no other reply can
// follow on it.
func (g *Gateway) readNextReply(conn *leafConn, outbound *outboundRequest) (r *exchangeResult, last bool) {
	resp, err := readResponse(conn, outbound.request)
	if err != nil {
		return &exchangeResult{err: err}, true
	}
	defer func() { _ = resp.Body.Close() }()
	// The buffered reader may have read a part of the body together with the headers.
	limit := g.config.MaxReplyBytes
	conn.remaining = limit + limit/chunkOverheadDivisor + readBufferSize
	reader := &bodyReader{
		budget: &g.bodyBudget,
		limit:  limit,
	}
	body, err := reader.read(resp.Body, resp.ContentLength)
	r = &exchangeResult{
		reservedBytes: reader.reserved,
		err:           err,
	}
	if err != nil {
		return r, true
	}
	conn.idleTimeout = keepAliveTimeout(resp.Header)
	last = resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if last {
		conn.idleTimeout = 0
	}
	reply := g.config.Protocol.DecodeReply(resp.StatusCode, resp.Header)
	g.logInvalidHeader(reply, resp.Header, outbound.id, reply.Leaf)
	if r.err = verifyReply(reply, resp.StatusCode, outbound.id); r.err != nil {
		return r, last
	}
	r.status = resp.StatusCode
	r.header = resp.Header
	r.body = body
	r.reply = reply
	r.outcome = outcomeOf(reply, resp.StatusCode)
	return r, last
}

// logInvalidHeader logs a header of a leaf's reply that could not be parsed and is
// treated as absent. The request is empty for a health check.
func (g *Gateway) logInvalidHeader(reply LeafReply, header http.Header, request string, leaf anvilmodel.LeafName) {
	if reply.InvalidHeader == "" {
		return
	}
	g.config.Log.Warn().Str("event", "leaf-header-unreadable").Str("request", request).
		Str("leaf", string(leaf)).Str("header", reply.InvalidHeader).Str("value", header.Get(reply.InvalidHeader)).Send()
}

// verifyReply returns an error for a reply that is not proven to answer the request. Such
// a reply is ignored entirely, even if it states that the leaf did not run the request.
func verifyReply(reply LeafReply, status int, id string) error {
	switch {
	case reply.RequestID == "":
		return MissingRequestID.New("reply with status %d has no request ID", status)
	case reply.RequestID != id:
		return MismatchedReply.New("reply belongs to request %s", reply.RequestID)
	case status < 300 && reply.Signature == "" && !reply.NotRun:
		// The reply was corrupted, or something other than the leaf listens on the
		// address.
		return MissingSignature.New("reply with status %d has no signature", status)
	default:
		return nil
	}
}

func outcomeOf(reply LeafReply, status int) anvilbalance.Outcome {
	switch {
	case reply.Misdirected:
		return anvilbalance.OutcomeMisdirected
	case reply.NotRun:
		return anvilbalance.OutcomeShed
	case status >= 500:
		return anvilbalance.OutcomeFailed
	default:
		return anvilbalance.OutcomeGood
	}
}

// chunkOverheadDivisor limits the chunk headers of a reply to an eighth of the maximum
// body size.
const chunkOverheadDivisor = 8

// readResponse reads the headers of the final response. It returns TooLarge or InvalidStatus.
func readResponse(conn *leafConn, request *http.Request) (*http.Response, error) {
	conn.remaining = maxReplyHeaderBytes + readBufferSize
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(conn.reader, request)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode >= 200 && resp.StatusCode < 600:
			return resp, nil
		case resp.StatusCode < 100 || resp.StatusCode >= 600 || resp.StatusCode == http.StatusSwitchingProtocols:
			// What follows on the connection is unknown, so that it cannot be read any further.
			return nil, InvalidStatus.New("received a response with status %03d", resp.StatusCode)
		}
	}
	return nil, TooLarge.New("received more than %d interim responses", maxInterimResponses)
}

// classifyError returns the outcome of a call that was sent and not answered.
func classifyError(ctx context.Context, err error) anvilbalance.Outcome {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return anvilbalance.OutcomeAbandoned
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return anvilbalance.OutcomeTimeout
	default:
		return anvilbalance.OutcomeLost
	}
}
