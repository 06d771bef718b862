package anvilgather

import "time"

const (
	// firstLimit is where a limiter starts: far above what leafs of today's sizes
	// run and queue for one node, so that it acts only after a sign of overload.
	firstLimit = 64.0
	// leastLimit and mostLimit bound the limit.
	leastLimit = 2.0
	mostLimit  = 512.0
	// cutFactor is what remains of the limit after a query that the leafs could not
	// take, cutPause the least time between two cuts: queries that were under way at
	// a cut say nothing about the new limit.
	cutFactor = 0.9
	cutPause  = 20 * time.Millisecond
	// usedShare is the part of the limit that has to be in use for it to grow.
	usedShare = 0.6
	// lesserShare is the part of the limit that requests of a lesser rank may fill.
	lesserShare = 0.85
	// RetryAfterOverload is stated to callers that a limiter refuses: long enough
	// for a queue of a leaf to empty.
	RetryAfterOverload = 250 * time.Millisecond
)

// Limiter bounds the queries that a node works on at a time over one set of
// shards. A query whose calls are shed by some shards fails after the others have
// worked for it; when leafs are overloaded, most queries end that way and hardly
// any is answered. The limit falls with each such query and grows again with
// those that are answered. It is not safe for concurrent use.
type Limiter struct {
	limit   float64
	running int
	cutAt   time.Time
	// highest is the highest rank seen, which is the lowest number.
	highest int
	seen    bool
}

// NewLimiter returns a limiter that admits everything until there is a sign of
// overload.
func NewLimiter() *Limiter {
	return &Limiter{
		limit: firstLimit,
	}
}

// Limit returns the number of queries that may run at a time.
func (l *Limiter) Limit() float64 {
	return l.limit
}

// Admit reports whether a query of the priority may run; if so, Done must follow.
// Priorities count from 0, the highest.
func (l *Limiter) Admit(priority int) bool {
	if !l.seen || priority < l.highest {
		l.highest = priority
		l.seen = true
	}
	limit := l.limit
	if priority > l.highest {
		limit = max(limit*lesserShare, 1)
	}
	if float64(l.running) >= limit {
		return false
	}
	l.running++
	return true
}

// Done ends an admitted query: answered says that it was answered in time,
// overloaded that it failed because leafs shed its calls, or ended past its target
// because they had queued them.
func (l *Limiter) Done(answered, overloaded bool, now time.Time) {
	used := float64(l.running) >= usedShare*l.limit
	l.running--
	switch {
	case overloaded:
		if now.Sub(l.cutAt) >= cutPause {
			l.limit = max(l.limit*cutFactor, leastLimit)
			l.cutAt = now
		}
	case answered && used:
		l.limit = min(l.limit+1/l.limit, mostLimit)
	}
}
