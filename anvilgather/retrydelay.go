package anvilgather

import "time"

const (
	// shortestReturn and longestReturn bound the time after which refused callers come
	// back.
	shortestReturn = 100 * time.Millisecond
	longestReturn  = time.Second
	// returnSpread is the part of that time over which they are spread.
	returnSpread = 0.5
)

// RetryDelay returns when a caller should come back that is refused for something of
// which only is known how long it has lasted: on average it lasts as long again. The
// draw, from 0 to 1, spreads the callers.
func RetryDelay(lasted time.Duration, draw float64) time.Duration {
	after := min(max(lasted, shortestReturn), longestReturn)
	return time.Duration(float64(after) * (1 + returnSpread*(draw-0.5)))
}
