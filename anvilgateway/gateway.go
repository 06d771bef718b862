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
	// headerTimeout bounds reading the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle. It cannot be changed
	// while the HTTP server runs, so it is far above the few seconds that operators
	// configure for callers: a caller that keeps to their limit never sends a request on
	// a connection that the gateway has closed.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds the headers of a request before the limit of the
	// configuration, usually a few KB, is checked.
	maxHeaderBytes = 64 << 10
	// maintenancePeriod is the interval between two rounds of health checks and closing
	// of excess connections.
	maintenancePeriod = 50 * time.Millisecond
	// roundsPerUpdate is the number of rounds per update of pools, load and metrics.
	roundsPerUpdate = 20
	// roundsPerFleetUpdate is the number of rounds per update of the fleet size.
	roundsPerFleetUpdate = 4
	// roundsPerLimitReport is the number of rounds per report of the calls to leaves with a
	// rate limit.
	roundsPerLimitReport = 100
)

// Gateway is a running node.
type Gateway struct {
	config Config
	// startedAt is when the gateway was created.
	startedAt time.Time
	// background is cancelled when the gateway stops.
	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup

	table atomic.Pointer[anvilroute.Table]

	// The locks are taken in the order membersMu, the lock of a follower, balancerMu,
	// poolsMu. No lock is acquired while a later one is held, and none while the lock of
	// quarantine is held.

	// balancerMu guards balancer, splitter, elapsedEstimator, limiters, fleetSize, demand,
	// share and inSubset.
	balancerMu       sync.Mutex
	balancer         *anvilbalance.Balancer
	splitter         *anvilroute.Splitter
	elapsedEstimator *anvilgather.ElapsedEstimator
	limiters         map[anvilmodel.ServiceName]*anvilgather.Limiter
	fleetSize        anvilbalance.FleetSizeEstimator
	demand           anvilbalance.DemandEstimator
	share            anvilbalance.ShareEstimator
	// inSubset is set if this node is in the subset of nodes to which callers are
	// directed.
	inSubset bool

	poolsMu sync.Mutex
	pools   map[anvilmodel.LeafName]*leafPool
	dialer  *net.Dialer

	// membersMu guards members, random and subsetSize.
	membersMu sync.Mutex
	members   *anvilmember.Membership
	prober    *anvilpeer.Prober
	random    *rand.Rand
	// subsetSize is the size of the subset of nodes to which callers are directed.
	subsetSize int
	load       processorLoad
	peers      *anvilpeer.Client

	followers  *anvilfollower.Set
	bodyBudget memoryBudget
	quarantine *quarantine

	inFlight    atomic.Int64
	lastRequest atomic.Int64
	// requestCount counts the requests of callers since the last update of the demand.
	requestCount atomic.Int64
	// requestRate is the demand in requests per second, as the bits of a float64.
	requestRate atomic.Uint64
	// enoughShards is set if this node reaches enough shards to be listed to callers.
	enoughShards atomic.Bool
	// shuttingDown is set by the signal to stop, and refusing when new requests are
	// refused.
	shuttingDown atomic.Bool
	refusing     atomic.Bool
	// finishBy is when the remaining requests of a node that is shutting down get their final
	// answer; nil before.
	finishBy atomic.Pointer[time.Time]
	// finishNow is closed when the remaining requests must be answered with the replies
	// received so far.
	finishNow chan struct{}
}

// leafPool is the connection pool of one process of a leaf.
type leafPool struct {
	*connPool
	startedAt time.Time
}

