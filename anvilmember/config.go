package anvilmember

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of the Config fields.
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
	// maxTickInterval is the longest time between two ticks. It is well below the
	// pause threshold, so that an idle process does not count as paused.
	maxTickInterval = 250 * time.Millisecond
	// indirectProberCount is the number of members that are requested to probe a
	// target that did not answer this node.
	indirectProberCount = 2
	// requiredWitnesses is the number of witnesses needed to declare a member dead.
	requiredWitnesses = 2
	// twoWitnessMinMembers is the number of live members below which one witness is
	// enough after twice the suspicion timeout, because no other member could be the
	// second witness.
	twoWitnessMinMembers = 3
	// confirmingMembers is the average number of members that probe a suspect as soon
	// as they receive an update about the suspicion. Each becomes a witness or gives
	// the suspect an opportunity to refute.
	confirmingMembers = 8
	// massFailureProbes is the number of further members probed at once after a probe to
	// which neither the target nor the members that were to probe it have answered. In a
	// fleet of which most members are lost, the round robin alone would find them one by one.
	massFailureProbes = 8
	// unconfirmedProbes is how often all members together probe a suspect with too few
	// witnesses per probe interval, and maxUnconfirmedProbes bounds those probes per node.
	unconfirmedProbes    = 2
	maxUnconfirmedProbes = 32
	// maxPendingUpdates is the number of queued updates about suspected and dead members
	// above which members are probed in addition, catchUpProbes per probe interval: after the
	// loss of many members the usual messages have no space for all updates.
	maxPendingUpdates = 4
	// maxConfirmationProbes limits these probes per node and probe interval, so that
	// the loss of a whole failure domain does not multiply the probe traffic.
	maxConfirmationProbes = 2
	// announcementProbes is the number of members probed at once to announce that
	// this node joined or leaves.
	announcementProbes = 16
	// requiredJoinReplies is the number of peers that have to reply before a new
	// process announces itself. They report the members that have its name, slot or
	// address.
	requiredJoinReplies = 3
	// joinReplyTimeout is the time after which the process announces itself with
	// fewer replies.
	joinReplyTimeout = 2 * time.Second
	// maxJoinDuration is the time after which the process announces itself although it
	// has neither read the VM list nor discovered a peer.
	maxJoinDuration = 10 * time.Second
	// versionUnit is the unit of MemberUpdate.Version, which counts from the start of
	// the process. The version thus gives the age of a state.
	versionUnit = 250 * time.Millisecond
	// staleAfter is the time without new state after which a member is probed out of
	// turn. With 410 members 99 in 100 states are younger.
	staleAfter = 2 * time.Minute
	// catchUpProbes is the number of probes of stale members per probe interval when
	// more than a tenth of the members are stale, as after a start or a pause.
	catchUpProbes = 3
	// largeDomainMembers is the number of members in this node's failure domain from
	// which an additional one of them is probed per probe interval.
	largeDomainMembers = 32
	// minUpdateBytes is a lower bound of the encoded size of an update. A message with
	// less space left is full.
	minUpdateBytes = 16
	// maxRelayedProbes limits the probes in flight on behalf of other members.
	maxRelayedProbes = 64
)

// Config holds the settings of a Membership. Durations and limits that are zero take
// their defaults.
type Config struct {
	// Self is this node. Its incarnation is the wall-clock time of the process start
	// in milliseconds.
	Self   anvilmodel.Member
	Random *rand.Rand
	// ProbeInterval is the time between two scheduled probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for a direct reply. Indirect probes may take
	// twice as long.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspected member has to refute.
	SuspicionTimeout time.Duration
	// PauseThreshold is the time between two calls above which the process counts as
	// paused in between.
	PauseThreshold time.Duration
	// IsolationTimeout is the time without any reply after which the node counts as
	// isolated.
	IsolationTimeout time.Duration
	// DeadProbeInterval is the time between two probes of dead members.
	DeadProbeInterval time.Duration
	// VMListTTL is the time after a successful read during which the absence of a
	// member from the published VM list counts as a second witness.
	VMListTTL time.Duration
	// DeadMemberRetention is how long a dead member that is not listed is kept.
	DeadMemberRetention time.Duration
	// MaxUpdates limits the number of updates in a message.
	MaxUpdates int
	// MaxMessageBytes limits the encoded size of a message.
	MaxMessageBytes int
}

func (c Config) withDefaults() Config {
	for _, setting := range []struct {
		value    *time.Duration
		fallback time.Duration
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
		if *setting.value <= 0 {
			*setting.value = setting.fallback
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

// SelfState is the state that the node reports about itself.
type SelfState struct {
	// Load is the fraction of the node's capacity in use; 0 means idle.
	Load float64
	// RequestRate is the number of requests per second from callers.
	RequestRate float64
	// ConfigRevision is the store revision of the configuration in use, and ConfigEra its era.
	ConfigRevision uint64
	ConfigEra      uint64
	Serving        bool
	// Leaving is final: later calls with false have no effect.
	Leaving     bool
	TicketEpoch uint32
}
