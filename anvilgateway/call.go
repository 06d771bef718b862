package anvilgateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

const (
	// largeBody is the size from which a body is written while the reply is read: a
	// leaf may answer before it has read a long body.
	backgroundWriteThreshold = 4 << 10
	// maxStrayReplies bounds the replies to other requests that are passed over before
	// the reply to a call. A leaf sends a second copy at most.
	maxMismatchedReplies = 2
)

// hopHeaders concern one connection only and are not forwarded.
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

// outbound is a caller's request as it is sent to leafs.
type outboundRequest struct {
	id string
	// method is that of the request; it decides whether a reply has a body.
	request *http.Request
	// head holds the request line and the headers that all calls share.
	head          []byte
	body          []byte
	deadline      time.Time
	nonIdempotent bool
}

// newOutbound prepares the bytes that all calls of a request share.
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
	// Writing to a buffer cannot fail.
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

// connectionHeaders returns the headers that Connection names.
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

// reply is how a call ended.
type callResult struct {
	outcome anvilbalance.Outcome
	// status, header and body are set if the leaf answered.
	status int
	header http.Header
	body   []byte
	reply  LeafReply
	// held is the memory that the body holds.
	reservedBytes int64
	// err says why there is no good answer.
	err error
}

func (r *callResult) answered() bool {
	return r.status != 0
}

// call sends a request to a leaf once and reads the reply. It ends early when ctx
// does. The leaf is told the time until the deadline; its reply is awaited until that of
// the request. A kept connection that the leaf has closed is replaced if certainly no
// byte was sent.
func (g *Gateway) call(ctx context.Context, outbound *outboundRequest, leaf anvilbalance.Leaf, deadline time.Time) *callResult {
	p := g.poolFor(leaf)
	replyDeadline := outbound.deadline.Add(replySlack)
	conn := p.get(time.Now(), replyDeadline, outbound.nonIdempotent)
	for {
		isNew := conn == nil
		if isNew {
			var err error
			if conn, err = p.dial(ctx, replyDeadline); err != nil {
				return &callResult{
					outcome: anvilbalance.OutcomeUnsent,
					err:     err,
				}
			}
			if g.rejectsCalls(leaf) {
				_ = conn.Close()
				return &callResult{
					outcome: anvilbalance.OutcomeWithdrawn,
				}
			}
		}
		r, sent := g.exchange(ctx, p, conn, outbound, leaf, deadline)
		if isNew || sent || ctx.Err() != nil {
			return r
		}
		conn = nil
	}
}

// exchange sends the call over a connection of the pool and reads the reply. The
// connection is kept afterwards or closed. sent is false only if certainly no byte of the
// call was sent.
func (g *Gateway) exchange(ctx context.Context, p *connPool, conn *leafConn, outbound *outboundRequest, leaf anvilbalance.Leaf, deadline time.Time) (r *callResult, sent bool) {
	remaining := time.Until(deadline)
	message := make([]byte, 0, len(outbound.head)+len(outbound.body)+128)
	message = append(message, outbound.head...)
	message = g.config.Protocol.AppendCallHeaders(message, max(remaining, time.Millisecond), leaf.ID)
	message = append(message, '\r', '\n')
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	written, err := g.write(conn, message, outbound.body)
	if err == nil || written > 0 {
		r = g.readReply(conn, outbound)
		sent = true
	} else {
		r = &callResult{
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

// replySlack is the time after the deadline in which a leaf's own answer that the
// time is over may still arrive.
const replySlack = 50 * time.Millisecond

// write sends head and body. A long body is written in the background while the
// reply is read, because a leaf may answer before it has read it; the connection
// is then closed after the reply.
func (g *Gateway) write(conn *leafConn, head, body []byte) (int, error) {
	if len(body) < backgroundWriteThreshold {
		return conn.Write(append(head, body...))
	}
	n, err := conn.Write(head)
	if err != nil {
		return n, err
	}
	go func() {
		// A failure to write shows as a missing reply.
		_, _ = conn.Write(body)
	}()
	return n, nil
}

// read reads the reply of a call. Replies to other requests, which a leaf may send
// twice and late, are passed over.
func (g *Gateway) readReply(conn *leafConn, outbound *outboundRequest) *callResult {
	var reserved int64
	for range maxMismatchedReplies + 1 {
		r, last := g.readNextReply(conn, outbound)
		reserved += r.reservedBytes
		r.reservedBytes = reserved
		if last || !errorx.IsOfType(r.err, MismatchedReply) {
			return r
		}
	}
	return &callResult{
		reservedBytes: reserved,
		err:           MismatchedReply.New("over %d replies to other requests came before the reply", maxMismatchedReplies),
	}
}

// readOne reads the next reply on a connection; last says that no other one can
// follow.
func (g *Gateway) readNextReply(conn *leafConn, outbound *outboundRequest) (r *callResult, last bool) {
	resp, err := readResponse(conn, outbound.request)
	if err != nil {
		return &callResult{err: err}, true
	}
	defer func() { _ = resp.Body.Close() }()
	// The head may have been read together with a part of the body.
	limit := g.config.MaxReplyBytes
	conn.remaining = limit + limit/chunkOverheadDivisor + readBufferSize
	reader := &bodyReader{
		budget: &g.bodyBudget,
		limit:  limit,
	}
	body, err := reader.read(resp.Body, resp.ContentLength)
	r = &callResult{
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
	g.logInvalidHeader(reply, resp.Header, outbound.id, reply.Instance)
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

// logUnreadable logs a header of a leaf's reply that counts as absent. The request is
// empty for a health check.
func (g *Gateway) logInvalidHeader(reply LeafReply, header http.Header, request string, leaf anvilmodel.LeafName) {
	if reply.InvalidHeader == "" {
		return
	}
	g.config.Log.Warn().Str("event", "leaf-header-unreadable").Str("request", request).
		Str("leaf", string(leaf)).Str("header", reply.InvalidHeader).Str("value", header.Get(reply.InvalidHeader)).Send()
}

// ownReply returns an error for a reply that does not prove to answer the request.
// What it says then counts for nothing, also that the leaf has not run the request.
func verifyReply(reply LeafReply, status int, id string) error {
	switch {
	case reply.ID == "":
		return MissingRequestID.New("the reply with status %d does not name its request", status)
	case reply.ID != id:
		return MismatchedReply.New("the reply answers request %s", reply.ID)
	case status < 300 && reply.Signature == "" && !reply.NotRun:
		// Not an answer of this leaf: something else listens there, or it is spoilt.
		return MissingSignature.New("the reply with status %d has no signature", status)
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

// chunkOverhead limits what the heads of chunks may add to the greatest body: an
// eighth of it.
const chunkOverheadDivisor = 8

// readResponse reads the head of the final response. It returns TooLarge.
func readResponse(conn *leafConn, request *http.Request) (*http.Response, error) {
	conn.remaining = maxReplyHeaderBytes + readBufferSize
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(conn.reader, request)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
	return nil, TooLarge.New("over %d interim responses came before the reply", maxInterimResponses)
}

// classify returns the outcome of a call that was sent and not answered.
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
