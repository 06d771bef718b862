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

// Follower keeps the copy of one prefix up to date. It is safe for concurrent use.
type Follower struct {
	config Config

	// position is the store's revision after the last read, from which a watch goes
	// on; 0 asks for all items. Only the goroutine that reads the store uses it.
	position uint64

	mu     sync.Mutex
	mirror *anvilmirror.Mirror
	// changed is closed and replaced when the mirror has changed.
	changed chan struct{}
	// confirmed is when the store last said that nothing is missing.
	confirmed time.Time
	// awaySince is when the store was lost, zero while it answers.
	awaySince time.Time
	// lapsedUntil is the end of the time after the store's return in which deleted
	// entries may have lapsed.
	lapsedUntil time.Time
	// loaded is when the copy was first whole.
	loaded time.Time
	// refused says that a read of the store has failed.
	refused bool
	// directUntil makes the node read the store itself.
	directUntil time.Time
	// wanted is closed when a caller waits for the copy.
	wanted     chan struct{}
	wantedOnce sync.Once
	// endWatch ends the watch of the store that is under way; nil if there is none.
	endWatch context.CancelFunc
	random   *rand.Rand
}

// New returns a Follower with an empty copy.
func New(c Config) *Follower {
	return &Follower{
		config:    c,
		mirror:    anvilmirror.New(),
		changed:   make(chan struct{}),
		wanted:    make(chan struct{}),
		awaySince: time.Now(),
		random:    c.Random,
	}
}

// Prefix returns the prefix that is followed.
func (f *Follower) Prefix() string {
	return f.config.Prefix
}

// Loaded reports whether the copy has ever been whole.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Loaded()
}

// LatestRevision returns the revision of the last change that is held.
func (f *Follower) LatestRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.LatestRevision()
}

// CompleteRevision returns the revision up to which nothing is missing.
func (f *Follower) CompleteRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.CompleteRevision()
}

// Run follows the store and the other nodes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.followStore(ctx) })
	tasks.Go(func() { f.followPeers(ctx) })
	tasks.Wait()
}

// ChangesSince answers another node; it waits for a change if there is none.
func (f *Follower) ChangesSince(ctx context.Context, q anvilpeer.PublishedQuestion) anvilpeer.Published {
	f.noteDepartures(q.Departures)
	timer := time.NewTimer(min(q.Wait, longestRelayWait))
	defer timer.Stop()
	for waiting := q.Wait > 0; ; {
		f.mu.Lock()
		p := anvilpeer.Published{
			Age:   -1,
			Lapse: f.lapse(time.Now()),
		}
		if !f.confirmed.IsZero() {
			p.Age = time.Since(f.confirmed)
		}
		news := f.mirror.LatestRevision() > q.Latest || !waiting
		if news {
			p.Changes = f.mirror.ChangesSince(anvilmirror.Cursor{
				CompleteRevision: q.After,
				LatestRevision:   q.Latest,
				Digest:           q.Digest,
			})
		}
		changed := f.changed
		f.mu.Unlock()
		if news || ctx.Err() != nil {
			p.Departures = f.departures()
			return p
		}
		select {
		case <-changed:
			// A change may be older than the last one that the other node holds.
			waiting = false
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
		}
	}
}

// NotifyPeers answers the questions of other nodes that wait for a change, because this
// node has learned of a leaf that leaves.
func (f *Follower) NotifyPeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wake()
}

// wake answers the questions that wait for a change. The lock mu is held.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) departures() []anvilmodel.Departure {
	if f.config.Departures == nil {
		return nil
	}
	return f.config.Departures()
}

// noteDepartures takes over which leafs another node knows to leave, and passes on
// what is new.
func (f *Follower) noteDepartures(told []anvilmodel.Departure) {
	if f.config.MergeDepartures != nil && len(told) > 0 && f.config.MergeDepartures(told) {
		f.NotifyPeers()
	}
}

// take applies changes that were confirmed by the store the age ago, and reports
// whether there were any. A negative age confirms nothing.
func (f *Follower) take(c anvilmirror.Changes, age time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if at := now.Add(-age); age >= 0 && at.After(f.confirmed) {
		f.confirmed = at
	}
	fresh := f.mirror.Apply(c)
	if f.loaded.IsZero() && f.mirror.Loaded() {
		f.loaded = now
	}
	if len(fresh) == 0 {
		return false
	}
	f.config.Apply(Batch{
		Items:       fresh,
		AfterOutage: !f.awaySince.IsZero() || f.lapse(now) > 0,
		Mirror:      f.mirror,
	})
	f.wake()
	return true
}

// lapse returns how much longer deleted entries may have lapsed because the store was
// away since this node has had its copy. The lock mu is held.
func (f *Follower) lapse(now time.Time) time.Duration {
	if f.lapses(now) {
		return OutageGrace
	}
	return max(f.lapsedUntil.Sub(now), 0)
}

// lapses reports whether the store is away, and not only since this node started.
// The lock mu is held.
func (f *Follower) lapses(now time.Time) bool {
	return !f.awaySince.IsZero() && !f.loaded.IsZero() && now.Sub(f.loaded) > startAway
}

// followLapse takes over that another node's entries may have lapsed.
func (f *Follower) followLapse(lapse time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := time.Now().Add(min(lapse, OutageGrace)); lapse > 0 && until.After(f.lapsedUntil) {
		f.lapsedUntil = until
	}
}

