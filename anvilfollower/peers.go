package anvilfollower

import (
	"context"
	"errors"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// followPeers polls other nodes for changes, also while this node reads the store, because
// a watch of the store may deliver nothing for seconds.
func (f *Follower) followPeers(ctx context.Context) {
	f.awaitFirstCopy(ctx)
	for ctx.Err() == nil {
		current := f.config.Roles.current(time.Now())
		f.cancelUnneededWatch()
		if f.pollSources(ctx, current) {
			f.storeFound()
			continue
		}
		select {
		case <-current.changed:
			continue
		default:
		}
		f.awaitRole(ctx, current)
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
// whether one has. Only the poll of the first source waits for a change. If none of them has
// a fresh copy, it polls another node, which may reach other readers. It returns early when
// the readers change.
func (f *Follower) pollSources(ctx context.Context, current role) bool {
	maxAge := maxCopyAge + time.Duration(max(current.Position.Level-1, 0))*current.pollWait
	sources := f.config.Roles.orderSources(current.Position.Sources, time.Now())
	if other, ok := f.config.Roles.substitute(sources); ok {
		sources = append(sources, other)
	}
	for i, m := range sources {
		wait := current.pollWait
		if i > 0 {
			wait = 0
		}
		age, err := f.pollPeer(ctx, m, current, wait, maxAge)
		if err == nil && age >= 0 && age < maxAge {
			return true
		}
		select {
		case <-current.changed:
			return false
		default:
		}
	}
	return false
}

// pollPeer polls another node, applies its changes and returns the age of its copy, which is
// negative if the store has never confirmed it. A copy is stale from maxAge. The poll ends
// early when the readers change.
func (f *Follower) pollPeer(ctx context.Context, m anvilmodel.Member, current role, wait, maxAge time.Duration) (time.Duration, error) {
	f.mu.Lock()
	cursor := f.mirror.Cursor()
	request := anvilpeer.PublishedRequest{
		Prefix:           f.config.Prefix,
		Era:              cursor.Era,
		CompleteRevision: cursor.CompleteRevision,
		LatestRevision:   cursor.LatestRevision,
		Digest:           cursor.Digest,
		Wait:             wait,
	}
	awaitingStore := !f.mirror.Loaded() && !f.readFailed
	request.KnownCrashDigest = f.peerCrashDigests[m.Name]
	pollAgain := f.pollAgain
	f.mu.Unlock()
	request.Announcements = f.announcements(request.KnownCrashDigest)
	request.StoreReads = f.config.Roles.readsForPoll(current, time.Now())
	pollCtx, cancel := context.WithTimeout(ctx, wait+peerPollMargin)
	defer cancel()
	if wait > 0 {
		go cancelOnChange(pollCtx, current.changed, pollAgain, cancel)
	}
	reply, err := f.config.FetchChanges(pollCtx, m.PeerAddress, request)
	f.config.CountRead("peer", err == nil)
	if err != nil {
		if !errors.Is(pollCtx.Err(), context.Canceled) {
			f.config.Roles.recordUnreachable(m.Name, time.Now())
		}
		f.config.Log.Debug().Str("event", "peer-read-failed").Str("prefix", f.config.Prefix).
			Str("member", string(m.Name)).Err(err).Send()
		return 0, err
	}
	if len(request.StoreReads) > 0 {
		f.config.Roles.markPassedOn(current.changed)
	}
	f.config.Roles.merge(reply.StoreReads, time.Now())
	f.mu.Lock()
	f.peerCrashDigests[m.Name] = reply.Announcements.CrashDigest
	f.mu.Unlock()
	f.mergeAnnouncements(reply.Announcements)
	if awaitingStore && (reply.Age < 0 || reply.Age >= maxAge) {
		// The store is about to answer, and a stale copy may list leaves that have left.
		return reply.Age, nil
	}
	f.config.Roles.extendGrace(reply.GraceRemaining, time.Now())
	if reply.Era < cursor.Era {
		// The store may have confirmed this copy shortly before it was restored.
		return -1, nil
	}
	f.applyChanges(reply.Changes, reply.Age)
	return reply.Age, nil
}

// cancelOnChange calls cancel when the readers change, or this node has to poll again, before
// ctx ends.
func cancelOnChange(ctx context.Context, changed, pollAgain <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-changed:
		cancel()
	case <-pollAgain:
		cancel()
	case <-ctx.Done():
	}
}
