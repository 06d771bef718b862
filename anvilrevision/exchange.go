package anvilrevision

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// announceCount is the number of peers told at once of a new revision.
	announceCount = 4
	// announcePeriod is the time between two exchanges with a peer drawn at
	// random. They show what probes do not carry: digests and refusals.
	announcePeriod = 30 * time.Second
)

func announceWidely() Action {
	return Action{
		Kind:  ActionAnnounce,
		Count: announceCount,
	}
}

// Heard handles the version that a probe of a peer or its reply carries, and
// whether the peer is serving.
func (k *Keeper) Heard(peer anvilmodel.VMName, version uint64, serving bool, now time.Time) []Action {
	k.observe(now)
	k.service.heardPeer = now
	if !k.join.ready {
		k.join.heard(peer, version, serving)
	}
	o := k.offerOf(peer, version)
	if o != nil && o.inForce.Version != version {
		o.inForce = Revision{
			Version: version,
		}
	}
	return k.proceed(nil, now)
}

// HandleExchange handles the state of a peer, in an announcement or in the reply
// to one.
func (k *Keeper) HandleExchange(peer anvilmodel.VMName, s State, now time.Time) []Action {
	k.observe(now)
	k.service.heardPeer = now
	if !k.join.ready {
		k.join.exchanged(peer, s, now)
	}
	if o := k.offerOf(peer, max(s.InForce.Version, s.Refused.Version)); o != nil {
		o.inForce = s.InForce
		o.refused = s.Refused
	}
	var actions []Action
	inForce := k.inForce.revision
	if k.join.ready && s.Serving && s.InForce.Version == inForce.Version && s.InForce != inForce {
		actions = k.conflict(s.InForce, Source{
			Peer: peer,
		})
	}
	return k.proceed(actions, now)
}

// HandleExchangeFailure says that a peer did not answer an announcement.
func (k *Keeper) HandleExchangeFailure(peer anvilmodel.VMName, now time.Time) []Action {
	k.observe(now)
	k.join.failed(peer)
	return k.proceed(nil, now)
}
