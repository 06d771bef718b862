package anvilrevision

import (
	"maps"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// A peer that failed is not asked again for failureDelay, doubling up to
	// 6.4 s.
	failureDelay       = 100 * time.Millisecond
	failureDelayDouble = 6
	// maxOffers bounds the peers of which offers are remembered.
	maxOffers = 1024
)

// offer is what a peer has, as far as it is known.
type offer struct {
	inForce  Revision
	refused  Revision
	failures int
	// notBefore is when the peer may be asked again.
	notBefore time.Time
}

// note records what a peer has. Only peers that may have something to fetch are
// kept.
func (k *Manager) note(peer anvilmodel.VMName, inForce, refused Revision) {
	if !k.newer(inForce) && !k.newer(refused) && !k.yields(inForce, peer) {
		delete(k.offers, peer)
		return
	}
	o := k.offers[peer]
	if o == nil {
		if len(k.offers) >= maxOffers {
			return
		}
		o = &offer{}
		k.offers[peer] = o
	}
	o.inForce = inForce
	o.refused = refused
}

// newer reports whether a revision is above the one in force and not refused.
func (k *Manager) newer(r Revision) bool {
	return r.Version > k.inForce.revision.Version && !k.refusals.has(r)
}

// dropOffers forgets the peers that offer nothing newer.
func (k *Manager) dropOffers() {
	maps.DeleteFunc(k.offers, func(_ anvilmodel.VMName, o *offer) bool {
		return max(o.inForce.Version, o.refused.Version) <= k.inForce.revision.Version
	})
	k.fetch = nil
}

// wants reports whether the revision in force at a peer has to be fetched.
func (k *Manager) wants(r Revision, peer anvilmodel.VMName) bool {
	return !k.atHand(r.Version) && (k.newer(r) || k.yields(r, peer))
}

// wantsRefused reports whether a revision that a peer refused has to be fetched,
// to be judged here as well.
func (k *Manager) wantsRefused(r Revision, _ anvilmodel.VMName) bool {
	if k.refused != nil && r.Version <= k.refused.revision.Version {
		return false
	}
	return k.newer(r) && !k.atHand(r.Version)
}

// atHand reports whether a version is being judged or waits for it.
func (k *Manager) atHand(version uint64) bool {
	return (k.running != nil && k.running.version == version) || (k.next != nil && k.next.version == version)
}

// choose returns the peer to ask next and the revision to ask for. Refused
// revisions come after those that may be in force.
func (k *Manager) choose(now time.Time) (anvilmodel.VMName, Revision) {
	inForce := func(o *offer) Revision { return o.inForce }
	if peer, r := k.best(now, inForce, k.wants); peer != "" {
		return peer, r
	}
	refused := func(o *offer) Revision { return o.refused }
	return k.best(now, refused, k.wantsRefused)
}

// best draws one of the peers with the highest wanted version, another one than
// the last if there is a choice.
func (k *Manager) best(now time.Time, of func(*offer) Revision, wanted func(Revision, anvilmodel.VMName) bool) (anvilmodel.VMName, Revision) {
	var highest uint64
	var peers []anvilmodel.VMName
	for _, name := range slices.Sorted(maps.Keys(k.offers)) {
		o := k.offers[name]
		r := of(o)
		if r.Version < highest || now.Before(o.notBefore) || !wanted(r, name) {
			continue
		}
		if r.Version > highest {
			highest = r.Version
			peers = peers[:0]
		}
		peers = append(peers, name)
	}
	if len(peers) > 1 {
		peers = slices.DeleteFunc(peers, func(name anvilmodel.VMName) bool { return name == k.fetch.peer })
	}
	if len(peers) == 0 {
		return "", Revision{}
	}
	peer := peers[k.config.Random.IntN(len(peers))]
	return peer, of(k.offers[peer])
}

// setAside delays the next request to a peer, so that one that offers what it
// does not have costs little.
func (k *Manager) setAside(peer anvilmodel.VMName, now time.Time) {
	o := k.offers[peer]
	if o == nil {
		return
	}
	o.notBefore = now.Add(failureDelay << min(o.failures, failureDelayDouble))
	o.failures++
}
