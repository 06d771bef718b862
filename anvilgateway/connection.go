package anvilgateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds opening a connection to a leaf. A healthy leaf accepts one
	// within 1 to 10 ms.
	dialTimeout = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection whose peer
	// has not responded for 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout closes a connection on which sent bytes have not been acknowledged
	// for this time.
	tcpUserTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the leaf does not
	// state a timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleTimeoutMargin is subtracted from a leaf's stated idle timeout, because the leaf
	// starts to count earlier than the gateway.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxNonIdempotentIdle is the longest idle time after which a connection is still
	// used for a non-idempotent call. Such a call cannot be repeated if the leaf closes
	// the connection.
	maxNonIdempotentIdle = time.Second
	readBufferSize       = 4 << 10
)

// NewDialer returns a dialer whose connections detect within a few seconds that the peer
// no longer responds.
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

// leafConn is a connection to a leaf. It carries one call at a time.
type leafConn struct {
	*boundedConn
	rawConn syscall.RawConn
	reader  *bufio.Reader
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince and idleTimeout determine until when the connection may be used again.
	idleSince   time.Time
	idleTimeout time.Duration
}

// isReusable reports whether the connection is open and the leaf has sent nothing since
// the last reply. Any such bytes would not belong to the next call.
func (c *leafConn) isReusable() bool {
	open, noData := c.peek()
	return open && noData && c.reader.Buffered() == 0
}

// peek reports whether the leaf has kept the connection open, and whether it has sent nothing
// that has not been read.
func (c *leafConn) peek() (open, noData bool) {
	var peeked [1]byte
	err := c.rawConn.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		open = noData || err == nil && n > 0
		return true
	})
	return open && err == nil, noData
}

// connPool holds the connections to one leaf.
type connPool struct {
	address netip.AddrPort
	dialer  *net.Dialer

	mu     sync.Mutex
	idle   []*leafConn
	closed bool
	// prewarmed is set once connections have been opened in advance.
	prewarmed bool
}

func newPool(address netip.AddrPort, dialer *net.Dialer) *connPool {
	return &connPool{
		address: address,
		dialer:  dialer,
	}
}

// get returns an idle connection with the deadline set, or nil if none can be used. With
// recentOnly, it returns only connections that have been idle for less than
// maxNonIdempotentIdle. ended is set if there is none and the leaf has closed the last one.
func (p *connPool) get(now, deadline time.Time, recentOnly bool) (conn *leafConn, ended bool) {
	for {
		c := p.popIdle()
		if c == nil {
			return nil, ended
		}
		// The deadline of the last call may have passed, in which case isReusable would
		// fail. An error is reported by the write that follows.
		_ = c.SetDeadline(deadline)
		idle := now.Sub(c.idleSince)
		if idle < c.idleTimeout && (!recentOnly || idle < maxNonIdempotentIdle) && c.isReusable() {
			return c, false
		}
		open, _ := c.peek()
		ended = !open && idle < c.idleTimeout
		_ = c.Close()
	}
}

// hasOpenSince reports whether a connection that was opened before the given time is idle and
// open, so that the process of the leaf has not ended since.
func (p *connPool) hasOpenSince(opened time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *leafConn) bool {
		// An expired deadline makes peek fail.
		_ = c.SetDeadline(time.Time{})
		open, _ := c.peek()
		return open && c.openedAt.Before(opened)
	})
}

// popIdle removes the most recently used connection from the pool.
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

// dial opens a connection with the deadline set. A zero deadline means none.
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
	// An error is reported by the write that follows.
	_ = conn.SetDeadline(deadline)
	bounded := &boundedConn{
		Conn: conn,
	}
	return &leafConn{
		boundedConn: bounded,
		rawConn:     rawConn,
		reader:      bufio.NewReaderSize(bounded, readBufferSize),
		openedAt:    time.Now(),
		idleTimeout: defaultIdleTimeout,
	}, nil
}

// put returns a connection to the pool if fewer than limit are idle, and closes it
// otherwise.
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

// startPrewarming reports whether connections should be opened in advance. It does so at
// most once, because later the calls themselves keep as many connections open as they
// need.
func (p *connPool) startPrewarming() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prewarmed || p.closed || len(p.idle) > 0 {
		return false
	}
	p.prewarmed = true
	return true
}

// closeExcess closes the idle connections beyond the limit and those whose idle timeout
// has passed.
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

// close closes the idle connections. Those in use are closed after their call.
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

// keepAliveTimeout returns how long a connection may stay idle after a reply, according
// to its Keep-Alive header.
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
