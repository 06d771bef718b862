package anvilfollower

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

const (
	// watchWait is how long a watch of the store waits for a change.
	watchWait = 10 * time.Second
	// watchPause is the time between two watches, so that changes in quick
	// succession are read together. Changes are due in force within seconds.
	watchPause = 100 * time.Millisecond
	// readTimeout bounds a read of all items, with its pages.
	readTimeout = 4 * time.Second
	// startDelay and startSpread bound the time, drawn at random, after which a node
	// that starts reads the store although no caller waits for it. The copies of a
	// large fleet that starts at one moment fill the store's link for longer.
	startDelay  = 150 * time.Millisecond
	startSpread = 650 * time.Millisecond
	// storeFirstTime is how long such a node leaves the other nodes alone, so that its
	// whole copy does not go through the links of those that serve callers.
	storeFirstTime = time.Second
	// firstReadDelay is the time between two reads of a node that has no copy yet, if
	// the store stays silent: what was asked before its return may never be answered.
	// Reads before stay open. The store answers in milliseconds.
	firstReadDelay = 300 * time.Millisecond
	// firstReads bounds the reads that such a node has open.
	firstReads = 6
	// startAway is how long the store may take to answer a node that has just got its
	// copy from it, before it counts as away.
	startAway = 50 * time.Millisecond
	// firstRetry and longestRetry bound the time between two reads of a store that
	// does not answer.
	firstRetry   = 50 * time.Millisecond
	longestRetry = time.Second
	// relayWait is how long a question to another node waits for a change, for each
	// level of the tree on which the copy is passed on: in a large fleet a node asks
	// less often, because others ask it. The answer also says how long ago the store
	// was heard, which has to be known well within the time in which changes are due.
	relayWait = 700 * time.Millisecond
	// longestRelayWait bounds it for any fleet.
	longestRelayWait = 4 * relayWait
	// relayMargin is added to the wait for the answer's way.
	relayMargin = 400 * time.Millisecond
	// staleAge is the age from which a reader's copy is not relied on: the store was
	// due to confirm it once a verifyPeriod. Each level below may add one wait.
	staleAge = 1500 * time.Millisecond
	// directTime is how long a node reads the store itself after no other node could
	// be relied on.
	directTime = 5 * time.Second
	// extraReaders is the number of nodes that are expected to begin to read the store
	// themselves in one round of questions while no copy can be relied on. It bounds
	// the calls of a large fleet to a store that is in trouble.
	extraReaders = 2
	// settleTime is how long a node that has just loaded its copy may take to hear of
	// other readers. Until then each node of a fleet that starts would watch and verify.
	settleTime = 2500 * time.Millisecond
	// rolePoll is how often a node looks whether it has to read the store.
	rolePoll = 250 * time.Millisecond
	// OutageGrace is how long leafs whose entries lapsed while the store was away are
	// still used after its return: the platform says that entries of live leafs are
	// back within about 2 s.
	OutageGrace = 2200 * time.Millisecond
)

// ReaderCount is the number of nodes that read the store for all. Its rates do not
// grow with the fleet; two of them stand in for each other.
const ReaderCount = 2

// Batch is a batch of changes of a prefix.
type Batch struct {
	// Items are the changes in their order.
	Items []anvilmirror.Item
	// AfterOutage says that the store was away until a moment ago, so that entries may
	// have been deleted for want of a heartbeat.
	AfterOutage bool
	// Mirror holds the copy after the changes. It must not be kept.
	Mirror *anvilmirror.Mirror
}

// Config sets up a Follower. All fields without a remark must be set.
type Config struct {
	Prefix string
	// ReadAll returns complete changes.
	ReadAll func(ctx context.Context, prefix string) (anvilmirror.Changes, error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// after the wait. It returns HistoryGone.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error)
	// FetchChanges asks another node for what is missing.
	FetchChanges func(ctx context.Context, address netip.AddrPort, q anvilpeer.PublishedQuestion) (anvilpeer.Published, error)
	// Members returns the fleet as this node sees it, itself first.
	Members func() []anvilmodel.Member
	// Apply takes changes over, one batch at a time.
	Apply func(Batch)
	// Departures returns the leafs that this node knows to leave, for the other nodes,
	// and MergeDepartures takes those over that another node knows of; it reports
	// whether any is new. Both are nil for a prefix without leafs.
	Departures      func() []anvilmodel.Departure
	MergeDepartures func([]anvilmodel.Departure) bool
	// CountRead counts a read of the store or of another node.
	CountRead func(kind string, ok bool)
	// Random decides which nodes read a store in trouble.
	Random *rand.Rand
	Log    zerolog.Logger
}
