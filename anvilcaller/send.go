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
	// It never fails; see crypto/rand.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// unsent marks an error after which it is certain that nothing was sent.
var unsent = errorx.RegisterTrait("unsent")

// Types of errors before a connection was there.
var (
	notSent       = Unreachable.NewSubtype("not-sent", unsent)
	notSentInTime = TimedOut.NewSubtype("not-sent", unsent)
)

// send sends the request to one node once, and returns the verified answer. It
// returns an *anvilmodel.Refusal, Unreachable, TimedOut or BadReply.
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
		// Without GetBody the Transport cannot send the body a second time.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	reply, err := c.exchange(ctx, address, req)
	if err != nil {
		return anvilmodel.Answer{}, err
	}
	answer, err := reply.answer(r.ID)
	if errorx.IsOfType(err, BadReply) {
		reply.discard()
	}
	return answer, err
}

// reply is a response that was read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
	conn   net.Conn
}

// discard closes the connection, because what comes next on it cannot be
// trusted either.
func (p *reply) discard() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// answer verifies that the reply is whole and belongs to the request.
func (p *reply) answer(id anvilmodel.RequestID) (anvilmodel.Answer, error) {
	if err := anvilwire.VerifyReply(p.header, id, p.body); err != nil {
		return anvilmodel.Answer{}, BadReply.Wrap(err, "receive answer to request %s", id)
	}
	if p.status != http.StatusOK {
		refusal, err := anvilwire.DecodeRefusal(p.body)
		if err != nil {
			return anvilmodel.Answer{}, BadReply.Wrap(err, "receive refusal of request %s", id)
		}
		return anvilmodel.Answer{}, refusal
	}
	answer, err := anvilwire.DecodeAnswer(p.body)
	if err != nil {
		return anvilmodel.Answer{}, BadReply.Wrap(err, "receive answer to request %s", id)
	}
	return answer, checkAnswer(&answer, id)
}

// checkAnswer checks that an answer is the request's and that its parts and
// its coverage agree.
func checkAnswer(a *anvilmodel.Answer, id anvilmodel.RequestID) error {
	if a.RequestID != id {
		return BadReply.Wrap(anvilwire.Crossed.New("the body names request %q", a.RequestID), "receive answer to request %s", id)
	}
	v := a.Coverage
	if v.Covered != len(a.Parts) || v.Covered+len(v.Missing) != v.Total {
		return BadReply.New("receive answer to request %s: %d parts, coverage %d of %d with %d missing",
			id, len(a.Parts), v.Covered, v.Total, len(v.Missing))
	}
	return nil
}

// exchange sends one HTTP request and reads the whole reply. It returns
// Unreachable, TimedOut or BadReply.
func (c *Client) exchange(ctx context.Context, address netip.AddrPort, req *http.Request) (*reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	link := link{
		giveUp: cancel,
	}
	link.bound(ctx, c.config.DialTimeout)
	trace := httptrace.ClientTrace{
		GotConn: link.gotConn,
	}
	req.Host = address.String()
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, &trace)))
	conn := link.end()
	if err != nil {
		return nil, classify(ctx, err, conn, address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.config.MaxReplyBytes+1))
	if err != nil {
		return nil, classify(ctx, err, conn, address)
	}
	if int64(len(body)) > c.config.MaxReplyBytes {
		return nil, BadReply.New("receive from %s: the reply has over %d bytes", address, c.config.MaxReplyBytes)
	}
	return &reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
		conn:   conn,
	}, nil
}

func classify(ctx context.Context, err error, conn net.Conn, address netip.AddrPort) error {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case conn == nil && late:
		return notSentInTime.Wrap(err, "connect to %s", address)
	case conn == nil:
		return notSent.Wrap(err, "connect to %s", address)
	case late:
		return TimedOut.Wrap(err, "exchange with %s", address)
	default:
		return Unreachable.Wrap(err, "exchange with %s", address)
	}
}

// link gives a request up when it has no connection in time.
type link struct {
	giveUp context.CancelFunc
	timer  *time.Timer

	mu   sync.Mutex
	conn net.Conn
}

// bound starts the timer: the dial timeout, or half of the time left.
func (l *link) bound(ctx context.Context, dial time.Duration) {
	if deadline, ok := ctx.Deadline(); ok {
		dial = min(dial, time.Until(deadline)/2)
	}
	l.timer = time.AfterFunc(dial, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conn == nil {
			l.giveUp()
		}
	})
}

func (l *link) gotConn(info httptrace.GotConnInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = info.Conn
}

// end stops the timer and returns the connection, nil if there was none.
func (l *link) end() net.Conn {
	l.timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}
