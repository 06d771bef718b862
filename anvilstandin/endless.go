package anvilstandin

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

// EndlessServer is a faulty server that, on each connection, sends bytes without end once
// it has been asked something, until the client closes the connection.
type EndlessServer struct {
	listener net.Listener
	first    []byte
	repeat   []byte
	closed   atomic.Int64
	sent     atomic.Int64
}

// NewEndlessServer starts a server that sends the first bytes and then repeats the others.
// It must be stopped.
func NewEndlessServer(first, repeat string) (*EndlessServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &EndlessServer{
		listener: listener,
		first:    []byte(first),
		repeat:   []byte(repeat),
	}
	go e.serve()
	return e, nil
}

// Address returns where the server listens.
func (e *EndlessServer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

// ClosedConnections returns the number of connections that clients have closed.
func (e *EndlessServer) ClosedConnections() int64 {
	return e.closed.Load()
}

// SentBytes returns the bytes that were sent on all connections, with those that clients
// have not read.
func (e *EndlessServer) SentBytes() int64 {
	return e.sent.Load()
}

// Stop ends listening. Connections end when their clients close them.
func (e *EndlessServer) Stop() {
	_ = e.listener.Close()
}

func (e *EndlessServer) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.send(conn)
	}
}

func (e *EndlessServer) send(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.closed.Add(1)
	}()
	var question [1]byte
	if _, err := conn.Read(question[:]); err != nil {
		return
	}
	n, err := conn.Write(e.first)
	for err == nil {
		e.sent.Add(int64(n))
		n, err = conn.Write(e.repeat)
	}
}

// MaxSocketBufferBytes returns the bytes that the kernel may hold of one connection over
// loopback: the greatest sizes of its send and receive buffers.
func MaxSocketBufferBytes() (int64, error) {
	sum := int64(0)
	for _, name := range []string{"tcp_wmem", "tcp_rmem"} {
		text, err := os.ReadFile("/proc/sys/net/ipv4/" + name)
		if err != nil {
			return 0, errorx.Decorate(err, "reading the size of socket buffers")
		}
		fields := strings.Fields(string(text))
		greatest, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
		if err != nil {
			return 0, errorx.Decorate(err, "reading the size of socket buffers")
		}
		sum += greatest
	}
	return sum, nil
}
