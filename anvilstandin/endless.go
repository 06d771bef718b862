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

// EndlessServer is a faulty server whose replies never end: on each connection it
// waits for the first byte of a request and then sends data until the client
// closes the connection.
type EndlessServer struct {
	listener          net.Listener
	prefix            []byte
	repeated          []byte
	closedConnections atomic.Int64
	sentBytes         atomic.Int64
}

// NewEndlessServer starts a server that sends the prefix once and then the repeated
// text without end. It must be stopped with Stop.
func NewEndlessServer(prefix, repeated string) (*EndlessServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &EndlessServer{
		listener: listener,
		prefix:   []byte(prefix),
		repeated: []byte(repeated),
	}
	go e.serve()
	return e, nil
}

// Address returns the address of the server.
func (e *EndlessServer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

// ClosedConnections returns the number of connections that have ended.
func (e *EndlessServer) ClosedConnections() int64 {
	return e.closedConnections.Load()
}

// SentBytes returns the number of bytes sent on all connections, including those
// that clients have not read.
func (e *EndlessServer) SentBytes() int64 {
	return e.sentBytes.Load()
}

// Stop closes the listener. Open connections end when their clients close them.
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
		e.closedConnections.Add(1)
	}()
	var request [1]byte
	if _, err := conn.Read(request[:]); err != nil {
		return
	}
	n, err := conn.Write(e.prefix)
	for err == nil {
		e.sentBytes.Add(int64(n))
		n, err = conn.Write(e.repeated)
	}
}

// MaxSocketBufferBytes returns how many bytes the kernel may buffer of one loopback
// connection: the sum of the maximum sizes of the send and receive buffers.
func MaxSocketBufferBytes() (int64, error) {
	sum := int64(0)
	for _, name := range []string{"tcp_wmem", "tcp_rmem"} {
		text, err := os.ReadFile("/proc/sys/net/ipv4/" + name)
		if err != nil {
			return 0, errorx.Decorate(err, "read the maximum size of socket buffers")
		}
		fields := strings.Fields(string(text))
		maxSize, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
		if err != nil {
			return 0, errorx.Decorate(err, "read the maximum size of socket buffers")
		}
		sum += maxSize
	}
	return sum, nil
}