// New returns a Gateway that does not listen yet.
func New(c Config) *Gateway {
	c = c.withDefaults()
	background, stop := context.WithCancel(context.Background())
	g := &Gateway{
		config:           c,
		startedAt:        time.Now(),
		background:       background,
		stop:             stop,
		finishNow:        make(chan struct{}),
		splitter:         anvilroute.NewSplitter(),
		elapsedEstimator: anvilgather.NewElapsedEstimator(),
		limiters:         make(map[anvilmodel.ServiceName]*anvilgather.Limiter),
		pools:            make(map[anvilmodel.LeafName]*leafPool),
		dialer:           NewDialer(dialTimeout),
		random:           rand.New(rand.NewPCG(c.Seed, 1)),
		subsetSize:       minSubsetSize,
	}
	g.bodyBudget.limit = c.MaxBodyMemory
	g.quarantine = newQuarantine(c.Log)
	c.Balance.FailureDomain = c.FailureDomain
	c.Balance.Random = rand.New(rand.NewPCG(c.Seed, 2))
	g.balancer = anvilbalance.New(c.Balance)
	g.enoughShards.Store(true)
	roles := anvilfollower.NewRoles(anvilfollower.RolesConfig{
		Members: g.memberList,
		Random:  rand.New(rand.NewPCG(c.Seed, randomStreamRoles)),
		Log:     c.Log,
	})
	leafFollower := g.followerConfig(c.Store.LeafPrefix, roles, randomStreamLeaves, g.applyLeaves)
	leafFollower.Announcements = g.announcements
	leafFollower.MergeAnnouncements = g.mergeAnnouncements
	g.followers = &anvilfollower.Set{
		Configuration: anvilfollower.New(g.followerConfig(c.Store.ConfigurationPrefix, roles, randomStreamConfiguration, g.applyConfiguration)),
		Leaves:        anvilfollower.New(leafFollower),
		Roles:         roles,
	}
	g.startMembership()
	return g
}

// startTask runs a task in the background. Run waits for it before it returns.
func (g *Gateway) startTask(task func()) {
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		task()
	}()
}

// Run serves until Shutdown has finished or ctx is done.
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
		return errorx.Decorate(err, "listening for peer connections")
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

// closeServer shuts a server down. Requests that have arrived on its connections by then
// are still answered.
func (g *Gateway) closeServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// newServers returns the HTTP servers, one for each address.
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

// connUsedKey is the context key of the flag that a connection has carried a request.
type connUsedKey struct{}

// isFirstOnConnection reports whether a request is the first on its connection, and marks
// the connection as used.
func isFirstOnConnection(ctx context.Context) bool {
	used, ok := ctx.Value(connUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// runMaintenance checks ejected leaves, opens connections in advance, closes excess ones
// and updates metrics until the gateway stops.
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
		due := g.balancer.DueHealthChecks(now)
		g.balancerMu.Unlock()
		for _, l := range due {
			g.startTask(func() { g.checkHealth(l) })
		}
		if round%roundsPerFleetUpdate == 0 {
			g.updateFleetSize(now)
		}
		if round%roundsPerUpdate == 0 {
			if err := g.load.measure(now, g.config.Cores); err != nil {
				g.config.Log.Warn().Str("event", "load-unknown").Err(err).Send()
			}
			g.maintainPools(now)
			g.updateMetrics()
		}
		if round%roundsPerLimitReport == 0 {
			g.reportRateLimits(now)
		}
	}
}

func (g *Gateway) updateMetrics() {
	m := g.config.Metrics
	g.balancerMu.Lock()
	leaves := g.balancer.LeafCounts()
	fleet := g.fleetSize.Size()
	period, _ := g.balancer.PausePattern()
	g.balancerMu.Unlock()
	m.Set(anvilmetric.LeavesKnown, float64(leaves.Known))
	m.Set(anvilmetric.LeavesBreakerOpen, float64(leaves.Ejected))
	m.Set(anvilmetric.LeavesLimited, float64(leaves.RateLimited))
	m.Set(anvilmetric.LeafPausePeriod, period.Seconds())
	m.Set(anvilmetric.GatewaysKnown, float64(fleet))
	m.Set(anvilmetric.QueriesInFlight, float64(g.inFlight.Load()))
	m.Set(anvilmetric.ProcessorLoad, g.load.value())
	if t := g.table.Load(); t != nil {
		m.Set(anvilmetric.ConfigRevision, float64(t.Version()))
	}
}

// ready reports whether the gateway can serve: it has a configuration and the entries of
// the leaves, and is not shutting down.
func (g *Gateway) ready() bool {
	return g.table.Load() != nil && g.followers.Leaves.Loaded() && !g.shuttingDown.Load()
}
