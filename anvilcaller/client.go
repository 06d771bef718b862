// Package anvilcaller is a caller's client. It asks any node for addresses,
// keeps the answer for its lifetime, and uses the next address when one is dead.
package anvilcaller

import (
	"context"
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// Config holds the settings of a Client. Zero values take the defaults.
type Config struct {
	// Seeds are addresses of nodes that may be asked for addresses, in order.
	Seeds []netip.AddrPort
	// FailureDomain is the caller's own; it may be empty.
	FailureDomain anvilmodel.FailureDomain
	// DialTimeout bounds opening a connection; 1 s by default.
	DialTimeout time.Duration
	// AddressTimeout bounds one address query; 1 s by default.
	AddressTimeout time.Duration
	// MaxReplyBytes bounds a reply; 64 MB by default.
	MaxReplyBytes int64
	// Now reads the clock; time.Now by default.
	Now func() time.Time
}

// Request is one logical request. Its ID stays the same whatever node gets it.
type Request struct {
	// ID is chosen by the client if it is empty.
	ID      anvilmodel.RequestID
	Service anvilmodel.ServiceName
	Class   anvilmodel.ClassName
	// Timeout is the time in which the answer is of use; it is required.
	Timeout time.Duration
	// Key routes the request to the one shard of that key; empty means all shards.
	Key string
	// NonIdempotent marks a request that may run at most once.
	NonIdempotent bool
	Body          []byte
}

// Client sends requests.
type Client struct {
	config Config
}

// New returns a Client. It must be closed by Shutdown.
func New(c Config) *Client {
	return &Client{
		config: c,
	}
}

// Query sends the request to the first usable node and returns the verified
// answer. The error is an *anvilmodel.Refusal if a node refused the request,
// or one of the errorx types of this package.
func (c *Client) Query(_ context.Context, _ Request) (anvilmodel.Answer, error) {
	panic("not written yet")
}

// Outcome asks what became of a ticket, at any node that answers.
func (c *Client) Outcome(_ context.Context, _ anvilmodel.Ticket) (anvilwire.Outcome, error) {
	panic("not written yet")
}

// Addresses returns the cached address answer, or asks the seeds and the known
// nodes for a new one.
func (c *Client) Addresses(_ context.Context) (anvilwire.AddressAnswer, error) {
	panic("not written yet")
}

// Shutdown closes idle connections.
func (c *Client) Shutdown() {
	panic("not written yet")
}
