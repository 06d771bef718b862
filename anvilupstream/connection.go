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

// errConnectionLost is returned by calls on a numbered connection that was lost and
// not yet closed with CloseConnection.
var errConnectionLost = errors.New("the connection was lost and has not been closed yet")

// errConnectionClosed is returned by writes on a connection that was closed.
var errConnectionClosed = errors.New("the connection is closed")

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

// connection returns the numbered connection, or Closed after shutdown.
func (l *leaf) connection(number int) (*connection, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, Closed.New("connect to leaf at %s: the client is shut down", l.address)
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
// A numbered connection is opened once. After it is lost, calls on it fail without
// being sent until it is closed: a Transport would reconnect silently, and the
// process that then replies may have just started and be cold.
type connection struct {
	transport *http.Transport
	numbered  bool

	mu        sync.Mutex
	openConns map[*trackedConn]struct{}
	dialed    bool
	closed    bool
}

func newConnection(c *Client, limit int, numbered bool) *connection {
	n := &connection{
		numbered:  numbered,
		openConns: make(map[*trackedConn]struct{}),
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

// dial opens a connection with the context of the client. If the call gives up
// while the connection is being opened, the connection is available to the next
// call.
func (n *connection) dial(c *Client, network, address string) (net.Conn, error) {
	if !n.canDial() {
		return nil, errConnectionLost
	}
	ctx, cancel := context.WithTimeout(c.baseContext, c.config.DialTimeout)
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
		return nil, errConnectionClosed
	}
	n.openConns[conn] = struct{}{}
	n.dialed = true
	return conn, nil
}

func (n *connection) canDial() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.numbered || !n.dialed
}

// setIncarnation records the process at the other end of the connection.
func (n *connection) setIncarnation(incarnation anvilmodel.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.openConns {
		conn.incarnation = incarnation
	}
}

// close closes the open connections; a later call opens a new one.
func (n *connection) close() {
	n.mu.Lock()
	conns := make([]*trackedConn, 0, len(n.openConns))
	for conn := range n.openConns {
		conns = append(conns, conn)
	}
	n.dialed = false
	n.mu.Unlock()
	for _, conn := range conns {
		conn.abort(0)
	}
	n.transport.CloseIdleConnections()
}

// discard closes a connection and reports whether bytes were written beyond
// the given count. It also removes the connection from the Transport's idle connections.
func (n *connection) discard(t *trackedConn, writtenBefore uint64) bool {
	written := t.abort(writtenBefore)
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
	delete(n.openConns, t)
}

// trackedConn tracks whether bytes of a call were written. The hooks of httptrace
// are not sufficient: they run before and after buffered writes, and the Transport
// does not guarantee that it writes nothing more after it has abandoned a call.
type trackedConn struct {
	net.Conn
	owner *connection
	// incarnation identifies the process at the other end; zero before its first
	// reply. Only the call that uses the connection accesses it.
	incarnation anvilmodel.Incarnation

	mu      sync.Mutex
	written uint64
	writing bool
	aborted bool
}

func (t *trackedConn) Write(p []byte) (int, error) {
	t.mu.Lock()
	if t.aborted {
		t.mu.Unlock()
		return 0, errConnectionClosed
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

// Close closes the connection and removes it from its owner.
func (t *trackedConn) Close() error {
	t.owner.remove(t)
	return t.Conn.Close()
}

// bytesWritten returns the number of bytes written so far.
func (t *trackedConn) bytesWritten() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written
}

// abort closes the connection and reports whether bytes were written beyond the
// given count. No write starts after it returns. It also reports true for a write in
// progress, which may still complete.
func (t *trackedConn) abort(writtenBefore uint64) bool {
	t.mu.Lock()
	t.aborted = true
	written := t.writing || t.written > writtenBefore
	t.mu.Unlock()
	_ = t.Close()
	return written
}
