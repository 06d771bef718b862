// Package anvilstate keeps the states of leafs that nodes pass on to each other.
package anvilstate

import (
	"math"
	"slices"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
)

// loadStep is the change of a reported load that is passed on.
const loadStep = 0.1

// Store holds what a node knows of the leafs that it polls, with a version that
// grows with every change worth passing on. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version uint64
	entries map[anvilmodel.LeafName]entry
	// ignoreLoads leaves changes of loads alone: in a large fleet they would be
	// too old to be of use when they arrive.
	ignoreLoads bool
}

// entry keeps what the leaf said apart from this node's judgement, because
// each has its own age: a state that was just read says nothing about when the
// leaf was last called.
type entry struct {
	said        anvilmodel.LeafState
	saidAt      time.Time
	saidVersion uint64

	judged        anvilmodel.LeafState
	judgedAt      time.Time
	judgedVersion uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: make(map[anvilmodel.LeafName]entry),
	}
}

// Set takes what a leaf said now, and the dispatcher's judgement if it has one.
func (s *Store) Set(said, judged anvilmodel.LeafState, known bool, now time.Time) {
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
			Observed:    true,
		}
		next.judgedAt = now.Add(-judged.Age)
	}
	if known && !s.same(held.judged, next.judged) {
		s.version++
		next.judgedVersion = s.version
	}
	s.entries[said.Leaf] = next
}

// Delete forgets a leaf that this node no longer polls.
func (s *Store) Delete(leaf anvilmodel.LeafName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, leaf)
}

// same reports whether nothing changed that is worth passing on.
func (s *Store) same(a, b anvilmodel.LeafState) bool {
	return a.Incarnation == b.Incarnation && a.Cold == b.Cold && a.Draining == b.Draining &&
		a.Observed == b.Observed && (s.ignoreLoads || math.Abs(a.Load-b.Load) < loadStep) &&
		slices.Equal(a.Holdings, b.Holdings)
}

// SetIgnoreLoadChanges says whether changes of loads alone are not passed on.
func (s *Store) SetIgnoreLoadChanges(ignore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoreLoads = ignore
}

// ChangesSince returns what changed after a version, and the version now. What a leaf
// said and what this node judges of it are separate entries.
func (s *Store) ChangesSince(version uint64, now time.Time) ([]anvilmodel.LeafState, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := []anvilmodel.LeafState{}
	add := func(state anvilmodel.LeafState, at time.Time) {
		state.Age = max(now.Sub(at), 0)
		changed = append(changed, state)
	}
	for _, e := range s.entries {
		if e.saidVersion > version {
			add(e.said, e.saidAt)
		}
		if e.judged.Observed && e.judgedVersion > version {
			add(e.judged, e.judgedAt)
		}
	}
	return changed, s.version
}
