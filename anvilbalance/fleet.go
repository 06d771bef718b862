package anvilbalance

import "time"

const (
	// sizeRetention is how long the largest observed size is used after the number of
	// known nodes has dropped. A node that is partitioned from the others must not
	// take over their shares of the limits while they still use them.
	sizeRetention = 10 * time.Second
	// stablePeriod is how long the number of known nodes must not have grown before
	// the estimate counts as stable: two rounds of probes. Before that, a node that
	// starts at the same time as many others has discovered only a few of them.
	stablePeriod = 2 * time.Second
)

// FleetSizeEstimator estimates how many nodes share the limits on leaves. Its zero
// value has observed no nodes. It is not safe for concurrent use.
type FleetSizeEstimator struct {
	size int
	// observedAt is when a count of at least size was last observed.
	observedAt time.Time
	grownAt    time.Time
}

// Observe records the number of known nodes, including this one.
func (e *FleetSizeEstimator) Observe(count int, now time.Time) {
	count = max(count, 1)
	if count > e.size {
		e.grownAt = now
	}
	if count >= e.size || now.Sub(e.observedAt) > sizeRetention {
		e.size = count
		e.observedAt = now
	}
}

// Size returns the number of nodes that the limits are divided by; at least 1.
func (e *FleetSizeEstimator) Size() int {
	return max(e.size, 1)
}

// Stable reports whether the estimate is likely to cover the whole fleet.
func (e *FleetSizeEstimator) Stable(now time.Time) bool {
	return e.size > 0 && now.Sub(e.grownAt) >= stablePeriod
}
