package anvilcaller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const randomIDBytes = 16

// randomID returns 128 random bits as 32 hex digits.
func randomID() string {
	var id [randomIDBytes]byte
	// rand.Read never returns an error; see crypto/rand.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// nothingSent marks errors after which it is certain that nothing was sent.
var nothingSent = errorx.RegisterTrait("unsent")

// Types of the errors before a connection is established.
var (
	notSent         = Unreachable.NewSubtype("not-sent", nothingSent)
	notSentTimedOut = TimedOut.NewSubtype("not-sent", nothingSent)
)

// send sends the request to a node once and returns the verified answer. The
// error is an *anvilmodel.Refusal, Unreachable, TimedOut or BadReply.
func (c *Client) send(ctx context.Context, address netip.AddrPort, r *Request, ticket anvilmodel.Ticket) (anvilmodel.Answer, error) {
	deadline, _ := ctx.Deadline()
	query := anvilwire.Query{
		ID:      r.ID,
		Service: r.Service,
		Class:   r.Class,
		Timeout: time.Until(deadline),
		Ticket:  ticket,
		Key:     r.Key,
	}
	if query.Timeout <= 0 {
		return anvilmodel.Answer{}, TimedOut.New("send request %s: no time left", r.ID)
	}
	req := &http.Request{
		Method: http.MethodPost,
		URL: &url.URL{
			Scheme: "http",
			Host:   address.String(),
			Path:   anvilwire.PathQuery,
		},
		Header: query.Header(),
	}
	if len(r.Body) > 0 {
		// GetBody stays nil, so that the Transport cannot send the request a second
		// time by itself.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	reply, err := c.exchange(ctx, address, req)
	if err != nil {
		return anvilmodel.Answer{}, err
	}
	answer, err := reply.verifiedAnswer(r.ID)
	if errorx.IsOfType(err, BadReply) {
		reply.closeConnection()
	}
	return answer, err
}

// reply is an HTTP response whose body was read completely.
type reply struct {
	status int
	header http.Header
	body   []byte
	conn   net.Conn
}

// closeConnection closes the connection after an invalid reply, because later
// replies on it cannot be trusted either.
func (r *reply) closeConnection() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// verifiedAnswer verifies that the reply is complete and belongs to the request,
// and returns its answer, or its refusal as the error.
func (r *reply) verifiedAnswer(id anvilmodel.RequestID) (anvilmodel.Answer, error) {
	if err := anvilwire.VerifyReply(r.header, id, r.body); err != nil {
		return anvilmodel.Answer{}, BadReply.Wrap(err, "receive answer to request %s", id)
	}
	if r.status != http.StatusOK {
		refusal, err := anvilwire.DecodeRefusal(r.body)
		if err != nil {
			return anvilmodel.Answer{}, BadReply.Wrap(err, "receive refusal of request %s", id)
		}
		return anvilmodel.Answer{}, refusal
	}
	answer, err := anvilwire.DecodeAnswer(r.body)
	if err != nil {
		return anvilmodel.Answer{}, BadReply.Wrap(err, "receive answer to request %s", id)
	}
	return answer, checkAnswer(&answer, id)
}

// checkAnswer checks that an answer belongs to the request and that its coverage
// agrees with its parts.
func checkAnswer(a *anvilmodel.Answer, id anvilmodel.RequestID) error {
	if a.RequestID != id {
		return BadReply.Wrap(anvilwire.Crossed.New("body belongs to request %q", a.RequestID), "receive answer to request %s", id)
	}
	coverage := a.Coverage
	if coverage.Covered != len(a.Parts) || coverage.Covered+len(coverage.Missing) != coverage.Total {
		return BadReply.New("receive answer to request %s: %d parts, coverage %d of %d with %d missing",
			id, len(a.Parts), coverage.Covered, coverage.Total, len(coverage.Missing))
	}
	return nil
}

// exchange sends an HTTP request and reads the whole reply. It returns
// Unreachable, TimedOut or BadReply.
func (c *Client) exchange(ctx context.Context, address netip.AddrPort, req *http.Request) (*reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := connectGuard{
		cancel: cancel,
	}
	guard.start(ctx, c.config.DialTimeout)
	trace := httptrace.ClientTrace{
		GotConn: guard.gotConn,
	}
	req.Host = address.String()
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, &trace)))
	conn := guard.stop()
	if err != nil {
		return nil, wrapTransportError(ctx, err, conn, address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.config.MaxReplyBytes+1))
	if err != nil {
		return nil, wrapTransportError(ctx, err, conn, address)
	}
	if int64(len(body)) > c.config.MaxReplyBytes {
		return nil, BadReply.New("receive reply from %s: body exceeds %d bytes", address, c.config.MaxReplyBytes)
	}
	return &reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
		conn:   conn,
	}, nil
}

// wrapTransportError gives an error of the transport its type, depending on
// whether there was a connection and whether the context has timed out.
func wrapTransportError(ctx context.Context, err error, conn net.Conn, address netip.AddrPort) error {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case conn == nil && timedOut:
		return notSentTimedOut.Wrap(err, "connect to %s", address)
	case conn == nil:
		return notSent.Wrap(err, "connect to %s", address)
	case timedOut:
		return TimedOut.Wrap(err, "exchange with %s", address)
	default:
		return Unreachable.Wrap(err, "exchange with %s", address)
	}
}

// connectGuard cancels a request that does not get a connection in time.
type connectGuard struct {
	cancel context.CancelFunc
	timer  *time.Timer

	mu   sync.Mutex
	conn net.Conn
}

// start starts the timer, with the given timeout or half of the time that is left
// for the request, whichever is shorter.
func (g *connectGuard) start(ctx context.Context, timeout time.Duration) {
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	g.timer = time.AfterFunc(timeout, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.conn == nil {
			g.cancel()
		}
	})
}

func (g *connectGuard) gotConn(info httptrace.GotConnInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conn = info.Conn
}

// stop stops the timer and returns the connection, or nil if there is none.
func (g *connectGuard) stop() net.Conn {
	g.timer.Stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn
}
