package anvilfollower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// Follower keeps the copy of the items of one prefix up to date. It is safe for
// concurrent use.
type Follower struct {
	config Config

	// watchFrom is the store's version from which the next watch continues; revision 0 makes
	// the next read return all items. Only the goroutine that reads the store uses it.
	watchFrom anvilmirror.Version

	mu     sync.Mutex
	mirror *anvilmirror.Mirror
	// changed is closed and replaced to wake the polls of other nodes that wait for a
	// change.
	changed chan struct{}
	// pollAgain is closed and replaced to end the poll that waits at another node, because this
	// node has something to pass on.
	pollAgain chan struct{}
	// peerCrashDigests holds the digests that the other nodes stated in their last replies.
	peerCrashDigests map[anvilmodel.VMName]uint64
	// storeEra is the era of the store at the last read, and storeEraKnown is set once there
	// was one.
	storeEra      uint64
	storeEraKnown bool
	// confirmedAt is when the store last confirmed that the copy lacks no change.
	confirmedAt time.Time
	// outageSince is when the store became unreachable. It is zero while the store, or
	// another node with a fresh copy, answers. New sets it, because a new node has not
	// reached the store yet.
	outageSince time.Time
	// readFailed is set once a read of the store has failed.
	readFailed bool
	// loadNow is closed to end the start delay when a caller waits for the copy.
	loadNow     chan struct{}
	loadNowOnce sync.Once
	// cancelWatch cancels the current watch of the store; nil if there is none.
	cancelWatch context.CancelFunc
	random      *rand.Rand
}

// New returns a Follower with an empty copy.
func New(c Config) *Follower {
	return &Follower{
		config:      c,
		mirror:      anvilmirror.New(),
		changed:     make(chan struct{}),
		pollAgain:   make(chan struct{}),
		loadNow:     make(chan struct{}),
		outageSince: time.Now(),
		random:      c.Random,

		peerCrashDigests: make(map[anvilmodel.VMName]uint64),
	}
}

// Prefix returns the prefix of the copied items.
func (f *Follower) Prefix() string {
	return f.config.Prefix
}

// Loaded reports whether a snapshot has been applied.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Loaded()
}

// LatestVersion returns the version of the latest change received.
func (f *Follower) LatestVersion() anvilmirror.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.LatestVersion()
}

// CompleteVersion returns the version up to which no change is missing.
func (f *Follower) CompleteVersion() anvilmirror.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.CompleteVersion()
}

// Run keeps the copy up to date from the store and other nodes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.followStore(ctx) })
	tasks.Go(func() { f.followPeers(ctx) })
	tasks.Wait()
}

// ChangesSince answers a poll of another node. If there is no change, it waits for one.
func (f *Follower) ChangesSince(ctx context.Context, request anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
	f.mergeAnnouncements(request.Announcements)
	f.config.Roles.merge(request.StoreReads, time.Now())
	rolesChanged := f.config.Roles.current(time.Now()).changed
	latest := anvilmirror.Version{
		Era:      request.Era,
		Revision: request.LatestRevision,
	}
	timer := time.NewTimer(min(request.Wait, maxPeerPollWait))
	defer timer.Stop()
	// The other node has missed what was announced between two of its polls.
	missed := f.announcements(request.Announcements.CrashDigest).CrashDigest != request.KnownCrashDigest
	for waiting := request.Wait > 0 && !missed; ; {
		reply := anvilpeer.PublishedReply{
			Age:            -1,
			GraceRemaining: f.config.Roles.remainingGrace(time.Now()),
		}
		f.mu.Lock()
		if !f.confirmedAt.IsZero() {
			reply.Age = time.Since(f.confirmedAt)
		}
		ready := f.mirror.LatestVersion().Compare(latest) > 0 || !waiting
		if ready {
			reply.Changes = f.mirror.ChangesSince(anvilmirror.Cursor{
				Era:              request.Era,
				CompleteRevision: request.CompleteRevision,
				LatestRevision:   request.LatestRevision,
				Digest:           request.Digest,
			})
		}
		changed := f.changed
		f.mu.Unlock()
		if ready || ctx.Err() != nil {
			reply.Announcements = f.announcements(request.Announcements.CrashDigest)
			reply.StoreReads = f.config.Roles.readsForReply(time.Now())
			return reply
		}
		select {
		case <-rolesChanged:
			// The other node has to replicate from the new readers.
			waiting = false
		case <-changed:
			// Respond even if the change is older than the latest one of the other node,
			// because that node may lack it.
			waiting = false
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
		}
	}
}

