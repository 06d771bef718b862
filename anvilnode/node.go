package anvilnode

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilplatform"
	"anvilbridge/anvilquery"
	"anvilbridge/anvilrevision"
	"anvilbridge/anvilserver"
	"anvilbridge/anvilstate"
	"anvilbridge/anvilticket"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilnode")

var (
	// BadSettings is returned if the settings are invalid.
	BadSettings = Errors.NewType("bad-settings")
	// ListenFailed is returned if listening on an address or serving on it fails.
	ListenFailed = Errors.NewType("listen-failed")
)

// Node is one anvilbridge process. Its components have locks of their own. No lock is
// held while another component is called, unless a comment says so.
type Node struct {
	config  Config
	metrics *anvilmetric.Metrics
	started time.Time
	// replyHandler is handleReply as a function value, which is allocated only once.
	replyHandler func(anvilmodel.CallReply)
	server       *anvilserver.Server
	peerServer   *anvilpeer.Server

	auditLock sync.Mutex
	auditRing *anvilaudit.Ring

	// controlLock guards members, revisions and random.
	controlLock sync.Mutex
	membership  *anvilmember.Membership
	revisions   *anvilrevision.Manager
	random      *mathrand.Rand
	prober      *anvilpeer.Prober

	memberView   atomic.Pointer[memberView]
	activeConfig atomic.Pointer[activeConfig]
	// applyLock is held while a revision is applied. It guards appliedSequence, the
	// sequence number of the last applied action.
	applyLock       sync.Mutex
	appliedSequence uint64
	// lastRefusedRead is the error text of the last audited read of the configuration
	// service that returned too large or malformed documents.
	lastRefusedRead atomic.Value

	originLock sync.Mutex
	origin     *anvilquery.Origin
	queryRuns  map[*anvilquery.Query]*queryRun
	// actionBuffer is reused for the actions that origin returns.
	actionBuffer []anvilquery.Action

	ticketLock sync.Mutex
	tickets    *anvilticket.Register

	runnerLock sync.RWMutex
	runners    map[anvilmodel.LeafName]*leafRunner
	// retiredRunners holds runners that get no new calls and finish the pending ones.
	retiredRunners map[*leafRunner]struct{}
	// applyCount counts the applied revisions.
	applyCount atomic.Uint64
	// exchangeNow triggers an immediate request for the leaf states of the other nodes.
	exchangeNow chan struct{}

	relayLock sync.Mutex
	relays    map[netip.AddrPort]*anvilpeer.RelayClient
	routes    map[anvilmodel.CallID]callRoute

	// localSharesLock guards localShares.
	localSharesLock sync.Mutex
	localShares     *anviladdress.LocalShares

	states    *anvilstate.Store
	admission *admission

	peers    *anvilpeer.Client
	platform *anvilplatform.Client

	// announced is closed when the incarnation is final.
	announced     chan struct{}
	announcedOnce sync.Once
	// ready is set once the node may serve.
	ready atomic.Bool
	// domainOutSince is when the node's failure domain was found taken out of service,
	// in nanoseconds after started. It is 0 while the domain is in service.
	domainOutSince  atomic.Int64
	leaving         atomic.Bool
	refusingQueries atomic.Bool
	stopped         chan struct{}
	stopOnce        sync.Once
	logOnce         sync.Once
	// cutOffCount is the number of queries and leaf calls that were cut off when the
	// node stopped.
	cutOffCount atomic.Int64
	// serverErrors receives the error of a server that ended unexpectedly.
	serverErrors chan error
	ctx          context.Context
	cancel       context.CancelFunc

	// taskLock ensures that no request starts a task after close has begun to wait for
	// the tasks.
	taskLock sync.Mutex
	closing  bool
	tasks    sync.WaitGroup
}

// New validates the settings and returns a node that is not yet running. It returns
// BadSettings with all findings if any setting is invalid.
func New(c Config) (*Node, error) {
	if findings := c.Validate(); len(findings) > 0 {
		problems := make([]error, 0, len(findings))
		for _, f := range findings {
			problems = append(problems, fmt.Errorf("%s %s (accepted: %s)", f.Setting, f.Message, f.Accepted))
		}
		return nil, BadSettings.Wrap(errors.Join(problems...), "validating the settings")
	}
	c = c.withDefaults()
	now := time.Now()
	seed := c.Seed
	if seed == 0 {
		seed = systemSeed()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config:         c,
		started:        now,
		random:         mathrand.New(mathrand.NewPCG(seed, 1)),
		queryRuns:      make(map[*anvilquery.Query]*queryRun),
		runners:        make(map[anvilmodel.LeafName]*leafRunner),
		relays:         make(map[netip.AddrPort]*anvilpeer.RelayClient),
		retiredRunners: make(map[*leafRunner]struct{}),
		exchangeNow:    make(chan struct{}, 1),
		routes:         make(map[anvilmodel.CallID]callRoute),
		localShares:    anviladdress.NewLocalShares(),
		states:         anvilstate.New(),
		admission:      newAdmission(c.MaxQueries),
		announced:      make(chan struct{}),
		stopped:        make(chan struct{}),
		serverErrors:   make(chan error, 2),
		ctx:            ctx,
		cancel:         cancel,
	}
	n.replyHandler = n.handleReply
	n.metrics = anvilmetric.New(anvilmetric.Config{
		OnError: func(err error) {
			c.Log.Error().Str("event", "metric-failed").Err(err).Send()
		},
	})
	n.auditRing = anvilaudit.New(anvilaudit.Config{
		Write: n.logAudit,
	})
	n.membership = anvilmember.New(anvilmember.Config{
		Self: anvilmodel.Member{
			Name:          c.Name,
			Slot:          c.Slot,
			FailureDomain: c.FailureDomain,
			CallerAddress: c.CallerAddress,
			PeerAddress:   c.PeerAddress,
			Incarnation:   initialIncarnation(c.Name, now),
		},
		Random: mathrand.New(mathrand.NewPCG(seed, 2)),
	}, now)
	n.revisions = anvilrevision.New(anvilrevision.Config{
		Self:       c.Name,
		Validate:   validateDocuments,
		ServeAlone: c.ServeAlone,
		Random:     mathrand.New(mathrand.NewPCG(seed, 3)),
	}, now)
	n.memberView.Store(newMemberView(n.membership.Members()))
	n.peers = anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial:          c.DialPeer,
		OnRequestSent: n.countPeerRequest,
	})
	n.prober = n.newProber()
	n.platform = anvilplatform.New(anvilplatform.Config{
		ConfigAddress: c.ConfigServiceAddress,
		ListAddress:   c.VMListAddress,
	})
	n.server = anvilserver.New(n.serverConfig())
	n.server.Use(n.trackRequests)
	var err error
	if n.peerServer, err = anvilpeer.NewServer(n.peerHandlers()); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// incarnationNameBits is the number of low bits of an incarnation that are derived from
