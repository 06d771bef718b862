package anvilquery

import (
	"math"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// unstated is the instant of a statement that was never made.
const unstated = time.Duration(math.MinInt64)

// loadLimit bounds reported loads, so that one absurd figure has no more weight
// than a fully loaded leaf with as much work waiting.
const loadLimit = 2

// succeedIncarnation forgets what an earlier process under the name stated. It
// reports whether a statement of the given incarnation may be believed.
func (l *leaf) succeedIncarnation(incarnation anvilmodel.Incarnation) bool {
	if incarnation < l.incarnation {
		return false
	}
	if incarnation == l.incarnation {
		return true
	}
	l.incarnation = incarnation
	l.listedAt = unstated
	l.statedAt = unstated
	l.goneAt = unstated
	l.shedUntil = 0
	if len(l.holdings) > 0 {
		l.holdings = l.holdings[:0]
		l.service.mapsStale = true
	}
	l.succeeded()
	return true
}

// stateCondition takes over load, cold state and draining, unless something
// newer is known.
func (l *leaf) stateCondition(at time.Duration, load float64, cold, draining bool) {
	if at < l.statedAt {
		return
	}
	l.statedAt = at
	l.cold = cold
	l.load = 0
	if load > 0 {
		l.load = min(load, loadLimit)
	}
	if l.draining != draining {
		l.draining = draining
		l.service.coverStale = true
	}
}

// stateList replaces the holdings by a list that the leaf stated at the given
// instant.
func (l *leaf) stateList(at time.Duration, listed []anvilmodel.Holding, maximumShards int) {
	if at < l.listedAt {
		return
	}
	l.listedAt = at
	holdings := make([]anvilmodel.Holding, 0, len(listed))
	for _, h := range listed {
		dropped := h.Snapshot == l.goneSnapshot && at < l.goneAt
		if dropped || !validHolding(h, maximumShards) || holds(holdings, h.Snapshot) >= 0 {
			continue
		}
		holdings = append(holdings, h)
	}
	holdings = newestHoldings(holdings)
	if slices.Equal(holdings, l.holdings) {
		return
	}
	l.holdings = holdings
	l.service.mapsStale = true
}

// stateHolding adds a holding that a reply names.
func (l *leaf) stateHolding(h anvilmodel.Holding, maximumShards int) {
	i := holds(l.holdings, h.Snapshot)
	if i >= 0 && l.holdings[i] == h || !validHolding(h, maximumShards) {
		return
	}
	if i >= 0 {
		l.holdings[i] = h
	} else {
		l.holdings = newestHoldings(append(l.holdings, h))
	}
	l.service.mapsStale = true
}

// stateGone removes a snapshot that the leaf says it has dropped.
func (l *leaf) stateGone(snapshot anvilmodel.Snapshot, at time.Duration) {
	l.goneSnapshot = snapshot
	l.goneAt = at
	i := holds(l.holdings, snapshot)
	if i < 0 {
		return
	}
	l.holdings = slices.Delete(l.holdings, i, i+1)
	l.service.mapsStale = true
}

func validHolding(h anvilmodel.Holding, maximumShards int) bool {
	return h.ShardCount > 0 && h.ShardCount <= maximumShards && h.Shard >= 0 && int(h.Shard) < h.ShardCount
}

// holds returns the index of the holding of a snapshot, or -1. A leaf holds one
// shard of a snapshot.
func holds(holdings []anvilmodel.Holding, snapshot anvilmodel.Snapshot) int {
	for i := range holdings {
		if holdings[i].Snapshot == snapshot {
			return i
		}
	}
	return -1
}

func newestHoldings(holdings []anvilmodel.Holding) []anvilmodel.Holding {
	slices.SortFunc(holdings, func(a, b anvilmodel.Holding) int {
		switch {
		case a.Snapshot > b.Snapshot:
			return -1
		case a.Snapshot < b.Snapshot:
			return 1
		default:
			return 0
		}
	})
	return holdings[:min(len(holdings), leafHoldings)]
}
