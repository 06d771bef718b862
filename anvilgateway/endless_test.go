package anvilgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
	"anvilbridge/anvilstandin"
)

const (
	// maxBodyMemory is the memory budget of the gateways in these tests for the bodies of
	// all requests and replies in flight.
	maxBodyMemory = 8 << 20
	// maxReplyBytes is their size limit for one reply.
	maxReplyBytes = 1 << 20
	// heapMargin allows for other heap use of the process during a test, including the
	// buffers of its sockets.
	heapMargin = 24 << 20
)

// endlessReplies are invalid replies that a leaf sends until its caller closes the
// connection: the first bytes and the bytes that are repeated.
var endlessReplies = map[string]struct {
	first  string
	repeat string
}{
	"header lines": {
		first:  "HTTP/1.1 200 OK\r\n",
		repeat: "Some-Header: with a value\r\n",
	},
	"one header line": {
		first:  "HTTP/1.1 200 OK\r\nSome-Header: ",
		repeat: strings.Repeat("x", 1<<10),
	},
	"one status line": {
		first:  "HTTP/1.1 200 ",
		repeat: strings.Repeat("x", 1<<10),
	},
	"interim responses": {
		repeat: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
	},
	"body without a length": {
		first:  "HTTP/1.1 200 OK\r\n" + headerSignature + ": by-b1\r\n\r\n",
		repeat: strings.Repeat("record-3-1234567", 64),
	},
	"chunked body": {
		first:  "HTTP/1.1 200 OK\r\n" + headerSignature + ": by-b1\r\nTransfer-Encoding: chunked\r\n\r\n",
		repeat: "400\r\n" + strings.Repeat("record-3-1234567", 64) + "\r\n",
	},
	"chunk extension": {
		first:  "HTTP/1.1 200 OK\r\n" + headerSignature + ": by-b1\r\nTransfer-Encoding: chunked\r\n\r\n400;",
		repeat: strings.Repeat("x", 1<<10),
	},
	"trailer": {
		first:  "HTTP/1.1 200 OK\r\n" + headerSignature + ": by-b1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		repeat: "Some-Trailer: with a value\r\n",
	},
	"long body": {
		first:  "HTTP/1.1 200 OK\r\n" + headerSignature + ": by-b1\r\nContent-Length: 1000000000000\r\n\r\n",
		repeat: strings.Repeat("record-3-1234567", 64),
	},
}

