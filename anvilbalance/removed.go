package anvilbalance

import (
	"maps"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// removedRetention is how long the state of a leaf without an entry is kept, in case the
	// entry reappears, and maxRemoved the number of those that are kept.
	removedRetention = 2 * time.Minute
	maxRemoved       = 4096
)

// removedLeaf is the state of a leaf without an entry. The entry may reappear, for example
// after missed reports, an outage of the store or an unreadable entry. What the process has
// announced remains in force.
type removedLeaf struct {
	state     *leafState
	removedAt time.Time
}

// keepRemoved keeps the state of a leaf whose entry is removed, if it restricts calls.
func (b *Balancer) keepRemoved(l *leafState, now time.Time) {
	maps.DeleteFunc(b.removed, func(_ anvilmodel.LeafName, r removedLeaf) bool {
		return now.Sub(r.removedAt) >= removedRetention
	})
	_, limited := l.limit.current(now)
	restricted := limited || l.deferred(now) || l.cold(now) || l.ejected || l.inFlight > 0
	if restricted && len(b.removed) < maxRemoved {
		b.removed[l.leaf.Name] = removedLeaf{
			state:     l,
			removedAt: now,
		}
	}
}

// takeRemoved returns the kept state of a leaf whose entry reappears; nil if there is none
// of the same process.
func (b *Balancer) takeRemoved(l Leaf, now time.Time) *leafState {
	r, ok := b.removed[l.Name]
	if !ok {
		return nil
	}
	delete(b.removed, l.Name)
	if !r.state.leaf.sameProcess(l) || now.Sub(r.removedAt) >= removedRetention {
		return nil
	}
	return r.state
}

// process returns the state of a leaf's process, also if it has no entry at the moment; nil
// if it is unknown.
func (b *Balancer) process(l Leaf) *leafState {
	state := b.leaves[l.Name]
	if state == nil {
		state = b.removed[l.Name].state
	}
	if state == nil || !state.leaf.sameProcess(l) {
		return nil
	}
	return state
}

// sameProcess reports whether two entries describe the same process.
func (l Leaf) sameProcess(other Leaf) bool {
	return l.Service == other.Service && l.Address == other.Address && l.StartedAt.Equal(other.StartedAt)
}
