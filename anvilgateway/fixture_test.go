package anvilgateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilgateway"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	seed = 20261204
	// waitTimeout bounds waiting for a condition that must become true.
	waitTimeout = 20 * time.Second
)

// Headers of the test protocol. They differ from those of the platform to show that the
// package does not depend on any header names.
const (
	headerID        = "Test-Id"
	headerTimeout   = "Test-Timeout"
	headerLeaf      = "Test-Leaf"
	headerSignature = "Test-Signature"
	headerNotRun    = "Test-Not-Run"
	headerMissing   = "Test-Missing"
	headerParts     = "Test-Parts"
	headerRetry     = "Test-Retry-After"
	headerLeaving   = "Test-Leaving"
	headerInstance  = "Test-Instance"
	headerRateLimit = "Test-Rate-Limit"
	headerCold      = "Test-Cold"
)

func protocol() anvilgateway.Protocol {
	return anvilgateway.Protocol{
		DecodeRequest: func(h http.Header) (anvilgateway.RequestMetadata, error) {
			id := h.Get(headerID)
			if id == "" {
				return anvilgateway.RequestMetadata{}, errors.New("missing request ID")
			}
			timeout, _ := time.ParseDuration(h.Get(headerTimeout))
			return anvilgateway.RequestMetadata{
				ID:      id,
				Timeout: timeout,
			}, nil
		},
		ReplacesHeader: func(name string) bool { return name == headerLeaf || name == headerTimeout },
		AppendCallHeaders: func(lines []byte, timeout time.Duration, leaf anvilmodel.LeafName) []byte {
			return append(lines, headerTimeout+": "+timeout.String()+"\r\n"+headerLeaf+": "+string(leaf)+"\r\n"...)
		},
		DecodeReply: func(status int, h http.Header) anvilgateway.LeafReply {
			retry, _ := time.ParseDuration(h.Get(headerRetry))
			coldFor, _ := time.ParseDuration(h.Get(headerCold))
			perSecond, err := strconv.ParseFloat(h.Get(headerRateLimit), 64)
			return anvilgateway.LeafReply{
				RequestID:      h.Get(headerID),
				Signature:      h.Get(headerSignature),
				NotRun:         h.Get(headerNotRun) != "",
				Misdirected:    status == http.StatusMisdirectedRequest,
				Leaving:        h.Get(headerLeaving) != "",
				Leaf:           anvilmodel.LeafName(h.Get(headerInstance)),
				RetryAfter:     retry,
				ColdFor:        coldFor,
				RateLimitKnown: true,
				RateLimit: anvilmodel.RateLimit{
					Limited:   err == nil,
					PerSecond: perSecond,
				},
			}
		},
		EncodeMergedHeaders: func(h http.Header, signatures []string, missing int) {
			h.Set(headerParts, strings.Join(signatures, ","))
			h.Set(headerMissing, strconv.Itoa(missing))
		},
		EncodeRetryAfter: func(h http.Header, after time.Duration) { h.Set(headerRetry, after.String()) },
		ReadyPath:        "/ready",
		AddressPath:      "/addresses",
		DecodeAddressRequest: func(*http.Request) anvilmodel.FailureDomain {
			return ""
		},
		EncodeAddresses: func(w http.ResponseWriter, addresses []netip.AddrPort, _ time.Duration) error {
			return json.NewEncoder(w).Encode(addresses)
		},
	}
}

// fakeStore is an in-memory implementation of the platform's store.
type fakeStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]anvilmirror.Item
	changed  chan struct{}
	down     atomic.Bool
	// silenceWatches makes watches report no changes.
	silenceWatches atomic.Bool
	configuration  atomic.Pointer[anvilroute.Configuration]
	// leaves holds the entries by the values that stand for them.
	leaves sync.Map
}

func newStore() *fakeStore {
	return &fakeStore{
		revision: 1,
		items:    make(map[string]anvilmirror.Item),
		changed:  make(chan struct{}),
	}
}

// put writes a key. It passes the value, which is unique, to a function before.
func (s *fakeStore) put(key string, prepare func(value string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	value := fmt.Sprintf("%s at %d in era %d", key, s.revision, s.era)
	prepare(value)
	s.items[key] = anvilmirror.Item{
		Key:      key,
		Value:    []byte(value),
		Revision: s.revision,
	}
	s.wakeWatches()
}

func (s *fakeStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup returns a copy of the store. restore restores the store from it.
func (s *fakeStore) backup() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, items := s.revision, maps.Clone(s.items)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.era++
		s.revision, s.items = revision, maps.Clone(items)
		s.wakeWatches()
	}
}

