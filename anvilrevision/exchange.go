package anvilrevision

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// announceCount is the number of peers told at once of a new revision.
	announceCount = 4
	// announceRepeat is the time after which as many are told again. The first
	// round of all nodes misses one node in 50, which would wait for a probe.
	announceRepeat = time.Second
	// announcePeriod is the time between two exchanges with a peer drawn at
	// random. They show what probes do not carry: digests and refusals.
	announcePeriod = 30 * time.Second
)

func (k *Manager) announceWidely(now time.Time) Action {
	k.repeat = now.Add(announceRepeat)
	return Action{
		Kind:      ActionExchangeState,
		PeerCount: announceCount,
	}
}

// announceDue repeats the last announcement once, and makes the regular ones.
func (k *Manager) announceDue(now time.Time) []Action {
	var count int
	switch {
	case !k.repeat.IsZero() && !now.Before(k.repeat):
		k.repeat = time.Time{}
		count = announceCount
	case k.join.ready && !now.Before(k.nextAnnounce):
		k.nextAnnounce = now.Add(announcePeriod)
		count = 1
	default:
		return nil
	}
	return []Action{{
		Kind:      ActionExchangeState,
		PeerCount: count,
	}}
}

// HandleProbe handles the version that a probe of a peer or its reply carries, and
// whether the peer is serving.
func (k *Manager) HandleProbe(peer anvilmodel.VMName, version uint64, serving bool, now time.Time) []Action {
	k.observe(now)
	k.service.heardPeer = now
	if !k.join.ready {
		k.join.heard(peer, version, serving)
	}
	if o := k.offers[peer]; o == nil || o.inForce.Version != version {
		k.note(peer, Revision{
			Version: version,
		}, Revision{})
	}
	return k.proceed(nil, now)
}

// HandlePeerState handles the state of a peer, in an announcement or in the reply
// to one.
func (k *Manager) HandlePeerState(peer anvilmodel.VMName, s State, now time.Time) []Action {
	k.observe(now)
	k.service.heardPeer = now
	if !k.join.ready {
		k.join.exchanged(peer, s, now)
	}
	k.note(peer, s.Active, s.Refused)
	var actions []Action
	inForce := k.inForce.revision
	if k.join.ready && s.Serving && s.Active.Version == inForce.Version && s.Active != inForce {
		actions = k.conflict(s.Active, Source{
			Peer: peer,
		})
	}
	return k.proceed(actions, now)
}

// HandleExchangeFailure says that a peer did not answer an announcement.
func (k *Manager) HandleExchangeFailure(peer anvilmodel.VMName, now time.Time) []Action {
	k.observe(now)
	k.join.failed(peer)
	return k.proceed(nil, now)
}
