package anvilrevision

import (
	"maps"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// A peer that failed is not asked again for peerRetryDelay, doubling up to
	// 6.4 s.
	peerRetryDelay         = 100 * time.Millisecond
	maxRetryDelayDoublings = 6
	// maxOffers bounds the peers of which offers are remembered.
	maxOffers = 1024
)

// offer is what a peer has, as far as it is known.
type offer struct {
	active   Revision
	refused  Revision
	failures int
	// retryAt is when the peer may be asked again.
	retryAt time.Time
}

// recordOffer records what a peer has. Only peers that may have something to fetch are
// kept.
func (m *Manager) recordOffer(peer anvilmodel.VMName, active, refused Revision) {
	if !m.isNewer(active) && !m.isNewer(refused) && !m.replacesActive(active, peer) {
		delete(m.offers, peer)
		return
	}
	o := m.offers[peer]
	if o == nil {
		if len(m.offers) >= maxOffers {
			return
		}
		o = &offer{}
		m.offers[peer] = o
	}
	o.active = active
	o.refused = refused
}

// isNewer reports whether a revision is above the one in force and not refused.
func (m *Manager) isNewer(r Revision) bool {
	return r.Version > m.active.revision.Version && !m.recentRefused.contains(r)
}

// dropOutdatedOffers forgets the peers that offer nothing newer.
func (m *Manager) dropOutdatedOffers() {
	maps.DeleteFunc(m.offers, func(_ anvilmodel.VMName, o *offer) bool {
		return max(o.active.Version, o.refused.Version) <= m.active.revision.Version
	})
	m.fetch = nil
}

// needsActive reports whether the revision in force at a peer has to be fetched.
func (m *Manager) needsActive(r Revision, peer anvilmodel.VMName) bool {
	return !m.hasTask(r.Version) && (m.isNewer(r) || m.replacesActive(r, peer))
}

// needsRefused reports whether a revision that a peer refused has to be fetched,
// to be judged here as well.
func (m *Manager) needsRefused(r Revision, _ anvilmodel.VMName) bool {
	if m.refused != nil && r.Version <= m.refused.revision.Version {
		return false
	}
	return m.isNewer(r) && !m.hasTask(r.Version)
}

// hasTask reports whether a version is being judged or waits for it.
func (m *Manager) hasTask(version uint64) bool {
	return (m.runningTask != nil && m.runningTask.version == version) || (m.nextTask != nil && m.nextTask.version == version)
}

// choosePeer returns the peer to ask next and the revision to ask for. Refused
// revisions come after those that may be in force.
func (m *Manager) choosePeer(now time.Time) (anvilmodel.VMName, Revision) {
	active := func(o *offer) Revision { return o.active }
	if peer, r := m.choosePeerBy(now, active, m.needsActive); peer != "" {
		return peer, r
	}
	refused := func(o *offer) Revision { return o.refused }
	return m.choosePeerBy(now, refused, m.needsRefused)
}

// choosePeerBy draws one of the peers with the highest wanted version, another one than
// the last if there is a choice.
func (m *Manager) choosePeerBy(now time.Time, of func(*offer) Revision, wanted func(Revision, anvilmodel.VMName) bool) (anvilmodel.VMName, Revision) {
	var highest uint64
	var peers []anvilmodel.VMName
	for _, name := range slices.Sorted(maps.Keys(m.offers)) {
		o := m.offers[name]
		r := of(o)
		if r.Version < highest || now.Before(o.retryAt) || !wanted(r, name) {
			continue
		}
		if r.Version > highest {
			highest = r.Version
			peers = peers[:0]
		}
		peers = append(peers, name)
	}
	if len(peers) > 1 {
		peers = slices.DeleteFunc(peers, func(name anvilmodel.VMName) bool { return name == m.fetch.peer })
	}
	if len(peers) == 0 {
		return "", Revision{}
	}
	peer := peers[m.config.Random.IntN(len(peers))]
	return peer, of(m.offers[peer])
}

// backOff delays the next request to a peer, so that one that offers what it
// does not have costs little.
func (m *Manager) backOff(peer anvilmodel.VMName, now time.Time) {
	o := m.offers[peer]
	if o == nil {
		return
	}
	o.retryAt = now.Add(peerRetryDelay << min(o.failures, maxRetryDelayDoublings))
	o.failures++
}
