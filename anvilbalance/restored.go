package anvilbalance

import (
	"maps"
	"time"

	"anvilbridge/anvilmodel"
)

// A store that is restored from an older copy lists leaves as they were then: those that have
// left since, and those that have begun to drain, look usable until they report again or their
// entries lapse. What this node has read before the restore takes precedence.

// removedEntry is an entry that was removed from the store.
type removedEntry struct {
	leaf      Leaf
	removedAt time.Time
}

// isLater reports whether the entry describes a later process or report than another of the
// same name.
func (l Leaf) isLater(other Leaf) bool {
	if !l.StartedAt.Equal(other.StartedAt) {
		return l.StartedAt.After(other.StartedAt)
	}
	return l.ReportNumber > other.ReportNumber
}

// keepEntry keeps an entry that is removed.
func (b *Balancer) keepEntry(l Leaf, now time.Time) {
	if len(b.removedEntries) >= maxRemoved {
		maps.DeleteFunc(b.removedEntries, func(_ anvilmodel.LeafName, r removedEntry) bool {
			return now.Sub(r.removedAt) >= removedRetention
		})
	}
	if len(b.removedEntries) < maxRemoved {
		b.removedEntries[l.Name] = removedEntry{
			leaf:      l,
			removedAt: now,
		}
	}
}

// RestoreLeaf sets the entry of a leaf in a store that has been restored from an older copy,
// and reports whether it did. It ignores an entry of an earlier process or report than the one
// that is known. A leaf whose entry was removed before the restore is used only after a health
// check, because it may have left.
func (b *Balancer) RestoreLeaf(l Leaf, now time.Time) bool {
	if state := b.leaves[l.Name]; state != nil {
		if state.leaf.isLater(l) {
			state.graceEnd = time.Time{}
			return false
		}
		b.SetLeaf(l, now)
		return true
	}
	removed, known := b.removedEntries[l.Name]
	b.SetLeaf(l, now)
	if known && !l.isLater(removed.leaf) && b.service(l.Service).settings.HealthPath != "" {
		state := b.leaves[l.Name]
		state.ejected = true
		state.nextCheckAt = now
	}
	return true
}
