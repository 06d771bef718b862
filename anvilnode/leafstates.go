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
	// exchangePerMember stretches the interval, so that a node asks at most 10
	// members a second. Each exchange costs about 60 bytes and 0.5 ms of CPU.
	exchangePerMember = 100 * time.Millisecond
	// loadLifetime is the age above which the choice of a leaf ignores a load.
	loadLifetime = 2 * time.Second
	// loadStep is the change of a reported load that is passed on.
	loadStep = 0.1
)

// stateStore holds what the node knows of the leafs that it polls, with a version
// that grows with every change worth passing on.
type stateStore struct {
	mu      sync.Mutex
	version uint64
	entries map[anvilmodel.LeafName]storedState
	// ignoreLoads leaves changes of loads alone: in a large fleet they would be
	// too old to be of use when they arrive.
	ignoreLoads bool
}

// storedState keeps what the leaf said apart from this node's judgement, because
// each has its own age: a state that was just read says nothing about when the
// leaf was last called.
type storedState struct {
	said        anvilmodel.LeafState
	saidAt      time.Time
	saidVersion uint64

	judged        anvilmodel.LeafState
	judgedAt      time.Time
	judgedVersion uint64
}

func newStateStore() *stateStore {
	return &stateStore{
		entries: make(map[anvilmodel.LeafName]storedState),
	}
}

// set takes what a leaf said now, and the dispatcher's judgement if it has one.
func (s *stateStore) set(said, judged anvilmodel.LeafState, known bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.entries[said.Leaf]
	next := held
	next.said = said
	next.saidAt = now
	if ok && s.same(held.said, said) {
		next.said.Load = held.said.Load
	} else {
		s.version++
		next.saidVersion = s.version
	}
	next.judged = anvilmodel.LeafState{}
	if known {
		next.judged = anvilmodel.LeafState{
			Leaf:        said.Leaf,
			Incarnation: judged.Incarnation,
			Cold:        judged.Cold,
			Judged:      true,
		}
		next.judgedAt = now.Add(-judged.Age)
	}
	if known && !s.same(held.judged, next.judged) {
		s.version++
		next.judgedVersion = s.version
	}
	s.entries[said.Leaf] = next
}

// drop forgets a leaf that this node no longer polls.
func (s *stateStore) drop(leaf anvilmodel.LeafName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, leaf)
}

// same reports whether nothing changed that is worth passing on.
func (s *stateStore) same(a, b anvilmodel.LeafState) bool {
	return a.Incarnation == b.Incarnation && a.Cold == b.Cold && a.Draining == b.Draining &&
		a.Judged == b.Judged && (s.ignoreLoads || math.Abs(a.Load-b.Load) < loadStep) &&
		slices.Equal(a.Holdings, b.Holdings)
}

func (s *stateStore) setIgnoreLoads(ignore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoreLoads = ignore
}

// after returns what changed after a version, and the version now. What a leaf
// said and what this node judges of it are separate entries.
func (s *stateStore) after(version uint64, now time.Time) ([]anvilmodel.LeafState, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := []anvilmodel.LeafState{}
	add := func(state anvilmodel.LeafState, at time.Time) {
		state.Age = max(now.Sub(at), 0)
		changed = append(changed, state)
	}
	for _, entry := range s.entries {
		if entry.saidVersion > version {
			add(entry.said, entry.saidAt)
		}
		if entry.judged.Judged && entry.judgedVersion > version {
			add(entry.judged, entry.judgedAt)
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

// observeLeaf takes a state that this node read from a leaf. Queries avoid a leaf
// that either the leaf itself or the dispatcher says to be cold.
func (n *Node) observeLeaf(said, judged anvilmodel.LeafState, known bool, now time.Time) {
	if known && judged.Incarnation == said.Incarnation {
		said.Cold = said.Cold || judged.Cold
	}
	n.states.set(said, judged, known, now)
	n.observeOrigin(said)
}

// observeOrigin hands what a leaf said to the query core.
func (n *Node) observeOrigin(state anvilmodel.LeafState) {
	if state.Judged {
		return
	}
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if n.origin != nil {
		n.origin.ObserveState(state, time.Now())
	}
}

// runStateExchange asks the other members for the states of their leafs. After a
// change of the configuration it asks for all of them again: what was said of a
// leaf that this node did not know is lost.
func (n *Node) runStateExchange() {
	select {
	case <-n.announced:
	case <-n.background.Done():
	}
	versions := make(map[anvilmodel.Incarnation]uint64)
	applied := n.applications.Load()
	for n.background.Err() == nil {
		if a := n.applications.Load(); a != applied {
			applied = a
			clear(versions)
		}
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
		interval := max(exchangeInterval, time.Duration(len(members.all))*exchangePerMember)
		n.states.setIgnoreLoads(interval > loadLifetime)
		n.awaitExchange(interval)
	}
}

// awaitExchange waits, or less when the configuration has changed.
func (n *Node) awaitExchange(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.askAgain:
	case <-n.background.Done():
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
