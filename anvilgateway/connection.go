package anvilgateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds opening a connection to a leaf; a healthy one takes 1 to
	// 10 ms.
	dialTimeout = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount end a connection that has
	// gone silent after 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is the same for bytes that were sent and not acknowledged.
	tcpUserTimeout = 3 * time.Second
	// defaultIdle is how long a connection is kept idle if the leaf does not state
	// its timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleMargin is the part of a stated idle timeout that is left unused, because
	// the leaf's clock started earlier.
	idleTimeoutMargin = 700 * time.Millisecond
	// freshIdle is the idle time up to which a connection is trusted with a
	// non-idempotent call.
	maxNonIdempotentIdle = time.Second
	readBufferSize       = 4 << 10
)

// NewDialer returns a dialer whose connections notice within some seconds that
// their peer has gone silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, rawConn syscall.RawConn) error {
			var sockoptErr error
			err := rawConn.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// leafConn is a connection to a leaf. One call at a time uses it.
type leafConn struct {
	*boundedConn
	rawConn syscall.RawConn
	reader  *bufio.Reader
	// idleSince and idleFor say until when the connection may be used again.
	idleSince   time.Time
	idleTimeout time.Duration
}

// quiet reports whether the connection is open and the leaf has sent nothing
// since the last reply. Anything that it has sent belongs to no call.
func (c *leafConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	noData := false
	var peeked [1]byte
	err := c.rawConn.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// pool holds the connections to one leaf.
type connPool struct {
	address netip.AddrPort
	dialer  *net.Dialer

	mu     sync.Mutex
	idle   []*leafConn
	closed bool
	// warmed says that connections were opened early.
	prewarmed bool
}

func newPool(address netip.AddrPort, dialer *net.Dialer) *connPool {
	return &connPool{
		address: address,
		dialer:  dialer,
	}
}

// take returns an idle connection with the deadline set, nil if there is none that
// may be used. Only connections used within the last moment are returned if fresh is
// set.
func (p *connPool) get(now, deadline time.Time, recentOnly bool) *leafConn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		// Past the deadline of its last call a connection cannot be looked at. An error
		// shows in the write that follows.
		_ = c.SetDeadline(deadline)
		idle := now.Sub(c.idleSince)
		if idle < c.idleTimeout && (!recentOnly || idle < maxNonIdempotentIdle) && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

// pop removes the connection that was used last.
func (p *connPool) popIdle() *leafConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// dial opens a connection with the deadline set; a zero one is none.
func (p *connPool) dial(ctx context.Context, deadline time.Time) (*leafConn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, err
	}
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	// An error shows in the write that follows.
	_ = conn.SetDeadline(deadline)
	bounded := &boundedConn{
		Conn: conn,
	}
	return &leafConn{
		boundedConn: bounded,
		rawConn:     rawConn,
		reader:      bufio.NewReaderSize(bounded, readBufferSize),
		idleTimeout: defaultIdleTimeout,
	}, nil
}

// put keeps a connection for the next call, if fewer than limit are idle.
func (p *connPool) put(c *leafConn, now time.Time, limit int) {
	c.idleSince = now
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < limit
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// beginWarm reports whether connections may be opened early: once, because calls
// keep those open that are needed.
func (p *connPool) startPrewarming() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prewarmed || p.closed || len(p.idle) > 0 {
		return false
	}
	p.prewarmed = true
	return true
}

// trim closes idle connections beyond the limit and those past their time.
func (p *connPool) closeExcess(now time.Time, limit int) {
	p.mu.Lock()
	var excess []*leafConn
	kept := p.idle[:0]
	for i, c := range p.idle {
		if now.Sub(c.idleSince) >= c.idleTimeout || len(p.idle)-i > limit {
			excess = append(excess, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range excess {
		_ = c.Close()
	}
}

// close closes the idle connections; those in use are closed after their call.
func (p *connPool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// idleTime returns how long a connection may stay idle after a reply.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
	}
	return defaultIdleTimeout
}
