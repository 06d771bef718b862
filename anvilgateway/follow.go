package anvilgateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilpeer"
)

const (
	// watchWait is how long a watch of the store waits for a change.
	watchWait = 10 * time.Second
	// watchPause is the time between two watches, so that changes in quick
	// succession are read together. Changes are due in force within seconds.
	watchPause = 100 * time.Millisecond
	// verifyPeriod is the time between two reads that check whether the watches have
	// missed a change: a store that drops its history may keep them silent for
	// seconds, and changes are due in force within 3 s.
	verifyPeriod = time.Second
	// verifyDelay is how long a watch may take to deliver a change.
	verifyDelay = 150 * time.Millisecond
	// readTimeout bounds a read of all items, with its pages.
	readTimeout = 4 * time.Second
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
	// lapseGrace is how long leafs whose entries lapsed while the store was away are
	// still used after its return: the platform says that entries of live leafs are
	// back within about 2 s.
	lapseGrace = 2200 * time.Millisecond
)

// follower keeps a mirror of one prefix up to date: from the store if this node
// is one of its readers, else from another node.
type follower struct {
	gateway *Gateway
	prefix  string
	// apply is called with each batch of changes, one batch at a time.
	apply func(items []anvilmirror.Item, lapsed bool)

	// position is the store's revision after the last read, from which a watch goes
	// on; 0 asks for all items. Only the reading goroutine uses it: it may be above a
	// change that a watch has missed, so that other nodes are not told it.
	position uint64

	mu     sync.Mutex
	mirror *anvilmirror.Mirror
	// changed is closed and replaced when the mirror has changed.
	changed chan struct{}
	// confirmed is when the store last said that nothing is missing.
	confirmed time.Time
	// awaySince is when the store was lost, zero while it answers; returned is when
	// it answered again.
	awaySince time.Time
	returned  time.Time
	// directUntil makes the node read the store itself.
	directUntil time.Time
}

func newFollower(g *Gateway, prefix string, apply func([]anvilmirror.Item, bool)) *follower {
	return &follower{
		gateway:   g,
		prefix:    prefix,
		apply:     apply,
		mirror:    anvilmirror.New(),
		changed:   make(chan struct{}),
		awaySince: time.Now(),
	}
}

func (f *follower) loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Loaded()
}

// latest returns the revision of the last change that is held.
func (f *follower) latest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Latest()
}

// after returns the revision from which changes are missing, 0 if all are.
func (f *follower) after() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mirror.Loaded() {
		return 0
	}
	return f.mirror.Revision()
}

// since answers another node; it waits for a change if there is none.
func (f *follower) since(ctx context.Context, after uint64, wait time.Duration) anvilpeer.Published {
	timer := time.NewTimer(min(wait, longestRelayWait))
	defer timer.Stop()
	for {
		f.mu.Lock()
		p := anvilpeer.Published{
			Changes: f.mirror.Since(after),
			Age:     -1,
		}
		if !f.confirmed.IsZero() {
			p.Age = time.Since(f.confirmed)
		}
		changed := f.changed
		f.mu.Unlock()
		if len(p.Items) > 0 || wait <= 0 {
			return p
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return p
		}
	}
}

