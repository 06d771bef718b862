package anvilgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// limitWindow is the time over which a leaf counts its requests, limitFactor and
	// limitSlack how far these may exceed its rate limit: 1.5 times the limit, plus 5.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedLeaf is a leaf that announces a rate limit and records when requests arrive.
type limitedLeaf struct {
	name      string
	perSecond float64

	mu       sync.Mutex
	arrivals []time.Time
}

// startLimitedLeaf starts a leaf with a rate limit and configures a route to it.
func startLimitedLeaf(t *testing.T, s *fakeStore, perSecond float64) *limitedLeaf {
	t.Helper()
	leaf := &limitedLeaf{
		name:      "a1",
		perSecond: perSecond,
	}
	s.register(startLeaf(t, leaf.name, "a", leaf.ServeHTTP))
	s.configure(singleRouteConfig(singleServiceRoute("get", "/get/", "a", false)))
	return leaf
}

func (l *limitedLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	w.Header().Set(headerRateLimit, strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	signingLeaf(l.name, "done")(w, r)
}

// mostInWindow returns the largest number of arrivals within limitWindow, without the first
// ones, which the nodes send before they have received an announcement.
func (l *limitedLeaf) mostInWindow(first int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counted := l.arrivals[min(first, len(l.arrivals)):]
	most := 0
	for i, from := range counted {
		end, _ := slices.BinarySearchFunc(counted, from.Add(limitWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// A leaf announces a rate limit to one node. Guards against other nodes that receive
// it only with the reply to their first call, and so send the leaf all requests until then.
func TestRateLimitIsPassedOn(t *testing.T) {
	s := newStore()
	startLimitedLeaf(t, s, 2)
	first := startReadyGateway(t, s)
	other := startReadyGateway(t, s, first.addresses.Peer)
	eventually(t, "the other node has received the limit", func() bool {
		if _, err := first.send(context.Background(), http.MethodGet, "/get/x", "id"); err != nil {
			t.Fatal(err)
		}
		return strings.Contains(other.metrics(t), "anvilbridge_leafs_rate_limited 1")
	})
}

// A leaf announces a limit on the requests of all nodes together, and callers send several
// times as many. Guards against nodes that ignore the limit, against callers that wait for
// a leaf that cannot take their request, and against a refusal without a retry delay.
func TestAnnouncedRateLimitHoldsOverAllNodes(t *testing.T) {
	s := newStore()
	leaf := startLimitedLeaf(t, s, 2)
	nodes := []*testGateway{startReadyGateway(t, s)}
	for range 2 {
		nodes = append(nodes, startReadyGateway(t, s, nodes[0].addresses.Peer))
	}
	for i, g := range nodes {
		if _, err := g.send(context.Background(), http.MethodGet, "/get/x", fmt.Sprint("first-", i)); err != nil {
			t.Fatal(err)
		}
	}
	refused := 0
	for i := range 40 {
		for k, g := range nodes {
			got, err := g.send(context.Background(), http.MethodGet, "/get/x", fmt.Sprintf("id-%d-%d", i, k))
			if err != nil {
				t.Fatal(err)
			}
			switch got.status {
			case http.StatusOK:
			case http.StatusServiceUnavailable:
				refused++
				if after, err := time.ParseDuration(got.header.Get(headerRetry)); err != nil || after <= 0 {
					t.Errorf("refusal with retry delay %q", got.header.Get(headerRetry))
				}
			default:
				t.Errorf("status %d", got.status)
			}
		}
	}
	if most, allowed := leaf.mostInWindow(len(nodes)), int(limitFactor*leaf.perSecond*limitWindow.Seconds())+limitSlack; most > allowed {
		t.Errorf("leaf with a limit of %g per second received %d requests within %s, allowed are %d", leaf.perSecond, most, limitWindow, allowed)
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
}
