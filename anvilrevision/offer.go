package anvilrevision

import (
	"maps"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// peerRetryDelay is the time for which a peer gets no request after its first
	// failure. It doubles with each further failure, up to 6.4 s.
	peerRetryDelay         = 100 * time.Millisecond
	maxRetryDelayDoublings = 6
	// maxOffers bounds the number of peers whose offers are kept.
	maxOffers = 1024
)

// offer holds the revisions that a peer is known to have.
type offer struct {
	active   Revision
	refused  Revision
	failures int
	// retryAt is the earliest time of the next request to the peer.
	retryAt time.Time
}

// recordOffer records the revisions that a peer has. Peers without a revision to
// fetch are not kept.
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

// isNewer reports whether a revision has a higher version than the active one and
// has not been refused.
func (m *Manager) isNewer(r Revision) bool {
	return r.Version > m.active.revision.Version && !m.recentRefused.contains(r)
}

// dropOutdatedOffers removes the offers that contain no newer version, and ends the
// current fetch.
func (m *Manager) dropOutdatedOffers() {
	maps.DeleteFunc(m.offers, func(_ anvilmodel.VMName, o *offer) bool {
		return max(o.active.Version, o.refused.Version) <= m.active.revision.Version
	})
	m.fetch = nil
}

// needsActive reports whether the active revision of a peer has to be fetched.
func (m *Manager) needsActive(r Revision, peer anvilmodel.VMName) bool {
	return !m.hasTask(r.Version) && (m.isNewer(r) || m.replacesActive(r, peer))
}

// needsRefused reports whether a revision that a peer refused has to be fetched, so
// that this node validates and reports it too.
func (m *Manager) needsRefused(r Revision, _ anvilmodel.VMName) bool {
	if m.refused != nil && r.Version <= m.refused.revision.Version {
		return false
	}
	return m.isNewer(r) && !m.hasTask(r.Version)
}

// hasTask reports whether a version is being validated or waits for validation.
func (m *Manager) hasTask(version uint64) bool {
	return (m.runningTask != nil && m.runningTask.version == version) || (m.nextTask != nil && m.nextTask.version == version)
}

// choosePeer returns the peer for the next request and the revision to request.
// Active revisions of peers take precedence over refused ones.
func (m *Manager) choosePeer(now time.Time) (anvilmodel.VMName, Revision) {
	active := func(o *offer) Revision { return o.active }
	if peer, r := m.choosePeerBy(now, active, m.needsActive); peer != "" {
		return peer, r
	}
	refused := func(o *offer) Revision { return o.refused }
	return m.choosePeerBy(now, refused, m.needsRefused)
}

// choosePeerBy returns a random peer among those with the highest wanted version. It
// avoids the peer of the last request if there are others.
func (m *Manager) choosePeerBy(now time.Time, revisionOf func(*offer) Revision, wanted func(Revision, anvilmodel.VMName) bool) (anvilmodel.VMName, Revision) {
	var highest uint64
	var peers []anvilmodel.VMName
	for _, name := range slices.Sorted(maps.Keys(m.offers)) {
		o := m.offers[name]
		r := revisionOf(o)
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
	return peer, revisionOf(m.offers[peer])
}

// backOff delays the next request to a peer, so that a peer that repeatedly offers
// revisions it does not have causes few requests.
func (m *Manager) backOff(peer anvilmodel.VMName, now time.Time) {
	o := m.offers[peer]
	if o == nil {
		return
	}
	o.retryAt = now.Add(peerRetryDelay << min(o.failures, maxRetryDelayDoublings))
	o.failures++
}
