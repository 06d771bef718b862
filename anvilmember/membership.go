// Package anvilmember keeps a node's view of the other nodes. It decides whom to
// probe, judges the outcomes and passes on news with the probes.
package anvilmember

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Config.
const (
	DefaultProbePeriod     = time.Second
	DefaultProbeTimeout    = 300 * time.Millisecond
	DefaultSuspicionTime   = 2 * time.Second
	DefaultPauseTime       = time.Second
	DefaultIsolationTime   = 3 * time.Second
	DefaultDeadProbePeriod = 3 * time.Second
	DefaultNewsItems       = 16
	DefaultMessageBytes    = 600
)

// Config holds the settings of a Membership. Zero durations and counts take the
// defaults.
type Config struct {
	// Self is this node. Its incarnation is the wall-clock reading in milliseconds
	// at the start of the process.
	Self   anvilmodel.Member
	Random *rand.Rand
	// ProbePeriod is the time between two regular probes.
	ProbePeriod time.Duration
	// ProbeTimeout is the time to wait for a direct reply; an indirect probe may
	// take twice as long.
	ProbeTimeout time.Duration
	// SuspicionTime is how long a suspect has to refute.
	SuspicionTime time.Duration
	// PauseTime is the gap between two calls above which the process is taken to
	// have paused.
	PauseTime time.Duration
	// IsolationTime is how long the node may hear from nobody before it counts as
	// isolated.
	IsolationTime time.Duration
	// DeadProbePeriod is the time between two probes of dead members.
	DeadProbePeriod time.Duration
	// NewsItems limits the items of a message, MessageBytes its encoded size.
	NewsItems    int
	MessageBytes int
}

// SelfState is what the node says of itself.
type SelfState struct {
	// Load is the share of the node's capacity in use, from 0.
	Load float64
	// Revision is the store version of the configuration in force.
	Revision uint64
	Serving  bool
	// Leaving cannot be taken back.
	Leaving     bool
	TicketEpoch uint32
}

// Membership is a node's view of the fleet. It is not safe for concurrent use.
type Membership struct {
	config Config
	self   Item
}

// New returns the view of a node that has heard of nobody.
func New(c Config, now time.Time) *Membership {
	return &Membership{config: c, self: Item{Member: c.Self}}
}

// Tick does what is due at now. The owner calls it at Next or earlier.
func (m *Membership) Tick(now time.Time, a *Actions) {}

// Next returns when Tick has to be called at the latest.
func (m *Membership) Next() time.Time { return time.Time{} }

// SetList hands over the published list. The owner calls it after each successful
// read, also when the list has not changed.
func (m *Membership) SetList(list []anvilmodel.ListedVM, now time.Time, a *Actions) {}

// SetListUnavailable says that the published list could not be read. The last one
// then serves to find members, no longer as a witness.
func (m *Membership) SetListUnavailable(now time.Time, a *Actions) {}

// PlatformHeard says that the platform answered a request sent at sent.
func (m *Membership) PlatformHeard(sent, now time.Time, a *Actions) {}

// HandleProbe takes a request of another node. One Answer with the token follows,
// at once or after the target of an indirect probe has been tried.
func (m *Membership) HandleProbe(token uint64, q ProbeRequest, now time.Time, a *Actions) {}

// HandleReply takes the reply to the probe with the id.
func (m *Membership) HandleReply(id uint64, r ProbeReply, now time.Time, a *Actions) {}

// HandleFailure says that the probe with the id got no reply.
func (m *Membership) HandleFailure(id uint64, now time.Time, a *Actions) {}

// UpdateSelf sets what the node says of itself. When the node begins to leave, it
// tells several members at once.
func (m *Membership) UpdateSelf(s SelfState, now time.Time, a *Actions) {}

// Self returns this node's own entry. Its incarnation is final once Announced.
func (m *Membership) Self() anvilmodel.Member { return m.self.Member }

// Announced reports whether the incarnation is final. Before that it must not be
// given to anybody, in an address answer for example.
func (m *Membership) Announced() bool { return false }

// Superseded reports whether a later process has this node's name, slot or
// address. The process then stops new work and shuts down.
func (m *Membership) Superseded() bool { return false }

// Isolated reports whether the node has heard from neither peers nor platform for
// the isolation time, or not at all since its start or last pause.
func (m *Membership) Isolated(now time.Time) bool { return true }

// Members returns all known members, this node first. The slice is replaced, not
// changed, when something changes; the caller must not change it.
func (m *Membership) Members() []anvilmodel.Member { return nil }

// BySlot returns the member that occupies the slot, whatever its status.
func (m *Membership) BySlot(slot anvilmodel.SlotName) (anvilmodel.Member, bool) {
	return anvilmodel.Member{}, false
}

// Heard returns how many listed members have ever been heard of, and how many are
// listed, this node not counted.
func (m *Membership) Heard() (heard, listed int) { return 0, 0 }
