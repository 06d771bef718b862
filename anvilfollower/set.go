package anvilfollower

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// verifyInterval is the time between two reads that check whether the watches have
	// missed a change: a store that drops its history may leave them without changes for
	// seconds, and a change has to take effect within 3 s.
	verifyInterval = time.Second
	// maxWatchDelay is how long a watch may take to deliver a change before the change
	// counts as missed.
	maxWatchDelay = 150 * time.Millisecond
	// leafVerifyInterval is the same as verifyInterval for the entries of leaves while they
	// change. It is longer because a read of them has several pages.
	leafVerifyInterval = 2 * time.Second
	// catchUpInterval is how often a node checks whether another one has a later
	// configuration.
	catchUpInterval = 250 * time.Millisecond
	// maxTreeDelay is how long a change may take over the replication tree before a node
	// requests it from a node that has it.
	maxTreeDelay = 300 * time.Millisecond
)

// Set holds the followers of a node.
type Set struct {
	// Configuration follows the configuration, Leaves the entries of leaves.
	Configuration *Follower
	Leaves        *Follower
}

// Run keeps both copies up to date until ctx ends.
func (s *Set) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.Configuration.Run(ctx) })
	tasks.Go(func() { s.Leaves.Run(ctx) })
	tasks.Go(func() { s.verify(ctx) })
	tasks.Go(func() { s.catchUp(ctx) })
	tasks.Wait()
}

// LoadNow ends the start delay of both followers, because a caller waits for the copies.
func (s *Set) LoadNow() {
	s.Configuration.LoadNow()
	s.Leaves.LoadNow()
}

// Loaded reports whether a snapshot of both copies has been applied.
func (s *Set) Loaded() bool {
	return s.Configuration.Loaded() && s.Leaves.Loaded()
}

// verify reads the items of the configuration at intervals while this node reads the store,
// and the entries of leaves if the store has changed since their copy was last complete.
func (s *Set) verify(ctx context.Context) {
	var leavesReadAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, verifyInterval)
		if now := time.Now(); !s.Configuration.isSettled(now) || !s.Configuration.readsStore(now) {
			continue
		}
		knownRevision := s.latestRevision()
		c, err := s.Configuration.readAll(ctx, kindVerify)
		if err != nil {
			s.Configuration.config.Log.Debug().Str("event", "store-verify-failed").Err(err).Send()
			// A watch that is waiting may not notice the failure for seconds.
			s.Configuration.storeLost(time.Now(), err)
			s.Leaves.storeLost(time.Now(), err)
			continue
		}
		s.Configuration.storeFound()
		if c.CompleteRevision <= s.Leaves.CompleteRevision() {
			s.Leaves.markConfirmed(c.CompleteRevision)
			s.Leaves.storeFound()
			continue
		}
		watchBehind := c.CompleteRevision > knownRevision
		if watchBehind {
			sleep(ctx, maxWatchDelay)
			watchBehind = c.CompleteRevision > s.latestRevision()
		}
		if !watchBehind && time.Since(leavesReadAt) < leafVerifyInterval {
			s.Leaves.markConfirmed(0)
			continue
		}
		if _, err := s.Leaves.readAll(ctx, kindVerify); err != nil {
			s.Leaves.config.Log.Debug().Str("event", "store-verify-failed").Err(err).Send()
			continue
		}
		s.Leaves.storeFound()
		leavesReadAt = time.Now()
	}
}

// latestRevision returns the highest revision of the changes received for either prefix.
func (s *Set) latestRevision() uint64 {
	return max(s.Configuration.LatestRevision(), s.Leaves.LatestRevision())
}

// catchUp requests changes from a node that has a later configuration than this one.
func (s *Set) catchUp(ctx context.Context) {
	var behindSince time.Time
	var requestedRevision uint64
	for ctx.Err() == nil {
		sleep(ctx, catchUpInterval)
		ahead, found := s.memberAhead()
		now := time.Now()
		switch {
		case !found || !s.Configuration.Loaded():
			behindSince = time.Time{}
			continue
		case behindSince.IsZero():
			behindSince = now
			continue
		case now.Sub(behindSince) < maxTreeDelay, ahead.ConfigRevision == requestedRevision:
			continue
		}
		s.Configuration.config.Log.Info().Str("event", "behind-other-node").Str("member", string(ahead.Name)).
			Uint64("revision", ahead.ConfigRevision).Uint64("held", s.Configuration.LatestRevision()).
			Dur("for-ms", now.Sub(behindSince)).Send()
		// The age of its copy does not matter, since its configuration is later.
		if _, err := s.Configuration.pollPeer(ctx, ahead, 0, maxCopyAge); err != nil {
			continue
		}
		requestedRevision = ahead.ConfigRevision
		// pollPeer logs a failure. The entries of leaves also arrive over the tree.
		_, _ = s.Leaves.pollPeer(ctx, ahead, 0, maxCopyAge)
	}
}

// memberAhead returns the member with the latest configuration and reports whether that is
// later than this node's.
func (s *Set) memberAhead() (anvilmodel.Member, bool) {
	var ahead anvilmodel.Member
	members := s.Configuration.config.Members()
	for _, m := range members[min(1, len(members)):] {
		if m.Status == anvilmodel.MemberAlive && m.PeerAddress.IsValid() && m.ConfigRevision > ahead.ConfigRevision {
			ahead = m
		}
	}
	return ahead, ahead.ConfigRevision > s.Configuration.LatestRevision()
}
