package anvilquery

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyResolution is the resolution of learned latencies.
	latencyResolution = 10 * time.Microsecond
	// maxLatency is the largest latency that is told apart from larger ones.
	maxLatency = time.Minute
	// latencySignificantDigits keeps a histogram at 17 KiB.
	latencySignificantDigits = 2
	// minWindowSamples is the fewest latencies that an estimate may shrink to when
	// older ones are forgotten; a 95th percentile then rests on ten values.
	minWindowSamples = 200
	// minSamples is the fewest latencies from which anything is concluded.
	minSamples = 16
	// percentileRefreshInterval is the time for which the percentiles are kept.
	percentileRefreshInterval = 100 * time.Millisecond
	// maxTailMedianRatio bounds the tail by a multiple of the median. An exponential
	// distribution has a 95th percentile of 4.3 times its median; beyond 8 times
	// the tail consists of failures, which must not delay hedges.
	maxTailMedianRatio = 8
	// tailMarginDivisor adds a sixteenth to the tail. Replies of a service whose latency
	// hardly varies would otherwise be hedged just as they arrive.
	tailMarginDivisor = 16
)

// Percentiles that are learned for each service.
const (
	fastReplyPercentile  = 5
	medianPercentile     = 50
	hedgeGracePercentile = 75
)

// windowedHistogram holds the latencies of the last one to two windows. Both histograms
// take every value; the older one is read, and cleared when it is replaced.
type windowedHistogram struct {
	older       *hdrhistogram.Histogram
	recent      *hdrhistogram.Histogram
	windowStart time.Duration
}

func newWindowedHistogram() windowedHistogram {
	limit := int64(maxLatency / latencyResolution)
	return windowedHistogram{
		older:  hdrhistogram.New(1, limit, latencySignificantDigits),
		recent: hdrhistogram.New(1, limit, latencySignificantDigits),
	}
}

func (e *windowedHistogram) record(value, now, window time.Duration) {
	units := int64(min(max(value, latencyResolution), maxLatency) / latencyResolution)
	// The value is within the range, which is the only cause of an error.
	_ = e.older.RecordValue(units)
	_ = e.recent.RecordValue(units)
	if now-e.windowStart < window || e.recent.TotalCount() < minWindowSamples {
		return
	}
	e.older, e.recent = e.recent, e.older
	e.recent.Reset()
	e.windowStart = now
}

func (e *windowedHistogram) hasEnoughSamples() bool {
	return e.older.TotalCount() >= minSamples
}

func (e *windowedHistogram) percentile(percent float64) time.Duration {
	return time.Duration(e.older.ValueAtQuantile(percent)) * latencyResolution
}

// latencyTracker is what is learned of the call latencies of one service.
type latencyTracker struct {
	window time.Duration
	// tailPercent is the percentile that the tail stands for.
	tailPercent float64
	// replies holds the latencies of good replies. Lost calls are left out, so
	// that a time of many timeouts does not pass for the fast latency.
	replies windowedHistogram
	// allCalls also holds the elapsed time of calls that were given up.
	allCalls windowedHistogram

	sampleCount      uint64
	samplesAtRefresh uint64
	refreshedAt      time.Duration

	// The percentiles below are zero while unknown.
	p5     time.Duration
	median time.Duration
	p75    time.Duration
	tail   time.Duration
}

func newLatencyTracker(window time.Duration, hedgeQuantile float64) latencyTracker {
	return latencyTracker{
		window:      window,
		tailPercent: 100 * hedgeQuantile,
		replies:     newWindowedHistogram(),
		allCalls:    newWindowedHistogram(),
	}
}

func (l *latencyTracker) recordReply(elapsed, now time.Duration) {
	l.sampleCount++
	l.replies.record(elapsed, now, l.window)
	l.allCalls.record(elapsed, now, l.window)
}

// recordUnanswered records a call that was given up after elapsed. All that is known is that
// it would have taken longer. Below the tail this says nothing, and recording it
// would pull the tail down, so such values are left out. Leaving out all of them
// would do the same, because the calls that hedges win against are the slow ones.
func (l *latencyTracker) recordUnanswered(elapsed, now time.Duration) {
	if l.tail == 0 || elapsed < l.tail {
		return
	}
	l.sampleCount++
	l.allCalls.record(elapsed, now, l.window)
}

// refresh brings the percentiles up to date. Reading a histogram takes some
// microseconds, so it happens ten times a second, and more often while few
// values are known.
func (l *latencyTracker) refresh(now time.Duration) {
	if now-l.refreshedAt < percentileRefreshInterval && l.sampleCount < 2*l.samplesAtRefresh+minSamples {
		return
	}
	if l.sampleCount == l.samplesAtRefresh {
		return
	}
	l.samplesAtRefresh = l.sampleCount
	l.refreshedAt = now
	if l.replies.hasEnoughSamples() {
		l.p5 = l.replies.percentile(fastReplyPercentile)
		l.median = l.replies.percentile(medianPercentile)
		l.p75 = l.replies.percentile(hedgeGracePercentile)
	}
	if l.allCalls.hasEnoughSamples() {
		l.tail = l.allCalls.percentile(l.tailPercent)
	}
}

// hedgeDelay returns the time after which a call of a query of the given length
// is late. Half of the length is the most, so that a hedge still has time.
func (l *latencyTracker) hedgeDelay(floor, queryDuration time.Duration) time.Duration {
	limit := queryDuration / 2
	if l.tail == 0 {
		return max(floor, queryDuration/4)
	}
	delay := l.tail + l.tail/tailMarginDivisor
	if l.median > 0 {
		delay = min(delay, maxTailMedianRatio*l.median)
	}
	return max(floor, min(delay, limit))
}
