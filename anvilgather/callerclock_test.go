package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilgather"
)

// Pattern: callers far away open a connection for most requests. Guards against
// answers that are timed from the arrival and miss the caller's target.
func TestCallerClock(t *testing.T) {
	var c anvilgather.CallerClock
	now := start
	var elapsed, transit time.Duration
	for i := range 200 {
		stated := 400 * time.Millisecond
		if i%3 > 0 {
			stated = 386 * time.Millisecond
		}
		now = now.Add(100 * time.Millisecond)
		elapsed, transit = c.Observe(stated, now)
		if want := 400*time.Millisecond - stated; i > 0 && elapsed != want {
			t.Fatalf("request %d: %s have passed, want %s", i, elapsed, want)
		}
	}
	if transit < 6*time.Millisecond || transit > 8*time.Millisecond {
		t.Errorf("transit of %s where connecting takes 14 ms", transit)
	}
	if elapsed, _ := c.Observe(130*time.Millisecond, now); elapsed != 270*time.Millisecond {
		t.Errorf("%s have passed for a second attempt, want 270 ms", elapsed)
	}
}