// NotifyPeers makes the waiting polls of other nodes return, and this node poll again. It has
// to be called when an announcement has been recorded that has to be passed on at once.
func (f *Follower) NotifyPeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakeWaiters()
	close(f.pollAgain)
	f.pollAgain = make(chan struct{})
}

// wakeWaiters makes the waiting polls of other nodes return. The caller must hold mu.
func (f *Follower) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// announcements returns the announcements of leaves to pass on to another node that has stated
// the digest.
func (f *Follower) announcements(crashDigest uint64) anvilmodel.LeafAnnouncements {
	if f.config.Announcements == nil {
		return anvilmodel.LeafAnnouncements{}
	}
	return f.config.Announcements(crashDigest)
}

// mergeAnnouncements records the announcements that another node passed on, and notifies
// the waiting peers if any has to be passed on at once.
func (f *Follower) mergeAnnouncements(announcements anvilmodel.LeafAnnouncements) {
	if f.config.MergeAnnouncements != nil && f.config.MergeAnnouncements(announcements) {
		f.NotifyPeers()
	}
}

// applyChanges applies changes and reports whether any was new. The age is the time since
// the store confirmed that the copy lacks no change once they are applied; it is negative
// if the store has not confirmed that.
func (f *Follower) applyChanges(c anvilmirror.Changes, age time.Duration) bool {
	now := time.Now()
	afterOutage := f.config.Roles.remainingGrace(now) > 0
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mirror.Loaded() && c.Era < f.mirror.Era() {
		return false
	}
	if confirmedAt := now.Add(-age); age >= 0 && confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
	restored := f.mirror.Loaded() && c.Era > f.mirror.Era() && c.Snapshot
	if restored {
		f.config.Roles.beginGrace(now)
		f.config.Log.Warn().Str("event", "copy-replaced").Str("prefix", f.config.Prefix).
			Uint64("era", c.Era).Uint64("revision", c.CompleteRevision).
			Uint64("before", f.mirror.Era()).Uint64("held", f.mirror.LatestVersion().Revision).Send()
	}
	applied := f.mirror.Apply(c)
	if f.mirror.Loaded() {
		f.config.Roles.recordLoaded(now)
	}
	if len(applied) == 0 && !restored {
		return false
	}
	f.config.Apply(Batch{
		Items:       applied,
		AfterOutage: afterOutage || restored,
		Restored:    restored,
		Mirror:      f.mirror,
	})
	f.wakeWaiters()
	return true
}

// LoadNow ends the start delay, because a caller waits for the copy.
func (f *Follower) LoadNow() {
	f.loadNowOnce.Do(func() { close(f.loadNow) })
}

// awaitStart waits for a random start delay, or until a caller waits for the copy.
func (f *Follower) awaitStart(ctx context.Context) {
	timer := time.NewTimer(startDelay + f.randomDuration(startJitter))
	defer timer.Stop()
	select {
	case <-f.loadNow:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followStore loads the first copy and watches the store while this node has to.
func (f *Follower) followStore(ctx context.Context) {
	f.awaitStart(ctx)
	retry := minRetryDelay
	for ctx.Err() == nil {
		now := time.Now()
		current := f.config.Roles.current(now)
		loaded := f.Loaded()
		if loaded && !current.watches() {
			// By the time this node watches the store again, a watch from this revision could
			// miss changes.
			f.watchFrom = anvilmirror.Version{}
			f.awaitRole(ctx, current)
			continue
		}
		err := f.readStore(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.storeFound()
			retry = minRetryDelay
			sleep(ctx, watchPause)
		case errorx.IsOfType(err, HistoryGone):
			f.config.Log.Info().Str("event", "store-history-gone").Str("prefix", f.config.Prefix).Send()
			f.watchFrom = anvilmirror.Version{}
		default:
			f.storeLost(time.Now(), err)
			f.config.Roles.requestVerification()
			sleep(ctx, retry/2+f.randomDuration(retry))
			retry = min(retry*2, maxRetryDelay)
		}
	}
}

// awaitRole waits until the role of this node may have changed.
func (f *Follower) awaitRole(ctx context.Context, current role) {
	timer := time.NewTimer(roleCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-current.changed:
	case <-timer.C:
	}
}

func (f *Follower) randomDuration(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(limit)))
}

