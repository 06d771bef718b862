package anvilbalance

import "time"

const (
	// fleetMemory is how long the largest fleet seen divides the bounds on leafs: a
	// node that is cut off must not take the shares of the others over at once.
	fleetMemory = 10 * time.Second
	// settleTime is how long the known fleet has not grown when it counts as known:
	// two rounds of probes. Before that a node that starts together with many others
	// takes itself for one of few.
	settleTime = 2 * time.Second
)

// FleetSizeEstimator keeps how many nodes share the bounds on leafs. Its zero value knows of no
// node. It is not safe for concurrent use.
type FleetSizeEstimator struct {
	size   int
	seenAt time.Time
	grewAt time.Time
}

// Observe takes the number of nodes that are known, this one included.
func (f *FleetSizeEstimator) Observe(count int, now time.Time) {
	count = max(count, 1)
	if count > f.size {
		f.grewAt = now
	}
	if count >= f.size || now.Sub(f.seenAt) > fleetMemory {
		f.size = count
		f.seenAt = now
	}
}

// Size returns the number of nodes that the bounds are divided by; at least 1.
func (f *FleetSizeEstimator) Size() int {
	return max(f.size, 1)
}

// Stable reports whether the size is likely to be that of the whole fleet.
func (f *FleetSizeEstimator) Stable(now time.Time) bool {
	return f.size > 0 && now.Sub(f.grewAt) >= settleTime
}
