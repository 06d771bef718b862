package anvilstandin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const (
	defaultSlots           = 2
	defaultQueueLength     = 4
	defaultColdConcurrency = 1
	// collapseFactor is the factor by which service times grow on a cold leaf that
	// has more calls in flight than its ColdConcurrency.
	collapseFactor = 20
)

// UpstreamConfig holds the settings of one leaf. Zero values select the defaults.
type UpstreamConfig struct {
	Name          anvilmodel.LeafName
	Service       anvilmodel.ServiceName
	FailureDomain anvilmodel.FailureDomain
	// Slots is the maximum number of calls that run concurrently; 2 by default.
	Slots int
	// QueueLength is the maximum number of queued calls, above which calls are
	// shed; 4 by default, negative for no queue.
	QueueLength int
	// ConnectionLimit is the maximum number of open connections; unlimited by
	// default.
	ConnectionLimit int
	// ColdConcurrency is the number of calls, running and queued, that the leaf can
	// handle while it is cold; 1 by default. With more it becomes much slower.
	ColdConcurrency int
	// WarmAfter is the number of completed calls after which a cold leaf becomes
	// warm. By default it stays cold until SetCold(false).
	WarmAfter int
	// Cold means that the leaf is cold when it is created.
	Cold        bool
	ServiceTime ServiceTime
	Holdings    []anvilmodel.Holding
	// Incarnation is the first incarnation; 1 by default.
	Incarnation anvilmodel.Incarnation
	// Seed is the seed of the random service times.
	Seed uint64
}

func (c UpstreamConfig) withDefaults() UpstreamConfig {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.QueueLength == 0 {
		c.QueueLength = defaultQueueLength
	}
	if c.ColdConcurrency <= 0 {
		c.ColdConcurrency = defaultColdConcurrency
	}
	if c.Incarnation == 0 {
		c.Incarnation = 1
	}
	return c
}

// Upstream is a fake of one leaf of an upstream.
type Upstream struct {
	config UpstreamConfig
	server *server

	mu               sync.Mutex
	incarnation      anvilmodel.Incarnation
	cold             bool
	draining         bool
	failureDomainOut bool
	// collapsed means that the leaf is slow because it got too many calls while it
	// was cold. It ends when the leaf has no calls in flight.
	collapsed          bool
	completedSinceCold int
	holdings           []anvilmodel.Holding
	running            int
	queue              []*leafCall
	calls              map[anvilmodel.CallID]*leafCall
	faults             faults
	stats              Stats
	// previousReply is the last successful reply; CrossReply sends it in place of
	// the next one.
	previousReply anvilmodel.CallReply
	executions    map[Execution]int
}

// NewUpstream starts a leaf. The error is StartFailed.
func NewUpstream(c UpstreamConfig) (*Upstream, error) {
	c = c.withDefaults()
	u := &Upstream{
		config:      c,
		incarnation: c.Incarnation,
		cold:        c.Cold,
		holdings:    append([]anvilmodel.Holding(nil), c.Holdings...),
		calls:       make(map[anvilmodel.CallID]*leafCall),
		executions:  make(map[Execution]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+anvilwire.PathLeafCall, u.handleCall)
	mux.HandleFunc("DELETE "+anvilwire.PathLeafCall+"/{request}/{attempt}", u.handleCancel)
	mux.HandleFunc("GET "+anvilwire.PathLeafState, u.handleState)
	s, err := startServer(mux, c.ConnectionLimit)
	if err != nil {
		return nil, err
	}
	u.server = s
	return u, nil
}

// Address returns the address of the leaf.
func (u *Upstream) Address() netip.AddrPort {
	return u.server.addr()
}

// Leaf returns the leaf as it is declared in a configuration.
func (u *Upstream) Leaf() anvilmodel.Leaf {
	return anvilmodel.Leaf{
		Name:          u.config.Name,
		Service:       u.config.Service,
		Address:       u.Address(),
		FailureDomain: u.config.FailureDomain,
	}
}

// Stop immediately stops the leaf, closes its connections and cancels its calls.
func (u *Upstream) Stop() {
	u.server.stop()
}

// Start starts a stopped leaf again at the same address, as a new incarnation that
// is cold. The error is StartFailed.
func (u *Upstream) Start() error {
	u.mu.Lock()
	u.startColdIncarnation()
	u.mu.Unlock()
	return u.server.start()
}

// ReplaceProcess simulates that the leaf's process is replaced: all connections
// are closed, and a new incarnation starts cold.
func (u *Upstream) ReplaceProcess() {
	u.mu.Lock()
	u.startColdIncarnation()
	u.mu.Unlock()
	u.server.currentListener().closeAll()
}

func (u *Upstream) startColdIncarnation() {
	u.incarnation++
	u.cold = true
	u.completedSinceCold = 0
}

// currentState returns the real state of the leaf.
func (u *Upstream) currentState() anvilmodel.LeafState {
	return anvilmodel.LeafState{
		Leaf:        u.config.Name,
		Incarnation: u.incarnation,
		Cold:        u.cold,
		Draining:    u.draining,
		Load:        float64(u.running) / float64(u.config.Slots),
		Holdings:    append([]anvilmodel.Holding(nil), u.holdings...),
	}
}

// handleState returns the state of the leaf, or the frozen or false state if one
// is set.
func (u *Upstream) handleState(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.stats.StateReads++
	state := u.currentState()
	if u.faults.frozenState != nil {
		state = *u.faults.frozenState
	}
	if falseState := u.faults.falseState; falseState != nil {
		state.Cold, state.Draining, state.Load = falseState.Cold, falseState.Draining, falseState.Load
	}
	delay := u.faults.stateDelay
	u.mu.Unlock()
	if !sleep(r.Context(), delay) {
		return
	}
	writeJSON(w, func(dst []byte) ([]byte, error) {
		return anvilwire.AppendLeafState(dst, &state)
	})
}

// faults holds the faults that are currently injected.
type faults struct {
	serviceDelay   time.Duration
	replyDelay     time.Duration
	stateDelay     time.Duration
	ignoreTimeouts bool
	frozenState    *anvilmodel.LeafState
	falseState     *FalseState
	replyFaults    [replyFaultCount]int
}
