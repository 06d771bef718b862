package anvilgateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilfollower"
	"anvilbridge/anvilgather"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilroute"
)

const (
	// headerTimeout bounds reading the head of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle. The server cannot
	// change it while it runs, so it is far above the seconds that operators set: a
	// caller that keeps to their limit never meets a closed connection.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds the head of a request before the limit of the
	// configuration, usually a few KB, is looked at.
	maxHeaderBytes = 64 << 10
	// housekeepingPeriod is the time between two rounds of health checks and
	// closing of surplus connections.
	housekeepingPeriod = 50 * time.Millisecond
	// trimRounds is the number of such rounds between two that close connections.
	trimRounds = 20
	// fleetRounds is the number of rounds between two looks at the fleet.
	fleetRounds = 4
)

// Gateway is a running node.
type Gateway struct {
	config Config
	// started is when the process started.
	started time.Time
	// background ends when the process does.
	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup

	table atomic.Pointer[anvilroute.Table]

	// The locks are taken in the order control, a follower's, balancing, connecting;
	// none is waited for while a later one is held.

	// balancing guards balancer, splitter, clock, limiters, fleet and active.
	balancing sync.Mutex
	balancer  *anvilbalance.Balancer
	splitter  *anvilroute.Splitter
	clock     *anvilgather.ElapsedEstimator
	limiters  map[anvilmodel.ServiceName]*anvilgather.Limiter
	fleet     anvilbalance.FleetSizeEstimator
	// active says that callers are sent to this node.
	active bool

	connecting sync.Mutex
	pools      map[anvilmodel.LeafName]*leafPool
	dialer     *net.Dialer

	// control guards members, random and focus.
	control sync.Mutex
	members *anvilmember.Membership
	prober  *anvilpeer.Prober
	random  *rand.Rand
	// focus is the number of nodes that callers are sent to.
	focus int
	load  processorLoad
	peers *anvilpeer.Client

	copies *anvilfollower.Set
	bodies bodyMemory

	requests atomic.Int64
	lastWork atomic.Int64
	// able says that this node reaches enough shards to be named to callers.
	able atomic.Bool
	// leaving is set by the signal to stop, closing when new requests are refused.
	leaving atomic.Bool
	closing atomic.Bool
	// ending is closed when requests have to be answered with what is there.
	ending chan struct{}
}

// leafPool is the pool of one process of a leaf.
type leafPool struct {
	*pool
	started time.Time
}

// New returns a Gateway that does not listen yet.
func New(c Config) *Gateway {
	c = c.withDefaults()
	background, stop := context.WithCancel(context.Background())
	g := &Gateway{
		config:     c,
		started:    time.Now(),
		background: background,
		stop:       stop,
		ending:     make(chan struct{}),
		splitter:   anvilroute.NewSplitter(),
		clock:      anvilgather.NewElapsedEstimator(),
		limiters:   make(map[anvilmodel.ServiceName]*anvilgather.Limiter),
		pools:      make(map[anvilmodel.LeafName]*leafPool),
		dialer:     NewDialer(dialTimeout),
		random:     rand.New(rand.NewPCG(c.Seed, 1)),
		focus:      leastFocus,
	}
	g.bodies.limit = c.MaxBodyMemory
	c.Balance.FailureDomain = c.FailureDomain
	c.Balance.Random = rand.New(rand.NewPCG(c.Seed, 2))
	g.balancer = anvilbalance.New(c.Balance)
	g.able.Store(true)
	leafs := g.followerConfig(c.Store.LeafPrefix, streamLeafs, g.applyLeafs)
	leafs.Departures = g.departures
	leafs.MergeDepartures = g.noteDepartures
	g.copies = &anvilfollower.Set{
		Configuration: anvilfollower.New(g.followerConfig(c.Store.ConfigurationPrefix, streamConfiguration, g.applyConfiguration)),
		Leaves:        anvilfollower.New(leafs),
	}
	g.startMembers()
	return g
}

// goRun runs a task that ends with the background context.
func (g *Gateway) goRun(task func()) {
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		task()
	}()
}

