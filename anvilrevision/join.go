package anvilrevision

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// joinRoundInterval is the time between two rounds of exchanges of a fresh node,
	// joinCount the peers of a round: 410 peers are asked within 13 s.
	joinRoundInterval = 250 * time.Millisecond
	joinRoundPeers    = 8
	// joinRetryDelay is the time after which a peer is asked again. After the first
	// time, one peer is asked in a round.
	joinRetryDelay = time.Second
	// maxJoinPeers bounds the peers that a fresh node remembers.
	maxJoinPeers = 4096
)

// joinState decides when a fresh node may serve. A node that knows only what the
// service gave it may hold a stale configuration, and would revert the fleet's
// for its callers.
type joinState struct {
	ready        bool
	listReceived bool
	peers        map[anvilmodel.VMName]*joinPeer
	// ordered holds the same entries, for iteration in a repeatable ordered.
	ordered []*joinPeer
	// minVersion is the highest version that a serving node said is in force. To
	// serve a lower one would be a reversal, even if that node is gone.
	minVersion     uint64
	minVersionPeer anvilmodel.VMName
	nextRoundAt    time.Time
}

// joinPeer is what a fresh node knows of another VM.
type joinPeer struct {
	name    anvilmodel.VMName
	listed  bool
	leaving bool
	probed  bool
	askedAt time.Time
	// attempted is set when the last exchange succeeded or failed.
	attempted bool
	// succeeded is set while the last exchange succeeded; state is from it.
	succeeded bool
	state     State
}

func (j *joinState) getOrAddPeer(name anvilmodel.VMName) *joinPeer {
	e := j.peers[name]
	if e == nil {
		e = &joinPeer{
			name: name,
		}
		if len(j.peers) < maxJoinPeers {
			j.peers[name] = e
			j.ordered = append(j.ordered, e)
		}
	}
	return e
}

func (j *joinState) raiseMinVersion(peer anvilmodel.VMName, version uint64) {
	if version > j.minVersion {
		j.minVersion = version
		j.minVersionPeer = peer
	}
}

// recordProbe notes a probe. A peer that has begun to serve is asked at once.
func (j *joinState) recordProbe(peer anvilmodel.VMName, version uint64, serving bool) {
	e := j.getOrAddPeer(peer)
	e.probed = true
	if !serving {
		return
	}
	j.raiseMinVersion(peer, version)
	if !e.state.Serving {
		e.state.Serving = true
		e.succeeded = false
		e.attempted = false
		e.askedAt = time.Time{}
		j.nextRoundAt = time.Time{}
	}
}

func (j *joinState) recordState(peer anvilmodel.VMName, s State, now time.Time) {
	e := j.getOrAddPeer(peer)
	e.probed = true
	e.askedAt = now
	e.attempted = true
	e.succeeded = true
	e.state = s
	if s.Serving {
		j.raiseMinVersion(peer, s.Active.Version)
	}
}

func (j *joinState) recordFailure(peer anvilmodel.VMName) {
	if e := j.peers[peer]; e != nil {
		e.attempted = true
		e.succeeded = false
	}
}

// resetPeers drops all exchanges, but not the floor.
func (j *joinState) resetPeers() {
	for _, e := range j.ordered {
		e.reset()
	}
}

// resetJoiningPeers drops the exchanges with fresh nodes: they were about another
// revision than the one now at hand.
func (j *joinState) resetJoiningPeers() {
	for _, e := range j.ordered {
		if e.succeeded && !e.state.Serving {
			e.reset()
		}
	}
	j.nextRoundAt = time.Time{}
}

func (e *joinPeer) reset() {
	e.askedAt = time.Time{}
	e.attempted = false
	e.succeeded = false
	e.state = State{}
}

// SetVMList hands over the published list without this node: the names of the
// VMs listed live and of those listed as leaving.
func (m *Manager) SetVMList(live, leaving []anvilmodel.VMName, now time.Time) []Action {
	m.detectPause(now)
	if m.join.ready {
		return nil
	}
	j := &m.join
	j.listReceived = true
	for _, e := range j.ordered {
		e.listed = false
		e.leaving = false
	}
	for _, name := range live {
		j.getOrAddPeer(name).listed = true
	}
	for _, name := range leaving {
		j.getOrAddPeer(name).leaving = true
	}
	gone := func(e *joinPeer) bool { return !e.listed && !e.leaving && !e.probed }
	maps.DeleteFunc(j.peers, func(_ anvilmodel.VMName, e *joinPeer) bool { return gone(e) })
	j.ordered = slices.DeleteFunc(j.ordered, gone)
	return m.withFollowUps(nil, now)
}

