package anvilfollower

import (
	"context"
	"time"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// followPeers asks other nodes for changes, whether this node reads the store or
// not: a watch of the store may stay silent for seconds.
func (f *Follower) followPeers(ctx context.Context) {
	f.awaitFirstCopy(ctx)
	for ctx.Err() == nil {
		f.endUnneededWatch()
		place := anvilmirror.TreePositionOf(f.config.Members(), ReaderCount, anvilmirror.FanOut)
		if f.readSources(ctx, place) {
			f.found()
			continue
		}
		if ctx.Err() == nil && f.chosenToRead(len(place.Sources), time.Now()) {
			f.config.Log.Info().Str("event", "reads-store-itself").Str("prefix", f.config.Prefix).
				Str("cause", "no other node has a fresh copy").Int("sources", len(place.Sources)).Send()
		}
		pause(ctx, rolePoll+f.randomDuration(rolePoll))
	}
}

// awaitFirstCopy waits until the store has given the first copy, or has failed to.
func (f *Follower) awaitFirstCopy(ctx context.Context) {
	deadline := time.Now().Add(storeFirstTime)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		f.mu.Lock()
		over := f.mirror.Loaded() || f.refused
		f.mu.Unlock()
		if over {
			return
		}
		pause(ctx, firstRetry)
	}
}

// readSources takes what the sources have over, in their order, until one has a
// fresh copy. Only the first is waited for.
func (f *Follower) readSources(ctx context.Context, place anvilmirror.TreePosition) bool {
	wait := min(time.Duration(max(place.Depth, 1))*relayWait, longestRelayWait)
	stale := staleAge + time.Duration(max(place.Level-1, 0))*wait
	for i, m := range place.Sources {
		patience := wait
		if i > 0 {
			patience = 0
		}
		if age, err := f.ask(ctx, m, patience, stale); err == nil && age >= 0 && age < stale {
			return true
		}
	}
	return false
}

// ask takes over what a node has and returns the age of its copy.
func (f *Follower) ask(ctx context.Context, m anvilmodel.Member, wait, stale time.Duration) (time.Duration, error) {
	f.mu.Lock()
	held := f.mirror.Cursor()
	q := anvilpeer.PublishedQuestion{
		Prefix: f.config.Prefix,
		After:  held.CompleteRevision,
		Latest: held.LatestRevision,
		Digest: held.Digest,
		Wait:   wait,
	}
	waiting := !f.mirror.Loaded() && !f.refused
	f.mu.Unlock()
	q.Departures = f.departures()
	limited, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	p, err := f.config.FetchChanges(limited, m.PeerAddress, q)
	f.config.CountRead("peer", err == nil)
	if err != nil {
		f.config.Log.Debug().Str("event", "peer-read-failed").Str("prefix", f.config.Prefix).
			Str("member", string(m.Name)).Err(err).Send()
		return 0, err
	}
	f.noteDepartures(p.Departures)
	if waiting && (p.Age < 0 || p.Age >= stale) {
		// The store is about to answer; an old copy may name leafs that have left.
		return p.Age, nil
	}
	f.followLapse(p.Lapse)
	f.take(p.Changes, p.Age)
	return p.Age, nil
}

// chosenToRead reports whether this node begins to read the store because it found
// no fresh copy. In a large fleet only a few do at a time.
func (f *Follower) chosenToRead(sources int, now time.Time) bool {
	members := f.config.Members()
	if sources == 0 || anvilmirror.IsReader(members, ReaderCount) {
		return false
	}
	alive := 0
	for _, m := range members {
		if m.Status == anvilmodel.MemberAlive {
			alive++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.directUntil) || f.random.IntN(max(alive, 1)) >= extraReaders {
		return false
	}
	f.directUntil = now.Add(directTime)
	return true
}
