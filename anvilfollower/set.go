package anvilfollower

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// verifyPeriod is the time between two reads that check whether the watches have
	// missed a change: a store that drops its history may keep them silent for
	// seconds, and changes are due in force within 3 s.
	verifyPeriod = time.Second
	// verifyDelay is how long a watch may take to deliver a change.
	verifyDelay = 150 * time.Millisecond
	// leafVerifyPeriod is the same as verifyPeriod for the leafs' entries while they
	// change; a read of them has several pages.
	leafVerifyPeriod = 2 * time.Second
	// catchUpPeriod is how often a node looks whether another one is ahead.
	catchUpPeriod = 250 * time.Millisecond
	// catchUpDelay is how long a change may take on the tree.
	catchUpDelay = 300 * time.Millisecond
)

// Set is the followers of a node.
type Set struct {
	// Configuration follows the configuration, Leaves the leafs' entries.
	Configuration *Follower
	Leaves        *Follower
}

// Run follows until ctx ends.
func (s *Set) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.Configuration.Run(ctx) })
	tasks.Go(func() { s.Leaves.Run(ctx) })
	tasks.Go(func() { s.verify(ctx) })
	tasks.Go(func() { s.catchUp(ctx) })
	tasks.Wait()
}

// LoadNow says that a caller waits for the copies.
func (s *Set) LoadNow() {
	s.Configuration.LoadNow()
	s.Leaves.LoadNow()
}

// Loaded reports whether both copies have been whole.
func (s *Set) Loaded() bool {
	return s.Configuration.Loaded() && s.Leaves.Loaded()
}

// verify reads the configuration's items from time to time, and the leafs' if the
// store has changed since they were last read.
func (s *Set) verify(ctx context.Context) {
	var leafsRead time.Time
	for ctx.Err() == nil {
		pause(ctx, verifyPeriod)
		if now := time.Now(); !s.Configuration.settled(now) || !s.Configuration.reads(now) {
			continue
		}
		known := s.latest()
		c, err := s.Configuration.readAll(ctx, kindVerify)
		if err != nil {
			s.Configuration.config.Log.Debug().Str("event", "store-verify-failed").Err(err).Send()
			// A watch that is under way may not notice for seconds.
			s.Configuration.lost(time.Now(), err)
			s.Leaves.lost(time.Now(), err)
			continue
		}
		s.Configuration.found()
		if c.CompleteRevision <= s.Leaves.CompleteRevision() {
			s.Leaves.confirm(c.CompleteRevision)
			s.Leaves.found()
			continue
		}
		behind := c.CompleteRevision > known
		if behind {
			pause(ctx, verifyDelay)
			behind = c.CompleteRevision > s.latest()
		}
		if !behind && time.Since(leafsRead) < leafVerifyPeriod {
			s.Leaves.confirm(0)
			continue
		}
		if _, err := s.Leaves.readAll(ctx, kindVerify); err != nil {
			s.Leaves.config.Log.Debug().Str("event", "store-verify-failed").Err(err).Send()
			continue
		}
		s.Leaves.found()
		leafsRead = time.Now()
	}
}

// latest returns the revision of the last change that is held of either prefix.
func (s *Set) latest() uint64 {
	return max(s.Configuration.LatestRevision(), s.Leaves.LatestRevision())
}

// catchUp asks a node that has a later configuration than this one.
func (s *Set) catchUp(ctx context.Context) {
	var behindSince time.Time
	var asked uint64
	for ctx.Err() == nil {
		pause(ctx, catchUpPeriod)
		ahead, found := s.ahead()
		now := time.Now()
		switch {
		case !found || !s.Configuration.Loaded():
			behindSince = time.Time{}
			continue
		case behindSince.IsZero():
			behindSince = now
			continue
		case now.Sub(behindSince) < catchUpDelay, ahead.ConfigRevision == asked:
			continue
		}
		s.Configuration.config.Log.Info().Str("event", "behind-other-node").Str("member", string(ahead.Name)).
			Uint64("revision", ahead.ConfigRevision).Uint64("held", s.Configuration.LatestRevision()).
			Dur("for-ms", now.Sub(behindSince)).Send()
		// The age of its copy does not matter: what it has is later.
		if _, err := s.Configuration.ask(ctx, ahead, 0, staleAge); err != nil {
			continue
		}
		asked = ahead.ConfigRevision
		// A failure is logged there; the tree delivers the leafs' entries as well.
		_, _ = s.Leaves.ask(ctx, ahead, 0, staleAge)
	}
}

// ahead returns the member with the latest configuration, if it is later than the
// one held here.
func (s *Set) ahead() (anvilmodel.Member, bool) {
	var ahead anvilmodel.Member
	members := s.Configuration.config.Members()
	for _, m := range members[min(1, len(members)):] {
		if m.Status == anvilmodel.MemberAlive && m.PeerAddress.IsValid() && m.ConfigRevision > ahead.ConfigRevision {
			ahead = m
		}
	}
	return ahead, ahead.ConfigRevision > s.Configuration.LatestRevision()
}
