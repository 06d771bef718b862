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
	// BadSettings means that the node cannot start with its settings.
	BadSettings = Errors.NewType("bad-settings")
	// ListenFailed means that an address could not be listened on.
	ListenFailed = Errors.NewType("listen-failed")
)

// Node is one anvilbridge process. Its parts have locks of their own; no lock
// is held while another part is called, except where a comment says so.
type Node struct {
	config  Config
	metrics *anvilmetric.Metrics
	started time.Time
	// deliver is handleReply as a value, made once.
	replyHandler func(anvilmodel.CallReply)
	server       *anvilserver.Server
	peerServer   *anvilpeer.Server

	auditLock sync.Mutex
	auditRing *anvilaudit.Ring

	// control guards membership and revision keeper.
	controlLock sync.Mutex
	members     *anvilmember.Membership
	revisions   *anvilrevision.Manager
	random      *mathrand.Rand
	prober      *anvilpeer.Prober

	memberView   atomic.Pointer[memberView]
	activeConfig atomic.Pointer[activeConfig]
	// applyLock is held while a revision is put into force, and guards the
	// number of the last one.
	applyLock       sync.Mutex
	appliedSequence uint64
	// unreadable is the text of the last audited error of a read that returned
	// unacceptable documents.
	lastRefusedRead atomic.Value

	originLock sync.Mutex
	origin     *anvilquery.Origin
	queryRuns  map[*anvilquery.Query]*queryRun
	// actions is memory for what the core returns.
	actionBuffer []anvilquery.Action

	ticketLock sync.Mutex
	tickets    *anvilticket.Register

	runnerLock sync.RWMutex
	runners    map[anvilmodel.LeafName]*leafRunner
	// retired holds the runners that finish their last calls.
	retiredRunners map[*leafRunner]struct{}
	// applications counts the revisions put into force.
	applyCount atomic.Uint64
	// askAgain asks for the leaf states of the other nodes at once.
	exchangeNow chan struct{}

	relayLock sync.Mutex
	relays    map[netip.AddrPort]*anvilpeer.RelayClient
	routes    map[anvilmodel.CallID]callRoute

	// addressLock guards shares.
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
	// outSince is when the node's failure domain was found taken out, as the time
	// since started in nanoseconds; 0 while it is in service.
	domainOutSince  atomic.Int64
	leaving         atomic.Bool
	refusingQueries atomic.Bool
	stopped         chan struct{}
	stopOnce        sync.Once
	logOnce         sync.Once
	// cut is how much was cut off when the node stopped.
	cutOffCount atomic.Int64
	// failure receives the error of a server that ended by itself.
	serverErrors chan error
	ctx          context.Context
	cancel       context.CancelFunc

	// taskLock orders the begin of a request's task and the end of the node.
	taskLock sync.Mutex
	closing  bool
	tasks    sync.WaitGroup
}

// New checks the settings and returns a node that is not yet running. It
// returns BadSettings with every finding.
func New(c Config) (*Node, error) {
	if findings := c.Validate(); len(findings) > 0 {
		problems := make([]error, 0, len(findings))
		for _, f := range findings {
			problems = append(problems, fmt.Errorf("%s %s (accepted: %s)", f.Setting, f.Message, f.Accepted))
		}
		return nil, BadSettings.Wrap(errors.Join(problems...), "checking the settings")
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
	n.members = anvilmember.New(anvilmember.Config{
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
	n.memberView.Store(newMemberView(n.members.Members()))
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

// nameBits is the number of low bits of an incarnation that come from the name.
const incarnationNameBits = 12

// firstIncarnation numbers a process by its start in milliseconds, followed by
// bits of its name. A ticket names nothing but the incarnation, so two nodes that
// start in the same millisecond must not have the same one. The number stays below
// 2^53 until 2039, so that JSON readers with floating-point numbers keep it whole.
func initialIncarnation(name anvilmodel.VMName, now time.Time) anvilmodel.Incarnation {
	nameHash := xxhash.Sum64String(string(name)) & (1<<incarnationNameBits - 1)
	return anvilmodel.Incarnation(uint64(now.UnixMilli())<<incarnationNameBits | nameHash)
}

// systemSeed returns a seed that differs between processes.
func systemSeed() uint64 {
	var seed [8]byte
	// crypto/rand.Read does not fail on the platforms that Go supports.
	_, _ = rand.Read(seed[:])
	return binary.LittleEndian.Uint64(seed[:])
}

// Run serves until Shutdown has finished or the context ends; the latter cuts
// off what runs. It returns ListenFailed, also when a listener fails later. A node
// runs once.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	callers, err := listen(n.config.CallerListener, n.config.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := listen(n.config.PeerListener, n.config.PeerAddress)
	if err != nil {
		_ = callers.Close()
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
	n.startTask(func() { n.servePeers(peers) })
	n.startTask(func() { n.serveCallers(callers) })
	n.startTask(n.prober.Run)
	n.startTask(n.runRevisionTicks)
	n.startTask(n.runConfigWatch)
	n.startTask(n.runVMListReads)
	n.startTask(n.runStateExchange)
	n.startTask(n.runMaintenance)
	select {
	case <-ctx.Done():
		n.logStopped("ended without waiting for what runs")
	case err = <-n.serverErrors:
		n.config.Log.Error().Str("event", "listener-failed").Err(err).Send()
		n.logStopped("a listener failed")
	case <-n.stopped:
	}
	n.stop()
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

// close ends every task of the node and waits for them.
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

// counted makes every request a task of the node, so that none outlives it.
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

func (n *Node) stop() {
	n.stopOnce.Do(func() { close(n.stopped) })
}

// goRun runs a task that close waits for. Only other tasks may call it once Run
// has begun.
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
