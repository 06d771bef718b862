package anvilmember

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Config.
const (
	DefaultProbeInterval       = time.Second
	DefaultProbeTimeout        = 300 * time.Millisecond
	DefaultSuspicionTimeout    = 2 * time.Second
	DefaultPauseThreshold      = time.Second
	DefaultIsolationTimeout    = 3 * time.Second
	DefaultDeadProbeInterval   = 3 * time.Second
	DefaultVMListTTL           = 30 * time.Second
	DefaultDeadMemberRetention = time.Hour
	DefaultMaxUpdates          = 16
	DefaultMaxMessageBytes     = 600
)

const (
	// maxTickInterval is the longest time between two ticks. It is well below the pause
	// time, so that an idle process is not taken for a paused one.
	maxTickInterval = 250 * time.Millisecond
	// indirectProberCount is how many members are asked to probe on this node's behalf.
	indirectProberCount = 2
	// requiredWitnesses is how many witnesses make a member dead.
	requiredWitnesses = 2
	// twoWitnessMinMembers is the number of usable members below which one witness is enough
	// after twice the suspicion time: nobody else could be the second.
	twoWitnessMinMembers = 3
	// confirmingMembers is how many of the members that hear of a suspicion probe the
	// suspect at once, on average. They become witnesses or let it refute.
	confirmingMembers = 8
	// maxConfirmationProbes limits such probes of one node, so that the loss of a whole
	// failure domain does not multiply its control work.
	maxConfirmationProbes = 2
	// announcementProbes is how many members hear at once that a node has joined or leaves.
	announcementProbes = 16
	// requiredJoinReplies and joinTime end the join: so many peers told a fresh process
	// what they know of its name, slot and address, or none of them answered.
	requiredJoinReplies = 3
	joinReplyTimeout    = 2 * time.Second
	// maxJoinDuration ends the join when neither list nor peers are there.
	maxJoinDuration = 10 * time.Second
	// versionUnit is the unit of MemberUpdate.Version, counted from the start of the
	// process: a version says how old a state is.
	versionUnit = 250 * time.Millisecond
	// staleAfter is how long nothing new may be heard of a member before it is
	// probed out of turn. With 410 members 99 in 100 states are younger.
	staleAfter = 2 * time.Minute
	// catchUpProbes is the number of such probes a period when more than a tenth of
	// the members are silent, as after a start or a pause.
	catchUpProbes = 3
	// largeDomainMembers is the number of members in this node's failure domain from which
	// on one of them is probed in each period in addition.
	largeDomainMembers = 32
	// minUpdateBytes is less than any item needs, in bytes.
	minUpdateBytes = 16
	// maxRelayedProbes limits the probes in flight on behalf of others.
	maxRelayedProbes = 64
)

// Config holds the settings of a Membership. Zero durations and counts take the
// defaults.
type Config struct {
	// Self is this node. Its incarnation is the wall-clock reading in milliseconds
	// at the start of the process.
	Self   anvilmodel.Member
	Random *rand.Rand
	// ProbeInterval is the time between two regular probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for a direct reply; an indirect probe may
	// take twice as long.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// PauseThreshold is the gap between two calls above which the process is taken to
	// have paused.
	PauseThreshold time.Duration
	// IsolationTimeout is how long the node may hear from nobody before it counts as
	// isolated.
	IsolationTimeout time.Duration
	// DeadProbeInterval is the time between two probes of dead members.
	DeadProbeInterval time.Duration
	// VMListTTL is how long a list that was read counts as a witness.
	VMListTTL time.Duration
	// DeadMemberRetention is how long a dead member that is not listed is remembered.
	DeadMemberRetention time.Duration
	// MaxUpdates limits the updates of a message, MaxMessageBytes its encoded size.
	MaxUpdates      int
	MaxMessageBytes int
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		value *time.Duration
		other time.Duration
	}{
		{&c.ProbeInterval, DefaultProbeInterval},
		{&c.ProbeTimeout, DefaultProbeTimeout},
		{&c.SuspicionTimeout, DefaultSuspicionTimeout},
		{&c.PauseThreshold, DefaultPauseThreshold},
		{&c.IsolationTimeout, DefaultIsolationTimeout},
		{&c.DeadProbeInterval, DefaultDeadProbeInterval},
		{&c.VMListTTL, DefaultVMListTTL},
		{&c.DeadMemberRetention, DefaultDeadMemberRetention},
	} {
		if *d.value <= 0 {
			*d.value = d.other
		}
	}
	if c.MaxUpdates <= 0 {
		c.MaxUpdates = DefaultMaxUpdates
	}
	if c.MaxMessageBytes <= 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	return c
}

// SelfState is what the node says of itself.
type SelfState struct {
	// Load is the share of the node's capacity in use, from 0.
	Load float64
	// ConfigRevision is the store version of the configuration in force.
	ConfigRevision uint64
	Serving        bool
	// Leaving cannot be taken back.
	Leaving     bool
	TicketEpoch uint32
}
