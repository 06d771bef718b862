package anvilnode

import (
	"time"

	"anvilbridge/anvilmodel"
)

// StateStore is the store of leaf states, for tests.
type StateStore struct {
	store *stateStore
}

// NewStateStore returns an empty store.
func NewStateStore() StateStore {
	return StateStore{store: newStateStore()}
}

// Set is stateStore.set.
func (s StateStore) Set(said, judged anvilmodel.LeafState, known bool, now time.Time) {
	s.store.set(said, judged, known, now)
}

// After is stateStore.after.
func (s StateStore) After(version uint64, now time.Time) ([]anvilmodel.LeafState, uint64) {
	return s.store.after(version, now)
}
