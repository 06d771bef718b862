package anvilquery

import (
	"math"
	"time"

	"anvilbridge/anvilmodel"
)

// service holds the state that all queries to one service share.
type service struct {
	name        anvilmodel.ServiceName
	leaves      []*leaf
	hedgeBudget budget
	retryBudget budget
	latency     latencyTracker
	// nextTrialAt is when the next query whose timeout looks too short is sent as a
	// trial.
	nextTrialAt time.Duration

	// shardMaps are valid unless mapsStale is set. Their coveredShards and bestMap
	// are valid unless coverageStale is set or nextProbeAt has passed.
	shardMaps     []*shardMap
	bestMap       *shardMap
	mapsStale     bool
	coverageStale bool
	nextProbeAt   time.Duration
}

func newService(name anvilmodel.ServiceName, c *Config) *service {
	return &service{
		name: name,
		hedgeBudget: budget{
			ratio: c.HedgeBudget,
			burst: c.HedgeBurst,
		},
		retryBudget: budget{
			ratio:  c.RetryBudget,
			burst:  c.RetryBurst,
			tokens: c.RetryBurst,
		},
		latency:     newLatencyTracker(c.LatencyWindow, c.HedgeQuantile),
		nextTrialAt: neverReported,
		nextProbeAt: noProbeScheduled,
	}
}

// noProbeScheduled is the value of nextProbeAt when no leaf is waiting for a probe.
const noProbeScheduled = time.Duration(math.MaxInt64)

// refreshShardMaps rebuilds the shard maps and their coverage if they are stale.
func (s *service) refreshShardMaps(now time.Duration) {
	if !s.mapsStale && !s.coverageStale && now < s.nextProbeAt {
		return
	}
	if s.mapsStale {
		s.shardMaps = buildShardMaps(s.leaves)
	}
	s.mapsStale = false
	s.coverageStale = false
	s.nextProbeAt = noProbeScheduled
	for _, l := range s.leaves {
		if l.circuitOpen && !l.probeInFlight && l.probeAt > now {
			s.nextProbeAt = min(s.nextProbeAt, l.probeAt)
		}
	}
	s.bestMap = nil
	for _, m := range s.shardMaps {
		m.updateCoverage(now)
		if s.bestMap == nil || coversLargerFraction(m, s.bestMap) {
			s.bestMap = m
		}
	}
}

// coversLargerFraction reports whether an older map covers a larger fraction of its
// shards than a newer one. Fractions are compared because shard counts differ
// between snapshots. No map exceeds a newer map that is complete.
func coversLargerFraction(older, newer *shardMap) bool {
	return older.coveredShards*newer.shardCount > newer.coveredShards*older.shardCount
}

// selectShardMap returns the map for a query: the newest complete one, or else the
// one that covers the largest fraction of its shards. For a query with a key, a map
// that covers the shard of the key is preferred. It returns nil if no snapshot is
// known.
func (s *service) selectShardMap(key string, now time.Duration) *shardMap {
	s.refreshShardMaps(now)
	if key == "" || s.bestMap == nil || s.bestMap.complete() {
		return s.bestMap
	}
	for _, m := range s.shardMaps {
		if m.covers(m.shardOf(key), now) {
			return m
		}
	}
	return s.bestMap
}

// newerCompleteMap returns the newest complete map if it is newer than the given
// one, or else nil.
func (s *service) newerCompleteMap(than *shardMap, now time.Duration) *shardMap {
	s.refreshShardMaps(now)
	if s.bestMap != nil && s.bestMap.complete() && s.bestMap.snapshot > than.snapshot {
		return s.bestMap
	}
	return nil
}
