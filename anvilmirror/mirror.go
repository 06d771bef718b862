// Package anvilmirror keeps a node's copy of the items that the platform's store
// publishes under one prefix. Nodes can replicate the copy from each other, because
// every item carries the store's revision: the later version is the one of the higher
// era and, within an era, of the higher revision, whichever node it comes from.
package anvilmirror

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxTombstones bounds the deletions that are kept for other nodes. A node that is
// further behind gets a snapshot.
const maxTombstones = 1024

// Version is a point in the history of the store.
type Version struct {
	// Era is the number of times that the store has been restored from an older copy.
	// Revisions of different eras cannot be compared.
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 if the version is before, equal to or after the other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// Item is a key of the store at a revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the item's last change.
	Revision uint64
	Deleted  bool
}

// Changes holds the changes after a revision, or a snapshot of all items.
type Changes struct {
	Items []Item
	// Era is the era of all revisions of the changes.
	Era uint64
	// After is the revision that the changes follow; 0 for a snapshot.
	After uint64
	// CompleteRevision is the revision up to which a mirror that is complete up to
	// After is complete once the changes are applied. It is 0 if changes may be
	// missing, as after a watch.
	CompleteRevision uint64
	// WatchRevision is the store's revision from which the next watch continues. It is
	// set for the changes of a watch only.
	WatchRevision uint64
	// Snapshot is set if Items holds every existing key, so that any other key is
	// deleted.
	Snapshot bool
	// Digest is the digest of the items that exist at CompleteRevision. It is set only by
	// ChangesSince, for changes that are not a snapshot.
	Digest uint64
}

// Mirror is a copy of the items of one prefix. It is not safe for concurrent use.
type Mirror struct {
	items  map[string]Item
	loaded bool
	// era is the era of all revisions of the mirror.
	era uint64
	// completeRevision is the revision up to which no change is missing.
	completeRevision uint64
	// diverged is set if the items differ from those of another node at the same
	// revision, so that a snapshot is needed.
	diverged       bool
	latestRevision uint64
	// tombstones holds the known deletions in the order in which they were received.
	// Deletions up to prunedRevision have been dropped.
	tombstones     []Item
	prunedRevision uint64
	// liveDigest is the digest of the items that exist at liveDigestRevision. A change
	// invalidates it.
	liveDigest         uint64
	liveDigestRevision uint64
	liveDigestValid    bool
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{
		items: make(map[string]Item),
	}
}

// Loaded reports whether the mirror has received a snapshot.
func (m *Mirror) Loaded() bool {
	return m.loaded
}

// Era returns the era of the mirror's revisions.
func (m *Mirror) Era() uint64 {
	return m.era
}

// CompleteVersion returns the version up to which no change is missing; changes after it
// have to be requested. Changes of a watch do not raise it, because a watch may have missed
// an earlier one.
func (m *Mirror) CompleteVersion() Version {
	return Version{
		Era:      m.era,
		Revision: m.completeRevision,
	}
}

// LatestVersion returns the version of the latest change received.
func (m *Mirror) LatestVersion() Version {
	return Version{
		Era:      m.era,
		Revision: m.latestRevision,
	}
}

// Items returns all existing items in no particular order.
func (m *Mirror) Items() []Item {
	items := make([]Item, 0, len(m.items))
	for _, item := range m.items {
		if !item.Deleted {
			items = append(items, item)
		}
	}
	return items
}

// Get returns the item of a key; ok is false if it does not exist.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok && !item.Deleted
}

// MarkComplete records that no change up to a version of the store is missing.
func (m *Mirror) MarkComplete(v Version) {
	if m.loaded && m.era == v.Era {
		m.completeRevision = max(m.completeRevision, v.Revision)
	}
}