func (s *fakeStore) configure(c anvilroute.Configuration) {
	s.put("config/now", func(string) { s.configuration.Store(&c) })
}

func (s *fakeStore) register(l anvilbalance.Leaf) {
	s.put("leafs/"+string(l.Name), func(value string) { s.leaves.Store(value, l) })
}

// unregister removes the entry of a leaf.
func (s *fakeStore) unregister(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	key := "leafs/" + name
	s.items[key] = anvilmirror.Item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	}
	s.wakeWatches()
}

func (s *fakeStore) read(prefix string, after uint64) (anvilmirror.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := anvilmirror.Changes{
		Era:              s.era,
		CompleteRevision: s.revision,
		Snapshot:         after == 0,
	}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && i.Revision > after && (!i.Deleted || !c.Snapshot) {
			c.Items = append(c.Items, i)
		}
	}
	return c, s.changed
}

var errStoreDown = errors.New("store is down")

func (s *fakeStore) gatewayStore() anvilgateway.Store {
	return anvilgateway.Store{
		ConfigurationPrefix: "config/",
		LeafPrefix:          "leafs/",
		ReadAll: func(_ context.Context, prefix string) (anvilmirror.Changes, error) {
			if s.down.Load() {
				return anvilmirror.Changes{}, errStoreDown
			}
			c, _ := s.read(prefix, 0)
			return c, nil
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error) {
			ctx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			for {
				if s.down.Load() {
					return anvilmirror.Changes{}, errStoreDown
				}
				c, changed := s.read(prefix, after)
				if len(c.Items) > 0 && !s.silenceWatches.Load() {
					return anvilmirror.Changes{
						Era:           c.Era,
						Items:         c.Items,
						WatchRevision: c.CompleteRevision,
					}, nil
				}
				select {
				case <-changed:
				case <-ctx.Done():
					return anvilmirror.Changes{
						Era:           c.Era,
						WatchRevision: after,
					}, nil
				}
			}
		},
		DecodeKey: func(key string) anvilgateway.Key {
			if name, ok := strings.CutPrefix(key, "leafs/"); ok {
				return anvilgateway.Key{
					Kind: anvilgateway.ItemLeaf,
					Leaf: anvilmodel.LeafName(name),
				}
			}
			return anvilgateway.Key{
				Kind: anvilgateway.ItemConfiguration,
			}
		},
		DecodeConfiguration: func([]byte) (anvilroute.Configuration, error) {
			return *s.configuration.Load(), nil
		},
		DecodeLeaf: func(_ string, value []byte) (anvilbalance.Leaf, error) {
			l, ok := s.leaves.Load(string(value))
			if !ok {
				return anvilbalance.Leaf{}, errors.New("no such leaf")
			}
			return l.(anvilbalance.Leaf), nil
		},
	}
}

// usedPorts holds the ports handed out so far, because a closed port may be offered a
// second time.
var usedPorts sync.Map

// freeAddress returns an address with a port below the range of outgoing connections,
// which might otherwise take the port before the gateway listens on it.
func freeAddress(tb testing.TB) netip.AddrPort {
	tb.Helper()
	for {
		port := 15000 + rand.IntN(15000)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			tb.Fatal(err)
		}
		return netip.MustParseAddrPort(listener.Addr().String())
	}
}

// testGateway is a gateway under test.
type testGateway struct {
	*anvilgateway.Gateway
	addresses anvilgateway.Addresses
	// stop ends the gateway immediately.
	stop   context.CancelFunc
	done   chan error
	client *http.Client
}

// startGateway runs a gateway until the test ends.
func startGateway(tb testing.TB, s *fakeStore, seeds ...netip.AddrPort) *testGateway {
	tb.Helper()
	return startGatewayWithGrace(tb, s, 0, seeds...)
}

