package anvilbalance

import (
	"maps"
	"time"

	"anvilbridge/anvilmodel"
)

// A leaf announces in its replies that it is shutting down, or that it accepts no
// calls for some time. Announcements take precedence over the registered entry of the
// leaf, which is updated late and may be read from an outdated copy.

const (
	// maxDeferral limits the time for which one reply of a leaf can defer calls. A leaf
	// that needs more time repeats the request.
	maxDeferral = 5 * time.Minute
	// departureRetention is how long the departure of a leaf without an entry is kept,
	// in case the entry reappears from an outdated copy.
	departureRetention = 2 * time.Minute
	// announceDuration is how long the departure of such a leaf, and the last rate limit of
	// any leaf, are announced to other nodes.
	announceDuration = 10 * time.Second
	// maxDepartures limits the number of departures that are kept.
	maxDepartures = 4096
)

// departure is the announced shutdown of a leaf.
type departure struct {
	// startedAt is the start time of the process that shuts down.
	startedAt  time.Time
	recordedAt time.Time
}

// RecordDeparture records that a leaf is shutting down, and reports whether this was
// unknown. The leaf gets no new calls; calls in flight are not cancelled.
func (b *Balancer) RecordDeparture(d anvilmodel.Departure, now time.Time) bool {
	if known, ok := b.departures[d.Leaf]; ok && !d.StartedAt.After(known.startedAt) {
		return false
	}
	b.evictDepartures(now)
	b.departures[d.Leaf] = departure{
		startedAt:  d.StartedAt,
		recordedAt: now,
	}
	if state := b.leaves[d.Leaf]; state != nil {
		state.leaving = b.hasDeparted(state.leaf)
	}
	return true
}

// hasDeparted reports whether the leaf's process, or a later one under the same name, has
// announced its shutdown.
func (b *Balancer) hasDeparted(l Leaf) bool {
	known, ok := b.departures[l.Name]
	return ok && !l.StartedAt.After(known.startedAt)
}

// evictDepartures removes expired departures and makes room for a new one.
func (b *Balancer) evictDepartures(now time.Time) {
	maps.DeleteFunc(b.departures, func(name anvilmodel.LeafName, d departure) bool {
		return !b.hasLeavingEntry(name) && now.Sub(d.recordedAt) >= departureRetention
	})
	if len(b.departures) < maxDepartures {
		return
	}
	var oldest anvilmodel.LeafName
	var oldestAt time.Time
	for name, d := range b.departures {
		if oldestAt.IsZero() || d.recordedAt.Before(oldestAt) {
			oldest, oldestAt = name, d.recordedAt
		}
	}
	delete(b.departures, oldest)
}

// hasLeavingEntry reports whether the leaf is registered and the registered process is
// shutting down.
func (b *Balancer) hasLeavingEntry(name anvilmodel.LeafName) bool {
	state := b.leaves[name]
	return state != nil && state.leaving
}

// DeparturesToAnnounce returns the departures to announce to other nodes: those of
// leaves that still have an entry, and those recorded within announceDuration.
func (b *Balancer) DeparturesToAnnounce(now time.Time) []anvilmodel.Departure {
	var announced []anvilmodel.Departure
	for name, d := range b.departures {
		if b.hasLeavingEntry(name) || now.Sub(d.recordedAt) < announceDuration {
			announced = append(announced, anvilmodel.Departure{
				Leaf:      name,
				StartedAt: d.startedAt,
			})
		}
	}
	return announced
}

// DeferCalls records that a leaf accepts no calls from this node for the requested time,
// and returns for how long it gets none.
func (b *Balancer) DeferCalls(l Leaf, requested time.Duration, now time.Time) time.Duration {
	state := b.process(l)
	if state == nil || requested <= 0 {
		return 0
	}
	until := now.Add(min(requested, maxDeferral))
	if until.After(state.deferredUntil) {
		state.deferredUntil = until
	}
	return state.deferredUntil.Sub(now)
}

// DeclinesCalls reports whether the leaf has announced that it currently accepts no
// calls.
func (b *Balancer) DeclinesCalls(l Leaf, now time.Time) bool {
	state := b.leaves[l.Name]
	return state != nil && state.leaf.StartedAt.Equal(l.StartedAt) && (state.leaving || state.deferred(now))
}

// ServiceDeferral returns the time until the first of the usable leaves of a service
// accepts calls of this node again; 0 if one accepts calls now, or if there is none. The
// wait for a rate limit is spread at random, because all requests that are refused in this
// time wait for the same call.
func (b *Balancer) ServiceDeferral(name anvilmodel.ServiceName, now time.Time) time.Duration {
	var shortest time.Duration
	for _, l := range b.service(name).leaves {
		if !l.usable(b, now) {
			continue
		}
		rateLimitWait := b.rateLimitWait(l, now)
		rateLimitWait += time.Duration(b.config.Random.Float64() * float64(rateLimitWait))
		wait := max(l.deferredUntil.Sub(now), rateLimitWait)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

func (l *leafState) deferred(now time.Time) bool {
	return now.Before(l.deferredUntil)
}
