package anvilgather

import (
	"maps"
	"time"

	"anvilbridge/anvilroute"
)

const (
	// timeoutWindow is the length of the windows over which the longest timeout of a
	// route is tracked. A value is used until the end of the window after its own. All
	// callers of a route are expected to use the same timeout.
	timeoutWindow = 10 * time.Second
	// connectTimeSmoothing is the weight of a new sample in the average connect time.
	connectTimeSmoothing = 0.1
	// initialConnectTime is the connect time before any was observed, and counts as one
	// sample. It covers an address query and a handshake between sites of one region.
	initialConnectTime = 10 * time.Millisecond
	// maxConnectTime is the longest elapsed time that counts as a connect time. Callers
	// whose elapsed time is longer have made an earlier attempt.
	maxConnectTime = 60 * time.Millisecond
)

// ElapsedEstimator estimates how much of a caller's timeout has passed when its
// request arrives. Requests state only the time that is left; the longest time stated
// on a route is taken as the full timeout. It is not safe for concurrent use.
type ElapsedEstimator struct {
	routes map[anvilroute.Name]*routeTimeouts
	// connectTime is the average time that callers take to open a connection, over all
	// routes.
	connectTime    float64
	connectSamples int
}

// routeTimeouts tracks the longest remaining time that callers of one route stated.
type routeTimeouts struct {
	windowStart     time.Time
	longest         time.Duration
	previousLongest time.Duration
	// reusedSeen is set once a request arrived over a reused connection. No time was
	// spent on connecting for it, so the longest remaining time is the full timeout.
	reusedSeen bool
}

// NewElapsedEstimator returns an ElapsedEstimator without observations.
func NewElapsedEstimator() *ElapsedEstimator {
	return &ElapsedEstimator{
		routes:         make(map[anvilroute.Name]*routeTimeouts),
		connectTime:    float64(initialConnectTime),
		connectSamples: 1,
	}
}

// Observe records the remaining time that a request states, 0 if it states none.
// newConnection is set for the first request on a connection. Observe returns how much
// of the caller's timeout has passed, and the network transit time of request and
// response together, which is about half of the time to open a connection.
func (e *ElapsedEstimator) Observe(route anvilroute.Name, remaining time.Duration, newConnection bool, now time.Time) (elapsed, transit time.Duration) {
	if remaining <= 0 {
		return 0, e.transit()
	}
	timeouts := e.routes[route]
	if timeouts == nil {
		timeouts = &routeTimeouts{}
		e.routes[route] = timeouts
	}
	if now.Sub(timeouts.windowStart) >= timeoutWindow {
		timeouts.windowStart = now
		timeouts.previousLongest = timeouts.longest
		timeouts.longest = 0
	}
	timeouts.longest = max(timeouts.longest, remaining)
	timeouts.reusedSeen = timeouts.reusedSeen || !newConnection
	elapsed = max(timeouts.longest, timeouts.previousLongest) - remaining
	switch {
	case !timeouts.reusedSeen:
		elapsed += time.Duration(e.connectTime)
	case newConnection && elapsed > 0 && elapsed <= maxConnectTime:
		e.connectSamples++
		e.connectTime += max(connectTimeSmoothing, 1/float64(e.connectSamples)) * (float64(elapsed) - e.connectTime)
	}
	return elapsed, e.transit()
}

func (e *ElapsedEstimator) transit() time.Duration {
	return time.Duration(e.connectTime / 2)
}

// Retain removes the routes for which keep returns false.
func (e *ElapsedEstimator) Retain(keep func(anvilroute.Name) bool) {
	maps.DeleteFunc(e.routes, func(name anvilroute.Name, _ *routeTimeouts) bool { return !keep(name) })
}
