package anvilquery

import (
	"math"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// neverReported is the timestamp of a report that was never received.
const neverReported = time.Duration(math.MinInt64)

// maxReportedLoad caps reported loads, so that one implausible value has no more
// weight than a fully loaded leaf with as much work queued.
const maxReportedLoad = 2

// acceptIncarnation discards the state reported by an earlier process of the leaf
// if the incarnation is newer. It reports whether a report of this incarnation may
// be applied.
func (l *leaf) acceptIncarnation(incarnation anvilmodel.Incarnation) bool {
	if incarnation < l.incarnation {
		return false
	}
	if incarnation == l.incarnation {
		return true
	}
	l.incarnation = incarnation
	l.holdingsAt = neverReported
	l.conditionAt = neverReported
	l.droppedAt = neverReported
	l.shedUntil = 0
	if len(l.holdings) > 0 {
		l.holdings = l.holdings[:0]
		l.service.mapsStale = true
	}
	l.recordSuccess()
	return true
}

// updateCondition applies the reported load, cold and draining state, unless newer
// values are known.
func (l *leaf) updateCondition(at time.Duration, load float64, cold, draining bool) {
	if at < l.conditionAt {
		return
	}
	l.conditionAt = at
	l.cold = cold
	l.load = 0
	if load > 0 {
		l.load = min(load, maxReportedLoad)
	}
	if l.draining != draining {
		l.draining = draining
		l.service.coverageStale = true
	}
}

// replaceHoldings replaces the holdings with the complete list that the leaf
// reported at the given time.
func (l *leaf) replaceHoldings(at time.Duration, listed []anvilmodel.Holding, maxShards int) {
	if at < l.holdingsAt {
		return
	}
	l.holdingsAt = at
	holdings := make([]anvilmodel.Holding, 0, len(listed))
	for _, h := range listed {
		dropped := h.Snapshot == l.droppedSnapshot && at < l.droppedAt
		if dropped || !validHolding(h, maxShards) || holdingIndex(holdings, h.Snapshot) >= 0 {
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

// addHolding adds a holding that the leaf reported in a reply.
func (l *leaf) addHolding(h anvilmodel.Holding, maxShards int) {
	i := holdingIndex(l.holdings, h.Snapshot)
	if i >= 0 && l.holdings[i] == h || !validHolding(h, maxShards) {
		return
	}
	if i >= 0 {
		l.holdings[i] = h
	} else {
		l.holdings = newestHoldings(append(l.holdings, h))
	}
	l.service.mapsStale = true
}

// dropHolding removes a snapshot that the leaf reported as dropped.
func (l *leaf) dropHolding(snapshot anvilmodel.Snapshot, at time.Duration) {
	l.droppedSnapshot = snapshot
	l.droppedAt = at
	i := holdingIndex(l.holdings, snapshot)
	if i < 0 {
		return
	}
	l.holdings = slices.Delete(l.holdings, i, i+1)
	l.service.mapsStale = true
}

func validHolding(h anvilmodel.Holding, maxShards int) bool {
	return h.ShardCount > 0 && h.ShardCount <= maxShards && h.Shard >= 0 && int(h.Shard) < h.ShardCount
}

// holdingIndex returns the index of the holding for a snapshot, or -1. A leaf holds
// one shard of a snapshot.
func holdingIndex(holdings []anvilmodel.Holding, snapshot anvilmodel.Snapshot) int {
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
	return holdings[:min(len(holdings), maxHoldingsPerLeaf)]
}
