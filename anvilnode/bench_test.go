package anvilnode_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilnode"
)

// countListener counts the writes of the accepting side.
type countListener struct {
	net.Listener
	writes, bytes *atomic.Int64
}

func (l countListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countConn{
		Conn:     c,
		listener: l,
	}, err
}

type countConn struct {
	net.Conn
	listener countListener
}

func (c countConn) Write(p []byte) (int, error) {
	c.listener.writes.Add(1)
	c.listener.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkQuery measures a query to 20 shards through one of four nodes, with
// callers, nodes and leafs in one process on loopback addresses. The messages and
// bytes between nodes include those of the control work in the same time.
func BenchmarkQuery(b *testing.B) {
	var writes, bytes atomic.Int64
	f := newFleet(b, 4, 4, func(c *anvilnode.Config) {
		c.PeerListener = countListener{
			Listener: c.PeerListener,
			writes:   &writes,
			bytes:    &bytes,
		}
	})
	f.awaitWhole(f.nodes...)
	client := anvilcaller.New(anvilcaller.Config{
		Seeds: []netip.AddrPort{f.nodes[0].listed.CallerAddress},
	})
	defer client.Shutdown()
	request := anvilcaller.Request{
		Service: lots,
		Class:   "broad",
		Timeout: classTimeout,
		Body:    make([]byte, 100),
	}
	asked, askedBytes := f.network.writes.Load()+writes.Load(), f.network.bytes.Load()+bytes.Load()
	b.ReportAllocs()
	for b.Loop() {
		answer, err := client.Query(b.Context(), request)
		if err != nil || len(answer.Coverage.Missing) > 0 {
			b.Fatalf("coverage %+v, error %v", answer.Coverage, err)
		}
	}
	b.ReportMetric(float64(f.network.writes.Load()+writes.Load()-asked)/float64(b.N), "peer-messages/op")
	b.ReportMetric(float64(f.network.bytes.Load()+bytes.Load()-askedBytes)/float64(b.N), "peer-B/op")
}
