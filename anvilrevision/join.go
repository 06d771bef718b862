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
	// joinPeriod is the time between two rounds of exchanges of a fresh node,
	// joinCount the peers of a round: 410 peers are asked within 13 s.
	joinPeriod = 250 * time.Millisecond
	joinCount  = 8
	// joinRepeat is the time after which a peer is asked again. After the first
	// time, one peer is asked in a round.
	joinRepeat = time.Second
	// maxJoinPeers bounds the peers that a fresh node remembers.
	maxJoinPeers = 4096
)

// joining decides when a fresh node may serve. A node that knows only what the
// service gave it may hold a stale configuration, and would revert the fleet's
// for its callers.
type joining struct {
	ready    bool
	listRead bool
	peers    map[anvilmodel.VMName]*exchange
	// order holds the same entries, for iteration in a repeatable order.
	order []*exchange
	// floor is the highest version that a serving node said is in force. To
	// serve a lower one would be a reversal, even if that node is gone.
	floor     uint64
	floorPeer anvilmodel.VMName
	nextRound time.Time
}

// exchange is what a fresh node knows of another VM.
type exchange struct {
	name    anvilmodel.VMName
	listed  bool
	leaving bool
	heard   bool
	asked   time.Time
	// tried is set when the last exchange succeeded or failed.
	tried bool
	// done is set while the last exchange succeeded; state is from it.
	done  bool
	state State
}

func (j *joining) peer(name anvilmodel.VMName) *exchange {
	e := j.peers[name]
	if e == nil {
		e = &exchange{
			name: name,
		}
		if len(j.peers) < maxJoinPeers {
			j.peers[name] = e
			j.order = append(j.order, e)
		}
	}
	return e
}

func (j *joining) raiseFloor(peer anvilmodel.VMName, version uint64) {
	if version > j.floor {
		j.floor = version
		j.floorPeer = peer
	}
}

// heard notes a probe. A peer that has begun to serve is asked at once.
func (j *joining) heard(peer anvilmodel.VMName, version uint64, serving bool) {
	e := j.peer(peer)
	e.heard = true
	if !serving {
		return
	}
	j.raiseFloor(peer, version)
	if !e.state.Serving {
		e.state.Serving = true
		e.done = false
		e.tried = false
		e.asked = time.Time{}
		j.nextRound = time.Time{}
	}
}

func (j *joining) exchanged(peer anvilmodel.VMName, s State, now time.Time) {
	e := j.peer(peer)
	e.heard = true
	e.asked = now
	e.tried = true
	e.done = true
	e.state = s
	if s.Serving {
		j.raiseFloor(peer, s.Active.Version)
	}
}

func (j *joining) failed(peer anvilmodel.VMName) {
	if e := j.peers[peer]; e != nil {
		e.tried = true
		e.done = false
	}
}

// forget drops all exchanges, but not the floor.
func (j *joining) forget() {
	for _, e := range j.order {
		e.reset()
	}
}

// forgetFresh drops the exchanges with fresh nodes: they were about another
// revision than the one now at hand.
func (j *joining) forgetFresh() {
	for _, e := range j.order {
		if e.done && !e.state.Serving {
			e.reset()
		}
	}
	j.nextRound = time.Time{}
}

func (e *exchange) reset() {
	e.asked = time.Time{}
	e.tried = false
	e.done = false
	e.state = State{}
}

// SetVMList hands over the published list without this node: the names of the
// VMs listed live and of those listed as leaving.
func (k *Manager) SetVMList(live, leaving []anvilmodel.VMName, now time.Time) []Action {
	k.observe(now)
	if k.join.ready {
		return nil
	}
	j := &k.join
	j.listRead = true
	for _, e := range j.order {
		e.listed = false
		e.leaving = false
	}
	for _, name := range live {
		j.peer(name).listed = true
	}
	for _, name := range leaving {
		j.peer(name).leaving = true
	}
	gone := func(e *exchange) bool { return !e.listed && !e.leaving && !e.heard }
	maps.DeleteFunc(j.peers, func(_ anvilmodel.VMName, e *exchange) bool { return gone(e) })
	j.order = slices.DeleteFunc(j.order, gone)
	return k.proceed(nil, now)
}

