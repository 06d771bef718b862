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

// Outcome is the result of a call on one connection.
type Outcome struct {
	Reply anvilmodel.CallReply
	// Connection is the number of the connection on which the call was sent.
	Connection int
	// BytesWritten is false only if it is certain that no byte of the call was or
	// will be written.
	BytesWritten bool
	// ConnectionLost is set if the connection no longer exists. Calls with its
	// number fail without being sent until CloseConnection is called.
	ConnectionLost bool
	// ConnectionOpened is set if the call opened the connection.
	ConnectionOpened bool
	// Elapsed is the duration of Call.
	Elapsed time.Duration
	// Err is the reason why the leaf sent no valid reply, as one of the error types
	// of this package. It is nil if Reply was sent by the leaf.
	Err error
}

// Call sends one call on the numbered connection of the leaf and waits for the
// reply. It opens the connection if necessary. A connection carries one call at a
// time; further calls wait. The call is never sent twice.
//
// After call.Timeout, Call requests the leaf to cancel the call and returns
// CallTimeout after the cancel grace at the latest. The connection is kept if the
// leaf confirms the cancellation in time, and closed otherwise. If ctx ends first,
// Call closes the connection immediately and returns CallCancelled or CallTimeout.
// For an incomplete reply or one to another call it returns CallBroken and closes
// the connection. RunState is RunStateNotRun only if the leaf reported that or no
// byte was written.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, connection int, call anvilmodel.Call) Outcome {
	start := time.Now()
	a := callAttempt{
		client: c,
		call:   &call,
	}
	out := a.run(ctx, address, connection)
	out.Reply.ID = call.ID
	out.Reply.Leaf = call.Leaf
	out.Connection = connection
	out.ConnectionOpened = a.opened
	out.Elapsed = time.Since(start)
	return out
}

// callAttempt is the state of one call.
type callAttempt struct {
	client *Client
	call   *anvilmodel.Call
	// connection is the numbered connection with its Transport, or nil if not yet
	// known.
	connection *connection
	// conn is the connection that the Transport assigned to the call, or nil before
	// that.
	conn          *trackedConn
	writtenBefore uint64
	// wroteEarlier is set if an earlier connection of the call was written to.
	wroteEarlier bool
	opened       bool
	expired      atomic.Bool
}

func (a *callAttempt) run(ctx context.Context, address netip.AddrPort, connection int) Outcome {
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
	a.connection = n
	ctx, cancel := context.WithTimeout(ctx, a.call.Timeout+a.client.config.CancelGrace)
	defer cancel()
	expiry := time.AfterFunc(a.call.Timeout, func() {
		a.cancelExpired(address)
	})
	defer expiry.Stop()
	resp, err := n.transport.RoundTrip(a.request(ctx, l))
	if err != nil {
		return a.transportFailure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return a.readReply(ctx, resp)
}

// request builds the request without http.NewRequest, which sets GetBody: without
// GetBody the Transport cannot send the body a second time.
func (a *callAttempt) request(ctx context.Context, l *leaf) *http.Request {
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

// gotConn is called by the Transport before anything is written. For a request
// without a body it is called again if the first connection turns out to be closed
// before anything was written.
func (a *callAttempt) gotConn(info httptrace.GotConnInfo) {
	if a.conn != nil && a.conn.abort(a.writtenBefore) {
		a.wroteEarlier = true
	}
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		// Without a trackedConn it is unknown what was written.
		a.wroteEarlier = true
		return
	}
	a.conn = conn
	a.writtenBefore = conn.bytesWritten()
	a.opened = !info.Reused
}

// cancelExpired cancels the call at the leaf, so that its connection can be kept.
func (a *callAttempt) cancelExpired(address netip.AddrPort) {
	if !a.client.beginCancellation() {
		return
	}
	defer a.client.cancellations.Done()
	a.expired.Store(true)
	// If the cancellation fails, the call itself gets no reply and fails.
	_ = a.client.Cancel(a.client.baseContext, address, a.call.ID)
}

func (a *callAttempt) readReply(ctx context.Context, resp *http.Response) Outcome {
	body, err := a.readBody(resp)
	if err != nil {
		return a.transportFailure(ctx, err)
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

// readBody reads the body to its end, so that the connection can be reused.
func (a *callAttempt) readBody(resp *http.Response) ([]byte, error) {
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

// checkIncarnation checks that the reply comes from the same process as earlier
// replies on its connection: a connection cannot outlive the process at its other
// end.
func (a *callAttempt) checkIncarnation(incarnation anvilmodel.Incarnation) error {
	if a.conn == nil {
		return nil
	}
	if a.conn.incarnation != 0 && a.conn.incarnation != incarnation {
		return anvilwire.Crossed.New("the reply is from incarnation %d on a connection to incarnation %d", incarnation, a.conn.incarnation)
	}
	a.conn.incarnation = incarnation
	return nil
}

// transportFailure classifies a call for which no complete reply was received.
func (a *callAttempt) transportFailure(ctx context.Context, err error) Outcome {
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

// failure closes the connection, if there is one, and returns an outcome that
// states whether the call may have run.
func (a *callAttempt) failure(result anvilmodel.CallResult, err error) Outcome {
	written := a.wroteEarlier
	if a.conn != nil && a.connection.discard(a.conn, a.writtenBefore) {
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
		BytesWritten:   written,
		ConnectionLost: true,
		Err:            err,
	}
}
