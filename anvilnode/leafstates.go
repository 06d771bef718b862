package anvilnode

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// exchangeInterval is the time between two requests for the leaf states of
	// a member in a small fleet.
	exchangeInterval = 500 * time.Millisecond
	// exchangePerMember stretches the interval, so that a node asks at most 25
	// members a second.
	exchangePerMember = 40 * time.Millisecond
	// loadStep is the change of a reported load that is passed on.
	loadStep = 0.1
)

// stateStore holds what the node knows of the leafs that it polls, with a
// version that grows with every change worth passing on.
type stateStore struct {
	mu      sync.Mutex
	version uint64
	entries map[anvilmodel.LeafName]storedState
}

type storedState struct {
	state   anvilmodel.LeafState
	seen    time.Time
	version uint64
}

func newStateStore() *stateStore {
	return &stateStore{
		entries: make(map[anvilmodel.LeafName]storedState),
	}
}

func (s *stateStore) set(state anvilmodel.LeafState, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.entries[state.Leaf]
	version := held.version
	if !ok || !sameState(held.state, state) {
		s.version++
		version = s.version
	} else {
		state.Load = held.state.Load
	}
	s.entries[state.Leaf] = storedState{
		state:   state,
		seen:    now,
		version: version,
	}
}

func sameState(s, t anvilmodel.LeafState) bool {
	return s.Incarnation == t.Incarnation && s.Cold == t.Cold && s.Draining == t.Draining &&
		s.Judged == t.Judged && math.Abs(s.Load-t.Load) < loadStep &&
		slices.Equal(s.Holdings, t.Holdings)
}

// after returns the states that changed after a version, and the version now.
func (s *stateStore) after(version uint64, now time.Time) ([]anvilmodel.LeafState, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := []anvilmodel.LeafState{}
	for _, entry := range s.entries {
		if entry.version > version {
			state := entry.state
			state.Age += now.Sub(entry.seen)
			changed = append(changed, state)
		}
	}
	return changed, s.version
}

func (s *stateStore) each(use func(anvilmodel.LeafState)) {
	states, _ := s.after(0, time.Now())
	for _, state := range states {
		use(state)
	}
}

// observeLeaf takes a state that this node read from a leaf.
func (n *Node) observeLeaf(state anvilmodel.LeafState) {
	n.states.set(state, time.Now())
	n.observeOrigin(state)
}

func (n *Node) observeOrigin(state anvilmodel.LeafState) {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if n.origin != nil {
		n.origin.ObserveState(state, time.Now())
	}
}

// runStateExchange asks the other members for the states of their leafs.
func (n *Node) runStateExchange() {
	versions := make(map[anvilmodel.Incarnation]uint64)
	for n.background.Err() == nil {
		members := n.memberView.Load()
		for _, m := range members.all {
			if m.Name == n.config.Name || !usable(m) {
				continue
			}
			if version, ok := n.askStates(m, versions[m.Incarnation]); ok {
				versions[m.Incarnation] = version
			}
		}
		for incarnation := range versions {
			if _, ok := members.byIncarnation[incarnation]; !ok {
				delete(versions, incarnation)
			}
		}
		n.pause(max(exchangeInterval, time.Duration(len(members.all))*exchangePerMember))
	}
}

// askStates returns the version up to which the member's states are known.
func (n *Node) askStates(m anvilmodel.Member, after uint64) (uint64, bool) {
	ctx, cancel := context.WithTimeout(n.background, exchangeInterval)
	defer cancel()
	states, version, err := n.peers.LeafStates(ctx, m.PeerAddress, after)
	if err != nil {
		return 0, false
	}
	for _, state := range states {
		n.observeOrigin(state)
		if r := n.runner(state.Leaf); r != nil && state.Judged {
			r.adopt(state)
		}
	}
	return version, true
}