// reads reports whether this node has to read the store itself.
func (f *Follower) reads(now time.Time) bool {
	f.mu.Lock()
	forced := now.Before(f.directUntil) || !f.mirror.Loaded()
	f.mu.Unlock()
	return forced || anvilmirror.IsReader(f.config.Members(), ReaderCount)
}

// settled reports whether the other nodes are known since this one has its copy.
func (f *Follower) settled(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.loaded.IsZero() && now.Sub(f.loaded) >= settleTime
}

// LoadNow says that a caller waits for the copy.
func (f *Follower) LoadNow() {
	f.wantedOnce.Do(func() { close(f.wanted) })
}

// awaitTurn waits until a caller waits for the copy, or for a random time.
func (f *Follower) awaitTurn(ctx context.Context) {
	timer := time.NewTimer(startDelay + f.randomDuration(startSpread))
	defer timer.Stop()
	select {
	case <-f.wanted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followStore reads the store while this node has to.
func (f *Follower) followStore(ctx context.Context) {
	f.awaitTurn(ctx)
	retry := firstRetry
	for ctx.Err() == nil {
		now := time.Now()
		if !f.reads(now) {
			// The copy may miss changes by the time this node reads the store again.
			f.position = 0
			pause(ctx, rolePoll)
			continue
		}
		if f.Loaded() && !f.settled(now) {
			pause(ctx, rolePoll)
			continue
		}
		err := f.readStore(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.found()
			retry = firstRetry
			pause(ctx, watchPause)
		case errorx.IsOfType(err, HistoryGone):
			f.config.Log.Info().Str("event", "store-history-gone").Str("prefix", f.config.Prefix).Send()
			f.position = 0
		default:
			f.lost(time.Now(), err)
			pause(ctx, retry/2+f.randomDuration(retry))
			retry = min(retry*2, longestRetry)
		}
	}
}

func (f *Follower) randomDuration(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(limit)))
}

// readStore reads what has changed since the position.
func (f *Follower) readStore(ctx context.Context) error {
	if f.position == 0 {
		c, err := f.readAll(ctx, "read")
		if err == nil {
			f.position = c.CompleteRevision
		}
		return err
	}
	watching, end := context.WithCancel(ctx)
	defer end()
	f.setWatch(end)
	defer f.setWatch(nil)
	c, err := f.config.Watch(watching, f.config.Prefix, f.position, f.wait())
	if watching.Err() != nil {
		return nil
	}
	f.config.CountRead("watch", err == nil)
	if err == nil {
		f.position = max(f.position, c.WatchRevision)
		// A watch that returns does not confirm that it has missed nothing.
		f.take(anvilmirror.Changes{
			Items: c.Items,
		}, -1)
	}
	return err
}

// readAll reads all items and takes them over.
func (f *Follower) readAll(ctx context.Context, kind string) (anvilmirror.Changes, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read := f.config.ReadAll
	if !f.Loaded() {
		read = f.readFirst
	}
	c, err := read(limited, f.config.Prefix)
	f.config.CountRead(kind, err == nil)
	if err == nil && f.take(c, 0) && kind == kindVerify {
		f.config.Log.Info().Str("event", "watch-was-behind").Str("prefix", f.config.Prefix).
			Uint64("revision", c.CompleteRevision).Send()
	}
	return c, err
}

// readFirst reads all items with further reads beside the first one while the store
// is silent. The first answer counts.
func (f *Follower) readFirst(ctx context.Context, prefix string) (anvilmirror.Changes, error) {
	type end struct {
		changes anvilmirror.Changes
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan end, firstReads)
	begun, open := 0, 0
	begin := func() {
		begun++
		open++
		go func() {
			c, err := f.config.ReadAll(ctx, prefix)
			ends <- end{
				changes: c,
				err:     err,
			}
		}()
	}
	begin()
	ticker := time.NewTicker(firstReadDelay)
	defer ticker.Stop()
	for {
		select {
		case e := <-ends:
			open--
			if e.err == nil || open == 0 {
				return e.changes, e.err
			}
		case <-ticker.C:
			if begun < firstReads {
				begin()
			}
		}
	}
}

// kindVerify is the kind of the reads that check the watches.
const kindVerify = "verify"

func (f *Follower) setWatch(end context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWatch = end
}

// endUnneededWatch ends a watch that this node no longer needs.
func (f *Follower) endUnneededWatch() {
	if f.reads(time.Now()) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endWatch != nil {
		f.endWatch()
	}
}

// wait returns how long a watch waits: not at all after a failure, so that the
// store's return is noticed.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.awaySince.IsZero() {
		return 0
	}
	return watchWait
}

// confirm notes that the store has just been heard. Nothing up to the revision is
// missing; 0 says nothing of that.
func (f *Follower) confirm(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = time.Now()
	f.mirror.MarkComplete(revision)
}

func (f *Follower) lost(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = true
	if !f.awaySince.IsZero() {
		return
	}
	f.awaySince = now
	f.config.Log.Warn().Str("event", "store-lost").Str("prefix", f.config.Prefix).
		Uint64("revision", f.mirror.LatestRevision()).Err(err).Send()
}

func (f *Follower) found() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaySince.IsZero() {
		return
	}
	f.config.Log.Info().Str("event", "store-found").Str("prefix", f.config.Prefix).
		Uint64("revision", f.mirror.LatestRevision()).Dur("away-ms", time.Since(f.awaySince)).Send()
	if now := time.Now(); f.lapses(now) {
		f.lapsedUntil = now.Add(OutageGrace)
	}
	f.awaySince = time.Time{}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
