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
	maintenancePeriod = 50 * time.Millisecond
	// trimRounds is the number of such rounds between two that close connections.
	roundsPerTrim = 20
	// fleetRounds is the number of rounds between two looks at the fleet.
	roundsPerFleetUpdate = 4
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
	balancerMu  sync.Mutex
	balancer    *anvilbalance.Balancer
	splitter    *anvilroute.Splitter
	callerClock *anvilgather.CallerClock
	limiters    map[anvilmodel.ServiceName]*anvilgather.Limiter
	fleet       anvilbalance.Fleet
	// active says that callers are sent to this node.
	inActiveSet bool

	poolsMu sync.Mutex
	pools   map[anvilmodel.LeafName]*leafPool
	dialer  *net.Dialer

	// control guards members, random and focus.
	membersMu sync.Mutex
	members   *anvilmember.Membership
	prober    *anvilpeer.Prober
	random    *rand.Rand
	// focus is the number of nodes that callers are sent to.
	activeNodes int
	load        processorLoad
	peers       *anvilpeer.Client

	followers  *anvilfollower.Set
	bodyBudget memoryBudget

	inFlight    atomic.Int64
	lastRequest atomic.Int64
	// able says that this node reaches enough shards to be named to callers.
	enoughShards atomic.Bool
	// leaving is set by the signal to stop, closing when new requests are refused.
	shuttingDown atomic.Bool
	refusing     atomic.Bool
	// ending is closed when requests have to be answered with what is there.
	finishNow chan struct{}
}

// leafPool is the pool of one process of a leaf.
type leafPool struct {
	*connPool
	started time.Time
}

// New returns a Gateway that does not listen yet.
func New(c Config) *Gateway {
	c = c.withDefaults()
	background, stop := context.WithCancel(context.Background())
	g := &Gateway{
		config:      c,
		started:     time.Now(),
		background:  background,
		stop:        stop,
		finishNow:   make(chan struct{}),
		splitter:    anvilroute.NewSplitter(),
		callerClock: anvilgather.NewCallerClock(),
		limiters:    make(map[anvilmodel.ServiceName]*anvilgather.Limiter),
		pools:       make(map[anvilmodel.LeafName]*leafPool),
		dialer:      NewDialer(dialTimeout),
		random:      rand.New(rand.NewPCG(c.Seed, 1)),
		activeNodes: minActiveNodes,
	}
	g.bodyBudget.limit = c.MaxBodyMemory
	c.Balance.FailureDomain = c.FailureDomain
	c.Balance.Random = rand.New(rand.NewPCG(c.Seed, 2))
	g.balancer = anvilbalance.New(c.Balance)
	g.enoughShards.Store(true)
	leafFollower := g.followerConfig(c.Store.LeafPrefix, randomStreamLeafs, g.applyLeafs)
	leafFollower.Departures = g.departures
	leafFollower.NoteDepartures = g.mergeDepartures
	g.followers = &anvilfollower.Set{
		Configuration: anvilfollower.New(g.followerConfig(c.Store.ConfigurationPrefix, randomStreamConfiguration, g.applyConfiguration)),
		Leafs:         anvilfollower.New(leafFollower),
	}
	g.startMembership()
	return g
}

// goRun runs a task that ends with the background context.
func (g *Gateway) startTask(task func()) {
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		task()
	}()
}

// Run serves until Shutdown has finished or ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.stop()
	stopAfterFunc := context.AfterFunc(ctx, g.stop)
	defer stopAfterFunc()
	peerServer, err := anvilpeer.NewServer(g.peerHandlers())
	if err != nil {
		return err
	}
	var closingServers sync.WaitGroup
	group, serveCtx := errgroup.WithContext(g.background)
	for _, s := range g.newServers() {
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
		closingServers.Add(1)
		context.AfterFunc(serveCtx, func() {
			defer closingServers.Done()
			g.closeServer(s)
		})
	}
	listener, err := net.Listen("tcp", g.config.Addresses.Peer.String())
	if err != nil {
		return errorx.Decorate(err, "listening for other nodes")
	}
	group.Go(func() error { return peerServer.Serve(serveCtx, listener) })
	g.startTask(g.prober.Run)
	g.startTask(func() { g.followers.Run(g.background) })
	g.startTask(g.runMaintenance)
	g.config.Log.Info().Str("event", "started").Stringer("caller-address", g.config.Addresses.Caller).
		Str("failure-domain", string(g.config.FailureDomain)).Send()
	err = group.Wait()
	closingServers.Wait()
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
	ctx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// servers returns the HTTP servers. Addresses that are the same share one.
func (g *Gateway) newServers() []*http.Server {
	a := g.config.Addresses
	servers := []*http.Server{
		g.newServer(a.Caller.String(), g),
		g.newServer(a.Ready.String(), http.HandlerFunc(g.serveReady)),
		g.newServer(a.Directory.String(), http.HandlerFunc(g.serveAddresses)),
	}
	if a.Metrics.IsValid() {
		mux := http.NewServeMux()
		mux.Handle(a.MetricsPath, g.config.Metrics.Handler())
		servers = append(servers, g.newServer(a.Metrics.String(), mux))
	}
	return servers
}

func (g *Gateway) newServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newServerLog(g.config.Log),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connUsedKey{}, new(atomic.Bool))
		},
	}
}

// usedKey is the key of the context's flag that a connection has carried a request.
type connUsedKey struct{}

// firstOnConnection reports whether a request is the first on its connection, and
// notes that it was seen.
func isFirstOnConnection(ctx context.Context) bool {
	used, ok := ctx.Value(connUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// keepHouse checks ejected leafs, opens connections early and closes surplus ones.
func (g *Gateway) runMaintenance() {
	ticker := time.NewTicker(maintenancePeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-g.background.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.balancerMu.Lock()
		due := g.balancer.DueChecks(now)
		g.balancerMu.Unlock()
		for _, l := range due {
			g.startTask(func() { g.checkHealth(l) })
		}
		if round%roundsPerFleetUpdate == 0 {
			g.updateFleet(now)
		}
		if round%roundsPerTrim == 0 {
			if err := g.load.measure(now, g.config.Cores); err != nil {
				g.config.Log.Warn().Str("event", "load-unknown").Err(err).Send()
			}
			g.maintainPools(now)
			g.updateMetrics()
		}
	}
}

func (g *Gateway) updateMetrics() {
	m := g.config.Metrics
	g.balancerMu.Lock()
	known, ejected := g.balancer.Counts()
	fleet := g.fleet.Size()
	period, _ := g.balancer.Pauses()
	g.balancerMu.Unlock()
	m.Set(anvilmetric.LeafsKnown, float64(known))
	m.Set(anvilmetric.LeafsBreakerOpen, float64(ejected))
	m.Set(anvilmetric.LeafPausePeriod, period.Seconds())
	m.Set(anvilmetric.GatewaysKnown, float64(fleet))
	m.Set(anvilmetric.QueriesInFlight, float64(g.inFlight.Load()))
	m.Set(anvilmetric.ProcessorLoad, g.load.value())
	if t := g.table.Load(); t != nil {
		m.Set(anvilmetric.ConfigRevision, float64(t.Version()))
	}
}

// ready reports whether the gateway can serve: it has a configuration and knows
// the leafs.
func (g *Gateway) ready() bool {
	return g.table.Load() != nil && g.followers.Leafs.Loaded() && !g.shuttingDown.Load()
}
