package anvilupstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// maxStateBytes limits the size of a reply on a control connection.
const maxStateBytes = 256 << 10

// Cancel requests the leaf to cancel a call. It uses a control connection, so that
// the connection of the call can be kept. The call itself then returns
// CallCancelled. A call that is unknown to the leaf is not an error. Cancel returns
// Closed, Unreachable, TimedOut, Cancelled, TooLarge or BadStatus.
func (c *Client) Cancel(ctx context.Context, address netip.AddrPort, id anvilmodel.CallID) error {
	status, _, err := c.controlRequest(ctx, http.MethodDelete, address, anvilwire.LeafCallPath(id))
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	default:
		return BadStatus.New("cancel call at leaf at %s: HTTP status %d", address, status)
	}
}

// ReadState reads the state endpoint of the leaf on a control connection. It leaves
// Leaf and Age zero. It returns Closed, Unreachable, TimedOut, Cancelled,
// BadStatus, TooLarge or BadReply.
func (c *Client) ReadState(ctx context.Context, address netip.AddrPort) (anvilmodel.LeafState, error) {
	status, body, err := c.controlRequest(ctx, http.MethodGet, address, anvilwire.PathLeafState)
	return decodeState(address, status, body, err)
}

// OpenConnection opens a numbered connection that is not open and reads the state
// endpoint over it, so that the incarnation of the leaf is known before a call is
// sent. It returns the same errors as ReadState.
func (c *Client) OpenConnection(ctx context.Context, address netip.AddrPort, number int) (anvilmodel.LeafState, error) {
	l, err := c.leaf(address)
	if err != nil {
		return anvilmodel.LeafState{}, err
	}
	n, err := l.connection(number)
	if err != nil {
		return anvilmodel.LeafState{}, err
	}
	status, body, err := c.exchange(ctx, n, http.MethodGet, l, anvilwire.PathLeafState)
	state, err := decodeState(address, status, body, err)
	if err != nil {
		n.close()
		return state, err
	}
	n.setIncarnation(state.Incarnation)
	return state, nil
}

func decodeState(address netip.AddrPort, status int, body []byte, err error) (anvilmodel.LeafState, error) {
	if err != nil {
		return anvilmodel.LeafState{}, err
	}
	if status != http.StatusOK {
		return anvilmodel.LeafState{}, BadStatus.New("read state of leaf at %s: HTTP status %d", address, status)
	}
	state, err := anvilwire.DecodeLeafState(body)
	if err != nil {
		return anvilmodel.LeafState{}, BadReply.Wrap(err, "read state of leaf at %s", address)
	}
	return state, nil
}

// controlRequest sends a request without a body on a control connection and
// returns the status and the body of the reply.
func (c *Client) controlRequest(ctx context.Context, method string, address netip.AddrPort, path string) (int, []byte, error) {
	l, err := c.leaf(address)
	if err != nil {
		return 0, nil, err
	}
	return c.exchange(ctx, l.control, method, l, path)
}

// exchange sends a request without a body on a given connection.
func (c *Client) exchange(ctx context.Context, n *connection, method string, l *leaf, path string) (int, []byte, error) {
	address := l.address
	ctx, cancel := context.WithTimeout(ctx, c.config.ControlTimeout)
	defer cancel()
	target := *l.callURL
	target.Path = path
	req, err := http.NewRequestWithContext(ctx, method, target.String(), http.NoBody)
	if err != nil {
		return 0, nil, Unreachable.Wrap(err, "%s %s at leaf at %s", method, path, address)
	}
	resp, err := n.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, wrapControlError(ctx, err, method, path, address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes+1))
	if err != nil {
		return 0, nil, wrapControlError(ctx, err, method, path, address)
	}
	if len(body) > maxStateBytes {
		return 0, nil, TooLarge.New("%s %s at leaf at %s: the reply has over %d bytes", method, path, address, maxStateBytes)
	}
	return resp.StatusCode, body, nil
}

func wrapControlError(ctx context.Context, err error, method, path string, address netip.AddrPort) error {
	kind := Unreachable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = TimedOut
	case ctx.Err() != nil:
		kind = Cancelled
	}
	return kind.Wrap(err, "%s %s at leaf at %s", method, path, address)
}
