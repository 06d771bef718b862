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

	"github.com/joomcode/errorx"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilplatform"
	"anvilbridge/anvilquery"
	"anvilbridge/anvilrevision"
	"anvilbridge/anvilserver"
	"anvilbridge/anvilticket"
	"anvilbridge/anvilupstream"
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

	auditLock sync.Mutex
	audit     *anvilaudit.Ring

	// control guards membership and revision keeper.
	control sync.Mutex
	members *anvilmember.Membership
	keeper  *anvilrevision.Keeper
	random  *mathrand.Rand
	// answers holds the probes of other nodes that wait for an answer.
	answers   map[uint64]chan anvilmember.Answer
	lastToken uint64

	memberView atomic.Pointer[memberView]
	view       atomic.Pointer[view]
	// applyLock is held while a revision is put into force, and guards the
	// number of the last one.
	applyLock sync.Mutex
	applied   uint64
	// unreadable is the text of the last audited error of a read that returned
	// unacceptable documents.
	unreadable atomic.Value

	originLock sync.Mutex
	origin     *anvilquery.Origin
	runs       map[*anvilquery.Query]*queryRun

	ticketLock sync.Mutex
	tickets    *anvilticket.Register

	runnerLock sync.RWMutex
	runners    map[anvilmodel.LeafName]*leafRunner

	relayLock sync.Mutex
	relays    map[netip.AddrPort]*anvilpeer.RelayClient
	routes    map[anvilmodel.CallID]callRoute

	states    *stateStore
	admission *admission

	peers    *anvilpeer.Client
	platform *anvilplatform.Client
	upstream *anvilupstream.Client

	// announced is closed when the incarnation is final.
	announced     chan struct{}
	announcedOnce sync.Once
	leaving       atomic.Bool
	refusing      atomic.Bool
	stopped       chan struct{}
	stopOnce      sync.Once
	tasks         sync.WaitGroup
	background    context.Context
	cancel        context.CancelFunc
}

// New checks the settings and returns a node that is not yet running. It
// returns BadSettings with every finding.
func New(c Config) (*Node, error) {
	if findings := c.Check(); len(findings) > 0 {
		faults := make([]error, 0, len(findings))
		for _, f := range findings {
			faults = append(faults, fmt.Errorf("%s %s (accepted: %s)", f.Setting, f.Message, f.Accepted))
		}
		return nil, BadSettings.Wrap(errors.Join(faults...), "checking the settings")
	}
	c = c.withDefaults()
	now := time.Now()
	seed := c.Seed
	if seed == 0 {
		seed = systemSeed()
	}
	background, cancel := context.WithCancel(context.Background())
	n := &Node{
		config:     c,
		started:    now,
		random:     mathrand.New(mathrand.NewPCG(seed, 1)),
		answers:    make(map[uint64]chan anvilmember.Answer),
		runs:       make(map[*anvilquery.Query]*queryRun),
		runners:    make(map[anvilmodel.LeafName]*leafRunner),
		relays:     make(map[netip.AddrPort]*anvilpeer.RelayClient),
		routes:     make(map[anvilmodel.CallID]callRoute),
		states:     newStateStore(),
		admission:  newAdmission(c.MaxQueries),
		announced:  make(chan struct{}),
		stopped:    make(chan struct{}),
		background: background,
		cancel:     cancel,
	}
	n.metrics = anvilmetric.New(anvilmetric.Config{
		OnError: func(err error) {
			c.Log.Error().Str("event", "metric-failed").Err(err).Send()
		},
	})
	n.audit = anvilaudit.New(anvilaudit.Config{
		Write: n.logAudit,
	})
	n.members = anvilmember.New(anvilmember.Config{
		Self: anvilmodel.Member{
			Name:          c.Name,
			Slot:          c.Slot,
			FailureDomain: c.FailureDomain,
			CallerAddress: c.CallerAddress,
			PeerAddress:   c.PeerAddress,
			Incarnation:   anvilmodel.Incarnation(now.UnixMilli()),
		},
		Random: mathrand.New(mathrand.NewPCG(seed, 2)),
	}, now)
	n.keeper = anvilrevision.New(anvilrevision.Config{
		Self:       c.Name,
		Judge:      judge,
		ServeAlone: c.ServeAlone,
		Random:     mathrand.New(mathrand.NewPCG(seed, 3)),
	}, now)
	n.memberView.Store(newMemberView(n.members.Members()))
	n.peers = anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: c.DialPeer,
		Sent: n.countPeerMessage,
	})
	n.platform = anvilplatform.New(anvilplatform.Config{
		ConfigAddress: c.ConfigService,
		ListAddress:   c.VMList,
	})
	n.upstream = anvilupstream.New(anvilupstream.Config{
		Dial: c.DialUpstream,
	})
	return n, nil
}

// systemSeed returns a seed that differs between processes.
func systemSeed() uint64 {
	var seed [8]byte
	// crypto/rand.Read does not fail on the platforms that Go supports.
	_, _ = rand.Read(seed[:])
	return binary.LittleEndian.Uint64(seed[:])
}

// Run serves until Shutdown has finished or the context ends; the latter cuts
// off what runs. It returns ListenFailed.
func (n *Node) Run(ctx context.Context) error {
	callers, err := listen(n.config.CallerListener, n.config.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := listen(n.config.PeerListener, n.config.PeerAddress)
	if err != nil {
		_ = callers.Close()
		return err
	}
	peerServer, err := anvilpeer.NewServer(n.peerHandlers())
	if err != nil {
		return err
	}
	server := anvilserver.New(n.serverConfig())
	n.config.Log.Info().
		Str("event", "node-started").
		Str("name", string(n.config.Name)).
		Str("slot", string(n.config.Slot)).
		Str("failure-domain", string(n.config.FailureDomain)).
		Stringer("caller-address", n.config.CallerAddress).
		Stringer("peer-address", n.config.PeerAddress).
		Send()
	n.goRun(func() { _ = peerServer.Serve(n.background, peers) })
	n.goRun(func() {
		if err := server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			n.config.Log.Error().Str("event", "server-failed").Err(err).Send()
		}
	})
	n.goRun(n.runMembership)
	n.goRun(n.runRevisions)
	n.goRun(n.runWatch)
	n.goRun(n.runList)
	n.goRun(n.runStateExchange)
	n.goRun(n.runHousekeeping)
	select {
	case <-ctx.Done():
		n.stop()
	case <-n.stopped:
	}
	_ = server.Close()
	n.close()
	return nil
}

// close ends every task of the node and waits for them.
func (n *Node) close() {
	n.cancel()
	n.closeRelays()
	n.closeRunners()
	n.tasks.Wait()
	n.upstream.Shutdown()
	n.platform.Shutdown()
	_ = n.peers.Close()
	_ = n.metrics.Close()
}

func (n *Node) stop() {
	n.stopOnce.Do(func() { close(n.stopped) })
}

// goRun runs a task that close waits for.
func (n *Node) goRun(task func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		task()
	}()
}

func listen(given net.Listener, address netip.AddrPort) (net.Listener, error) {
	if given != nil {
		return given, nil
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
