package anvilgather

import (
	"maps"
	"time"

	"anvilbridge/anvilroute"
)

const (
	// clockWindow is the time after which a caller's longest timeout is forgotten,
	// one window later: callers of a route state the same one.
	clockWindow = 10 * time.Second
	// clockSmoothing is the weight of a new sample in the connect time.
	clockSmoothing = 0.1
	// assumedConnect is the connect time before any was seen, and counts as one
	// sample: an address query and a handshake between places of one region.
	assumedConnect = 10 * time.Millisecond
	// longestConnect is the longest time that is taken for that of connecting;
	// callers that state less time left have tried before.
	longestConnect = 60 * time.Millisecond
)

// ElapsedEstimator estimates how much of a caller's time has passed when its request
// arrives. Callers state the time that they have left; the longest that is stated
// on a route is what they have in all. It is not safe for concurrent use.
type ElapsedEstimator struct {
	routes map[anvilroute.Name]*statedTimeouts
	// connect is the average time that callers take to open a connection. It is the
	// same for all routes.
	connect float64
	samples int
}

// statedTimeouts are those of the callers of one route.
type statedTimeouts struct {
	started  time.Time
	longest  time.Duration
	previous time.Duration
	// keptSeen says that a request over a kept connection was seen, so that the
	// longest timeout is one of which nothing had passed.
	keptSeen bool
}

// NewElapsedEstimator returns a ElapsedEstimator that has seen no request.
func NewElapsedEstimator() *ElapsedEstimator {
	return &ElapsedEstimator{
		routes:  make(map[anvilroute.Name]*statedTimeouts),
		connect: float64(assumedConnect),
		samples: 1,
	}
}

// Observe takes the time left that a request states, 0 if it states none. opened
// says that the request is the first on its connection. Observe returns how much of
// the caller's time has passed, and how long request and answer are on their way:
// about half of the time that callers need to open a connection.
func (c *ElapsedEstimator) Observe(route anvilroute.Name, stated time.Duration, opened bool, now time.Time) (elapsed, transit time.Duration) {
	if stated <= 0 {
		return 0, c.transit()
	}
	t := c.routes[route]
	if t == nil {
		t = &statedTimeouts{}
		c.routes[route] = t
	}
	if now.Sub(t.started) >= clockWindow {
		t.started = now
		t.previous = t.longest
		t.longest = 0
	}
	t.longest = max(t.longest, stated)
	t.keptSeen = t.keptSeen || !opened
	elapsed = max(t.longest, t.previous) - stated
	switch {
	case !t.keptSeen:
		elapsed += time.Duration(c.connect)
	case opened && elapsed > 0 && elapsed <= longestConnect:
		c.samples++
		c.connect += max(clockSmoothing, 1/float64(c.samples)) * (float64(elapsed) - c.connect)
	}
	return elapsed, c.transit()
}

func (c *ElapsedEstimator) transit() time.Duration {
	return time.Duration(c.connect / 2)
}

// Retain forgets the routes that are not kept.
func (c *ElapsedEstimator) Retain(kept func(anvilroute.Name) bool) {
	maps.DeleteFunc(c.routes, func(name anvilroute.Name, _ *statedTimeouts) bool { return !kept(name) })
}
