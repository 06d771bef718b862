package anvilfollower

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmirror"
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
	// minOverdueTime and maxOverdueTime bound the time from which a read for verification
	// counts as unanswered: twice the time of the last one.
	minOverdueTime = 400 * time.Millisecond
	maxOverdueTime = 1500 * time.Millisecond
	// catchUpInterval is how often a node checks whether another one has a later
	// configuration.
	catchUpInterval = 250 * time.Millisecond
	// maxTreeDelay is how long a change may take over the replication tree before a node
	// requests it from a node that has it.
	maxTreeDelay = 300 * time.Millisecond
)

// Set holds the followers of a node.
type Set struct {
	// Configuration follows the configuration, Leaves the entries of leaves. Both are
	// configured with Roles.
	Configuration *Follower
	Leaves        *Follower
	Roles         *Roles
	// lastReadTime is how long the last successful read for verification took. Only the
	// goroutine that verifies uses it.
	lastReadTime time.Duration
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
	var nextAt time.Time
	var leavesReadAt time.Time
	for requested := false; ctx.Err() == nil; {
		now := time.Now()
		current := s.Roles.current(now)
		if !current.Reads || !current.settled || current.Active && now.Before(nextAt) && !requested {
			limit := roleCheckInterval
			if current.Reads && current.Active && nextAt.After(now) {
				limit = min(limit, nextAt.Sub(now))
			}
			requested = s.Roles.await(ctx, current, now, limit)
			continue
		}
		requested = false
		nextAt = now.Add(verifyInterval)
		if !current.Active {
			// The node has no watches yet.
			leavesReadAt = time.Time{}
		}
		leavesReadAt = s.verifyOnce(ctx, current.Active, leavesReadAt)
	}
}

// verifyOnce reads the configuration, and the entries of leaves if needed. It returns when
// the entries were last read.
func (s *Set) verifyOnce(ctx context.Context, watching bool, leavesReadAt time.Time) time.Time {
	known := s.latestVersion()
	c, err := s.readVerified(ctx, s.Configuration)
	if err != nil {
		return leavesReadAt
	}
	s.Roles.recordSuccess(time.Now())
	s.Configuration.storeFound()
	read := anvilmirror.Version{
		Era:      c.Era,
		Revision: c.CompleteRevision,
	}
	if read.Compare(s.Leaves.CompleteVersion()) <= 0 {
		s.Leaves.markConfirmed(read)
		s.Leaves.storeFound()
		return leavesReadAt
	}
	watchBehind := read.Compare(known) > 0
	if watchBehind && watching && c.Era == known.Era {
		sleep(ctx, maxWatchDelay)
		watchBehind = read.Compare(s.latestVersion()) > 0
	}
	restored := s.Leaves.CompleteVersion().Era != read.Era
	if !watchBehind && !restored && time.Since(leavesReadAt) < leafVerifyInterval {
		s.Leaves.markConfirmed(anvilmirror.Version{
			Era: read.Era,
		})
		return leavesReadAt
	}
	if _, err := s.readVerified(ctx, s.Leaves); err != nil {
		return leavesReadAt
	}
	s.Leaves.storeFound()
	return time.Now()
}

// readVerified reads all items of a follower. If the store does not answer in time, it
// records the loss of the store, so that other nodes read it, and starts a second read,
// because the store may answer a new request and not the one that is open.
func (s *Set) readVerified(ctx context.Context, f *Follower) (anvilmirror.Changes, error) {
	type result struct {
		changes anvilmirror.Changes
		err     error
		elapsed time.Duration
	}
	readCtx, cancel := context.WithCancel(ctx)
	results := make(chan result)
	open := 0
	defer func() {
		cancel()
		for ; open > 0; open-- {
			<-results
		}
	}()
	read := func() {
		startedAt := time.Now()
		c, err := f.readAll(readCtx, kindVerify)
		results <- result{
			changes: c,
			err:     err,
			elapsed: time.Since(startedAt),
		}
	}
	start := func() {
		open++
		go read()
	}
	start()
	startedAt := time.Now()
	overdue := time.NewTimer(max(minOverdueTime, min(2*s.lastReadTime, maxOverdueTime)))
	defer overdue.Stop()
	for {
		select {
		case r := <-results:
			open--
			if r.err == nil {
				s.lastReadTime = r.elapsed
				return r.changes, nil
			}
			if open > 0 {
				continue
			}
			if ctx.Err() == nil {
				s.storeLost(r.err)
			}
			return r.changes, r.err
		case <-overdue.C:
			s.storeLost(StoreOverdue.New("the store has not answered a read within %s", time.Since(startedAt)))
			start()
		}
	}
}

// storeLost records that the store does not answer this node. A watch that is waiting may
// not notice this for seconds.
func (s *Set) storeLost(err error) {
	now := time.Now()
	s.Configuration.storeLost(now, err)
	s.Leaves.storeLost(now, err)
	s.Roles.recordLoss(now, err)
	s.Configuration.cancelUnneededWatch()
	s.Leaves.cancelUnneededWatch()
}

// latestVersion returns the version of the latest change received for either prefix.
func (s *Set) latestVersion() anvilmirror.Version {
	configuration, leaves := s.Configuration.LatestVersion(), s.Leaves.LatestVersion()
	if leaves.Compare(configuration) > 0 {
		return leaves
	}
	return configuration
}

// catchUp requests changes from a node that has a later configuration than this one.
func (s *Set) catchUp(ctx context.Context) {
	var behindSince time.Time
	var requested anvilmirror.Version
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
		case now.Sub(behindSince) < maxTreeDelay, configVersion(ahead) == requested:
			continue
		}
		s.Configuration.config.Log.Info().Str("event", "behind-other-node").Str("member", string(ahead.Name)).
			Uint64("revision", ahead.ConfigRevision).Uint64("era", ahead.ConfigEra).
			Uint64("held", s.Configuration.LatestVersion().Revision).
			Dur("for-ms", now.Sub(behindSince)).Send()
		// The age of its copy does not matter, since its configuration is later.
		current := s.Roles.current(now)
		if _, err := s.Configuration.pollPeer(ctx, ahead, current, 0, maxCopyAge); err != nil {
			continue
		}
		requested = configVersion(ahead)
		// pollPeer logs a failure. The entries of leaves also arrive over the tree.
		_, _ = s.Leaves.pollPeer(ctx, ahead, current, 0, maxCopyAge)
	}
}

// memberAhead returns the member with the latest configuration and reports whether that is
// later than this node's.
func (s *Set) memberAhead() (anvilmodel.Member, bool) {
	var ahead anvilmodel.Member
	members := s.Configuration.config.Members()
	for _, m := range members[min(1, len(members)):] {
		if m.Status == anvilmodel.MemberAlive && m.PeerAddress.IsValid() && configVersion(m).Compare(configVersion(ahead)) > 0 {
			ahead = m
		}
	}
	return ahead, configVersion(ahead).Compare(s.Configuration.LatestVersion()) > 0
}

// configVersion returns the version of the configuration that a member uses.
func configVersion(m anvilmodel.Member) anvilmirror.Version {
	return anvilmirror.Version{
		Era:      m.ConfigEra,
		Revision: m.ConfigRevision,
	}
}
