package anvilquery

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyResolution is the resolution of recorded latencies.
	latencyResolution = 10 * time.Microsecond
	// maxLatency is the cap for recorded latencies; larger values are recorded as
	// this.
	maxLatency = time.Minute
	// latencySignificantDigits is the histogram precision; with 2 digits a
	// histogram takes 17 KiB.
	latencySignificantDigits = 2
	// minWindowSamples is the minimum number of samples left when older ones are
	// discarded. With 200 samples, ten lie above the 95th percentile.
	minWindowSamples = 200
	// minSamples is the minimum number of samples from which percentiles are
	// computed.
	minSamples = 16
	// percentileRefreshInterval is how long computed percentiles are reused.
	percentileRefreshInterval = 100 * time.Millisecond
	// maxTailMedianRatio limits the tail to a multiple of the median. An
	// exponential distribution has a 95th percentile of 4.3 times its median.
	// Latencies beyond 8 times the median are caused by failures, which must not
	// delay hedges.
	maxTailMedianRatio = 8
	// tailMarginDivisor adds a sixteenth to the tail. Without this margin, calls to
	// a service with almost constant latency would be hedged just as their replies
	// arrive.
	tailMarginDivisor = 16
)

// Percentiles that are computed for each service.
const (
	fastReplyPercentile  = 5
	medianPercentile     = 50
	hedgeGracePercentile = 75
)

// windowedHistogram holds the latencies of the last one to two windows. Every value
// is recorded in both histograms. Percentiles are read from the older one. When a
// window ends, the recent histogram takes its place, and the older one is cleared
// and reused.
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

func (h *windowedHistogram) record(value, now, window time.Duration) {
	units := int64(min(max(value, latencyResolution), maxLatency) / latencyResolution)
	// The value is clamped to the range of the histogram; RecordValue has no other
	// error.
	_ = h.older.RecordValue(units)
	_ = h.recent.RecordValue(units)
	if now-h.windowStart < window || h.recent.TotalCount() < minWindowSamples {
		return
	}
	h.older, h.recent = h.recent, h.older
	h.recent.Reset()
	h.windowStart = now
}

func (h *windowedHistogram) hasEnoughSamples() bool {
	return h.older.TotalCount() >= minSamples
}

func (h *windowedHistogram) percentile(percent float64) time.Duration {
	return time.Duration(h.older.ValueAtQuantile(percent)) * latencyResolution
}

// latencyTracker measures the call latencies of one service.
type latencyTracker struct {
	window time.Duration
	// tailPercent is the percentile that tail holds.
	tailPercent float64
	// replies holds the latencies of successful replies. Unanswered calls are excluded,
	// so that in a period of many timeouts their durations do not count as fast
	// replies.
	replies windowedHistogram
	// allCalls also includes the elapsed time of calls that were cancelled or timed
	// out.
	allCalls windowedHistogram

	sampleCount      uint64
	samplesAtRefresh uint64
	refreshedAt      time.Duration

	// The percentiles are zero until enough samples are available.
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

// recordUnanswered records a call that was cancelled or timed out after elapsed.
// Its real latency is unknown but larger. Below the tail such a value carries no
// information and would lower the tail estimate, so it is left out. Leaving out all
// such values would lower the tail too, because the calls that lose against a hedge
// are the slow ones.
func (l *latencyTracker) recordUnanswered(elapsed, now time.Duration) {
	if l.tail == 0 || elapsed < l.tail {
		return
	}
	l.sampleCount++
	l.allCalls.record(elapsed, now, l.window)
}

// refresh recomputes the percentiles. Reading a histogram takes some microseconds,
// so this is done at most ten times a second, and more often while there are few
// samples.
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

// hedgeDelay returns the time after which a call counts as late, in a query with
// the given time until its deadline. It is at most half of that time, so that a
// hedge still has time to reply.
func (l *latencyTracker) hedgeDelay(minDelay, queryDuration time.Duration) time.Duration {
	limit := queryDuration / 2
	if l.tail == 0 {
		return max(minDelay, queryDuration/4)
	}
	delay := l.tail + l.tail/tailMarginDivisor
	if l.median > 0 {
		delay = min(delay, maxTailMedianRatio*l.median)
	}
	return max(minDelay, min(delay, limit))
}
