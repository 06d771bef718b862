package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilgather"
)

// Distant callers open a connection for most requests. Guards against answers that are
// timed from their arrival at the node and miss the caller's target.
func TestElapsedEstimator(t *testing.T) {
	estimator := anvilgather.NewElapsedEstimator()
	now := start
	var elapsed, transit time.Duration
	for i := range 200 {
		remaining, newConnection := 400*time.Millisecond, false
		if i%3 > 0 {
			remaining, newConnection = 386*time.Millisecond, true
		}
		now = now.Add(100 * time.Millisecond)
		elapsed, transit = estimator.Observe("query", remaining, newConnection, now)
		if want := 400*time.Millisecond - remaining; elapsed != want {
			t.Fatalf("request %d: elapsed time is %s, want %s", i, elapsed, want)
		}
	}
	if transit < 6*time.Millisecond || transit > 8*time.Millisecond {
		t.Errorf("transit time is %s, want 6 to 8 ms because connecting takes 14 ms", transit)
	}
	if elapsed, _ := estimator.Observe("query", 130*time.Millisecond, true, now); elapsed != 270*time.Millisecond {
		t.Errorf("elapsed time of a second attempt is %s, want 270 ms", elapsed)
	}
}

// A node has just started, or gets few requests. Guards against a transit time that is
// estimated as zero until many callers were observed, so that the first answers come after
// the target.
func TestElapsedEstimatorWithFewRequests(t *testing.T) {
	estimator := anvilgather.NewElapsedEstimator()
	elapsed, transit := estimator.Observe("query", 386*time.Millisecond, true, start)
	if elapsed < 5*time.Millisecond || transit < 2*time.Millisecond {
		t.Errorf("elapsed time %s and transit time %s for the first request over a new connection, want at least 5 and 2 ms", elapsed, transit)
	}
	for i := range 4 {
		now := start.Add(time.Duration(i) * time.Second)
		estimator.Observe("query", 400*time.Millisecond, false, now)
		elapsed, transit = estimator.Observe("query", 376*time.Millisecond, true, now)
	}
	if elapsed != 24*time.Millisecond || transit < 9*time.Millisecond {
		t.Errorf("elapsed time %s and transit time %s after four callers that took 24 ms to connect, want 24 and at least 9 ms", elapsed, transit)
	}
	// The connect time is shared by all routes.
	if _, transit := estimator.Observe("fetch", time.Second, false, start); transit < 9*time.Millisecond {
		t.Errorf("transit time is %s on a route without requests so far, want at least 9 ms", transit)
	}
}
