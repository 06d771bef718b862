package anvilupstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const maxHeaderBytes = 16 << 10

// errDead is returned by calls on a numbered connection that has died.
var errDead = errors.New("the connection has died and was not closed yet")

// errSealed is returned by writes on a connection that was closed for good.
var errSealed = errors.New("the connection is closed")

// leaf holds the connections to one leaf.
type leaf struct {
	address netip.AddrPort
	callURL *url.URL
	client  *Client
	control *connection

	mu          sync.Mutex
	connections map[int]*connection
	closed      bool
}

func newLeaf(c *Client, address netip.AddrPort) *leaf {
	return &leaf{
		address: address,
		callURL: &url.URL{
			Scheme: "http",
			Host:   address.String(),
			Path:   anvilwire.PathLeafCall,
		},
		client:      c,
		control:     newConnection(c, c.config.ControlConnections, false),
		connections: make(map[int]*connection),
	}
}

// connection returns the numbered connection; it returns Closed after shutdown.
func (l *leaf) connection(number int) (*connection, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, Closed.New("connect to leaf at %s: the leaf is no longer used", l.address)
	}
	n := l.connections[number]
	if n == nil {
		n = newConnection(l.client, 1, true)
		l.connections[number] = n
	}
	return n, nil
}

func (l *leaf) close(number int) {
	l.mu.Lock()
	n := l.connections[number]
	l.mu.Unlock()
	if n != nil {
		n.close()
	}
}

func (l *leaf) shutdown() {
	l.mu.Lock()
	l.closed = true
	connections := l.connections
	l.connections = nil
	l.mu.Unlock()
	for _, n := range connections {
		n.shutdown()
	}
	l.control.shutdown()
}

// connection is one numbered connection, or the control connections, of a leaf.
// It has a Transport of its own, because a Transport does not let its user
// choose among its connections.
//
// A numbered connection is connected once. When it has died, calls on it fail
// unsent until it is closed: a Transport would silently connect again, and the
// process that then answers may have just started and be cold.
type connection struct {
	transport *http.Transport
	numbered  bool

	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	dialed bool
	closed bool
}

func newConnection(c *Client, limit int, numbered bool) *connection {
	n := &connection{
		numbered: numbered,
		open:     make(map[*trackedConn]struct{}),
	}
	n.transport = &http.Transport{
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			return n.dial(c, network, address)
		},
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return n
}

// dial opens a connection under the client's own context. A call that gives up
// while its connection is being opened leaves it to the next call.
func (n *connection) dial(c *Client, network, address string) (net.Conn, error) {
	if !n.mayDial() {
		return nil, errDead
	}
	ctx, cancel := context.WithTimeout(c.base, c.config.DialTimeout)
	defer cancel()
	raw, err := c.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{
		Conn:  raw,
		owner: n,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || (n.numbered && n.dialed) {
		_ = raw.Close()
		return nil, errSealed
	}
	n.open[conn] = struct{}{}
	n.dialed = true
	return conn, nil
}

func (n *connection) mayDial() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.numbered || !n.dialed
}

// identify notes which process is at the other end.
func (n *connection) identify(incarnation anvilmodel.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.open {
		conn.incarnation = incarnation
	}
}

// close ends the open connections; a later call opens a new one.
func (n *connection) close() {
	n.mu.Lock()
	conns := make([]*trackedConn, 0, len(n.open))
	for conn := range n.open {
		conns = append(conns, conn)
	}
	n.dialed = false
	n.mu.Unlock()
	for _, conn := range conns {
		conn.seal(0)
	}
	n.transport.CloseIdleConnections()
}

// discard closes a connection and reports whether bytes were written since the
// mark. The Transport is told, so that it does not offer the connection again.
func (n *connection) discard(t *trackedConn, mark uint64) bool {
	written := t.seal(mark)
	n.transport.CloseIdleConnections()
	return written
}

func (n *connection) shutdown() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.close()
}

func (n *connection) remove(t *trackedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, t)
}

// trackedConn knows whether bytes of a call were written. The hooks of
// httptrace do not tell it for certain: they run before and after buffered
// writes, and a Transport does not promise that it writes nothing more once it
// has given a call up.
type trackedConn struct {
	net.Conn
	owner *connection
	// incarnation is that of the process at the other end, zero before its
	// first reply. Only the call that has the connection uses it.
	incarnation anvilmodel.Incarnation

	mu      sync.Mutex
	written uint64
	writing bool
	sealed  bool
}

func (t *trackedConn) Write(p []byte) (int, error) {
	t.mu.Lock()
	if t.sealed {
		t.mu.Unlock()
		return 0, errSealed
	}
	t.writing = true
	t.mu.Unlock()
	n, err := t.Conn.Write(p)
	t.mu.Lock()
	t.writing = false
	t.written += uint64(n)
	t.mu.Unlock()
	return n, err
}

// Close also ends the bookkeeping of the connection.
func (t *trackedConn) Close() error {
	t.owner.remove(t)
	return t.Conn.Close()
}

// mark returns the bytes written so far.
func (t *trackedConn) mark() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written
}

// seal closes the connection and reports whether bytes were written since the
// mark. Nothing is written after it returns, unless a write was under way, and
// then it reports true.
func (t *trackedConn) seal(mark uint64) bool {
	t.mu.Lock()
	t.sealed = true
	written := t.writing || t.written > mark
	t.mu.Unlock()
	_ = t.Close()
	return written
}
