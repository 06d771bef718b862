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
	// watchPause is the time between two watches, so that changes in quick succession
	// are read together. Changes have to take effect within seconds.
	watchPause = 100 * time.Millisecond
	// readTimeout bounds a read of all items, including all pages.
	readTimeout = 4 * time.Second
	// startDelay and startJitter bound the random time after which a starting node reads
	// the store if no caller waits for it. If a large fleet starts at the same time, its
	// reads saturate the store's link for longer than that.
	startDelay  = 150 * time.Millisecond
	startJitter = 650 * time.Millisecond
	// initialStoreWait is how long a starting node waits for the store before it polls
	// other nodes, so that its full copy is not sent over the links of nodes that serve
	// callers.
	initialStoreWait = time.Second
	// initialReadInterval is the time between two reads of a node without a copy while
	// the store does not answer. A store that comes back may never answer requests from
	// before its return, while it answers new ones in milliseconds. Earlier reads stay
	// open.
	initialReadInterval = 300 * time.Millisecond
	// maxInitialReads bounds the number of reads of a node without a copy.
	maxInitialReads = 6
	// minRetryDelay and maxRetryDelay bound the time between two reads of a store that
	// does not answer.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// peerPollWait is how long a poll of another node waits for a change, for each level
	// of the replication tree: in a large fleet a node polls less often, because other
	// nodes poll it. The reply also contains the time since the store last confirmed the
	// copy, which has to arrive well within the time in which changes have to take effect.
	peerPollWait = 700 * time.Millisecond
	// maxPeerPollWait bounds the wait for a tree of any depth.
	maxPeerPollWait = 4 * peerPollWait
	// peerPollMargin is the time that a poll may take in addition to its wait.
	peerPollMargin = 400 * time.Millisecond
	// maxCopyAge is the age from which a copy of a reader is considered stale: the store
	// should have confirmed it within verifyInterval. Each level below adds up to one
	// wait.
	maxCopyAge = 1500 * time.Millisecond
	// settleTime is how long a node that has just loaded its copy waits to discover other
	// readers. Without it every node of a starting fleet would watch and verify.
	settleTime = 2500 * time.Millisecond
	// roleCheckInterval is how often a node checks whether it has to read the store.
	roleCheckInterval = 250 * time.Millisecond
	// OutageGrace is how long leaves whose entries were deleted because of an outage of
	// the store are still used after its return. The platform states that the entries of
	// live leaves are back within about 2 s.
	OutageGrace = 2200 * time.Millisecond
)

// ReaderCount is the number of nodes that read the store on behalf of the fleet, so that
// the load of the store does not grow with the fleet. Two readers can replace each other.
const ReaderCount = 2

// Batch is a batch of changes of a prefix.
type Batch struct {
	// Items are the changes in the order in which they have to be applied.
	Items []anvilmirror.Item
	// AfterOutage is set if the store is unreachable or was until a moment ago, so that
	// entries may have been deleted because their heartbeats did not reach it.
	AfterOutage bool
	// Restored is set if the items are the differences of a restored store from the copy
	// before. The store may lack what it had acknowledged, and list what had been deleted,
	// until it is written again.
	Restored bool
	// Mirror is the copy after the changes. It must not be retained.
	Mirror *anvilmirror.Mirror
}

// Config configures a Follower. All fields are required unless stated otherwise.
type Config struct {
	Prefix string
	// ReadAll returns a snapshot of all items.
	ReadAll func(ctx context.Context, prefix string) (anvilmirror.Changes, error)
	// Watch returns the changes after a revision as soon as there is one, or none once
	// wait has passed. It returns HistoryGone if the store no longer has them.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error)
	// FetchChanges requests the changes that this node lacks from another node.
	FetchChanges func(ctx context.Context, address netip.AddrPort, request anvilpeer.PublishedRequest) (anvilpeer.PublishedReply, error)
	// Members returns this node's view of the fleet, itself first.
	Members func() []anvilmodel.Member
	// Roles is shared by the followers of a node.
	Roles *Roles
	// Apply applies changes. It is not called concurrently.
	Apply func(Batch)
	// Announcements returns the announcements of leaves to pass on to another node, given the
	// digest that it has stated. MergeAnnouncements records those that another node passed on,
	// and reports whether any has to be passed on at once. Both are nil for a prefix without
	// leaves.
	Announcements      func(crashDigest uint64) anvilmodel.LeafAnnouncements
	MergeAnnouncements func(anvilmodel.LeafAnnouncements) bool
	// CountRead counts a read of the store or of another node.
	CountRead func(kind string, ok bool)
	// Random delays reads.
	Random *rand.Rand
	Log    zerolog.Logger
}