// startEndlessServer starts a server that sends bytes without end until the test ends.
func startEndlessServer(t *testing.T, first, repeat string) *anvilstandin.EndlessServer {
	t.Helper()
	e, err := anvilstandin.NewEndlessServer(first, repeat)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// measurePeakHeap samples the heap in use until the returned function is called, which
// returns the peak growth.
func measurePeakHeap() func() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before := m.HeapInuse
	stop, done := make(chan struct{}), make(chan uint64)
	go func() {
		peak := uint64(0)
		for {
			select {
			case <-stop:
				done <- peak - min(peak, before)
				return
			case <-time.After(time.Millisecond):
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-done
	}
}

// A faulty leaf sends an endless head or body that is not a valid reply. Guards against
// buffering it until the node is out of memory (3 s of it cost 241 MB to 1,507 MB on a
// machine of 284 MB), against a call that lasts as long as the bytes arrive, and against
// a query that loses its other parts.
func TestEndlessReplyIsCutOff(t *testing.T) {
	for name, c := range endlessReplies {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.register(startLeaf(t, "a1", "a", signingLeaf("a1", "record-1-1234567")))
			leaf := startEndlessServer(t, c.first, c.repeat)
			s.register(leafEntry("b1", "b", leaf.Address().String()))
			s.configure(anvilroute.Configuration{
				Version:  1,
				Services: []anvilroute.Service{serviceNamed("a"), serviceNamed("b")},
				Routes: []anvilroute.Route{{
					Name:          "query",
					Host:          "lots.example",
					Prefix:        "/query/",
					Timeout:       3 * time.Second,
					TargetLatency: 2 * time.Second,
					MaxAttempts:   1,
					Shards:        []anvilmodel.ServiceName{"a", "b"},
					TopK:          2,
					MinCoverage:   0.5,
				}},
			})
			g := startReadyGateway(t, s)
			heapGrowth := measurePeakHeap()
			const queries = 4
			errs := make(chan error, queries)
			for i := range queries {
				go func() {
					got, err := g.send(context.Background(), http.MethodGet, "/query/x", fmt.Sprint("id-", i))
					if err == nil && (got.status != http.StatusOK || got.header.Get(headerParts) != "by-a1" || got.header.Get(headerMissing) != "1") {
						err = fmt.Errorf("status %d, parts %q, missing %q", got.status, got.header.Get(headerParts), got.header.Get(headerMissing))
					}
					errs <- err
				}()
			}
			for range queries {
				if err := <-errs; err != nil {
					t.Error(err)
				}
			}
			eventually(t, "the connections are closed", func() bool { return leaf.ClosedConnections() >= queries })
			// The limit applies to each reply. Its memory is then free for the next one.
			buffers, err := anvilstandin.MaxSocketBufferBytes()
			if err != nil {
				t.Fatal(err)
			}
			maxSent := queries * (maxReplyBytes + buffers)
			if sent := leaf.SentBytes(); sent > maxSent {
				t.Errorf("the leaf sent %d MB until its connections were closed, want at most %d", sent>>20, maxSent>>20)
			}
			if growth := heapGrowth(); growth > maxBodyMemory+heapMargin {
				t.Errorf("the heap grew by %d MB, want at most %d", growth>>20, (maxBodyMemory+heapMargin)>>20)
			}
		})
	}
}

// A caller sends an endless head or body, or stops in the middle of a body. Guards
// against exhausting the memory or the request slots of the node.
func TestEndlessRequestIsCutOff(t *testing.T) {
	const requestHead = "POST /book/1 HTTP/1.1\r\nHost: lots.example\r\n" + headerID + ": id-1\r\n"
	for name, c := range map[string]struct {
		first  string
		repeat string
		status string
	}{
		"header lines": {
			first:  requestHead,
			repeat: "Some-Header: with a value\r\n",
			status: "431",
		},
		"chunked body": {
			first:  requestHead + "Transfer-Encoding: chunked\r\n\r\n",
			repeat: "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n",
			status: "413",
		},
		"stalled body": {
			first:  requestHead + headerTimeout + ": 50ms\r\nContent-Length: 100\r\n\r\n",
			status: "408",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.register(startLeaf(t, "a1", "a", signingLeaf("a1", "booked")))
			configuration := singleRouteConfig(singleServiceRoute("book", "/book/", "a", true))
			configuration.Limits.MaxBodyBytes = 1 << 20
			s.configure(configuration)
			g := startReadyGateway(t, s)
			heapGrowth := measurePeakHeap()
			conn, err := net.Dial("tcp", g.addresses.Caller.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			answered := make(chan string, 1)
			go func() {
				line, _ := bufio.NewReader(conn).ReadString('\n')
				answered <- line
			}()
			_, err = conn.Write([]byte(c.first))
			for err == nil && c.repeat != "" {
				_, err = conn.Write([]byte(c.repeat))
			}
			// The connection reset that stops the caller may arrive before the response.
			if line := <-answered; line != "" && !strings.Contains(line, c.status) || line == "" && c.repeat == "" {
				t.Errorf("response %q, want status %s", line, c.status)
			}
			if growth := heapGrowth(); growth > maxBodyMemory+heapMargin {
				t.Errorf("the heap grew by %d MB, want at most %d", growth>>20, (maxBodyMemory+heapMargin)>>20)
			}
		})
	}
}
