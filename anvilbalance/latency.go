package anvilbalance

import (
	"math"
	"time"
)

const (
	// shortestLatency is the upper edge of the first bucket.
	shortestLatency = 250 * time.Microsecond
	// bucketsPerOctave makes neighbouring buckets differ by a fifth.
	bucketsPerOctave = 4
	// latencyBuckets reach from 0.25 ms to about 16 s.
	latencyBuckets = 16*bucketsPerOctave + 1
	// latencyWindow is the number of samples after which older ones lose half of
	// their weight: some seconds of calls at today's rates.
	latencyWindow = 512
	// refreshSamples is the number of samples between two readings of the quantiles.
	refreshSamples = 16
	// fewSamples is the number below which the quantiles mean little.
	fewSamples = 20
)

// latency is the distribution of the latencies of one route's calls, in buckets
// of a logarithmic scale whose counts fade.
type latency struct {
	counts  [latencyBuckets]float64
	total   float64
	fresh   int
	sampled int
	// tail is the quantile that late is.
	tail   float64
	median time.Duration
	late   time.Duration
}

func bucketOf(d time.Duration) int {
	if d <= shortestLatency {
		return 0
	}
	b := int(math.Ceil(math.Log2(float64(d)/float64(shortestLatency)) * bucketsPerOctave))
	return min(b, latencyBuckets-1)
}

func bucketEdge(b int) time.Duration {
	return time.Duration(float64(shortestLatency) * math.Exp2(float64(b)/bucketsPerOctave))
}

func (l *latency) add(d time.Duration) {
	l.counts[bucketOf(d)]++
	l.total++
	l.sampled++
	l.fresh++
	if l.total >= latencyWindow {
		for i := range l.counts {
			l.counts[i] /= 2
		}
		l.total /= 2
	}
	if l.fresh >= refreshSamples || l.sampled <= fewSamples {
		l.fresh = 0
		l.median = l.quantile(0.5)
		l.late = l.quantile(l.tail)
	}
}

// quantile interpolates within the bucket.
func (l *latency) quantile(q float64) time.Duration {
	left := q * l.total
	for b, n := range l.counts {
		if n == 0 || left > n {
			left -= n
			continue
		}
		lower := time.Duration(0)
		if b > 0 {
			lower = bucketEdge(b - 1)
		}
		return lower + time.Duration(left/n*float64(bucketEdge(b)-lower))
	}
	return bucketEdge(latencyBuckets - 1)
}

// known reports whether enough calls were seen.
func (l *latency) known() bool {
	return l != nil && l.sampled >= fewSamples
}
