package anvilbalance

import (
	"maps"
	"time"

	"anvilbridge/anvilmodel"
)

// A leaf says in its replies that it leaves, or that it wants no calls for a while.
// Its own word goes before its entry, which is late and may be read from a copy.

const (
	// longestDeferral bounds the time for which one reply of a leaf can defer calls. A
	// leaf that means more says so again.
	longestDeferral = 5 * time.Minute
	// departureMemory is how long the departure of a leaf without an entry is kept, in
	// case that an old copy of the entry comes back.
	departureMemory = 2 * time.Minute
	// freshDeparture is how long the departure of such a leaf is told to other nodes.
	freshDeparture = 10 * time.Second
	// mostDepartures bounds the departures that are kept.
	mostDepartures = 4096
)

// departure is a Departure that was noted.
type departure struct {
	started time.Time
	notedAt time.Time
}

// Depart takes over that a leaf leaves, and reports whether that is new. The leaf
// gets no new calls; calls that it has are waited for.
func (b *Balancer) Depart(d anvilmodel.Departure, now time.Time) bool {
	if noted, ok := b.departures[d.Leaf]; ok && !d.StartedAt.After(noted.started) {
		return false
	}
	b.forgetDepartures(now)
	b.departures[d.Leaf] = departure{
		started: d.StartedAt,
		notedAt: now,
	}
	if held := b.leafs[d.Leaf]; held != nil {
		held.leaving = b.departed(held.leaf)
	}
	return true
}

// departed reports whether the leaf has said that it leaves.
func (b *Balancer) departed(l Leaf) bool {
	noted, ok := b.departures[l.ID]
	return ok && !l.Started.After(noted.started)
}

// forgetDepartures makes room for another departure.
func (b *Balancer) forgetDepartures(now time.Time) {
	maps.DeleteFunc(b.departures, func(id anvilmodel.LeafName, d departure) bool {
		return !b.listed(id) && now.Sub(d.notedAt) >= departureMemory
	})
	if len(b.departures) < mostDepartures {
		return
	}
	var oldest anvilmodel.LeafName
	var oldestAt time.Time
	for id, d := range b.departures {
		if oldestAt.IsZero() || d.notedAt.Before(oldestAt) {
			oldest, oldestAt = id, d.notedAt
		}
	}
	delete(b.departures, oldest)
}

// listed reports whether the leaf has an entry and is the one that leaves.
func (b *Balancer) listed(id anvilmodel.LeafName) bool {
	held := b.leafs[id]
	return held != nil && held.leaving
}

// Departures returns the leafs whose departure other nodes should know of: those
// that still have an entry and those whose departure was noted a moment ago.
func (b *Balancer) Departures(now time.Time) []anvilmodel.Departure {
	var told []anvilmodel.Departure
	for id, d := range b.departures {
		if b.listed(id) || now.Sub(d.notedAt) < freshDeparture {
			told = append(told, anvilmodel.Departure{
				Leaf:      id,
				StartedAt: d.started,
			})
		}
	}
	return told
}

// Defer takes over that a leaf wants no calls of this node for a while, and returns
// how long it gets none.
func (b *Balancer) Defer(l Leaf, wanted time.Duration, now time.Time) time.Duration {
	held := b.leafs[l.ID]
	if held == nil || !held.leaf.Started.Equal(l.Started) || wanted <= 0 {
		return 0
	}
	until := now.Add(min(wanted, longestDeferral))
	if until.After(held.deferredUntil) {
		held.deferredUntil = until
	}
	return held.deferredUntil.Sub(now)
}

// Declines reports whether the leaf has said that it wants no calls now.
func (b *Balancer) Declines(l Leaf, now time.Time) bool {
	held := b.leafs[l.ID]
	return held != nil && held.leaf.Started.Equal(l.Started) && (held.leaving || held.deferred(now))
}

// Deferral returns how long all leafs of a service want no calls; 0 if one of them
// may be called earlier, or if there is none.
func (b *Balancer) Deferral(name anvilmodel.ServiceName, now time.Time) time.Duration {
	var shortest time.Duration
	for _, l := range b.service(name).leafs {
		switch {
		case !l.usable(b, now):
		case !l.deferred(now):
			return 0
		default:
			if left := l.deferredUntil.Sub(now); shortest == 0 || left < shortest {
				shortest = left
			}
		}
	}
	return shortest
}

func (l *leafState) deferred(now time.Time) bool {
	return now.Before(l.deferredUntil)
}
