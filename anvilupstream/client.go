// Package anvilupstream is the HTTP client to leafs. Connections to a leaf are
// numbered, so that the dispatcher chooses on which one a call is sent.
package anvilupstream

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	defaultDialTimeout        = time.Second
	defaultControlTimeout     = time.Second
	defaultCancelGrace        = 20 * time.Millisecond
	defaultMaxReplyBytes      = 4 << 20
	defaultControlConnections = 1
)

// Config holds the settings of a Client. Zero values take the defaults.
type Config struct {
	// DialTimeout bounds opening a connection; 1 s by default.
	DialTimeout time.Duration
	// ControlTimeout bounds Cancel and ReadState; 1 s by default.
	ControlTimeout time.Duration
	// CancelGrace is how long a call that ran out of time waits for the leaf to
	// confirm its cancellation, so that the connection is kept; 20 ms by default.
	CancelGrace time.Duration
	// MaxReplyBytes bounds the body of a reply; 4 MB by default.
	MaxReplyBytes int64
	// ControlConnections bounds the connections per leaf for Cancel and ReadState,
	// which count against the leaf's connection limit; 1 by default.
	ControlConnections int
	// Dial opens a connection; by default a net.Dialer does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	c.DialTimeout = orDefault(c.DialTimeout, defaultDialTimeout)
	c.ControlTimeout = orDefault(c.ControlTimeout, defaultControlTimeout)
	c.CancelGrace = orDefault(c.CancelGrace, defaultCancelGrace)
	c.MaxReplyBytes = orDefault(c.MaxReplyBytes, defaultMaxReplyBytes)
	c.ControlConnections = orDefault(c.ControlConnections, defaultControlConnections)
	if c.Dial == nil {
		dialer := net.Dialer{}
		c.Dial = dialer.DialContext
	}
	return c
}

func orDefault[T int | int64 | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

// Client sends calls to leafs. Its methods may be called concurrently.
type Client struct {
	config Config
	// base ends when the client is shut down.
	base   context.Context
	cancel context.CancelFunc

	mu     sync.RWMutex
	leafs  map[netip.AddrPort]*leaf
	closed bool
	// cancels counts the cancellations that expired calls have started.
	cancels sync.WaitGroup
}

// New returns a Client. It must be closed by Shutdown.
func New(c Config) *Client {
	base, cancel := context.WithCancel(context.Background())
	return &Client{
		config: c.withDefaults(),
		base:   base,
		cancel: cancel,
		leafs:  make(map[netip.AddrPort]*leaf),
	}
}

// leaf returns the state kept for an address; it returns Closed after Shutdown.
func (c *Client) leaf(address netip.AddrPort) (*leaf, error) {
	c.mu.RLock()
	l, closed := c.leafs[address], c.closed
	c.mu.RUnlock()
	if closed {
		return nil, Closed.New("connect to leaf at %s: the client is shut down", address)
	}
	if l != nil {
		return l, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, Closed.New("connect to leaf at %s: the client is shut down", address)
	}
	if l = c.leafs[address]; l == nil {
		l = newLeaf(c, address)
		c.leafs[address] = l
	}
	return l, nil
}

// CloseConnection closes the numbered connection of the leaf. A call on it ends with
// CallBroken. The next call with that number opens a new connection.
func (c *Client) CloseConnection(address netip.AddrPort, connection int) {
	c.mu.RLock()
	l := c.leafs[address]
	c.mu.RUnlock()
	if l != nil {
		l.close(connection)
	}
}

// Shutdown closes all connections and waits for cancellations under way. Calls
// under way end with CallBroken.
func (c *Client) Shutdown() {
	c.mu.Lock()
	c.closed = true
	leafs := c.leafs
	c.leafs = nil
	c.mu.Unlock()
	c.cancel()
	for _, l := range leafs {
		l.shutdown()
	}
	c.cancels.Wait()
}

// startCancel counts a cancellation under way; it is false after Shutdown.
func (c *Client) startCancel() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.closed {
		return false
	}
	c.cancels.Add(1)
	return true
}
