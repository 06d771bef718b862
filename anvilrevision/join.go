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
	// joinRoundInterval is the time between two rounds of state exchanges of a
	// joining node, joinRoundPeers the number of peers contacted per round. A node
	// contacts 410 peers within 13 s.
	joinRoundInterval = 250 * time.Millisecond
	joinRoundPeers    = 8
	// joinRetryDelay is the minimum time between two exchanges with the same peer.
	// A round contains at most one peer with an earlier attempt.
	joinRetryDelay = time.Second
	// maxJoinPeers bounds the number of peers that a joining node tracks.
	maxJoinPeers = 4096
)

// joinState decides when a joining node, one that has started but is not ready yet,
// may serve. Documents from the configuration service alone may be stale, and the
// node's callers would then get an older configuration than the rest of the fleet
// uses.
type joinState struct {
	ready        bool
	listReceived bool
	peers        map[anvilmodel.VMName]*joinPeer
	// ordered holds the entries of peers in a reproducible order of iteration.
	ordered []*joinPeer
	// minVersion is the highest version that a serving node reported as active. Serving
	// a lower version would revert the configuration, even if that node no longer runs.
	minVersion     uint64
	minVersionPeer anvilmodel.VMName
	nextRoundAt    time.Time
}

// joinPeer is a joining node's state of another VM.
type joinPeer struct {
	name    anvilmodel.VMName
	listed  bool
	leaving bool
	// messageReceived is set once a message from the VM has arrived.
	messageReceived bool
	// exchangedAt is when the last exchange was started or received.
	exchangedAt time.Time
	// attempted is set once the last exchange has succeeded or failed.
	attempted bool
	// succeeded is set if the last exchange succeeded; state was received in it.
	succeeded bool
	state     State
}

func (j *joinState) getOrAddPeer(name anvilmodel.VMName) *joinPeer {
	p := j.peers[name]
	if p == nil {
		p = &joinPeer{
			name: name,
		}
		if len(j.peers) < maxJoinPeers {
			j.peers[name] = p
			j.ordered = append(j.ordered, p)
		}
	}
	return p
}

func (j *joinState) raiseMinVersion(peer anvilmodel.VMName, version uint64) {
	if version > j.minVersion {
		j.minVersion = version
		j.minVersionPeer = peer
	}
}

// recordProbe handles a probe. A peer that has begun to serve is contacted at once.
func (j *joinState) recordProbe(peer anvilmodel.VMName, version uint64, serving bool) {
	p := j.getOrAddPeer(peer)
	p.messageReceived = true
	if !serving {
		return
	}
	j.raiseMinVersion(peer, version)
	if !p.state.Serving {
		p.state.Serving = true
		p.succeeded = false
		p.attempted = false
		p.exchangedAt = time.Time{}
		j.nextRoundAt = time.Time{}
	}
}

func (j *joinState) recordState(peer anvilmodel.VMName, s State, now time.Time) {
	p := j.getOrAddPeer(peer)
	p.messageReceived = true
	p.exchangedAt = now
	p.attempted = true
	p.succeeded = true
	p.state = s
	if s.Serving {
		j.raiseMinVersion(peer, s.Active.Version)
	}
}

func (j *joinState) recordFailure(peer anvilmodel.VMName) {
	if p := j.peers[peer]; p != nil {
		p.attempted = true
		p.succeeded = false
	}
}

// resetPeers discards the results of all exchanges. It keeps minVersion.
func (j *joinState) resetPeers() {
	for _, p := range j.ordered {
		p.reset()
	}
}

// resetJoiningPeers discards the results of exchanges with joining nodes, because
// they took place before the active revision of this node changed.
func (j *joinState) resetJoiningPeers() {
	for _, p := range j.ordered {
		if p.succeeded && !p.state.Serving {
			p.reset()
		}
	}
	j.nextRoundAt = time.Time{}
}

func (p *joinPeer) reset() {
	p.exchangedAt = time.Time{}
	p.attempted = false
	p.succeeded = false
	p.state = State{}
}

// SetVMList handles the published VM list. live and leaving are the VMs listed as
// such, without this node.
func (m *Manager) SetVMList(live, leaving []anvilmodel.VMName, now time.Time) []Action {
	m.detectPause(now)
	if m.join.ready {
		return nil
	}
	j := &m.join
	j.listReceived = true
	for _, p := range j.ordered {
		p.listed = false
		p.leaving = false
	}
	for _, name := range live {
		j.getOrAddPeer(name).listed = true
	}
	for _, name := range leaving {
		j.getOrAddPeer(name).leaving = true
	}
	obsolete := func(p *joinPeer) bool { return !p.listed && !p.leaving && !p.messageReceived }
	maps.DeleteFunc(j.peers, func(_ anvilmodel.VMName, p *joinPeer) bool { return obsolete(p) })
	j.ordered = slices.DeleteFunc(j.ordered, obsolete)
	return m.withFollowUps(nil, now)
}

