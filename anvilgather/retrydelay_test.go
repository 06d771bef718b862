package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilgather"
)

// The store is unavailable while all nodes start, or a burst lasts for seconds. Guards
// against callers that retry too often and are refused again, against retries of all
// callers at the same time, and against delays that are too long.
func TestRetryDelay(t *testing.T) {
	for _, c := range []struct {
		age      time.Duration
		minDelay time.Duration
		maxDelay time.Duration
	}{
		{0, 75 * time.Millisecond, 125 * time.Millisecond},
		{400 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond},
		{time.Hour, 750 * time.Millisecond, 1250 * time.Millisecond},
	} {
		earliest, latest := anvilgather.RetryDelay(c.age, 0), anvilgather.RetryDelay(c.age, 1)
		if earliest < c.minDelay || latest > c.maxDelay || latest-earliest < c.minDelay/2 {
			t.Errorf("age %s gives retry delays from %s to %s", c.age, earliest, latest)
		}
	}
}
