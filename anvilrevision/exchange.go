package anvilrevision

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// announceFanout is the number of peers told at once of a new revision.
	announceFanout = 4
	// announceRepeatDelay is the time after which as many are told again. The first
	// round of all nodes misses one node in 50, which would wait for a probe.
	announceRepeatDelay = time.Second
	// exchangeInterval is the time between two exchanges with a peer drawn at
	// random. They show what probes do not carry: digests and refusals.
	exchangeInterval = 30 * time.Second
)

func (m *Manager) announceRevision(now time.Time) Action {
	m.repeatAnnounceAt = now.Add(announceRepeatDelay)
	return Action{
		Kind:      ActionExchangeState,
		PeerCount: announceFanout,
	}
}

// dueExchanges repeats the last announcement once, and makes the regular ones.
func (m *Manager) dueExchanges(now time.Time) []Action {
	var count int
	switch {
	case !m.repeatAnnounceAt.IsZero() && !now.Before(m.repeatAnnounceAt):
		m.repeatAnnounceAt = time.Time{}
		count = announceFanout
	case m.join.ready && !now.Before(m.nextExchangeAt):
		m.nextExchangeAt = now.Add(exchangeInterval)
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
func (m *Manager) HandleProbe(peer anvilmodel.VMName, version uint64, serving bool, now time.Time) []Action {
	m.detectPause(now)
	m.service.lastPeerContact = now
	if !m.join.ready {
		m.join.recordProbe(peer, version, serving)
	}
	if o := m.offers[peer]; o == nil || o.active.Version != version {
		m.recordOffer(peer, Revision{
			Version: version,
		}, Revision{})
	}
	return m.withFollowUps(nil, now)
}

// HandlePeerState handles the state of a peer, in an announcement or in the reply
// to one.
func (m *Manager) HandlePeerState(peer anvilmodel.VMName, s State, now time.Time) []Action {
	m.detectPause(now)
	m.service.lastPeerContact = now
	if !m.join.ready {
		m.join.recordState(peer, s, now)
	}
	m.recordOffer(peer, s.Active, s.Refused)
	var actions []Action
	active := m.active.revision
	if m.join.ready && s.Serving && s.Active.Version == active.Version && s.Active != active {
		actions = m.reportConflict(s.Active, Source{
			Peer: peer,
		})
	}
	return m.withFollowUps(actions, now)
}

// HandleExchangeFailure says that a peer did not answer an announcement.
func (m *Manager) HandleExchangeFailure(peer anvilmodel.VMName, now time.Time) []Action {
	m.detectPause(now)
	m.join.recordFailure(peer)
	return m.withFollowUps(nil, now)
}
