package anvilrevision

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// announcePeerCount is the number of random peers to which a node announces a
	// change of its active or refused revision.
	announcePeerCount = 4
	// announceRepeatDelay is the time after which a change is announced a second
	// time to as many random peers. With one announcement by each node, 1 node in
	// 50 is not reached and discovers the change only by a probe.
	announceRepeatDelay = time.Second
	// exchangeInterval is the time between two regular state exchanges with a
	// random peer. They carry what probes do not: digests and refused revisions.
	exchangeInterval = 30 * time.Second
)

func (m *Manager) announceRevision(now time.Time) Action {
	m.repeatAnnounceAt = now.Add(announceRepeatDelay)
	return Action{
		Kind:      ActionExchangeState,
		PeerCount: announcePeerCount,
	}
}

// dueExchanges returns the repetition of an announcement or a regular exchange, if
// one is due.
func (m *Manager) dueExchanges(now time.Time) []Action {
	var count int
	switch {
	case !m.repeatAnnounceAt.IsZero() && !now.Before(m.repeatAnnounceAt):
		m.repeatAnnounceAt = time.Time{}
		count = announcePeerCount
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

// HandleProbe handles what a probe of a peer or the reply to a probe reports: the
// version of the peer's active revision and whether the peer is serving.
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

// HandlePeerState handles the state of a peer, received in a state exchange that
// either side started.
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

// HandleExchangeFailure handles a state exchange that a peer did not answer.
func (m *Manager) HandleExchangeFailure(peer anvilmodel.VMName, now time.Time) []Action {
	m.detectPause(now)
	m.join.recordFailure(peer)
	return m.withFollowUps(nil, now)
}
