package anvilfollower

import (
	"context"
	"time"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// followPeers polls other nodes for changes, also while this node reads the store, because
// a watch of the store may deliver nothing for seconds.
func (f *Follower) followPeers(ctx context.Context) {
	f.awaitFirstCopy(ctx)
	for ctx.Err() == nil {
		f.cancelUnneededWatch()
		position := anvilmirror.TreePositionOf(f.config.Members(), ReaderCount, anvilmirror.FanOut)
		if f.pollSources(ctx, position) {
			f.storeFound()
			continue
		}
		if ctx.Err() == nil && f.startsDirectRead(len(position.Sources), time.Now()) {
			f.config.Log.Info().Str("event", "reads-store-itself").Str("prefix", f.config.Prefix).
				Str("cause", "no other node has a fresh copy").Int("sources", len(position.Sources)).Send()
		}
		sleep(ctx, roleCheckInterval+f.randomDuration(roleCheckInterval))
	}
}

// awaitFirstCopy waits until the first read of the store has succeeded or failed, or for
// initialStoreWait.
func (f *Follower) awaitFirstCopy(ctx context.Context) {
	deadline := time.Now().Add(initialStoreWait)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		f.mu.Lock()
		done := f.mirror.Loaded() || f.readFailed
		f.mu.Unlock()
		if done {
			return
		}
		sleep(ctx, minRetryDelay)
	}
}

// pollSources polls the sources in their order until one has a fresh copy, and reports
// whether one has. Only the poll of the first source waits for a change.
func (f *Follower) pollSources(ctx context.Context, position anvilmirror.TreePosition) bool {
	wait := min(time.Duration(max(position.Depth, 1))*peerPollWait, maxPeerPollWait)
	maxAge := maxCopyAge + time.Duration(max(position.Level-1, 0))*wait
	for i, m := range position.Sources {
		sourceWait := wait
		if i > 0 {
			sourceWait = 0
		}
		if age, err := f.pollPeer(ctx, m, sourceWait, maxAge); err == nil && age >= 0 && age < maxAge {
			return true
		}
	}
	return false
}

// pollPeer polls another node, applies its changes and returns the age of its copy, which is
// negative if the store has never confirmed it. A copy is stale from maxAge.
func (f *Follower) pollPeer(ctx context.Context, m anvilmodel.Member, wait, maxAge time.Duration) (time.Duration, error) {
	f.mu.Lock()
	cursor := f.mirror.Cursor()
	request := anvilpeer.PublishedRequest{
		Prefix:           f.config.Prefix,
		CompleteRevision: cursor.CompleteRevision,
		LatestRevision:   cursor.LatestRevision,
		Digest:           cursor.Digest,
		Wait:             wait,
	}
	awaitingStore := !f.mirror.Loaded() && !f.readFailed
	f.mu.Unlock()
	request.Announcements = f.announcements()
	pollCtx, cancel := context.WithTimeout(ctx, wait+peerPollMargin)
	defer cancel()
	reply, err := f.config.FetchChanges(pollCtx, m.PeerAddress, request)
	f.config.CountRead("peer", err == nil)
	if err != nil {
		f.config.Log.Debug().Str("event", "peer-read-failed").Str("prefix", f.config.Prefix).
			Str("member", string(m.Name)).Err(err).Send()
		return 0, err
	}
	f.mergeAnnouncements(reply.Announcements)
	if awaitingStore && (reply.Age < 0 || reply.Age >= maxAge) {
		// The store is about to answer, and a stale copy may list leaves that have left.
		return reply.Age, nil
	}
	f.extendGrace(reply.GraceRemaining)
	f.applyChanges(reply.Changes, reply.Age)
	return reply.Age, nil
}

// startsDirectRead reports whether this node starts to read the store itself because no
// source has a fresh copy. In a large fleet only a few nodes do so at a time.
func (f *Follower) startsDirectRead(sources int, now time.Time) bool {
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
	if now.Before(f.directReadUntil) || f.random.IntN(max(alive, 1)) >= extraReaders {
		return false
	}
	f.directReadUntil = now.Add(directReadTime)
	return true
}
