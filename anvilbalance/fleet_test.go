package anvilbalance_test

import (
	"testing"
	"time"

	"anvilbridge/anvilbalance"
)

// Pattern: many nodes start at once and hear of each other over a second. Guards
// against connections that each of them opens early because it takes itself for
// one of few: together they are more than the leafs accept.
func TestFleetSettles(t *testing.T) {
	var f anvilbalance.FleetSizeEstimator
	now := start
	for _, count := range []int{1, 4, 9, 26, 26, 26} {
		f.Observe(count, now)
		if f.Stable(now) {
			t.Errorf("the fleet of %d counts as known %s after the start", count, now.Sub(start))
		}
		now = now.Add(200 * time.Millisecond)
	}
	now = now.Add(2 * time.Second)
	f.Observe(26, now)
	if !f.Stable(now) {
		t.Error("the fleet does not count as known after two quiet seconds")
	}
}

// Pattern: a node is cut off from the others. Guards against bounds on leafs that
// it takes over at once while the others still use their shares, and against bounds
// that stay divided among nodes that are gone.
func TestFleetRemembersTheOthers(t *testing.T) {
	var f anvilbalance.FleetSizeEstimator
	f.Observe(4, start)
	f.Observe(1, start.Add(9*time.Second))
	if f.Size() != 4 {
		t.Errorf("bounds are divided by %d within 10 s, want 4", f.Size())
	}
	f.Observe(1, start.Add(11*time.Second))
	if f.Size() != 1 {
		t.Errorf("bounds are divided by %d after 11 s, want 1", f.Size())
	}
}
