package anvilpeer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkRelayedCall measures a leaf call and its reply over a loopback stream, one at
// a time and in the batch that one of four nodes gets of a 20-shard query.
func BenchmarkRelayedCall(b *testing.B) {
	for _, c := range []struct {
		name  string
		batch int
	}{
		{name: "alone", batch: 1},
		{name: "batch of 5", batch: 5},
	} {
		b.Run(c.name, func(b *testing.B) {
			var bytes atomic.Int64
			p := (&testPeer{
				dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
					return countingConn{Conn: conn, bytes: &bytes}, err
				},
			}).start(b, anvilpeer.Handlers{})
			answered := make(chan struct{}, c.batch)
			client := anvilpeer.NewRelayClient(anvilpeer.RelayClientConfig{
				Address:     p.address,
				HandleReply: func(anvilmodel.CallReply) { answered <- struct{}{} },
				Dial:        p.dial,
			})
			defer client.Close()
			call := newCall(0)
			call.Service, call.Class, call.Snapshot = "registry-portal", "buyers", 7
			call.Body = make([]byte, 100)
			b.ReportAllocs()
			for b.Loop() {
				for range c.batch {
					call.ID.Attempt++
					client.Enqueue(serverIncarnation, call)
				}
				client.Flush()
				for range c.batch {
					<-answered
				}
				p.mu.Lock()
				p.submitted = p.submitted[:0]
				p.mu.Unlock()
			}
			calls := float64(b.N * c.batch)
			b.ReportMetric(float64(bytes.Load())/calls, "wire-B/call")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/calls, "ns/call")
		})
	}
}
