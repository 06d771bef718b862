package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// ServiceStatus is what an origin knows of a service, for status pages.
type ServiceStatus struct {
	// Snapshots are the stated snapshots, newest first.
	Snapshots []SnapshotStatus
	// Pinned is the snapshot that a query would be pinned to now, or zero.
	Pinned anvilmodel.Snapshot
	// P5Latency, Median and Tail are the 5th, 50th and 95th percentile of the learned
	// latency. They are zero while unknown.
	P5Latency   time.Duration
	Median      time.Duration
	TailLatency time.Duration
	// HedgeTokens and RetryTokens are what is left of the budgets.
	HedgeTokens float64
	RetryTokens float64
}

// SnapshotStatus says how much of a snapshot usable leafs hold.
type SnapshotStatus struct {
	Snapshot anvilmodel.Snapshot
	Shards   int
	Covered  int
}

// Status returns what is known of a service. It reports false if the service is
// not configured.
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
