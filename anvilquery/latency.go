package anvilquery

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the resolution of learned latencies.
	latencyUnit = 10 * time.Microsecond
	// latencyLimit is the largest latency that is told apart from larger ones.
	latencyLimit = time.Minute
	// latencyDigits keeps a histogram at 17 KiB.
	latencyDigits = 2
	// windowSamples is the fewest latencies that an estimate may shrink to when
	// older ones are forgotten; a 95th percentile then rests on ten values.
	windowSamples = 200
	// knownSamples is the fewest latencies from which anything is concluded.
	knownSamples = 16
	// refreshInterval is the time for which the percentiles are kept.
	refreshInterval = 100 * time.Millisecond
	// tailCap bounds the tail by a multiple of the median. An exponential
	// distribution has a 95th percentile of 4.3 times its median; beyond 8 times
	// the tail consists of failures, which must not delay hedges.
	tailCap = 8
	// tailMargin adds a sixteenth to the tail. Replies of a service whose latency
	// hardly varies would otherwise be hedged just as they arrive.
	tailMargin = 16
)

// Percentiles that are learned for each service.
const (
	fastPercentile   = 5
	medianPercentile = 50
	likelyPercentile = 75
)

// estimate holds the latencies of the last one to two windows. Both histograms
// take every value; the older one is read, and cleared when it is replaced.
type estimate struct {
	older  *hdrhistogram.Histogram
	recent *hdrhistogram.Histogram
	since  time.Duration
}

func newEstimate() estimate {
	limit := int64(latencyLimit / latencyUnit)
	return estimate{
		older:  hdrhistogram.New(1, limit, latencyDigits),
		recent: hdrhistogram.New(1, limit, latencyDigits),
	}
}

func (e *estimate) record(value, now, window time.Duration) {
	units := int64(min(max(value, latencyUnit), latencyLimit) / latencyUnit)
	// The value is within the range, which is the only cause of an error.
	_ = e.older.RecordValue(units)
	_ = e.recent.RecordValue(units)
	if now-e.since < window || e.recent.TotalCount() < windowSamples {
		return
	}
	e.older, e.recent = e.recent, e.older
	e.recent.Reset()
	e.since = now
}

func (e *estimate) known() bool {
	return e.older.TotalCount() >= knownSamples
}

func (e *estimate) percentile(percent float64) time.Duration {
	return time.Duration(e.older.ValueAtQuantile(percent)) * latencyUnit
}

// latency is what is learned of the call latencies of one service.
type latency struct {
	window time.Duration
	// tailPercent is the percentile that the tail stands for.
	tailPercent float64
	// replied holds the latencies of good replies. Lost calls are left out, so
	// that a time of many timeouts does not pass for the fast latency.
	replied estimate
	// all also holds the elapsed time of calls that were given up.
	all estimate

	samples     uint64
	refreshed   uint64
	refreshedAt time.Duration

	// The percentiles below are zero while unknown.
	fast   time.Duration
	median time.Duration
	likely time.Duration
	tail   time.Duration
}

func newLatency(window time.Duration, hedgeQuantile float64) latency {
	return latency{
		window:      window,
		tailPercent: 100 * hedgeQuantile,
		replied:     newEstimate(),
		all:         newEstimate(),
	}
}

func (l *latency) reply(elapsed, now time.Duration) {
	l.samples++
	l.replied.record(elapsed, now, l.window)
	l.all.record(elapsed, now, l.window)
}

// lost records a call that was given up after elapsed. All that is known is that
// it would have taken longer. Below the tail this says nothing, and recording it
// would pull the tail down, so such values are left out. Leaving out all of them
// would do the same, because the calls that hedges win against are the slow ones.
func (l *latency) lost(elapsed, now time.Duration) {
	if l.tail == 0 || elapsed < l.tail {
		return
	}
	l.samples++
	l.all.record(elapsed, now, l.window)
}

// refresh brings the percentiles up to date. Reading a histogram takes some
// microseconds, so it happens ten times a second, and more often while few
// values are known.
func (l *latency) refresh(now time.Duration) {
	if now-l.refreshedAt < refreshInterval && l.samples < 2*l.refreshed+knownSamples {
		return
	}
	if l.samples == l.refreshed {
		return
	}
	l.refreshed = l.samples
	l.refreshedAt = now
	if l.replied.known() {
		l.fast = l.replied.percentile(fastPercentile)
		l.median = l.replied.percentile(medianPercentile)
		l.likely = l.replied.percentile(likelyPercentile)
	}
	if l.all.known() {
		l.tail = l.all.percentile(l.tailPercent)
	}
}

// hedgeDelay returns the time after which a call of a query of the given length
// is late. Half of the length is the most, so that a hedge still has time.
func (l *latency) hedgeDelay(floor, length time.Duration) time.Duration {
	limit := length / 2
	if l.tail == 0 {
		return max(floor, length/4)
	}
	delay := l.tail + l.tail/tailMargin
	if l.median > 0 {
		delay = min(delay, tailCap*l.median)
	}
	return max(floor, min(delay, limit))
}
