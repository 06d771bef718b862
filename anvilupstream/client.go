// Package anvilupstream is the HTTP client for leaves. The connections to a leaf
// are numbered, so that the dispatcher can choose the connection on which a call is
// sent.
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
	// DialTimeout limits the time to open a connection; 1 s by default.
	DialTimeout time.Duration
	// ControlTimeout limits the time of Cancel, ReadState and OpenConnection; 1 s
	// by default.
	ControlTimeout time.Duration
	// CancelGrace is how long a timed-out call waits for the leaf to confirm its
	// cancellation, so that the connection can be kept; 20 ms by default.
	CancelGrace time.Duration
	// MaxReplyBytes limits the size of a reply body; 4 MiB by default.
	MaxReplyBytes int64
	// ControlConnections limits the connections per leaf for Cancel and ReadState,
	// which count towards the connection limit of the leaf; 1 by default.
	ControlConnections int
	// Dial opens a connection; a net.Dialer is used by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	c.DialTimeout = valueOrDefault(c.DialTimeout, defaultDialTimeout)
	c.ControlTimeout = valueOrDefault(c.ControlTimeout, defaultControlTimeout)
	c.CancelGrace = valueOrDefault(c.CancelGrace, defaultCancelGrace)
	c.MaxReplyBytes = valueOrDefault(c.MaxReplyBytes, defaultMaxReplyBytes)
	c.ControlConnections = valueOrDefault(c.ControlConnections, defaultControlConnections)
	if c.Dial == nil {
		dialer := net.Dialer{}
		c.Dial = dialer.DialContext
	}
	return c
}

func valueOrDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Client sends calls to leaves. It is safe for concurrent use.
type Client struct {
	config Config
	// baseContext is cancelled when the client is shut down.
	baseContext context.Context
	cancel      context.CancelFunc

	mu     sync.RWMutex
	leaves map[netip.AddrPort]*leaf
	closed bool
	// cancellations tracks the cancellations that timed-out calls have started.
	cancellations sync.WaitGroup
}

// New returns a Client. It must be closed with Shutdown.
func New(c Config) *Client {
	baseContext, cancel := context.WithCancel(context.Background())
	return &Client{
		config:      c.withDefaults(),
		baseContext: baseContext,
		cancel:      cancel,
		leaves:      make(map[netip.AddrPort]*leaf),
	}
}

// leaf returns the connections to the leaf at an address, or Closed after Shutdown.
func (c *Client) leaf(address netip.AddrPort) (*leaf, error) {
	c.mu.RLock()
	l, closed := c.leaves[address], c.closed
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
	if l = c.leaves[address]; l == nil {
		l = newLeaf(c, address)
		c.leaves[address] = l
	}
	return l, nil
}

// CloseConnection closes the numbered connection of the leaf. A call in progress on
// it ends with CallBroken. The next call with that number opens a new connection.
func (c *Client) CloseConnection(address netip.AddrPort, connection int) {
	c.mu.RLock()
	l := c.leaves[address]
	c.mu.RUnlock()
	if l != nil {
		l.close(connection)
	}
}

// Shutdown closes all connections and waits for cancellations in progress. Calls in
// progress end with CallBroken.
func (c *Client) Shutdown() {
	c.mu.Lock()
	c.closed = true
	leaves := c.leaves
	c.leaves = nil
	c.mu.Unlock()
	c.cancel()
	for _, l := range leaves {
		l.shutdown()
	}
	c.cancellations.Wait()
}

// beginCancellation registers a cancellation. It returns false after Shutdown.
func (c *Client) beginCancellation() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.closed {
		return false
	}
	c.cancellations.Add(1)
	return true
}