// startGatewayWithGrace runs a gateway with the given grace period, or with the default
// one if it is 0.
func startGatewayWithGrace(tb testing.TB, s *fakeStore, grace time.Duration, seeds ...netip.AddrPort) *testGateway {
	tb.Helper()
	metrics := anvilmetric.New(anvilmetric.Config{})
	addresses := anvilgateway.Addresses{
		Caller:    freeAddress(tb),
		Ready:     freeAddress(tb),
		Directory: freeAddress(tb),
		Peer:      freeAddress(tb),
		Metrics:   freeAddress(tb),

		MetricsPath: "/metrics",
	}
	g := &testGateway{
		addresses: addresses,
		done:      make(chan error, 1),
		client:    &http.Client{Transport: &http.Transport{}},
		Gateway: anvilgateway.New(anvilgateway.Config{
			Name:            tb.Name(),
			Addresses:       addresses,
			Seeds:           append([]netip.AddrPort{addresses.Peer}, seeds...),
			Protocol:        protocol(),
			Store:           s.gatewayStore(),
			AddressLifetime: 100 * time.Millisecond,
			GracePeriod:     grace,
			MaxBodyMemory:   maxBodyMemory,
			MaxReplyBytes:   maxReplyBytes,
			Balance: anvilbalance.Config{
				RetrySlack: 50,
				ColdFactor: coldFactor,
				ColdSlack:  coldSlack,
			},
			Seed:    seed,
			Log:     zerolog.Nop(),
			Metrics: metrics,
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	go func() { g.done <- g.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-g.done; err != nil {
			tb.Errorf("gateway: %v", err)
		}
		g.client.CloseIdleConnections()
		_ = metrics.Close()
	})
	return g
}

// startReadyGateway runs a gateway until the test ends and waits until it is ready.
func startReadyGateway(tb testing.TB, s *fakeStore, seeds ...netip.AddrPort) *testGateway {
	tb.Helper()
	g := startGateway(tb, s, seeds...)
	eventually(tb, "the gateway is ready", func() bool {
		// A request makes a node without a configuration read the store at once.
		_, _ = g.send(context.Background(), http.MethodGet, "/none/", "id-none")
		return g.ready()
	})
	return g
}

func eventually(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met after %s: %s", waitTimeout, description)
		}
	}
}

func (g *testGateway) ready() bool {
	resp, err := g.client.Get("http://" + g.addresses.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metrics returns the metrics of the gateway as text.
func (g *testGateway) metrics(tb testing.TB) string {
	tb.Helper()
	resp, err := g.client.Get("http://" + g.addresses.Metrics.String() + g.addresses.MetricsPath)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return string(text)
}

// response is the response that a caller receives.
type response struct {
	status int
	header http.Header
	body   string
}

func (g *testGateway) send(ctx context.Context, method, path, id string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.addresses.Caller.String()+path, http.NoBody)
	if err != nil {
		return response{}, err
	}
	req.Host = "lots.example"
	req.Header.Set(headerTimeout, "5s")
	if id != "" {
		req.Header.Set(headerID, id)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(body),
	}, err
}

// startLeaf starts a leaf that runs until the test ends and returns its entry.
func startLeaf(t *testing.T, name, service string, handler http.HandlerFunc) anvilbalance.Leaf {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return leafEntry(name, service, server.Listener.Addr().String())
}

func leafEntry(name, service, address string) anvilbalance.Leaf {
	return anvilbalance.Leaf{
		Name:    anvilmodel.LeafName(name),
		Service: anvilmodel.ServiceName(service),
		Address: netip.MustParseAddrPort(address),
		Slots:   2,
	}
}

// signingLeaf answers with the body and with a signature that names the leaf.
func signingLeaf(name, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, r.Header.Get(headerID))
		if r.Header.Get(headerLeaf) != name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(headerSignature, "by-"+name)
		_, _ = io.WriteString(w, body)
	}
}

func serviceNamed(name string) anvilroute.Service {
	return anvilroute.Service{
		Name:           anvilmodel.ServiceName(name),
		HealthPath:     "/health",
		MaxConnections: 20,
	}
}

func singleServiceRoute(name, prefix, serviceName string, nonIdempotent bool) anvilroute.Route {
	return anvilroute.Route{
		Name:          anvilroute.Name(name),
		Host:          "lots.example",
		Prefix:        prefix,
		NonIdempotent: nonIdempotent,
		Timeout:       5 * time.Second,
		TargetLatency: 2 * time.Second,
		MaxAttempts:   2,
		Services: []anvilroute.WeightedService{{
			Service: anvilmodel.ServiceName(serviceName),
			Weight:  1,
		}},
	}
}

// singleRouteConfig returns a configuration with the route and the service "a".
func singleRouteConfig(r anvilroute.Route) anvilroute.Configuration {
	return anvilroute.Configuration{
		Version:  1,
		Services: []anvilroute.Service{serviceNamed("a")},
		Routes:   []anvilroute.Route{r},
	}
}