// readStore reads all items, or watches for the changes since the last read.
func (f *Follower) readStore(ctx context.Context) error {
	if f.watchFrom.Revision == 0 {
		c, err := f.readAll(ctx, "read")
		if err == nil {
			f.watchFrom = anvilmirror.Version{
				Era:      c.Era,
				Revision: c.CompleteRevision,
			}
		}
		return err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelWatch(cancel)
	defer f.setCancelWatch(nil)
	c, err := f.config.Watch(watchCtx, f.config.Prefix, f.watchFrom.Revision, f.currentWatchWait())
	if watchCtx.Err() != nil {
		return nil
	}
	f.config.CountRead("watch", err == nil)
	if err != nil {
		return err
	}
	f.observeEra(c.Era, c.WatchRevision)
	if c.Era != f.watchFrom.Era {
		// The watch continued from a revision that the store has given out again.
		return HistoryGone.New("the store was restored: era %d instead of %d", c.Era, f.watchFrom.Era)
	}
	f.watchFrom.Revision = max(f.watchFrom.Revision, c.WatchRevision)
	// A watch may have missed changes, so it does not confirm the copy.
	f.applyChanges(anvilmirror.Changes{
		Items: c.Items,
		Era:   c.Era,
	}, -1)
	return nil
}

// readAll reads all items and applies the snapshot.
func (f *Follower) readAll(ctx context.Context, kind string) (anvilmirror.Changes, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read := f.config.ReadAll
	if !f.Loaded() {
		read = f.initialReadAll
	}
	c, err := read(readCtx, f.config.Prefix)
	f.config.CountRead(kind, err == nil)
	if err == nil {
		f.observeEra(c.Era, c.CompleteRevision)
	}
	if err == nil && f.applyChanges(c, 0) && kind == kindVerify {
		f.config.Log.Info().Str("event", "watch-was-behind").Str("prefix", f.config.Prefix).
			Uint64("revision", c.CompleteRevision).Send()
	}
	return c, err
}

// observeEra logs that the store has been restored from an older copy since the last read.
func (f *Follower) observeEra(era, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeEraKnown && f.storeEra != era {
		f.config.Log.Warn().Str("event", "store-era-changed").Str("prefix", f.config.Prefix).
			Uint64("before", f.storeEra).Uint64("era", era).Uint64("revision", revision).
			Uint64("held", f.mirror.LatestVersion().Revision).Send()
	}
	f.storeEra = era
	f.storeEraKnown = true
}

// initialReadAll reads all items. While the store does not answer, it starts further reads
// in addition to those that are open. The first successful one counts.
func (f *Follower) initialReadAll(ctx context.Context, prefix string) (anvilmirror.Changes, error) {
	type result struct {
		changes anvilmirror.Changes
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, maxInitialReads)
	started, open := 0, 0
	start := func() {
		started++
		open++
		go func() {
			c, err := f.config.ReadAll(ctx, prefix)
			results <- result{
				changes: c,
				err:     err,
			}
		}()
	}
	start()
	ticker := time.NewTicker(initialReadInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			open--
			if r.err == nil || open == 0 {
				return r.changes, r.err
			}
		case <-ticker.C:
			if started < maxInitialReads {
				start()
			}
		}
	}
}

// kindVerify is the kind of the reads that verify that watches have missed no change.
const kindVerify = "verify"

func (f *Follower) setCancelWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

// cancelUnneededWatch cancels the watch if this node no longer has to read the store.
func (f *Follower) cancelUnneededWatch() {
	if f.config.Roles.current(time.Now()).watches() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// currentWatchWait returns how long a watch waits for a change: not at all after a failure,
// so that the watch returns as soon as the store answers again.
func (f *Follower) currentWatchWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.outageSince.IsZero() {
		return 0
	}
	return watchWait
}

// markConfirmed records that the store has just confirmed the copy and that no change up to
// the version is missing. Revision 0 leaves the complete version as it is. A store of another
// era confirms nothing.
func (f *Follower) markConfirmed(v anvilmirror.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mirror.Era() != v.Era {
		return
	}
	f.confirmedAt = time.Now()
	f.mirror.MarkComplete(v)
}

// storeLost records that the store did not answer.
func (f *Follower) storeLost(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readFailed = true
	if !f.outageSince.IsZero() {
		return
	}
	f.outageSince = now
	f.config.Log.Warn().Str("event", "store-lost").Str("prefix", f.config.Prefix).
		Uint64("revision", f.mirror.LatestVersion().Revision).Err(err).Send()
}

// storeFound records that the store, or another node with a fresh copy, has answered.
func (f *Follower) storeFound() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outageSince.IsZero() {
		return
	}
	f.config.Log.Info().Str("event", "store-found").Str("prefix", f.config.Prefix).
		Uint64("revision", f.mirror.LatestVersion().Revision).Dur("away-ms", time.Since(f.outageSince)).Send()
	f.outageSince = time.Time{}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
