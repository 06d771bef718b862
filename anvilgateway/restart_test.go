package anvilgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilbridge/anvilbalance"
)

// The users allow a cold leaf coldRate x coldFactor + coldSlack requests in one second.
const (
	coldRate   = 4
	coldFactor = 1.5
	coldSlack  = 5
	coldBound  = coldRate*coldFactor + coldSlack
	// warmUpTime is how long the leaf is cold after its restart.
	warmUpTime = 2 * time.Second
)

// restartingLeaf is a leaf whose process ends and starts again at the same address.
type restartingLeaf struct {
	entry anvilbalance.Leaf

	mu        sync.Mutex
	server    *http.Server
	coldUntil time.Time
	arrivals  []time.Time
}

func (l *restartingLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	coldFor := time.Until(l.coldUntil)
	if r.URL.Path != "/health" {
		l.arrivals = append(l.arrivals, time.Now())
	}
	l.mu.Unlock()
	if r.URL.Path == "/health" {
		if coldFor > 0 {
			w.Header().Set(headerCold, coldFor.String())
		}
		return
	}
	signingLeaf(string(l.entry.Name), "done")(w, r)
}

// start starts a process, which is cold for the given time.
func (l *restartingLeaf) start(t *testing.T, coldFor time.Duration) {
	t.Helper()
	listener, err := net.Listen("tcp", l.entry.Address.String())
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil = time.Now().Add(coldFor)
	l.arrivals = nil
	l.server = &http.Server{
		Handler: l,
	}
	server := l.server
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// Guards against a flood of calls to a leaf that restarts under its name and address. Its
// entry does not show the restart yet, but its connections end and its health responses
// state how long it stays cold. A short absence ejects it at no node, a long one at all. The
// leaf got 18 to 22 requests in one second.
func TestColdLeafIsNotFloodedAfterRestart(t *testing.T) {
	for _, absence := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(absence.String(), func(t *testing.T) {
			s := newStore()
			l := &restartingLeaf{
				entry: leafEntry("a1", "a", freeAddress(t).String()),
			}
			l.start(t, 0)
			s.register(l.entry)
			s.register(startLeaf(t, "a2", "a", signingLeaf("a2", "done")))
			c := singleRouteConfig(singleServiceRoute("get", "/get/", "a", false))
			c.Services[0].MaxColdRate = coldRate
			c.Services[0].MaxConnections = 200
			s.configure(c)
			nodes := []*testGateway{startReadyGateway(t, s)}
			nodes = append(nodes, startReadyGateway(t, s, nodes[0].addresses.Peer))
			eventually(t, "the nodes know each other", func() bool {
				return strings.Contains(nodes[0].metrics(t), "anvilbridge_gateways_known 2") && strings.Contains(nodes[1].metrics(t), "anvilbridge_gateways_known 2")
			})
			stopped := make(chan struct{})
			var sending sync.WaitGroup
			for i := range 8 {
				sending.Go(func() {
					for k := 0; ; k++ {
						select {
						case <-stopped:
							return
						case <-time.After(5 * time.Millisecond):
						}
						_, _ = nodes[i%2].send(t.Context(), http.MethodGet, "/get/1", fmt.Sprintf("id-%d-%d", i, k))
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			l.mu.Lock()
			server := l.server
			l.mu.Unlock()
			_ = server.Close()
			time.Sleep(absence)
			l.start(t, warmUpTime)
			time.Sleep(warmUpTime)
			l.mu.Lock()
			arrivals := l.arrivals
			l.mu.Unlock()
			close(stopped)
			sending.Wait()
			if most := busiestSecond(arrivals); most > coldBound {
				t.Errorf("the cold leaf got up to %d requests in one second, want at most %.0f", most, float64(coldBound))
			}
		})
	}
}

// busiestSecond returns the largest number of arrivals within one second.
func busiestSecond(arrivals []time.Time) int {
	most, first := 0, 0
	for i := range arrivals {
		for arrivals[i].Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