// Run serves until Shutdown has finished or ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.stop()
	stopWithCaller := context.AfterFunc(ctx, g.stop)
	defer stopWithCaller()
	peers, err := anvilpeer.NewServer(g.peerHandlers())
	if err != nil {
		return err
	}
	var closing sync.WaitGroup
	group, serving := errgroup.WithContext(g.background)
	for _, s := range g.servers() {
		listener, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return errorx.Decorate(err, "listening on %s", s.Addr)
		}
		listener = netutil.LimitListener(listener, g.config.MaxConnections)
		group.Go(func() error {
			if err := s.Serve(listener); err != http.ErrServerClosed {
				return errorx.Decorate(err, "serving on %s", s.Addr)
			}
			return nil
		})
		closing.Add(1)
		context.AfterFunc(serving, func() {
			defer closing.Done()
			g.closeServer(s)
		})
	}
	listener, err := net.Listen("tcp", g.config.Addresses.Peer.String())
	if err != nil {
		return errorx.Decorate(err, "listening for other nodes")
	}
	group.Go(func() error { return peers.Serve(serving, listener) })
	g.goRun(g.prober.Run)
	g.goRun(func() { g.copies.Run(g.background) })
	g.goRun(g.keepHouse)
	g.config.Log.Info().Str("event", "started").Stringer("caller-address", g.config.Addresses.Caller).
		Str("failure-domain", string(g.config.FailureDomain)).Send()
	err = group.Wait()
	closing.Wait()
	g.stop()
	g.tasks.Wait()
	g.closePools()
	if err := g.peers.Close(); err != nil {
		g.config.Log.Debug().Str("event", "peers-not-closed").Err(err).Send()
	}
	g.config.Log.Info().Str("event", "stopped").Send()
	return err
}

// closeServer ends a server. Requests that its connections bring until then are still
// answered.
func (g *Gateway) closeServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// servers returns the HTTP servers. Addresses that are the same share one.
func (g *Gateway) servers() []*http.Server {
	a := g.config.Addresses
	servers := []*http.Server{
		g.server(a.Caller.String(), g),
		g.server(a.Ready.String(), http.HandlerFunc(g.serveReady)),
		g.server(a.Directory.String(), http.HandlerFunc(g.serveAddresses)),
	}
	if a.Metrics.IsValid() {
		mux := http.NewServeMux()
		mux.Handle(a.MetricsPath, g.config.Metrics.Handler())
		servers = append(servers, g.server(a.Metrics.String(), mux))
	}
	return servers
}

func (g *Gateway) server(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newServerLog(g.config.Log),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, usedKey{}, new(atomic.Bool))
		},
	}
}

// usedKey is the key of the context's flag that a connection has carried a request.
type usedKey struct{}

// firstOnConnection reports whether a request is the first on its connection, and
// notes that it was seen.
func firstOnConnection(ctx context.Context) bool {
	used, ok := ctx.Value(usedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// keepHouse checks ejected leafs, opens connections early and closes surplus ones.
func (g *Gateway) keepHouse() {
	ticker := time.NewTicker(housekeepingPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-g.background.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.balancing.Lock()
		due := g.balancer.DueHealthChecks(now)
		g.balancing.Unlock()
		for _, l := range due {
			g.goRun(func() { g.checkLeaf(l) })
		}
		if round%fleetRounds == 0 {
			g.followFleet(now)
		}
		if round%trimRounds == 0 {
			if err := g.load.measure(now, g.config.Cores); err != nil {
				g.config.Log.Warn().Str("event", "load-unknown").Err(err).Send()
			}
			g.trimPools(now)
			g.report()
		}
	}
}

func (g *Gateway) report() {
	m := g.config.Metrics
	g.balancing.Lock()
	known, ejected := g.balancer.LeafCounts()
	fleet := g.fleet.Size()
	period, _ := g.balancer.PausePattern()
	g.balancing.Unlock()
	m.Set(anvilmetric.LeafsKnown, float64(known))
	m.Set(anvilmetric.LeafsBreakerOpen, float64(ejected))
	m.Set(anvilmetric.LeafPausePeriod, period.Seconds())
	m.Set(anvilmetric.GatewaysKnown, float64(fleet))
	m.Set(anvilmetric.QueriesInFlight, float64(g.requests.Load()))
	m.Set(anvilmetric.ProcessorLoad, g.load.value())
	if t := g.table.Load(); t != nil {
		m.Set(anvilmetric.ConfigRevision, float64(t.Version()))
	}
}

// ready reports whether the gateway can serve: it has a configuration and knows
// the leafs.
func (g *Gateway) ready() bool {
	return g.table.Load() != nil && g.copies.Leaves.Loaded() && !g.leaving.Load()
}