// the VM's name.
const incarnationNameBits = 12

// initialIncarnation returns the start time of the process in milliseconds, followed by
// bits of a hash of the VM's name. A ticket identifies its node only by the
// incarnation, so nodes that start in the same millisecond need different ones. The
// number stays below 2^53 until 2039, so that JSON readers with floating-point numbers
// read it exactly.
func initialIncarnation(name anvilmodel.VMName, now time.Time) anvilmodel.Incarnation {
	nameHash := xxhash.Sum64String(string(name)) & (1<<incarnationNameBits - 1)
	return anvilmodel.Incarnation(uint64(now.UnixMilli())<<incarnationNameBits | nameHash)
}

// systemSeed returns a random seed from the operating system.
func systemSeed() uint64 {
	var seed [8]byte
	// crypto/rand.Read does not fail on the platforms that Go supports.
	_, _ = rand.Read(seed[:])
	return binary.LittleEndian.Uint64(seed[:])
}

// Run serves until Shutdown has finished or the context ends. If the context ends,
// running queries and leaf calls are cut off. Run returns ListenFailed if a listener
// cannot be opened or fails later. It may be called once.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	callerListener, err := listen(n.config.CallerListener, n.config.CallerAddress)
	if err != nil {
		return err
	}
	peerListener, err := listen(n.config.PeerListener, n.config.PeerAddress)
	if err != nil {
		_ = callerListener.Close()
		return err
	}
	n.config.Log.Info().
		Str("event", "node-started").
		Str("name", string(n.config.Name)).
		Str("slot", string(n.config.Slot)).
		Str("failure-domain", string(n.config.FailureDomain)).
		Stringer("caller-address", n.config.CallerAddress).
		Stringer("peer-address", n.config.PeerAddress).
		Send()
	n.startTask(func() { n.servePeers(peerListener) })
	n.startTask(func() { n.serveCallers(callerListener) })
	n.startTask(n.prober.Run)
	n.startTask(n.runRevisionTicks)
	n.startTask(n.runConfigWatch)
	n.startTask(n.runVMListReads)
	n.startTask(n.runStateExchange)
	n.startTask(n.runMaintenance)
	select {
	case <-ctx.Done():
		n.logStopped("stopped without waiting for queries in progress")
	case err = <-n.serverErrors:
		n.config.Log.Error().Str("event", "listener-failed").Err(err).Send()
		n.logStopped("a listener failed")
	case <-n.stopped:
	}
	n.signalStopped()
	return err
}

func (n *Node) serveCallers(l net.Listener) {
	if err := n.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !n.leaving.Load() {
		n.serverErrors <- ListenFailed.Wrap(err, "serving callers on %s", l.Addr())
	}
}

func (n *Node) servePeers(l net.Listener) {
	if err := n.peerServer.Serve(n.ctx, l); err != nil {
		n.serverErrors <- ListenFailed.Wrap(err, "serving nodes on %s", l.Addr())
	}
}

// close stops the servers, cancels the tasks of the node and waits for them.
func (n *Node) close() {
	n.taskLock.Lock()
	n.closing = true
	n.taskLock.Unlock()
	_ = n.server.Close()
	n.cancel()
	n.closeRelays()
	n.tasks.Wait()
	n.platform.Shutdown()
	_ = n.peers.Close()
	_ = n.metrics.Close()
}

// trackRequests registers every request as a task of the node, so that close waits for
// it. Requests that arrive after close has begun are aborted.
func (n *Node) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.taskLock.Lock()
		if n.closing {
			n.taskLock.Unlock()
			panic(http.ErrAbortHandler)
		}
		n.tasks.Add(1)
		n.taskLock.Unlock()
		defer n.tasks.Done()
		next.ServeHTTP(w, r)
	})
}

func (n *Node) signalStopped() {
	n.stopOnce.Do(func() { close(n.stopped) })
}

// startTask runs a function in a goroutine that close waits for. After Run has begun,
// only running tasks may call it.
func (n *Node) startTask(task func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		task()
	}()
}

func listen(existing net.Listener, address netip.AddrPort) (net.Listener, error) {
	if existing != nil {
		return existing, nil
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, ListenFailed.Wrap(err, "listening on %s", address)
	}
	return listener, nil
}

// incarnation returns the final incarnation of this process, or 0 before it is
// announced.
func (n *Node) incarnation() anvilmodel.Incarnation {
	select {
	case <-n.announced:
		return n.memberView.Load().self.Incarnation
	default:
		return 0
	}
}
