package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilgather"
)

// Pattern: callers far away open a connection for most requests. Guards against
// answers that are timed from the arrival and miss the caller's target.
func TestElapsedEstimator(t *testing.T) {
	c := anvilgather.NewElapsedEstimator()
	now := start
	var elapsed, transit time.Duration
	for i := range 200 {
		remaining, newConnection := 400*time.Millisecond, false
		if i%3 > 0 {
			remaining, newConnection = 386*time.Millisecond, true
		}
		now = now.Add(100 * time.Millisecond)
		elapsed, transit = c.Observe("query", remaining, newConnection, now)
		if want := 400*time.Millisecond - remaining; elapsed != want {
			t.Fatalf("request %d: %s have passed, want %s", i, elapsed, want)
		}
	}
	if transit < 6*time.Millisecond || transit > 8*time.Millisecond {
		t.Errorf("transit of %s where connecting takes 14 ms", transit)
	}
	if elapsed, _ := c.Observe("query", 130*time.Millisecond, true, now); elapsed != 270*time.Millisecond {
		t.Errorf("%s have passed for a second attempt, want 270 ms", elapsed)
	}
}

// Pattern: a node has just started, or gets few requests. Guards against a way
// that counts as no time until many callers were seen, so that the first answers
// come after the target.
func TestElapsedEstimatorWithFewRequests(t *testing.T) {
	c := anvilgather.NewElapsedEstimator()
	elapsed, transit := c.Observe("query", 386*time.Millisecond, true, start)
	if elapsed < 5*time.Millisecond || transit < 2*time.Millisecond {
		t.Errorf("%s have passed and the way takes %s for the first request, which came over a new connection", elapsed, transit)
	}
	for i := range 4 {
		now := start.Add(time.Duration(i) * time.Second)
		c.Observe("query", 400*time.Millisecond, false, now)
		elapsed, transit = c.Observe("query", 376*time.Millisecond, true, now)
	}
	if elapsed != 24*time.Millisecond || transit < 9*time.Millisecond {
		t.Errorf("%s have passed and the way takes %s after four callers that took 24 ms to connect", elapsed, transit)
	}
	// What one route has shown of the way holds for the others.
	if _, transit := c.Observe("fetch", time.Second, false, start); transit < 9*time.Millisecond {
		t.Errorf("the way takes %s on a route that was not called before", transit)
	}
}