// Apply applies changes and returns those that were new to the mirror, deletions
// that a snapshot implies first. Changes of an earlier era are ignored, and so are changes
// that are not a snapshot before the first snapshot of an era.
func (m *Mirror) Apply(c Changes) []Item {
	switch {
	case m.loaded && c.Era < m.era:
		return nil
	case m.loaded && c.Era == m.era:
	case !c.Snapshot:
		return nil
	case m.loaded:
		return m.replace(c)
	default:
		m.era = c.Era
	}
	var applied []Item
	if c.Snapshot {
		applied = m.deleteMissing(c)
	}
	for _, item := range c.Items {
		if !m.isNewer(item) {
			continue
		}
		m.put(item)
		applied = append(applied, item)
	}
	if c.Snapshot && !m.loaded {
		m.loaded = true
		// Deletions before the first snapshot are unknown.
		m.prunedRevision = c.CompleteRevision
	}
	switch {
	case c.Snapshot:
		m.completeRevision = max(m.completeRevision, c.CompleteRevision)
		m.diverged = false
	case c.CompleteRevision >= m.completeRevision && c.After <= m.completeRevision:
		m.advance(c)
	}
	return applied
}

// replace replaces all items by a snapshot of a later era, and returns the items whose values
// differ, deletions first.
func (m *Mirror) replace(c Changes) []Item {
	before := m.items
	m.items = make(map[string]Item, len(c.Items))
	m.era = c.Era
	m.completeRevision = c.CompleteRevision
	m.prunedRevision = c.CompleteRevision
	m.latestRevision = 0
	m.tombstones = nil
	m.diverged = false
	for _, item := range c.Items {
		m.put(item)
	}
	var applied []Item
	for key, old := range before {
		if _, ok := m.items[key]; !ok && !old.Deleted {
			applied = append(applied, Item{
				Key:      key,
				Revision: c.CompleteRevision,
				Deleted:  true,
			})
		}
	}
	for _, item := range c.Items {
		old, known := before[item.Key]
		existed := known && !old.Deleted
		if existed == item.Deleted || existed && !bytes.Equal(old.Value, item.Value) {
			applied = append(applied, item)
		}
	}
	return applied
}

// advance raises the complete revision to that of another node if both have the same
// items at that revision. They differ if this mirror holds a key that was created and
// deleted before the other node read the store, so that the other node never had it.
func (m *Mirror) advance(c Changes) {
	if m.liveDigestAt(c.CompleteRevision) != c.Digest {
		m.diverged = true
		return
	}
	m.completeRevision = c.CompleteRevision
}

// isNewer reports whether an item is newer than the mirror's. An unknown key whose
// revision is not above the complete revision has been deleted since: the item comes
// from a read that returned after a later one.
func (m *Mirror) isNewer(item Item) bool {
	if current, ok := m.items[item.Key]; ok {
		return item.Revision > current.Revision
	}
	return item.Revision > m.completeRevision
}

// deleteMissing deletes the items that a snapshot does not contain, except those that
// are newer than the snapshot, and returns the deletions.
func (m *Mirror) deleteMissing(c Changes) []Item {
	present := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		present[item.Key] = true
	}
	var deleted []Item
	for key, current := range m.items {
		if current.Deleted || present[key] || current.Revision > c.CompleteRevision {
			continue
		}
		deleted = append(deleted, Item{
			Key:      key,
			Revision: c.CompleteRevision,
			Deleted:  true,
		})
	}
	for _, item := range deleted {
		m.put(item)
	}
	return deleted
}

// put stores an item and drops the oldest tombstone if there are too many.
func (m *Mirror) put(item Item) {
	m.items[item.Key] = item
	m.liveDigestValid = false
	m.latestRevision = max(m.latestRevision, item.Revision)
	if !item.Deleted {
		return
	}
	m.tombstones = append(m.tombstones, item)
	if len(m.tombstones) <= maxTombstones {
		return
	}
	oldest := m.tombstones[0]
	m.tombstones = m.tombstones[1:]
	m.prunedRevision = max(m.prunedRevision, oldest.Revision)
	if current := m.items[oldest.Key]; current.Deleted && current.Revision <= oldest.Revision {
		delete(m.items, oldest.Key)
	}
}