// joinExchanges asks the peers with which a fresh node has not exchanged states,
// and one other.
func (k *Manager) joinExchanges(now time.Time) []Action {
	j := &k.join
	if j.ready || now.Before(j.nextRound) {
		return nil
	}
	j.nextRound = now.Add(joinPeriod)
	k.config.Random.Shuffle(len(j.order), func(a, b int) { j.order[a], j.order[b] = j.order[b], j.order[a] })
	var actions []Action
	repeated := false
	for _, e := range j.order {
		if len(actions) == joinCount {
			break
		}
		if now.Sub(e.asked) < joinRepeat || (e.tried && repeated) {
			continue
		}
		repeated = repeated || e.tried
		e.asked = now
		actions = append(actions, Action{
			Kind: ActionExchangeState,
			Peer: e.name,
		})
	}
	return actions
}

// Ready reports whether the node may serve.
func (k *Manager) Ready() bool {
	return k.join.ready
}

// NotReadyReason returns why the node may not serve yet, or "".
func (k *Manager) NotReadyReason() string {
	if k.join.ready {
		return ""
	}
	_, waiting := k.mayServe()
	return waiting
}

func (k *Manager) becomeReady() []Action {
	cause, waiting := k.mayServe()
	if waiting != "" {
		return nil
	}
	k.join.ready = true
	clear(k.join.peers)
	k.join.order = nil
	return []Action{{
		Kind:     ActionReady,
		Revision: k.inForce.revision,
		Cause:    cause,
	}}
}

// mayServe returns why the node may serve, or what it waits for.
func (k *Manager) mayServe() (cause, waiting string) {
	inForce := k.inForce.revision
	switch {
	case k.release == nil:
		return "", "no valid configuration has been received from peers or the configuration service"
	case k.config.ServeAlone:
		return "the operator allowed serving alone", ""
	case inForce.Version < k.join.floor:
		return "", fmt.Sprintf("version %d is in force at %s, only version %d is at hand", k.join.floor, k.join.floorPeer, inForce.Version)
	}
	if peer, wait := k.servingPeer(); peer != "" {
		return "exchanged revisions with serving node " + string(peer), wait
	}
	return k.join.freshFleet(k)
}

// servingPeer returns a serving node with which states were exchanged, and what
// there is to wait for, if anything.
func (k *Manager) servingPeer() (peer anvilmodel.VMName, waiting string) {
	inForce := k.inForce.revision
	for _, e := range k.join.order {
		switch {
		case !e.done || !e.state.Serving:
		case e.state.Active == inForce:
			return e.name, ""
		case e.state.Active.Version == inForce.Version:
			waiting = fmt.Sprintf("version %d is in force at %s with other content", inForce.Version, e.name)
			peer = e.name
		case peer == "":
			peer = e.name
		}
	}
	return peer, waiting
}

// freshFleet decides when no serving node has been heard of.
func (j *joining) freshFleet(k *Manager) (cause, waiting string) {
	if !j.listRead {
		return "", "the VM list has not been read, and no serving node has been heard of"
	}
	listed, fresh, open := 0, 0, 0
	for _, e := range j.order {
		if e.listed {
			listed++
		}
		if e.listed && e.done {
			fresh++
		}
		if !e.tried {
			open++
		}
		if e.done && k.outranks(e.state, e.name) {
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

// outranks reports whether a fresh node has to take a peer's revision first.
func (k *Manager) outranks(s State, peer anvilmodel.VMName) bool {
	return !k.refusals.has(s.Active) && (s.Active.Version > k.inForce.revision.Version || k.yields(s.Active, peer))
}

// yields reports whether a fresh node takes other content of the version that it
// has: what is in force at a serving node or, between fresh nodes, the content
// with the higher digest. A serving node never does.
func (k *Manager) yields(r Revision, peer anvilmodel.VMName) bool {
	inForce := k.inForce.revision
	if k.join.ready || r.Version != inForce.Version || r.Version == 0 || r == inForce {
		return false
	}
	e := k.join.peers[peer]
	if e == nil || !e.done || e.state.Active != r {
		return false
	}
	return e.state.Serving || bytes.Compare(r.Digest[:], inForce.Digest[:]) > 0
}
