package anvilgather

import "time"

const (
	// clockWindow is the time after which a caller's longest timeout is forgotten,
	// one window later: callers of a route state the same one.
	clockWindow = 10 * time.Second
	// clockSmoothing is the weight of a new sample in the connect time.
	clockSmoothing = 0.1
	// longestConnect is the longest time that is taken for that of connecting;
	// callers that state less time left have tried before.
	longestConnect = 60 * time.Millisecond
)

// CallerClock estimates how much of a caller's time has passed when its request
// arrives. Callers state the time that they have left; the longest that is stated
// on a route is what they have in all. It is not safe for concurrent use.
type CallerClock struct {
	started  time.Time
	longest  time.Duration
	previous time.Duration
	connect  float64
}

// Observe takes the time left that a request states. It returns how much has
// passed, and how long request and answer are on their way: about half of the
// time that callers need to open a connection.
func (c *CallerClock) Observe(stated time.Duration, now time.Time) (elapsed, transit time.Duration) {
	if stated <= 0 {
		return 0, time.Duration(c.connect / 2)
	}
	if now.Sub(c.started) >= clockWindow {
		c.started = now
		c.previous = c.longest
		c.longest = 0
	}
	c.longest = max(c.longest, stated)
	elapsed = max(c.longest, c.previous) - stated
	if elapsed > 0 && elapsed <= longestConnect {
		c.connect += clockSmoothing * (float64(elapsed) - c.connect)
	}
	return elapsed, time.Duration(c.connect / 2)
}
