// Package anvilmirror keeps a node's copy of what the platform's store publishes
// under one prefix. Nodes pass the copy on to each other, because each item
// carries the store's revision: the higher one is the later one wherever it
// comes from.
package anvilmirror

import "slices"

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
	// Revision is the store's. Nothing up to it is missing from complete changes;
	// others may lack what a watch has missed.
	Revision uint64
	// Complete says that Items are all keys that exist, so that any other key is
	// deleted.
	Complete bool
}

// Mirror is a copy of one prefix. It is not safe for concurrent use.
type Mirror struct {
	items    map[string]Item
	revision uint64
	loaded   bool
	latest   uint64
	// deletions are ordered by revision; those up to horizon are forgotten.
	deletions []Item
	horizon   uint64
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

// Revision returns the revision from which changes have to be asked for: that of
// the last complete read or of the last change since. What incomplete changes say
// of the store's revision does not count, because a watch may have missed a change
// below it.
func (m *Mirror) Revision() uint64 {
	return m.revision
}

// Latest returns the revision of the last change that is held.
func (m *Mirror) Latest() uint64 {
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

// Apply takes changes over and returns those that were new here, in their order.
// Changes that do not follow what is held are ignored unless they are complete.
func (m *Mirror) Apply(c Changes) []Item {
	if !m.loaded && !c.Complete {
		return nil
	}
	var fresh []Item
	if c.Complete {
		fresh = m.deleteMissing(c)
	}
	for _, i := range c.Items {
		if held, ok := m.items[i.Key]; ok && held.Revision >= i.Revision {
			continue
		}
		m.put(i)
		fresh = append(fresh, i)
		m.revision = max(m.revision, i.Revision)
	}
	if c.Complete {
		m.revision = max(m.revision, c.Revision)
	}
	if c.Complete && !m.loaded {
		m.loaded = true
		// What was deleted before the first load is not known here.
		m.horizon = c.Revision
	}
	return fresh
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
		if held.Deleted || present[key] || held.Revision > c.Revision {
			continue
		}
		gone = append(gone, Item{
			Key:      key,
			Revision: c.Revision,
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

// Since returns what changed after a revision, oldest first, for another node.
// It returns nothing before the mirror has been loaded.
func (m *Mirror) Since(after uint64) Changes {
	if !m.loaded {
		return Changes{}
	}
	c := Changes{
		Revision: m.revision,
		Complete: after == 0 || after < m.horizon,
	}
	for _, i := range m.items {
		if c.Complete && !i.Deleted || !c.Complete && i.Revision > after {
			c.Items = append(c.Items, i)
		}
	}
	slices.SortFunc(c.Items, func(a, b Item) int {
		switch {
		case a.Revision < b.Revision:
			return -1
		case a.Revision > b.Revision:
			return 1
		default:
			return 0
		}
	})
	return c
}
