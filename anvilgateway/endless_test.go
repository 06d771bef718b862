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
	// replyMemory is the setting of the gateways in these tests: what all replies in
	// flight may hold.
	maxBodyMemory = 8 << 20
	// replyBytes is the setting that bounds one reply.
	maxReplyBytes = 1 << 20
	// heapMargin is left for what else the process holds while a test runs, with the
	// buffers of its own sockets.
	heapMargin = 24 << 20
)

// endlessReplies are bytes that are no answer, as a leaf may send them until its
// caller closes: what comes first, and what is repeated.
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
	"body in chunks": {
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

// startEndless runs a server that sends bytes without end until the test ends.
func startEndlessServer(t *testing.T, first, repeat string) *anvilstandin.Endless {
	t.Helper()
	e, err := anvilstandin.NewEndless(first, repeat)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// greatestHeap samples the heap in use until the function that it returns is called,
// which returns the growth.
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

// Pattern: a leaf in trouble sends bytes that are no answer without end, in a head
// or a body. Guards against a node that holds them until its memory is gone (3 s of
// it cost 241 MB to 1,507 MB on a machine of 284 MB), against a call that lasts as
// long as they come, and against a query that loses its other parts.
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
			eventually(t, "the connections are closed", func() bool { return leaf.Closed() >= queries })
			// Each reply is bounded by itself; its memory is free for the next one.
			buffers, err := anvilstandin.SocketBuffers()
			if err != nil {
				t.Fatal(err)
			}
			maxSent := queries * (maxReplyBytes + buffers)
			if sent := leaf.Sent(); sent > maxSent {
				t.Errorf("the leaf sent %d MB until its connections were closed, want %d at most", sent>>20, maxSent>>20)
			}
			if growth := heapGrowth(); growth > maxBodyMemory+heapMargin {
				t.Errorf("the heap grew by %d MB, want %d at most", growth>>20, (maxBodyMemory+heapMargin)>>20)
			}
		})
	}
}

// Pattern: a caller sends a head or a body without end, or stops in the middle of a
// body. Guards against a node whose memory or requests are used up by it.
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
		"body in chunks": {
			first:  requestHead + "Transfer-Encoding: chunked\r\n\r\n",
			repeat: "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n",
			status: "413",
		},
		"body that stops": {
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
			// The reset that ends the sending may overtake the answer.
			if line := <-answered; line != "" && !strings.Contains(line, c.status) || line == "" && c.repeat == "" {
				t.Errorf("answer %q, want status %s", line, c.status)
			}
			if growth := heapGrowth(); growth > maxBodyMemory+heapMargin {
				t.Errorf("the heap grew by %d MB, want %d at most", growth>>20, (maxBodyMemory+heapMargin)>>20)
			}
		})
	}
}
