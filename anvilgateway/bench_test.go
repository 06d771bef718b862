package anvilgateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// BenchmarkQuery measures a query to 20 shards over loopback. The leaves run in the same
// process, so the allocations are those of the gateway and the leaves.
func BenchmarkQuery(b *testing.B) {
	const shards = 20
	s := newStore()
	c := anvilroute.Configuration{
		Version: 1,
	}
	route := anvilroute.Route{
		Name:          "query",
		Host:          "lots.example",
		Prefix:        "/query/",
		Timeout:       5 * time.Second,
		TargetLatency: 4 * time.Second,
		MaxAttempts:   2,
		TopK:          50,
		MinCoverage:   0.9,
	}
	for i := range shards {
		name := fmt.Sprint("s", i)
		s.register(leafEntry(name+"-1", name, startMinimalLeaf(b)))
		c.Services = append(c.Services, serviceNamed(name))
		route.Shards = append(route.Shards, anvilmodel.ServiceName(name))
	}
	c.Routes = []anvilroute.Route{route}
	s.configure(c)
	g := startReadyGateway(b, s)
	b.ReportAllocs()
	for i := range b.N {
		got, err := g.send(b.Context(), http.MethodGet, "/query/x", fmt.Sprint("id-", i))
		if err != nil || got.status != http.StatusOK {
			b.Fatalf("status %d: %v", got.status, err)
		}
	}
}

// startMinimalLeaf starts a leaf that does as little work as possible per call.
func startMinimalLeaf(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	head := []byte("HTTP/1.1 200 OK\r\n" + headerSignature + ": s\r\nContent-Length: 992\r\n")
	body := []byte("\r\n" + strings.Repeat("record-1-1234567", 62))
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				reply := bytes.Clone(head)
				for {
					line, err := reader.ReadSlice('\n')
					if err != nil {
						return
					}
					if bytes.HasPrefix(line, []byte(headerID)) {
						reply = append(reply, line...)
					}
					if len(bytes.TrimSpace(line)) > 0 {
						continue
					}
					if _, err := conn.Write(append(reply, body...)); err != nil {
						return
					}
					reply = reply[:len(head)]
				}
			})
		}
	})
	b.Cleanup(serving.Wait)
	b.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}
