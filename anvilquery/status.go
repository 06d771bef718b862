package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// ServiceStatus describes the state of a service, for status pages.
type ServiceStatus struct {
	// Snapshots are the snapshots reported by leaves, newest first.
	Snapshots []SnapshotStatus
	// Pinned is the snapshot that a new query would use, or zero if there is none.
	Pinned anvilmodel.Snapshot
	// P5Latency and MedianLatency are the 5th and 50th percentile of the measured
	// call latencies, TailLatency is the configured hedge quantile (by default the
	// 95th percentile). They are zero until enough samples are available.
	P5Latency   time.Duration
	Median      time.Duration
	TailLatency time.Duration
	// HedgeTokens and RetryTokens are the tokens left in the budgets.
	HedgeTokens float64
	RetryTokens float64
}

// SnapshotStatus describes how many shards of a snapshot are held by available
// leaves.
type SnapshotStatus struct {
	Snapshot anvilmodel.Snapshot
	Shards   int
	Covered  int
}

// Status returns the state of a service, or false if the service is not configured.
func (o *Origin) Status(name anvilmodel.ServiceName, now time.Time) (ServiceStatus, bool) {
	s := o.services[name]
	if s == nil {
		return ServiceStatus{}, false
	}
	at := o.sinceEpoch(now)
	s.refreshShardMaps(at)
	s.latency.refresh(at)
	status := ServiceStatus{
		P5Latency:   s.latency.p5,
		Median:      s.latency.median,
		TailLatency: s.latency.tail,
		HedgeTokens: s.hedgeBudget.tokens,
		RetryTokens: s.retryBudget.tokens,
	}
	if s.bestMap != nil {
		status.Pinned = s.bestMap.snapshot
	}
	for _, m := range s.shardMaps {
		status.Snapshots = append(status.Snapshots, SnapshotStatus{
			Snapshot: m.snapshot,
			Shards:   m.shardCount,
			Covered:  m.coveredShards,
		})
	}
	return status, true
}
