package anvilupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// Outcome is how a call on one connection ended.
type Outcome struct {
	Reply anvilmodel.CallReply
	// Connection is the number on which the call was sent.
	Connection int
	// BytesWritten is false only if it is certain that no byte of the call was
	// and will be written.
	BytesWritten bool
	// Lost says that the connection no longer exists. Calls on its number fail
	// unsent until Close.
	Lost bool
	// Opened says whether the call opened the connection.
	Opened bool
	// Elapsed is the time from the call of Call to its return.
	Elapsed time.Duration
	// Err says why the call got no good reply from the leaf, by one of the error
	// types of this package; it is nil when the leaf's own reply is returned.
	Err error
}

// Call sends one call on the numbered connection of the leaf, opening it if
// need be, and waits for the reply. A connection carries one call at a time; a
// second one waits for the first. The call is never sent twice.
//
// When call.Timeout has passed, the leaf is told to cancel the call. The result
// is CallTimeout, at the latest after the cancel grace; the connection is kept
// if the leaf confirmed in time, else closed. When ctx ends first, the
// connection is closed at once and the result is CallCancelled or CallTimeout.
// A reply that is not this call's or not whole gives CallBroken and closes the
// connection. RunState is RunStateNotRun only if the leaf said so or no byte was written.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, connection int, call anvilmodel.Call) Outcome {
	start := time.Now()
	a := attempt{
		client: c,
		call:   &call,
	}
	out := a.run(ctx, address, connection)
	out.Reply.ID = call.ID
	out.Reply.Leaf = call.Leaf
	out.Connection = connection
	out.Opened = a.opened
	out.Elapsed = time.Since(start)
	return out
}

// attempt is the state of one call.
type attempt struct {
	client *Client
	call   *anvilmodel.Call
	// numbered is the connection number's Transport, nil before it is known.
	numbered *connection
	// conn is the connection that the Transport gave to the call, nil before.
	conn *trackedConn
	mark uint64
	// written says that an earlier connection of the call was written to.
	written bool
	opened  bool
	expired atomic.Bool
}

func (a *attempt) run(ctx context.Context, address netip.AddrPort, connection int) Outcome {
	if a.call.Timeout <= 0 {
		return a.failure(anvilmodel.CallTimeout, TimedOut.New("call leaf %s: no time left", a.call.Leaf))
	}
	l, err := a.client.leaf(address)
	if err != nil {
		return a.failure(anvilmodel.CallBroken, err)
	}
	n, err := l.connection(connection)
	if err != nil {
		return a.failure(anvilmodel.CallBroken, err)
	}
	a.numbered = n
	ctx, cancel := context.WithTimeout(ctx, a.call.Timeout+a.client.config.CancelGrace)
	defer cancel()
	expiry := time.AfterFunc(a.call.Timeout, func() {
		a.expire(address)
	})
	defer expiry.Stop()
	resp, err := n.transport.RoundTrip(a.request(ctx, l))
	if err != nil {
		return a.broken(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return a.receive(ctx, resp)
}

// request builds the request by hand: without GetBody the Transport cannot
// send the body a second time.
func (a *attempt) request(ctx context.Context, l *leaf) *http.Request {
	trace := httptrace.ClientTrace{
		GotConn: a.gotConn,
	}
	req := http.Request{
		Method:     http.MethodPost,
		URL:        l.callURL,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       l.callURL.Host,
		Header:     anvilwire.CallHeader(a.call),
		Body:       http.NoBody,
	}
	if len(a.call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.call.Body))
		req.ContentLength = int64(len(a.call.Body))
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, &trace))
}

// gotConn is called before anything is written. It is called again if the
// connection was found dead before anything was written, for an empty body.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if a.conn != nil && a.conn.seal(a.mark) {
		a.written = true
	}
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		// Without its own connection the call cannot tell what was written.
		a.written = true
		return
	}
	a.conn = conn
	a.mark = conn.mark()
	a.opened = !info.Reused
}

// expire cancels the call at the leaf, so that its connection can be kept.
func (a *attempt) expire(address netip.AddrPort) {
	if !a.client.startCancel() {
		return
	}
	defer a.client.cancels.Done()
	a.expired.Store(true)
	// An error shows as a missing reply to the call itself.
	_ = a.client.Cancel(a.client.base, address, a.call.ID)
}

func (a *attempt) receive(ctx context.Context, resp *http.Response) Outcome {
	body, err := a.readBody(resp)
	if err != nil {
		return a.broken(ctx, err)
	}
	reply, err := anvilwire.DecodeLeafReply(a.call.ID, resp.StatusCode, resp.Header, body)
	if err == nil {
		err = a.checkIncarnation(reply.Incarnation)
	}
	if err != nil {
		return a.failure(anvilmodel.CallBroken, BadReply.Wrap(err, "call leaf %s", a.call.Leaf))
	}
	if reply.Result == anvilmodel.CallCancelled && a.expired.Load() {
		reply.Result = anvilmodel.CallTimeout
	}
	return Outcome{
		Reply:        reply,
		BytesWritten: true,
	}
}

// readBody reads the body to its end, so that the connection can be kept.
func (a *attempt) readBody(resp *http.Response) ([]byte, error) {
	limit := a.client.config.MaxReplyBytes
	if resp.ContentLength > limit {
		return nil, TooLarge.New("the reply has %d bytes, at most %d are accepted", resp.ContentLength, limit)
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = TooLarge.New("the reply has over %d bytes", limit)
	}
	return body, err
}

// checkIncarnation compares the reply with earlier ones on its connection: a
// connection does not outlive the process at its other end.
func (a *attempt) checkIncarnation(incarnation anvilmodel.Incarnation) error {
	if a.conn == nil {
		return nil
	}
	if a.conn.incarnation != 0 && a.conn.incarnation != incarnation {
		return anvilwire.Crossed.New("the reply is from incarnation %d on a connection to incarnation %d", incarnation, a.conn.incarnation)
	}
	a.conn.incarnation = incarnation
	return nil
}

// broken classifies a call whose connection gave no whole reply.
func (a *attempt) broken(ctx context.Context, err error) Outcome {
	result := anvilmodel.CallBroken
	kind := Unreachable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = anvilmodel.CallTimeout
		kind = TimedOut
	case ctx.Err() != nil:
		result = anvilmodel.CallCancelled
		kind = Cancelled
	case errorx.IsOfType(err, TooLarge):
		kind = TooLarge
	}
	return a.failure(result, kind.Wrap(err, "call leaf %s", a.call.Leaf))
}

// failure closes the connection, if there is one, and says whether the call
// may have run.
func (a *attempt) failure(result anvilmodel.CallResult, err error) Outcome {
	written := a.written
	if a.conn != nil && a.numbered.discard(a.conn, a.mark) {
		written = true
	}
	ran := anvilmodel.RunStateNotRun
	if written {
		ran = anvilmodel.RunStateUnknown
	}
	return Outcome{
		Reply: anvilmodel.CallReply{
			Result:   result,
			RunState: ran,
		},
		BytesWritten: written,
		Lost:         true,
		Err:          err,
	}
}