// take applies changes that were confirmed by the store the age ago, and reports
// whether there were any.
func (f *follower) take(c anvilmirror.Changes, age time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if at := now.Add(-age); age >= 0 && at.After(f.confirmed) {
		f.confirmed = at
	}
	lapsed := !f.awaySince.IsZero() || now.Sub(f.returned) < lapseGrace
	fresh := f.mirror.Apply(c)
	if len(fresh) > 0 {
		f.apply(fresh, lapsed)
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return len(fresh) > 0
}

// direct reports whether this node reads the store itself.
func (f *follower) direct(now time.Time) bool {
	f.mu.Lock()
	forced := now.Before(f.directUntil)
	f.mu.Unlock()
	return forced || f.gateway.readsStore()
}

// run follows the store or another node until the process ends.
func (f *follower) run() {
	ctx := f.gateway.background
	retry := firstRetry
	for ctx.Err() == nil {
		if f.loaded() && !f.direct(time.Now()) {
			// The mirror may miss changes by the time this node reads the store again.
			f.position = 0
			f.readPeer(ctx)
			continue
		}
		err := f.readStore(ctx)
		if err == nil {
			f.found()
			retry = firstRetry
			pause(ctx, watchPause)
			continue
		}
		if errorx.IsOfType(err, HistoryGone) {
			f.gateway.config.Log.Info().Str("event", "store-history-gone").Str("prefix", f.prefix).Send()
			f.position = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.lost(time.Now(), err)
		// Another node may reach the store although this one does not.
		f.readPeer(ctx)
		pause(ctx, retry/2+rand.N(retry))
		retry = min(retry*2, longestRetry)
	}
}

// readStore reads what has changed since the position.
func (f *follower) readStore(ctx context.Context) error {
	store := &f.gateway.config.Store
	if f.position == 0 {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		c, err := store.ReadAll(limited, f.prefix)
		f.countRead("read", err)
		if err == nil {
			f.position = c.Revision
			f.take(c, 0)
		}
		return err
	}
	c, err := store.Watch(ctx, f.prefix, f.position, f.wait())
	f.countRead("watch", err)
	if err == nil {
		f.position = max(f.position, c.Revision)
		// A watch that returns does not confirm that it has missed nothing.
		f.take(c, -1)
	}
	return err
}

func (f *follower) countRead(kind string, err error) {
	f.gateway.config.Metrics.Add(anvilmetric.StoreReads, 1, kind, outcomeLabel(err == nil))
}

// wait returns how long a watch waits: not at all after a failure, so that the
// store's return is noticed.
func (f *follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.awaySince.IsZero() {
		return 0
	}
	return watchWait
}

// verify reads the configuration's items from time to time, and the leafs' if the
// store is at a revision that neither watch has delivered.
func (g *Gateway) verify() {
	for g.background.Err() == nil {
		pause(g.background, verifyPeriod)
		if !g.configuration.loaded() || !g.configuration.direct(time.Now()) {
			continue
		}
		known := max(g.configuration.latest(), g.leafs.latest())
		revision, missed, err := g.configuration.check()
		if err != nil {
			continue
		}
		if revision > known || missed {
			pause(g.background, verifyDelay)
			known = max(g.configuration.latest(), g.leafs.latest())
		}
		if missed || revision > known {
			// The check logs its own failure; the leafs are then not confirmed.
			_, _, _ = g.leafs.check()
			continue
		}
		g.leafs.confirm()
	}
}

// check reads all items and returns the store's revision, and whether the watch
// had missed a change.
func (f *follower) check() (revision uint64, missed bool, err error) {
	ctx, cancel := context.WithTimeout(f.gateway.background, readTimeout)
	defer cancel()
	c, err := f.gateway.config.Store.ReadAll(ctx, f.prefix)
	f.countRead("verify", err)
	if err != nil {
		f.gateway.config.Log.Debug().Str("event", "store-verify-failed").Str("prefix", f.prefix).Err(err).Send()
		return 0, false, err
	}
	if missed = f.take(c, 0); missed {
		f.gateway.config.Log.Info().Str("event", "watch-was-behind").Str("prefix", f.prefix).
			Uint64("revision", c.Revision).Send()
	}
	return c.Revision, missed, nil
}

// confirm notes that the store has no change that is not held.
func (f *follower) confirm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = time.Now()
}

func (f *follower) lost(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.awaySince.IsZero() {
		return
	}
	f.awaySince = now
	f.gateway.config.Log.Warn().Str("event", "store-lost").Str("prefix", f.prefix).
		Uint64("revision", f.mirror.Revision()).Err(err).Send()
}

func (f *follower) found() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaySince.IsZero() {
		return
	}
	f.gateway.config.Log.Info().Str("event", "store-found").Str("prefix", f.prefix).
		Uint64("revision", f.mirror.Revision()).Dur("away-ms", time.Since(f.awaySince)).Send()
	f.awaySince = time.Time{}
	f.returned = time.Now()
}

// readPeer takes what another node has over. If none can be relied on, this node
// reads the store itself for a while.
func (f *follower) readPeer(ctx context.Context) {
	place := f.gateway.place()
	wait := min(time.Duration(max(place.Depth, 1))*relayWait, longestRelayWait)
	stale := staleAge + time.Duration(max(place.Level-1, 0))*wait
	for _, m := range place.Sources {
		limited, cancel := context.WithTimeout(ctx, wait+relayMargin)
		p, err := f.gateway.peers.Published(limited, m.PeerAddress, f.prefix, f.after(), wait)
		cancel()
		f.countRead("peer", err)
		if err != nil {
			f.gateway.config.Log.Debug().Str("event", "peer-read-failed").Str("prefix", f.prefix).
				Str("member", string(m.Name)).Err(err).Send()
			continue
		}
		f.take(p.Changes, p.Age)
		if p.Age >= 0 && p.Age < stale {
			f.found()
			return
		}
	}
	if ctx.Err() == nil && !f.gateway.readsStore() {
		f.mu.Lock()
		f.directUntil = time.Now().Add(directTime)
		f.mu.Unlock()
		f.gateway.config.Log.Info().Str("event", "reads-store-itself").Str("prefix", f.prefix).
			Str("cause", "no other node has a fresh copy").Send()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// storeReaderCount is the number of nodes that read the store for all. Its rates
// do not grow with the fleet; two of them stand in for each other.
const storeReaderCount = 2

// place returns this node's place in the tree on which the copy is passed on.
func (g *Gateway) place() anvilmirror.Place {
	g.control.Lock()
	defer g.control.Unlock()
	return anvilmirror.PlaceOf(g.members.Members(), storeReaderCount, anvilmirror.FanOut)
}

// readsStore reports whether this node is one of the readers.
func (g *Gateway) readsStore() bool {
	g.control.Lock()
	defer g.control.Unlock()
	return anvilmirror.IsReader(g.members.Members(), storeReaderCount)
}
