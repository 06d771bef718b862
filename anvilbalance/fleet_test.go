package anvilbalance_test

import (
	"testing"
	"time"

	"anvilbridge/anvilbalance"
)

// Many nodes start at once and discover each other within a second. Until a node has
// discovered the others, it computes too large a share of the connection limits. Guards
// against opening connections in advance during that time, which together would be more
// than the leaves accept.
func TestFleetSizeBecomesStable(t *testing.T) {
	var e anvilbalance.FleetSizeEstimator
	now := start
	for _, count := range []int{1, 4, 9, 26, 26, 26} {
		e.Observe(count, now)
		if e.Stable(now) {
			t.Errorf("the fleet size %d is stable %s after the start", count, now.Sub(start))
		}
		now = now.Add(200 * time.Millisecond)
	}
	now = now.Add(2 * time.Second)
	e.Observe(26, now)
	if !e.Stable(now) {
		t.Error("the fleet size is not stable after two seconds without growth")
	}
}

// A node is partitioned from the others. Guards against using the full limits on leaves
// at once while the other nodes still use their shares, and against limits that remain
// divided among nodes that no longer run.
func TestFleetSizeIsRetainedForTenSeconds(t *testing.T) {
	var e anvilbalance.FleetSizeEstimator
	e.Observe(4, start)
	e.Observe(1, start.Add(9*time.Second))
	if e.Size() != 4 {
		t.Errorf("limits are divided by %d within 10 s, want 4", e.Size())
	}
	e.Observe(1, start.Add(11*time.Second))
	if e.Size() != 1 {
		t.Errorf("limits are divided by %d after 11 s, want 1", e.Size())
	}
}
