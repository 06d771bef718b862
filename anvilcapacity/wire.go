package anvilcapacity

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// wireCounter counts what goes over connections, without TCP and IP headers.
type wireCounter struct {
	sent     atomic.Int64
	received atomic.Int64
}

func (w *wireCounter) bytes() float64 {
	return float64(w.sent.Load() + w.received.Load())
}

// dial opens a counted connection.
func (w *wireCounter) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:    conn,
		counter: w,
	}, nil
}

type countedConn struct {
	net.Conn
	counter *wireCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write counts first: the reply can be here before the write returns.
func (c *countedConn) Write(p []byte) (int, error) {
	c.counter.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// peerServer is the node-to-node server of one node on a loopback address.
type peerServer struct {
	address netip.AddrPort
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// startPeerServer serves handlers; calls of those left out are refused.
func startPeerServer(h anvilpeer.Handlers) (*peerServer, error) {
	h.Incarnation = func() anvilmodel.Incarnation { return peerIncarnation }
	server, err := anvilpeer.NewServer(h)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &peerServer{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		stop:    stop,
	}
	s.done.Go(func() {
		// It returns when the context ends.
		_ = server.Serve(ctx, listener)
	})
	return s, nil
}

func (s *peerServer) close() {
	s.stop()
	s.done.Wait()
}

// peerIncarnation is the incarnation of the nodes that measurements connect to.
const peerIncarnation anvilmodel.Incarnation = 1_700_000_000_000
