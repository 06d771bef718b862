package anvilgateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// watchWait is how long a watch waits for a change.
	watchWait = 10 * time.Second
	// watchPause is the time between two watches, so that changes in quick
	// succession are read together. Changes are due in force within seconds.
	watchPause = 100 * time.Millisecond
	// verifyPeriod is the time between two reads that check whether the watches have
	// missed a change: a store that drops its history may keep them silent for
	// seconds, and changes are due in force within 3 s.
	verifyPeriod = 1900 * time.Millisecond
	// verifyDelay is how long a watch may take to deliver a change.
	verifyDelay = 150 * time.Millisecond
	// readTimeout bounds a read of all items, with its pages.
	readTimeout = 4 * time.Second
	// firstRetry and longestRetry bound the time between two reads of a store that
	// does not answer.
	firstRetry   = 50 * time.Millisecond
	longestRetry = time.Second
	// peerDelay is how long the store may be away before other nodes are asked,
	// peerPeriod the time between two questions.
	peerDelay  = 200 * time.Millisecond
	peerPeriod = 400 * time.Millisecond
	// behindDelay is how long this node may lack a revision that another one has.
	behindDelay = 500 * time.Millisecond
	// lapseGrace is how long leafs whose entries lapsed while the store was away are
	// still used after its return: the platform says that entries of live leafs are
	// back within about 2 s.
	lapseGrace = 2200 * time.Millisecond
)

// follower keeps a mirror of one prefix up to date.
type follower struct {
	gateway *Gateway
	prefix  string
	// apply is called with each batch of changes, one batch at a time.
	apply func(items []anvilmirror.Item, lapsed bool)

	mu     sync.Mutex
	mirror *anvilmirror.Mirror
	// awaySince is when the store was lost, zero while it answers; returned is when
	// it answered again.
	awaySince time.Time
	returned  time.Time
	// behind is when another node was first heard to have a later revision.
	behind time.Time
}

func newFollower(g *Gateway, prefix string, apply func([]anvilmirror.Item, bool)) *follower {
	return &follower{
		gateway: g,
		prefix:  prefix,
		apply:   apply,
		mirror:  anvilmirror.New(),
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

func (f *follower) since(after uint64) anvilmirror.Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Since(after)
}

// take applies changes from the store or another node and reports whether there
// were any.
func (f *follower) take(c anvilmirror.Changes) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lapsed := !f.awaySince.IsZero() || time.Since(f.returned) < lapseGrace
	fresh := f.mirror.Apply(c)
	if len(fresh) > 0 {
		f.apply(fresh, lapsed)
	}
	return len(fresh) > 0
}

