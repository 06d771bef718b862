// Package anvilmirror keeps a node's copy of what the platform's store publishes
// under one prefix. Nodes pass the copy on to each other, because each item
// carries the store's revision: the higher one is the later one wherever it
// comes from.
package anvilmirror

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// keptDeletions bounds the deletions that are remembered for other nodes. A node
// that is further behind gets all items.
const keptDeletions = 1024

// Item is a key of the store at a revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the item's last change.
	Revision uint64
	Deleted  bool
}

// Changes is what happened after a revision.
type Changes struct {
	Items []Item
	// After is the revision from which the changes follow; complete changes follow
	// from nothing.
	After uint64
	// CompleteRevision is the one up to which nothing is missing for a mirror that has
	// everything up to After; 0 if the changes may have gaps, as those of a watch.
	CompleteRevision uint64
	// WatchRevision is the store's revision from which a watch goes on, for the changes of
	// a watch only.
	WatchRevision uint64
	// Snapshot says that Items are all keys that exist, so that any other key is
	// deleted.
	Snapshot bool
	// Digest is that of the items that exist up to Revision, for changes from another
	// node that are not complete.
	Digest uint64
}

// Mirror is a copy of one prefix. It is not safe for concurrent use.
type Mirror struct {
	items  map[string]Item
	loaded bool
	// floor is the revision up to which nothing is missing.
	floor uint64
	// doubtful says that the items differ from those of another node up to the same
	// revision, so that all have to be read again.
	doubtful bool
	latest   uint64
	// deletions are ordered by the time at which they became known; those up to
	// horizon are forgotten.
	deletions []Item
	horizon   uint64
	// existing is the digest of the items that exist up to existingTo; it is computed
	// again after a change.
	existing      uint64
	existingTo    uint64
	existingKnown bool
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{
		items: make(map[string]Item),
	}
}

// Loaded reports whether the mirror has ever held all items.
func (m *Mirror) Loaded() bool {
	return m.loaded
}

// CompleteRevision returns the revision up to which nothing is missing, from which changes
// have to be asked for. Changes of a watch do not raise it, because a watch may have
// missed one below them.
func (m *Mirror) CompleteRevision() uint64 {
	return m.floor
}

// LatestRevision returns the revision of the last change that is held.
func (m *Mirror) LatestRevision() uint64 {
	return m.latest
}

// Items returns all items that exist, in no order.
func (m *Mirror) Items() []Item {
	items := make([]Item, 0, len(m.items))
	for _, i := range m.items {
		if !i.Deleted {
			items = append(items, i)
		}
	}
	return items
}

// Get returns the item of a key; ok is false if it does not exist.
func (m *Mirror) Get(key string) (Item, bool) {
	i, ok := m.items[key]
	return i, ok && !i.Deleted
}

// MarkComplete notes that nothing up to a revision of the store is missing.
func (m *Mirror) MarkComplete(revision uint64) {
	if m.loaded {
		m.floor = max(m.floor, revision)
	}
}

// Apply takes changes over and returns those that were new here, in their order.
// Changes that do not follow what is held are ignored unless they are complete.
func (m *Mirror) Apply(c Changes) []Item {
	if !m.loaded && !c.Snapshot {
		return nil
	}
	var fresh []Item
	if c.Snapshot {
		fresh = m.deleteMissing(c)
	}
	for _, i := range c.Items {
		if !m.isNews(i) {
			continue
		}
		m.put(i)
		fresh = append(fresh, i)
	}
	if c.Snapshot && !m.loaded {
		m.loaded = true
		// What was deleted before the first load is not known here.
		m.horizon = c.CompleteRevision
	}
	switch {
	case c.Snapshot:
		m.floor = max(m.floor, c.CompleteRevision)
		m.doubtful = false
	case c.CompleteRevision >= m.floor && c.After <= m.floor:
		m.raiseFloor(c)
	}
	return fresh
}

// raiseFloor follows the floor of another node if the items up to it are the same.
// They are not if that node has read the store after a key came and went that it
// never held.
func (m *Mirror) raiseFloor(c Changes) {
	if m.existingUpTo(c.CompleteRevision) != c.Digest {
		m.doubtful = true
		return
	}
	m.floor = c.CompleteRevision
}