// Cursor describes which changes a mirror has. A node sends it to request the changes
// that it lacks.
type Cursor struct {
	// Era is the era of the mirror's revisions.
	Era uint64
	// CompleteRevision is the revision up to which the mirror lacks no change,
	// LatestRevision that of its latest change.
	CompleteRevision uint64
	LatestRevision   uint64
	// Digest is the digest of the mirror's changes between the two revisions.
	Digest uint64
}

// Cursor returns the cursor of the mirror. Its revisions are 0 if the mirror has diverged from
// another node and needs a snapshot.
func (m *Mirror) Cursor() Cursor {
	if m.diverged {
		return Cursor{
			Era: m.era,
		}
	}
	c := Cursor{
		Era:              m.era,
		CompleteRevision: m.completeRevision,
		LatestRevision:   max(m.latestRevision, m.completeRevision),
	}
	c.Digest = m.digest(c.LatestRevision, changedAfter(c.CompleteRevision))
	return c
}

// liveDigestAt returns the digest of the items that exist at a revision.
func (m *Mirror) liveDigestAt(revision uint64) uint64 {
	if !m.liveDigestValid || m.liveDigestRevision != revision {
		m.liveDigest = m.digest(revision, isLive)
		m.liveDigestRevision = revision
		m.liveDigestValid = true
	}
	return m.liveDigest
}

func isLive(item Item) bool {
	return !item.Deleted
}

// changedAfter selects changes after a revision.
func changedAfter(revision uint64) func(Item) bool {
	return func(item Item) bool { return item.Revision > revision }
}

// digest returns a hash of the keys and revisions of the selected items up to a
// revision. It does not depend on their order.
func (m *Mirror) digest(upTo uint64, selected func(Item) bool) uint64 {
	var sum uint64
	var hash xxhash.Digest
	var revision [8]byte
	for _, item := range m.items {
		if item.Revision > upTo || !selected(item) {
			continue
		}
		hash.Reset()
		binary.BigEndian.PutUint64(revision[:], item.Revision)
		// Writing to a digest cannot fail.
		_, _ = hash.WriteString(item.Key)
		_, _ = hash.Write(revision[:])
		sum ^= hash.Sum64()
	}
	return sum
}

// ChangesSince returns the changes that a node with the cursor lacks, ordered by
// revision. The result is empty until the mirror is loaded. It is a snapshot if the
// node has none of this era or if deletions that it lacks have been dropped. A node of a later
// era gets nothing.
func (m *Mirror) ChangesSince(cursor Cursor) Changes {
	if !m.loaded || cursor.Era > m.era {
		return Changes{
			Era: m.era,
		}
	}
	if cursor.Era < m.era {
		cursor = Cursor{
			Era: m.era,
		}
	}
	c := Changes{
		Era:              m.era,
		After:            cursor.CompleteRevision,
		CompleteRevision: m.completeRevision,
		Snapshot:         cursor.CompleteRevision == 0 || cursor.CompleteRevision < m.prunedRevision,
	}
	from := cursor.CompleteRevision
	if !c.Snapshot {
		c.Digest = m.liveDigestAt(c.CompleteRevision)
		if m.digest(cursor.LatestRevision, changedAfter(cursor.CompleteRevision)) == cursor.Digest {
			from = cursor.LatestRevision
		}
	}
	for _, item := range m.items {
		switch {
		case c.Snapshot && !item.Deleted, !c.Snapshot && item.Revision > from:
			c.Items = append(c.Items, item)
		case c.Snapshot && item.Revision > m.completeRevision:
			// The receiver keeps items that are newer than the snapshot's revision, so it
			// needs deletions after that revision as well.
			c.Items = append(c.Items, item)
		}
	}
	slices.SortFunc(c.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return c
}