// run follows the store until the process ends.
func (f *follower) run() {
	ctx := f.gateway.background
	f.lost(time.Now(), nil)
	f.gateway.goRun(f.askPeers)
	retry := firstRetry
	whole := true
	for ctx.Err() == nil {
		err := f.readStore(ctx, &whole)
		if err == nil {
			f.found()
			retry = firstRetry
			pause(ctx, watchPause)
			continue
		}
		if errorx.IsOfType(err, HistoryGone) {
			f.gateway.config.Log.Info().Str("event", "store-history-gone").Str("prefix", f.prefix).Send()
			whole = true
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.lost(time.Now(), err)
		pause(ctx, retry/2+rand.N(retry))
		retry = min(retry*2, longestRetry)
	}
}

// readStore reads all items if whole is set, else what has changed.
func (f *follower) readStore(ctx context.Context, whole *bool) error {
	store := &f.gateway.config.Store
	kind := "watch"
	var c anvilmirror.Changes
	var err error
	if *whole {
		kind = "read"
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		c, err = store.ReadAll(limited, f.prefix)
		cancel()
	} else {
		f.mu.Lock()
		after := f.mirror.Revision()
		f.mu.Unlock()
		c, err = store.Watch(ctx, f.prefix, after, f.wait())
	}
	f.gateway.config.Metrics.Add(anvilmetric.StoreReads, 1, kind, outcomeLabel(err == nil))
	if err != nil {
		return err
	}
	*whole = false
	f.take(c)
	return nil
}

// verify reads the configuration's items from time to time, and the leafs' if the
// store is at a revision that neither watch has delivered.
func (g *Gateway) verify() {
	for g.background.Err() == nil {
		pause(g.background, verifyPeriod)
		if !g.configuration.loaded() {
			continue
		}
		known := max(g.configuration.latest(), g.leafs.latest())
		revision, missed := g.configuration.check()
		if revision <= known && !missed {
			continue
		}
		pause(g.background, verifyDelay)
		if missed || revision > max(g.configuration.latest(), g.leafs.latest()) {
			g.leafs.check()
		}
	}
}

// check reads all items and returns the store's revision, and whether the watch
// had missed a change.
func (f *follower) check() (revision uint64, missed bool) {
	ctx, cancel := context.WithTimeout(f.gateway.background, readTimeout)
	defer cancel()
	c, err := f.gateway.config.Store.ReadAll(ctx, f.prefix)
	f.gateway.config.Metrics.Add(anvilmetric.StoreReads, 1, "verify", outcomeLabel(err == nil))
	if err != nil {
		f.gateway.config.Log.Debug().Str("event", "store-verify-failed").Str("prefix", f.prefix).Err(err).Send()
		return 0, false
	}
	if missed = f.take(c); missed {
		f.gateway.config.Log.Info().Str("event", "watch-was-behind").Str("prefix", f.prefix).
			Uint64("revision", c.Revision).Send()
	}
	return c.Revision, missed
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

func (f *follower) lost(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.awaySince.IsZero() {
		return
	}
	f.awaySince = now
	if err != nil {
		f.gateway.config.Log.Warn().Str("event", "store-lost").Str("prefix", f.prefix).
			Uint64("revision", f.mirror.Revision()).Err(err).Send()
	}
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

// heard notes the revision that another node says it has.
func (f *follower) heard(revision uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case revision <= f.mirror.Revision():
		f.behind = time.Time{}
	case f.behind.IsZero():
		f.behind = now
	}
}

// askPeers reads from other nodes while the store is away or this node lacks a
// revision that others have: its watch may have gone silent.
func (f *follower) askPeers() {
	for f.gateway.background.Err() == nil {
		pause(f.gateway.background, peerPeriod/2+rand.N(peerPeriod))
		now := time.Now()
		f.mu.Lock()
		away := !f.awaySince.IsZero() && now.Sub(f.awaySince) > peerDelay
		behind := !f.behind.IsZero() && now.Sub(f.behind) > behindDelay
		after := f.mirror.Revision()
		if !f.mirror.Loaded() {
			after = 0
		}
		f.mu.Unlock()
		if !away && !behind {
			continue
		}
		c, err := f.gateway.askPublished(f.prefix, after)
		f.gateway.config.Metrics.Add(anvilmetric.StoreReads, 1, "peer", outcomeLabel(err == nil))
		if err != nil {
			f.gateway.config.Log.Debug().Str("event", "peer-read-failed").Str("prefix", f.prefix).Err(err).Send()
			continue
		}
		f.take(c)
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

// applyConfiguration takes changes of the configuration and of the failure
// domains that are out.
func (g *Gateway) applyConfiguration(items []anvilmirror.Item, _ bool) {
	domains := false
	for _, i := range items {
		switch g.config.Store.DecodeKey(i.Key).Kind {
		case ItemConfiguration:
			if !i.Deleted {
				g.applyVersion(i)
			}
		case ItemDomainOut:
			domains = true
		case ItemOther, ItemLeaf:
		}
	}
	if domains {
		g.applyDomains()
	}
}

func (g *Gateway) applyVersion(i anvilmirror.Item) {
	c, err := g.config.Store.DecodeConfiguration(i.Value)
	if err != nil {
		g.config.Log.Error().Str("event", "configuration-refused").Uint64("revision", i.Revision).Err(err).Send()
		return
	}
	held := g.table.Load()
	if held != nil && c.Version < held.Version() {
		g.config.Log.Error().Str("event", "configuration-refused").Uint64("revision", i.Revision).
			Uint64("version", c.Version).Uint64("version-in-force", held.Version()).
			Str("cause", "older than the one in force").Send()
		return
	}
	table := anvilroute.NewTable(c)
	g.balancing.Lock()
	g.balancer.SetServices(table.Services())
	g.splitter.Reset()
	g.balancing.Unlock()
	g.table.Store(table)
	g.config.Log.Info().Str("event", "configuration-in-force").Uint64("revision", i.Revision).
		Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Send()
}

// applyDomains reads all failure domains that are out; the follower's lock is held.
func (g *Gateway) applyDomains() {
	var out []anvilmodel.FailureDomain
	for _, i := range g.configuration.mirror.Items() {
		if k := g.config.Store.DecodeKey(i.Key); k.Kind == ItemDomainOut {
			out = append(out, k.Domain)
		}
	}
	g.balancing.Lock()
	g.balancer.SetOut(out)
	g.balancing.Unlock()
	g.config.Log.Info().Str("event", "failure-domains-out").Interface("domains", out).Send()
}

// applyLeafs takes changes of leafs' entries. An entry that cannot be read names
// no leaf.
func (g *Gateway) applyLeafs(items []anvilmirror.Item, lapsed bool) {
	now := time.Now()
	g.balancing.Lock()
	defer g.balancing.Unlock()
	for _, i := range items {
		k := g.config.Store.DecodeKey(i.Key)
		if k.Kind != ItemLeaf {
			continue
		}
		if i.Deleted {
			grace := time.Duration(0)
			if lapsed {
				grace = lapseGrace
			}
			g.balancer.RemoveLeaf(k.Leaf, now, grace)
			g.config.Log.Info().Str("event", "leaf-removed").Str("leaf", string(k.Leaf)).
				Uint64("revision", i.Revision).Dur("grace-ms", grace).Send()
			continue
		}
		l, err := g.config.Store.DecodeLeaf(i.Key, i.Value)
		if err != nil {
			g.balancer.RemoveLeaf(k.Leaf, now, 0)
			g.config.Log.Warn().Str("event", "leaf-entry-unreadable").Str("leaf", string(k.Leaf)).
				Uint64("revision", i.Revision).Err(err).Send()
			continue
		}
		g.balancer.SetLeaf(l, now)
		g.config.Log.Info().Str("event", "leaf-entry").Str("leaf", string(l.ID)).Str("service", string(l.Service)).
			Stringer("address", l.Address).Bool("draining", l.Draining).Dur("cold-for-ms", l.ColdFor).
			Uint64("revision", i.Revision).Send()
	}
}
