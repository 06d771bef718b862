package anvilgather_test

import (
	"testing"
	"time"

	"anvilbridge/anvilgather"
)

// Pattern: the store is away while all nodes start, or a burst lasts for seconds. Guards
// against callers who come back each moment to be refused again, all at the same time,
// and against callers who are sent away for long.
func TestRetryDelay(t *testing.T) {
	for _, c := range []struct {
		age      time.Duration
		least    time.Duration
		maxDelay time.Duration
	}{
		{0, 75 * time.Millisecond, 125 * time.Millisecond},
		{400 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond},
		{time.Hour, 750 * time.Millisecond, 1250 * time.Millisecond},
	} {
		early, late := anvilgather.RetryDelay(c.age, 0), anvilgather.RetryDelay(c.age, 1)
		if early < c.least || late > c.maxDelay || late-early < c.least/2 {
			t.Errorf("after %s callers come back from %s to %s", c.age, early, late)
		}
	}
}