// dueJoinExchanges returns the state exchanges of the next round of a joining node, if
// one is due: with peers without an attempt, and with at most one of the others.
func (m *Manager) dueJoinExchanges(now time.Time) []Action {
	j := &m.join
	if j.ready || now.Before(j.nextRoundAt) {
		return nil
	}
	j.nextRoundAt = now.Add(joinRoundInterval)
	m.config.Random.Shuffle(len(j.ordered), func(a, b int) { j.ordered[a], j.ordered[b] = j.ordered[b], j.ordered[a] })
	var actions []Action
	retried := false
	for _, p := range j.ordered {
		if len(actions) == joinRoundPeers {
			break
		}
		if now.Sub(p.exchangedAt) < joinRetryDelay || (p.attempted && retried) {
			continue
		}
		retried = retried || p.attempted
		p.exchangedAt = now
		actions = append(actions, Action{
			Kind: ActionExchangeState,
			Peer: p.name,
		})
	}
	return actions
}

// Ready reports whether the node may serve.
func (m *Manager) Ready() bool {
	return m.join.ready
}

// NotReadyReason returns why the node may not serve yet, or "". Callers receive the text
// as the detail of a refusal.
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

// readiness returns why the node may serve, or else what it waits for.
func (m *Manager) readiness() (cause, waiting string) {
	active := m.active.revision
	switch {
	case m.configuration == nil:
		return "", "no valid configuration has been received from peers or the configuration service"
	case m.config.ServeAlone:
		return "the operator allowed the node to serve without contact to other nodes", ""
	case active.Version < m.join.minVersion:
		return "", fmt.Sprintf("version %d is in force at %s, only version %d is at hand", m.join.minVersion, m.join.minVersionPeer, active.Version)
	}
	if peer, wait := m.findServingPeer(); peer != "" {
		return "exchanged revisions with serving node " + string(peer), wait
	}
	return m.join.readinessWithoutServingPeer(m)
}

// findServingPeer returns a serving node whose state is known, or "", and what this node
// still waits for if that state differs from its own, or "".
func (m *Manager) findServingPeer() (peer anvilmodel.VMName, waiting string) {
	active := m.active.revision
	for _, p := range m.join.ordered {
		switch {
		case !p.succeeded || !p.state.Serving:
		case p.state.Active == active:
			return p.name, ""
		case p.state.Active.Version == active.Version:
			waiting = fmt.Sprintf("version %d is in force at %s with other content", active.Version, p.name)
			peer = p.name
		case peer == "":
			peer = p.name
		}
	}
	return peer, waiting
}

// readinessWithoutServingPeer decides readiness while no serving node is known.
func (j *joinState) readinessWithoutServingPeer(m *Manager) (cause, waiting string) {
	if !j.listReceived {
		return "", "the VM list has not been read, and no serving node has been heard of"
	}
	listed, answered, pending := 0, 0, 0
	for _, p := range j.ordered {
		if p.listed {
			listed++
		}
		if p.listed && p.succeeded {
			answered++
		}
		if !p.attempted {
			pending++
		}
		if p.succeeded && m.mustFetchFirst(p.state, p.name) {
			return "", fmt.Sprintf("version %d is being fetched from %s", p.state.Active.Version, p.name)
		}
	}
	switch {
	case pending > 0:
		return "", fmt.Sprintf("%d other VMs have not been asked for their configuration yet", pending)
	case listed == 0:
		return "the VM list names no other live VM", ""
	case 2*(answered+1) <= listed+1:
		return "", fmt.Sprintf("no serving node has been heard of, and only %d of %d other listed VMs answer; a majority is needed", answered, listed)
	}
	return fmt.Sprintf("exchanged revisions with %d of %d other listed VMs, none serving yet", answered, listed), ""
}

// mustFetchFirst reports whether a joining node has to fetch the active revision of
// a peer before it may serve.
func (m *Manager) mustFetchFirst(s State, peer anvilmodel.VMName) bool {
	return !m.recentRefused.contains(s.Active) && (s.Active.Version > m.active.revision.Version || m.replacesActive(s.Active, peer))
}

// replacesActive reports whether r replaces the active revision although it has the
// same version. A joining node takes the content that is active on a serving node
// or, among joining nodes, the content with the higher digest. A serving node never
// replaces content this way.
func (m *Manager) replacesActive(r Revision, peer anvilmodel.VMName) bool {
	active := m.active.revision
	if m.join.ready || r.Version != active.Version || r.Version == 0 || r == active {
		return false
	}
	p := m.join.peers[peer]
	if p == nil || !p.succeeded || p.state.Active != r {
		return false
	}
	return p.state.Serving || bytes.Compare(r.Digest[:], active.Digest[:]) > 0
}