// dueJoinExchanges asks the peers with which a fresh node has not exchanged states,
// and one other.
func (m *Manager) dueJoinExchanges(now time.Time) []Action {
	j := &m.join
	if j.ready || now.Before(j.nextRoundAt) {
		return nil
	}
	j.nextRoundAt = now.Add(joinRoundInterval)
	m.config.Random.Shuffle(len(j.ordered), func(a, b int) { j.ordered[a], j.ordered[b] = j.ordered[b], j.ordered[a] })
	var actions []Action
	repeated := false
	for _, e := range j.ordered {
		if len(actions) == joinRoundPeers {
			break
		}
		if now.Sub(e.askedAt) < joinRetryDelay || (e.attempted && repeated) {
			continue
		}
		repeated = repeated || e.attempted
		e.askedAt = now
		actions = append(actions, Action{
			Kind: ActionExchangeState,
			Peer: e.name,
		})
	}
	return actions
}

// Ready reports whether the node may serve.
func (m *Manager) Ready() bool {
	return m.join.ready
}

// NotReadyReason returns why the node may not serve yet, or "".
func (m *Manager) NotReadyReason() string {
	if m.join.ready {
		return ""
	}
	_, waiting := m.readiness()
	return waiting
}

func (m *Manager) checkReady() []Action {
	cause, waiting := m.readiness()
	if waiting != "" {
		return nil
	}
	m.join.ready = true
	clear(m.join.peers)
	m.join.ordered = nil
	return []Action{{
		Kind:     ActionReady,
		Revision: m.active.revision,
		Cause:    cause,
	}}
}

// readiness returns why the node may serve, or what it waits for.
func (m *Manager) readiness() (cause, waiting string) {
	active := m.active.revision
	switch {
	case m.release == nil:
		return "", "no valid configuration has been received from peers or the configuration service"
	case m.config.ServeAlone:
		return "the operator allowed serving alone", ""
	case active.Version < m.join.minVersion:
		return "", fmt.Sprintf("version %d is in force at %s, only version %d is at hand", m.join.minVersion, m.join.minVersionPeer, active.Version)
	}
	if peer, wait := m.findServingPeer(); peer != "" {
		return "exchanged revisions with serving node " + string(peer), wait
	}
	return m.join.readinessWithoutServingPeer(m)
}

// findServingPeer returns a serving node with which states were exchanged, and what
// there is to wait for, if anything.
func (m *Manager) findServingPeer() (peer anvilmodel.VMName, waiting string) {
	active := m.active.revision
	for _, e := range m.join.ordered {
		switch {
		case !e.succeeded || !e.state.Serving:
		case e.state.Active == active:
			return e.name, ""
		case e.state.Active.Version == active.Version:
			waiting = fmt.Sprintf("version %d is in force at %s with other content", active.Version, e.name)
			peer = e.name
		case peer == "":
			peer = e.name
		}
	}
	return peer, waiting
}

// readinessWithoutServingPeer decides when no serving node has been heard of.
func (j *joinState) readinessWithoutServingPeer(m *Manager) (cause, waiting string) {
	if !j.listReceived {
		return "", "the VM list has not been read, and no serving node has been heard of"
	}
	listed, fresh, open := 0, 0, 0
	for _, e := range j.ordered {
		if e.listed {
			listed++
		}
		if e.listed && e.succeeded {
			fresh++
		}
		if !e.attempted {
			open++
		}
		if e.succeeded && m.mustFetchFirst(e.state, e.name) {
			return "", fmt.Sprintf("version %d is being fetched from %s", e.state.Active.Version, e.name)
		}
	}
	switch {
	case open > 0:
		return "", fmt.Sprintf("%d other VMs have not been asked for their configuration yet", open)
	case listed == 0:
		return "the VM list names no other live VM", ""
	case 2*(fresh+1) <= listed+1:
		return "", fmt.Sprintf("no serving node has been heard of, and only %d of %d other listed VMs answer; a majority is needed", fresh, listed)
	}
	return fmt.Sprintf("exchanged revisions with %d of %d other listed VMs, none serving yet", fresh, listed), ""
}

// mustFetchFirst reports whether a fresh node has to take a peer's revision first.
func (m *Manager) mustFetchFirst(s State, peer anvilmodel.VMName) bool {
	return !m.recentRefused.contains(s.Active) && (s.Active.Version > m.active.revision.Version || m.replacesActive(s.Active, peer))
}

// replacesActive reports whether a fresh node takes other content of the version that it
// has: what is in force at a serving node or, between fresh nodes, the content
// with the higher digest. A serving node never does.
func (m *Manager) replacesActive(r Revision, peer anvilmodel.VMName) bool {
	active := m.active.revision
	if m.join.ready || r.Version != active.Version || r.Version == 0 || r == active {
		return false
	}
	e := m.join.peers[peer]
	if e == nil || !e.succeeded || e.state.Active != r {
		return false
	}
	return e.state.Serving || bytes.Compare(r.Digest[:], active.Digest[:]) > 0
}
