package anvilnode_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"anvilbridge/anvilpeer"
)

// stallNetwork dials connections between nodes that can be made to deliver nothing
// any more, in both directions, while they stay open and new ones work. It counts
// what the dialing sides write.
type stallNetwork struct {
	mu   sync.Mutex
	open map[*stallConn]struct{}

	writes, bytes atomic.Int64
}

// dialer returns the dial function of one node.
func (s *stallNetwork) dialer(m *testNode) anvilpeer.DialFunc {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return s.dial(ctx, m, address)
	}
}

func (s *stallNetwork) dial(ctx context.Context, m *testNode, address netip.AddrPort) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	c := &stallConn{
		Conn:    raw,
		network: s,
		owner:   m,
		stalled: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*stallConn]struct{})
	}
	s.open[c] = struct{}{}
	return c, nil
}

// stall silences the connections that are open now and returns them.
func (s *stallNetwork) stall() []*stallConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conns []*stallConn
	for c := range s.open {
		close(c.stalled)
		conns = append(conns, c)
	}
	s.open = nil
	return conns
}

// openBy counts the connections that a node holds.
func (s *stallNetwork) openBy(m *testNode) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.open {
		if c.owner == m {
			count++
		}
	}
	return count
}

type stallConn struct {
	net.Conn
	network   *stallNetwork
	owner     *testNode
	stalled   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// relay is set once the connection has carried the beginning of a relay stream.
	relay atomic.Bool
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (c *stallConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if isClosed(c.stalled) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *stallConn) Write(p []byte) (int, error) {
	if isClosed(c.stalled) {
		return len(p), nil
	}
	if bytes.Contains(p, []byte("/Relay")) {
		c.relay.Store(true)
	}
	c.network.writes.Add(1)
	c.network.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *stallConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.open, c)
		c.network.mu.Unlock()
		_ = c.Conn.Close()
	})
	return nil
}
