package anvilgather

import (
	"time"

	"anvilbridge/anvilroute"
)

const (
	// firstLimit is where a limiter starts: far above what leafs of today's sizes
	// run and queue for one node, so that it acts only after a sign of overload.
	firstLimit = 64.0
	// leastLimit and mostLimit bound the limit.
	leastLimit = 2.0
	mostLimit  = 512.0
	// cutFactor is what remains of the limit after a sign of overload.
	cutFactor = 0.8
	// usedShare is the part of the limit that has to be in use for it to grow.
	usedShare = 0.6
	// lesserShare is the part of the limit that requests of a lesser rank may fill.
	lesserShare = 0.85
	// lateShare is the part of the limit that requests may fill whose target has passed:
	// in their place others are answered in time.
	lateShare = 0.6
	// halfShare is the part of the target within which half of the parts of a query are
	// due, because the others take longer.
	halfShare = 1 / wholeFactor
	// wholeFactor is how many times the time of half of the parts all of them take.
	wholeFactor = 3.0
	// halfFactor is how many times the usual time half of the parts may take if that
	// is longer: leafs whose work alone takes most of the target are not overloaded.
	halfFactor = 2.0
	// usualSmoothing is the weight of a new sample in the usual time.
	usualSmoothing = 0.1
	// calmTime is the time without a sign of overload after which it is over.
	calmTime = time.Second
)

// Limiter bounds the queries that a node works on at a time over one set of
// shards. When leafs are overloaded, queries wait in their queues until their targets
// have passed, or are shed by some shards after the others have worked for them, and
// hardly any is answered in time. The limit falls when a query is shed, or when half of
// its parts are late: a few slow or paused shards are no sign of overload. It grows again
// with queries whose parts come in time. It is not safe for concurrent use.
type Limiter struct {
	limit   float64
	running int
	cutAt   time.Time
	// overloadedAt is when the present overload began.
	overloadedAt time.Time
	// usual is how long half of the parts take without others before them.
	usual map[anvilroute.Name]time.Duration
	// highest is the highest rank seen, which is the lowest number.
	highest int
	seen    bool
}

// NewLimiter returns a limiter that admits everything until there is a sign of
// overload.
func NewLimiter() *Limiter {
	return &Limiter{
		limit: firstLimit,
		usual: make(map[anvilroute.Name]time.Duration),
	}
}

// Limit returns the number of queries that may run at a time.
func (l *Limiter) Limit() float64 {
	return l.limit
}

// Overloaded reports whether there was a sign of overload a moment ago.
func (l *Limiter) Overloaded(now time.Time) bool {
	return now.Sub(l.cutAt) <= calmTime
}

// AdmissionRequest is a query that asks to be admitted.
type AdmissionRequest struct {
	Route anvilroute.Name
	// Priority counts from 0, the highest.
	Priority int
	Target   time.Duration
	// Elapsed is how much of the target had passed when the query arrived: most of it
	// if its caller was refused before.
	Elapsed time.Duration
}

// Admit reports whether a query may run; if so, Done must follow.
func (l *Limiter) Admit(a AdmissionRequest) bool {
	if !l.seen || a.Priority < l.highest {
		l.highest = a.Priority
		l.seen = true
	}
	limit := l.limit
	if a.Priority > l.highest {
		limit = max(limit*lesserShare, 1)
	}
	if a.Elapsed+time.Duration(wholeFactor*float64(l.usual[a.Route])) > a.Target {
		limit = max(limit*lateShare, 1)
	}
	if float64(l.running) >= limit {
		return false
	}
	l.running++
	return true
}

// Completion is how a query has ended.
type Completion struct {
	Route  anvilroute.Name
	Target time.Duration
	// Started is when the query was admitted.
	Started time.Time
	// MedianLatency is the time until half of its parts were in, or until its end if they never
	// were, which MedianKnown says.
	MedianLatency time.Duration
	MedianKnown   bool
	// Shed says that the query failed because leafs shed its calls.
	Shed bool
}

// Done ends an admitted query.
func (l *Limiter) Done(e Completion, now time.Time) {
	used := float64(l.running) >= usedShare*l.limit
	l.running--
	late := e.MedianLatency > l.due(e.Route, e.Target)
	if e.MedianKnown {
		l.learn(e.Route, e.MedianLatency)
	}
	switch {
	case e.Shed || late:
		l.cut(e.Started, now)
	case used && e.MedianKnown:
		l.limit = min(l.limit+1/l.limit, mostLimit)
	}
}

// due returns the time within which half of the parts of a query are due.
func (l *Limiter) due(route anvilroute.Name, target time.Duration) time.Duration {
	return max(time.Duration(halfShare*float64(target)), time.Duration(halfFactor*float64(l.usual[route])))
}

// learn takes over how long half of the parts took. A longer time than usual counts only
// while hardly any query runs: then it is not due to others.
func (l *Limiter) learn(route anvilroute.Name, half time.Duration) {
	usual, known := l.usual[route]
	switch {
	case !known:
		l.usual[route] = half
	case half < usual || float64(l.running) <= leastLimit:
		l.usual[route] = usual + time.Duration(usualSmoothing*float64(half-usual))
	}
}

// cut lowers the limit because of a query that started at the time. Queries that were
// under way at a cut say nothing about the new limit.
func (l *Limiter) cut(started, now time.Time) {
	if started.Before(l.cutAt) {
		return
	}
	if !l.Overloaded(now) {
		l.overloadedAt = now
	}
	l.limit = max(min(l.limit, float64(l.running+1))*cutFactor, leastLimit)
	l.cutAt = now
}

// RetryAfter returns when a caller that is refused should come back. The draw, from 0 to
// 1, spreads the callers.
func (l *Limiter) RetryAfter(now time.Time, draw float64) time.Duration {
	lasted := time.Duration(0)
	if l.Overloaded(now) {
		lasted = now.Sub(l.overloadedAt)
	}
	return RetryDelay(lasted, draw)
}
