package anvilnode_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilnode"
)

// countingListener counts the writes on accepted connections and their bytes.
type countingListener struct {
	net.Listener
	writes, bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{
		Conn:     c,
		listener: l,
	}, err
}

type countingConn struct {
	net.Conn
	listener countingListener
}

func (c countingConn) Write(p []byte) (int, error) {
	c.listener.writes.Add(1)
	c.listener.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkQuery measures a query to 20 shards through one of four nodes, with callers,
// nodes and leaves in one process on loopback addresses. The reported messages and bytes
// between nodes include probes and other control messages sent during the benchmark.
func BenchmarkQuery(b *testing.B) {
	var writes, bytes atomic.Int64
	f := newFleet(b, 4, 4, func(c *anvilnode.Config) {
		c.PeerListener = countingListener{
			Listener: c.PeerListener,
			writes:   &writes,
			bytes:    &bytes,
		}
	})
	f.awaitFullCoverage(f.nodes...)
	client := anvilcaller.New(anvilcaller.Config{
		Seeds: []netip.AddrPort{f.nodes[0].listed.CallerAddress},
	})
	defer client.Shutdown()
	request := anvilcaller.Request{
		Service: serviceLots,
		Class:   "broad",
		Timeout: classTimeout,
		Body:    make([]byte, 100),
	}
	writesBefore, bytesBefore := f.network.writes.Load()+writes.Load(), f.network.bytes.Load()+bytes.Load()
	b.ReportAllocs()
	for b.Loop() {
		answer, err := client.Query(b.Context(), request)
		if err != nil || len(answer.Coverage.Missing) > 0 {
			b.Fatalf("coverage %+v, error %v", answer.Coverage, err)
		}
	}
	b.ReportMetric(float64(f.network.writes.Load()+writes.Load()-writesBefore)/float64(b.N), "peer-messages/op")
	b.ReportMetric(float64(f.network.bytes.Load()+bytes.Load()-bytesBefore)/float64(b.N), "peer-B/op")
}
