package anvilgather

import (
	"time"

	"anvilbridge/anvilroute"
)

const (
	// initialLimit is the limit before any overload. It is far above what leaves of
	// current sizes run and queue for one node, so that the limiter takes effect only
	// after a sign of overload.
	initialLimit = 64.0
	// minLimit and maxLimit bound the limit.
	minLimit = 2.0
	maxLimit = 512.0
	// decreaseFactor is the factor applied to the limit after a sign of overload.
	decreaseFactor = 0.8
	// growthUtilization is the fraction of the limit that has to be in use for it to grow.
	growthUtilization = 0.6
	// lowPriorityShare is the fraction of the limit that is available to queries below
	// the highest priority.
	lowPriorityShare = 0.85
	// expectedLateShare is the fraction of the limit that is available to queries that are
	// expected to miss their target: the rest serves queries that can be answered in time.
	expectedLateShare = 0.6
	// medianTargetShare is the fraction of the target within which half of the parts of a
	// query have to be answered, because the other half takes longer.
	medianTargetShare = 1 / fullToMedianRatio
	// fullToMedianRatio is the ratio of the time for all parts to the time for half of them.
	fullToMedianRatio = 3.0
	// baselineTolerance is the multiple of the baseline that the median latency may reach
	// even if that exceeds the share of the target: leaves whose service time alone takes
	// most of the target are not overloaded.
	baselineTolerance = 2.0
	// baselineSmoothing is the weight of a new sample in the baseline.
	baselineSmoothing = 0.1
	// overloadExpiry is the time without a sign of overload after which an overload is
	// considered over.
	overloadExpiry = time.Second
)

// Limiter bounds the number of concurrent queries of a node over one set of shards.
// When leaves are overloaded, queries wait in the queues of the leaves until their targets
// have passed, or some shards shed a query after the others have worked on it, and hardly
// any query is answered in time. The limit decreases by a factor when a query is shed or
// its median latency is too long: a few slow or paused shards are no sign of overload. It
// grows in small steps with queries whose parts are answered in time. A Limiter is not
// safe for concurrent use.
type Limiter struct {
	limit       float64
	running     int
	decreasedAt time.Time
	// overloadStart is when the current overload began.
	overloadStart time.Time
	// baseline is the median latency of a route's queries without queueing at the leaves.
	baseline map[anvilroute.Name]time.Duration
	// highestPriority is the highest priority seen, which is the lowest number.
	highestPriority int
	prioritySeen    bool
}

// NewLimiter returns a Limiter that starts at a high limit, which takes effect only
// after a sign of overload.
func NewLimiter() *Limiter {
	return &Limiter{
		limit:    initialLimit,
		baseline: make(map[anvilroute.Name]time.Duration),
	}
}

// Limit returns the number of queries that may run concurrently.
func (l *Limiter) Limit() float64 {
	return l.limit
}

// Overloaded reports whether the last sign of overload is at most overloadExpiry ago.
func (l *Limiter) Overloaded(now time.Time) bool {
	return now.Sub(l.decreasedAt) <= overloadExpiry
}

// AdmissionRequest describes a query that is to be admitted.
type AdmissionRequest struct {
	Route anvilroute.Name
	// Priority counts from 0, the highest.
	Priority      int
	TargetLatency time.Duration
	// Elapsed is how much of the target had passed when the query arrived. It is most of
	// the target if an earlier attempt of the caller was refused.
	Elapsed time.Duration
}

// Admit reports whether a query may run. If so, the caller must call Done at its end.
func (l *Limiter) Admit(a AdmissionRequest) bool {
	if !l.prioritySeen || a.Priority < l.highestPriority {
		l.highestPriority = a.Priority
		l.prioritySeen = true
	}
	limit := l.limit
	if a.Priority > l.highestPriority {
		limit = max(limit*lowPriorityShare, 1)
	}
	if a.Elapsed+time.Duration(fullToMedianRatio*float64(l.baseline[a.Route])) > a.TargetLatency {
		limit = max(limit*expectedLateShare, 1)
	}
	if float64(l.running) >= limit {
		return false
	}
	l.running++
	return true
}

// Completion describes how an admitted query ended.
type Completion struct {
	Route         anvilroute.Name
	TargetLatency time.Duration
	// StartedAt is when the query was admitted.
	StartedAt time.Time
	// MedianLatency is the time until half of the parts were answered. If MedianKnown is
	// false, fewer were answered and it is the time until the query ended.
	MedianLatency time.Duration
	MedianKnown   bool
	// Shed is set if the query failed because leaves shed its calls.
	Shed bool
}

// Done records the end of an admitted query and adjusts the limit.
func (l *Limiter) Done(c Completion, now time.Time) {
	utilized := float64(l.running) >= growthUtilization*l.limit
	l.running--
	late := c.MedianLatency > l.maxMedianLatency(c.Route, c.TargetLatency)
	if c.MedianKnown {
		l.updateBaseline(c.Route, c.MedianLatency)
	}
	switch {
	case c.Shed || late:
		l.decrease(c.StartedAt, now)
	case utilized && c.MedianKnown:
		l.limit = min(l.limit+1/l.limit, maxLimit)
	}
}

// maxMedianLatency returns the median latency above which a query is a sign of overload.
func (l *Limiter) maxMedianLatency(route anvilroute.Name, target time.Duration) time.Duration {
	return max(time.Duration(medianTargetShare*float64(target)), time.Duration(baselineTolerance*float64(l.baseline[route])))
}

// updateBaseline adds a median latency to the baseline. A value above the baseline counts
// only while hardly any query runs, because then it is not caused by other queries.
func (l *Limiter) updateBaseline(route anvilroute.Name, latency time.Duration) {
	baseline, known := l.baseline[route]
	switch {
	case !known:
		l.baseline[route] = latency
	case latency < baseline || float64(l.running) <= minLimit:
		l.baseline[route] = baseline + time.Duration(baselineSmoothing*float64(latency-baseline))
	}
}

// decrease lowers the limit because of a query that started at the given time. Queries
// that started before the last decrease are ignored: they ran under the earlier limit.
func (l *Limiter) decrease(started, now time.Time) {
	if started.Before(l.decreasedAt) {
		return
	}
	if !l.Overloaded(now) {
		l.overloadStart = now
	}
	l.limit = max(min(l.limit, float64(l.running+1))*decreaseFactor, minLimit)
	l.decreasedAt = now
}

// RetryAfter returns the time after which a refused caller should retry. The jitter, from
// 0 to 1, spreads the retries.
func (l *Limiter) RetryAfter(now time.Time, jitter float64) time.Duration {
	overloadDuration := time.Duration(0)
	if l.Overloaded(now) {
		overloadDuration = now.Sub(l.overloadStart)
	}
	return RetryDelay(overloadDuration, jitter)
}
