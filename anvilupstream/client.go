// Package anvilupstream is the HTTP client to leafs. Connections to a leaf are
// numbered, so that the dispatcher chooses on which one a call is sent.
package anvilupstream

import (
	"context"
	"net"
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
)

// Config holds the settings of a Client. Zero values take the defaults.
type Config struct {
	// DialTimeout bounds opening a connection; 1 s by default.
	DialTimeout time.Duration
	// ControlTimeout bounds Cancel and State; 1 s by default.
	ControlTimeout time.Duration
	// CancelGrace is how long a call that ran out of time waits for the leaf to
	// confirm its cancellation, so that the connection is kept; 20 ms by default.
	CancelGrace time.Duration
	// MaxReplyBytes bounds the body of a reply; 4 MB by default.
	MaxReplyBytes int64
	// ControlConnections bounds the connections per leaf for Cancel and State,
	// which count against the leaf's connection limit; 1 by default.
	ControlConnections int
	// Dial opens a connection; by default a net.Dialer does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Outcome is how a call on one connection ended.
type Outcome struct {
	Reply anvilmodel.CallReply
	// Connection is the number on which the call was sent.
	Connection int
	// BytesWritten is false only if it is certain that no byte of the call was
	// and will be written.
	BytesWritten bool
	// Opened says whether the call opened the connection.
	Opened bool
	// Elapsed is the time from the call of Call to its return.
	Elapsed time.Duration
	// Err says why the result is CallBroken or CallTimeout; it may be nil.
	Err error
}

// Client sends calls to leafs.
type Client struct {
	config Config
}

// New returns a Client. It must be closed by Shutdown.
func New(c Config) *Client {
	return &Client{
		config: c,
	}
}

// Call sends one call on the numbered connection of the leaf, opening it if
// need be, and waits for the reply. A connection carries one call at a time.
// The call is never sent twice. It ends at the latest after call.Timeout and
// the cancel grace.
func (c *Client) Call(_ context.Context, _ netip.AddrPort, _ int, _ anvilmodel.Call) Outcome {
	panic("not written yet")
}

// Cancel asks the leaf to end a call, on a control connection, so that the
// connection of the call is kept. The call itself then returns CallCancelled.
func (c *Client) Cancel(_ context.Context, _ netip.AddrPort, _ anvilmodel.CallID) error {
	panic("not written yet")
}

// State reads the state endpoint of the leaf, on a control connection. Leaf
// and Age are left zero.
func (c *Client) State(_ context.Context, _ netip.AddrPort) (anvilmodel.LeafState, error) {
	panic("not written yet")
}

// Close closes the numbered connection of the leaf. A call on it ends with
// CallBroken. The next call with that number opens a new connection.
func (c *Client) Close(_ netip.AddrPort, _ int) {
	panic("not written yet")
}

// Forget closes all connections of a leaf that is no longer used.
func (c *Client) Forget(_ netip.AddrPort) {
	panic("not written yet")
}

// Shutdown closes all connections and waits for cancellations under way. Calls
// under way end with CallBroken.
func (c *Client) Shutdown() {
	panic("not written yet")
}
