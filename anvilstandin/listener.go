package anvilstandin

import (
	"net"
	"sync"
)

// listener counts connections, limits their number and can silence the open ones.
type listener struct {
	net.Listener

	mu      sync.Mutex
	limit   int
	open    map[*conn]struct{}
	opened  int
	refused int
	peak    int
}

func newListener(raw net.Listener, limit int) *listener {
	return &listener{
		Listener: raw,
		limit:    limit,
		open:     make(map[*conn]struct{}),
	}
}

// Accept returns the next connection within the limit. Connections above the limit
// are reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = raw.Close()
	}
}

func (l *listener) admit(raw net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	c := &conn{
		Conn:   raw,
		owner:  l,
		silent: make(chan struct{}),
		closed: make(chan struct{}),
	}
	l.open[c] = struct{}{}
	l.opened++
	l.peak = max(l.peak, len(l.open))
	return c
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	return conns
}

// silence makes all open connections stop reading and answering.
func (l *listener) silence() {
	for _, c := range l.openConns() {
		c.silence()
	}
}

// closeAll closes all open connections.
func (l *listener) closeAll() {
	for _, c := range l.openConns() {
		_ = c.Close()
	}
}

// fillStats sets the counters of connections.
func (l *listener) fillStats(s *Stats) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.ConnectionsOpen = len(l.open)
	s.ConnectionsOpened = l.opened
	s.ConnectionsRefused = l.refused
	s.ConnectionsPeak = l.peak
}

// conn is an accepted connection that can be silenced: it stays open, but nothing
// more is read from it and everything written to it is discarded.
type conn struct {
	net.Conn
	owner       *listener
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

func (c *conn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silent)
	})
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		c.owner.remove(c)
		err = c.Conn.Close()
	})
	return err
}
