package anvilquery

import (
	"math"
	"time"

	"anvilbridge/anvilmodel"
)

// service is what all queries to one service share.
type service struct {
	name    anvilmodel.ServiceName
	leafs   []*leaf
	hedge   budget
	retry   budget
	latency latency
	// trialAt is when a query that looks too short may be sent all the same.
	trialAt time.Duration

	// maps are in force while mapsStale is unset; their covered counts and best
	// while coverStale is unset and no leaf becomes due for a probe.
	maps       []*shardMap
	best       *shardMap
	mapsStale  bool
	coverStale bool
	probeAt    time.Duration
}

func newService(name anvilmodel.ServiceName, c *Config) *service {
	return &service{
		name: name,
		hedge: budget{
			share: c.HedgeBudget,
			burst: c.HedgeBurst,
		},
		retry: budget{
			share:  c.RetryBudget,
			burst:  c.RetryBurst,
			tokens: c.RetryBurst,
		},
		latency: newLatency(c.LatencyWindow, c.HedgeQuantile),
		trialAt: unstated,
		probeAt: noProbe,
	}
}

// noProbe is the instant of a probe that is not planned.
const noProbe = time.Duration(math.MaxInt64)

// refresh brings the shard maps up to date.
func (s *service) refresh(now time.Duration) {
	if !s.mapsStale && !s.coverStale && now < s.probeAt {
		return
	}
	if s.mapsStale {
		s.maps = buildMaps(s.leafs)
	}
	s.mapsStale = false
	s.coverStale = false
	s.probeAt = noProbe
	for _, l := range s.leafs {
		if l.open && !l.probing && l.probeAt > now {
			s.probeAt = min(s.probeAt, l.probeAt)
		}
	}
	s.best = nil
	for _, m := range s.maps {
		m.recount(now)
		if s.best == nil || betterCovered(m, s.best) {
			s.best = m
		}
	}
}

// betterCovered reports whether an older map covers a larger part of its shards
// than a newer one. Parts are compared rather than counts because shard counts
// differ between snapshots. A complete newer map is never exceeded.
func betterCovered(older, newer *shardMap) bool {
	return older.covered*newer.shards > newer.covered*older.shards
}

// pin returns the map for a query: the newest complete one, or else the one that
// covers most. For a query with a key, a map that covers the shard of the key
// comes before one that covers more. It is nil when no snapshot is known.
func (s *service) pin(key string, now time.Duration) *shardMap {
	s.refresh(now)
	if key == "" || s.best == nil || s.best.complete() {
		return s.best
	}
	for _, m := range s.maps {
		if m.covers(m.shardOf(key), now) {
			return m
		}
	}
	return s.best
}

// newer returns the newest complete map if it is newer than the given one.
func (s *service) newer(than *shardMap, now time.Duration) *shardMap {
	s.refresh(now)
	if s.best != nil && s.best.complete() && s.best.snapshot > than.snapshot {
		return s.best
	}
	return nil
}