// isNews reports whether an item is later than what is held. A key that is not held
// although nothing up to the item's revision is missing was deleted since: the item
// comes from a read that has been overtaken.
func (m *Mirror) isNews(i Item) bool {
	if held, ok := m.items[i.Key]; ok {
		return i.Revision > held.Revision
	}
	return i.Revision > m.floor
}

// deleteMissing deletes what complete changes do not contain. An item that is
// younger than they are stays.
func (m *Mirror) deleteMissing(c Changes) []Item {
	present := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		present[i.Key] = true
	}
	var gone []Item
	for key, held := range m.items {
		if held.Deleted || present[key] || held.Revision > c.CompleteRevision {
			continue
		}
		gone = append(gone, Item{
			Key:      key,
			Revision: c.CompleteRevision,
			Deleted:  true,
		})
	}
	for _, i := range gone {
		m.put(i)
	}
	return gone
}

func (m *Mirror) put(i Item) {
	m.items[i.Key] = i
	m.existingKnown = false
	m.latest = max(m.latest, i.Revision)
	if !i.Deleted {
		return
	}
	m.deletions = append(m.deletions, i)
	if len(m.deletions) <= keptDeletions {
		return
	}
	oldest := m.deletions[0]
	m.deletions = m.deletions[1:]
	m.horizon = max(m.horizon, oldest.Revision)
	if held := m.items[oldest.Key]; held.Deleted && held.Revision <= oldest.Revision {
		delete(m.items, oldest.Key)
	}
}

// Cursor is what a node that asks for changes holds.
type Cursor struct {
	// CompleteRevision is the revision up to which it misses nothing, Latest that of its last
	// change.
	CompleteRevision uint64
	LatestRevision   uint64
	// Digest is that of its changes between the two.
	Digest uint64
}

// Cursor returns what this mirror holds.
func (m *Mirror) Cursor() Cursor {
	if m.doubtful {
		return Cursor{}
	}
	h := Cursor{
		CompleteRevision: m.floor,
		LatestRevision:   max(m.latest, m.floor),
	}
	h.Digest = m.digest(h.LatestRevision, isAfter(h.CompleteRevision))
	return h
}

// existingUpTo returns the digest of the items that exist up to a revision.
func (m *Mirror) existingUpTo(revision uint64) uint64 {
	if !m.existingKnown || m.existingTo != revision {
		m.existing = m.digest(revision, isExisting)
		m.existingTo = revision
		m.existingKnown = true
	}
	return m.existing
}

func isExisting(i Item) bool {
	return !i.Deleted
}

// isAfter selects changes after a revision.
func isAfter(revision uint64) func(Item) bool {
	return func(i Item) bool { return i.Revision > revision }
}

// digest returns a hash of the selected items up to a revision that does not depend
// on their order.
func (m *Mirror) digest(upTo uint64, selected func(Item) bool) uint64 {
	var sum uint64
	var d xxhash.Digest
	var revision [8]byte
	for _, i := range m.items {
		if i.Revision > upTo || !selected(i) {
			continue
		}
		d.Reset()
		binary.BigEndian.PutUint64(revision[:], i.Revision)
		// Writing to a digest cannot fail.
		_, _ = d.WriteString(i.Key)
		_, _ = d.Write(revision[:])
		sum ^= d.Sum64()
	}
	return sum
}

// ChangesSince returns what a node misses, oldest first. It returns nothing before the
// mirror has been loaded.
func (m *Mirror) ChangesSince(h Cursor) Changes {
	if !m.loaded {
		return Changes{}
	}
	c := Changes{
		After:            h.CompleteRevision,
		CompleteRevision: m.floor,
		Snapshot:         h.CompleteRevision == 0 || h.CompleteRevision < m.horizon,
	}
	from := h.CompleteRevision
	if !c.Snapshot {
		c.Digest = m.existingUpTo(c.CompleteRevision)
		if m.digest(h.LatestRevision, isAfter(h.CompleteRevision)) == h.Digest {
			from = h.LatestRevision
		}
	}
	for _, i := range m.items {
		switch {
		case c.Snapshot && !i.Deleted, !c.Snapshot && i.Revision > from:
			c.Items = append(c.Items, i)
		case c.Snapshot && i.Revision > m.floor:
			// Whoever holds the item may take it for younger than the rest.
			c.Items = append(c.Items, i)
		}
	}
	slices.SortFunc(c.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return c
}
