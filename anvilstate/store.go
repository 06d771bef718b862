// Package anvilstate stores the leaf states that nodes exchange with each other.
package anvilstate

import (
	"math"
	"slices"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
)

// minLoadChange is the smallest change of a reported load that is sent to other
// nodes.
const minLoadChange = 0.1

// Store holds the states of the leaves that this node polls. Its version increases
// with every change that is sent to other nodes. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version uint64
	entries map[anvilmodel.LeafName]entry
	// ignoreLoadChanges excludes changes of the load alone: in a large fleet they
	// would be outdated when they reach other nodes.
	ignoreLoadChanges bool
}

// entry holds the state that a leaf reported apart from what this node observed in
// its calls, because each has its own age: reading the state of a leaf does not
// tell when the leaf was last called.
type entry struct {
	reported        anvilmodel.LeafState
	reportedAt      time.Time
	reportedVersion uint64

	observed        anvilmodel.LeafState
	observedAt      time.Time
	observedVersion uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: make(map[anvilmodel.LeafName]entry),
	}
}

// Set stores the state that a leaf reported now, and the dispatcher's observation
// if hasObserved is true.
func (s *Store) Set(reported, observed anvilmodel.LeafState, hasObserved bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, ok := s.entries[reported.Leaf]
	next := previous
	next.reported = reported
	next.reportedAt = now
	if ok && s.equivalent(previous.reported, reported) {
		next.reported.Load = previous.reported.Load
	} else {
		s.version++
		next.reportedVersion = s.version
	}
	next.observed = anvilmodel.LeafState{}
	if hasObserved {
		next.observed = anvilmodel.LeafState{
			Leaf:        reported.Leaf,
			Incarnation: observed.Incarnation,
			Cold:        observed.Cold,
			Observed:    true,
		}
		next.observedAt = now.Add(-observed.Age)
	}
	if hasObserved && !s.equivalent(previous.observed, next.observed) {
		s.version++
		next.observedVersion = s.version
	}
	s.entries[reported.Leaf] = next
}

// Delete removes a leaf that this node no longer polls.
func (s *Store) Delete(leaf anvilmodel.LeafName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, leaf)
}

// equivalent reports whether two states do not differ enough to send an update.
func (s *Store) equivalent(a, b anvilmodel.LeafState) bool {
	return a.Incarnation == b.Incarnation && a.Cold == b.Cold && a.Draining == b.Draining &&
		a.Observed == b.Observed && (s.ignoreLoadChanges || math.Abs(a.Load-b.Load) < minLoadChange) &&
		slices.Equal(a.Holdings, b.Holdings)
}

// SetIgnoreLoadChanges sets whether changes of the load alone are excluded from the
// changes that are sent to other nodes.
func (s *Store) SetIgnoreLoadChanges(ignore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoreLoadChanges = ignore
}

// ChangesSince returns the states that changed after a version, and the current
// version. The reported and the observed state of a leaf are separate entries.
func (s *Store) ChangesSince(version uint64, now time.Time) ([]anvilmodel.LeafState, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := []anvilmodel.LeafState{}
	add := func(state anvilmodel.LeafState, at time.Time) {
		state.Age = max(now.Sub(at), 0)
		changed = append(changed, state)
	}
	for _, e := range s.entries {
		if e.reportedVersion > version {
			add(e.reported, e.reportedAt)
		}
		if e.observed.Observed && e.observedVersion > version {
			add(e.observed, e.observedAt)
		}
	}
	return changed, s.version
}
