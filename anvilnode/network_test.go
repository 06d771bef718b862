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

// stallNetwork dials connections between nodes and can make the open ones silent: they
// stay open but deliver nothing in either direction, while new connections work. It
// counts the writes of the dialing sides and their bytes.
type stallNetwork struct {
	mu        sync.Mutex
	openConns map[*stallConn]struct{}

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
	if s.openConns == nil {
		s.openConns = make(map[*stallConn]struct{})
	}
	s.openConns[c] = struct{}{}
	return c, nil
}

// stall makes the connections that are open now silent and returns them.
func (s *stallNetwork) stall() []*stallConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conns []*stallConn
	for c := range s.openConns {
		close(c.stalled)
		conns = append(conns, c)
	}
	s.openConns = nil
	return conns
}

// openConnections returns the number of connections that a node has open.
func (s *stallNetwork) openConnections(m *testNode) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.openConns {
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
	// carriesRelay is set once the connection has carried the start of a relay stream.
	carriesRelay atomic.Bool
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
		c.carriesRelay.Store(true)
	}
	c.network.writes.Add(1)
	c.network.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *stallConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.openConns, c)
		c.network.mu.Unlock()
		_ = c.Conn.Close()
	})
	return nil
}
