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
	// collapseFactor is how much slower a cold leaf becomes when it has more
	// calls than it can bear.
	collapseFactor = 20
)

// UpstreamConfig holds the settings of one leaf. Zero values take the defaults.
type UpstreamConfig struct {
	Name          anvilmodel.LeafName
	Service       anvilmodel.ServiceName
	FailureDomain anvilmodel.FailureDomain
	// Slots is the number of calls that run at a time; 2 by default.
	Slots int
	// QueueLength is the number of calls that wait; further ones are shed; 4 by
	// default, negative for none.
	QueueLength int
	// ConnectionLimit bounds open connections; none by default.
	ConnectionLimit int
	// ColdConcurrency is the number of calls, running and waiting, that the leaf
	// can bear while it is cold; 1 by default.
	ColdConcurrency int
	// WarmAfter is the number of completed calls after which a cold leaf is
	// warm; by default it stays cold until SetCold(false).
	WarmAfter int
	// Cold says that the leaf starts cold.
	Cold        bool
	ServiceTime ServiceTime
	Holdings    []anvilmodel.Holding
	// Incarnation is the first one; 1 by default.
	Incarnation anvilmodel.Incarnation
	// Seed determines the service times.
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

// Upstream is a stand-in of one leaf.
type Upstream struct {
	config UpstreamConfig
	server *server

	mu          sync.Mutex
	incarnation anvilmodel.Incarnation
	cold        bool
	draining    bool
	out         bool
	// collapsed lasts until the leaf has no call.
	collapsed bool
	warmed    int
	holdings  []anvilmodel.Holding
	running   int
	queue     []*work
	works     map[anvilmodel.CallID]*work
	faults    faults
	stats     Stats
	// previous is the reply before the present one, for crossed replies.
	previous   anvilmodel.CallReply
	executions map[Execution]int
}

// NewUpstream starts a leaf. It returns Failed.
func NewUpstream(c UpstreamConfig) (*Upstream, error) {
	c = c.withDefaults()
	u := &Upstream{
		config:      c,
		incarnation: c.Incarnation,
		cold:        c.Cold,
		holdings:    append([]anvilmodel.Holding(nil), c.Holdings...),
		works:       make(map[anvilmodel.CallID]*work),
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

// Address is where the leaf listens.
func (u *Upstream) Address() netip.AddrPort {
	return u.server.addr()
}

// Leaf returns the leaf as a configuration declares it.
func (u *Upstream) Leaf() anvilmodel.Leaf {
	return anvilmodel.Leaf{
		Name:          u.config.Name,
		Service:       u.config.Service,
		Address:       u.Address(),
		FailureDomain: u.config.FailureDomain,
	}
}

// Stop ends the leaf at once, with every connection and call.
func (u *Upstream) Stop() {
	u.server.stop()
}

// Start brings a stopped leaf back at the same address as a new incarnation,
// cold. It returns Failed.
func (u *Upstream) Start() error {
	u.mu.Lock()
	u.becomeCold()
	u.mu.Unlock()
	return u.server.start()
}

// ReplaceProcess replaces the leaf's process: the connections break, and a new
// incarnation starts cold.
func (u *Upstream) ReplaceProcess() {
	u.mu.Lock()
	u.becomeCold()
	u.mu.Unlock()
	u.server.connections().closeAll()
}

func (u *Upstream) becomeCold() {
	u.incarnation++
	u.cold = true
	u.warmed = 0
}

// state returns what is true now.
func (u *Upstream) state() anvilmodel.LeafState {
	return anvilmodel.LeafState{
		Leaf:        u.config.Name,
		Incarnation: u.incarnation,
		Cold:        u.cold,
		Draining:    u.draining,
		Load:        float64(u.running) / float64(u.config.Slots),
		Holdings:    append([]anvilmodel.Holding(nil), u.holdings...),
	}
}

// handleState answers with the truth, an old state or a false claim.
func (u *Upstream) handleState(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.stats.StateReads++
	state := u.state()
	if u.faults.frozen != nil {
		state = *u.faults.frozen
	}
	if c := u.faults.claim; c != nil {
		state.Cold, state.Draining, state.Load = c.Cold, c.Draining, c.Load
	}
	delay := u.faults.stateDelay
	u.mu.Unlock()
	if !pause(r.Context(), delay) {
		return
	}
	writeJSON(w, func(dst []byte) ([]byte, error) {
		return anvilwire.AppendLeafState(dst, &state)
	})
}

// faults holds the faults that are switched on.
type faults struct {
	slow           time.Duration
	replyDelay     time.Duration
	stateDelay     time.Duration
	ignoreTimeouts bool
	frozen         *anvilmodel.LeafState
	claim          *FalseState
	replies        [faultKinds]int
}
