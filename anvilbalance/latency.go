package anvilbalance

import (
	"math"
	"time"
)

const (
	// firstBucketEdge is the upper edge of the first bucket.
	firstBucketEdge = 250 * time.Microsecond
	// bucketsPerOctave makes neighbouring buckets differ by about a fifth.
	bucketsPerOctave = 4
	// bucketCount covers latencies from 0.25 ms to about 16 s.
	bucketCount = 16*bucketsPerOctave + 1
	// decaySamples is the total weight at which all samples lose half of their weight.
	// It corresponds to a few seconds of calls at current rates.
	decaySamples = 512
	// refreshSamples is the number of samples between two computations of the
	// quantiles.
	refreshSamples = 16
	// minSamples is the number of samples below which the quantiles are not reliable.
	minSamples = 20
)

// latencyHistogram is the distribution of the latencies of one route's calls. Its
// buckets have a logarithmic scale, and their counts decay.
type latencyHistogram struct {
	counts [bucketCount]float64
	// totalWeight is the sum of counts.
	totalWeight  float64
	sinceRefresh int
	samples      int
	tailQuantile float64
	median       time.Duration
	// tail is the latency at tailQuantile.
	tail time.Duration
}

func bucketIndex(d time.Duration) int {
	if d <= firstBucketEdge {
		return 0
	}
	b := int(math.Ceil(math.Log2(float64(d)/float64(firstBucketEdge)) * bucketsPerOctave))
	return min(b, bucketCount-1)
}

// bucketEdge returns the upper edge of a bucket.
func bucketEdge(b int) time.Duration {
	return time.Duration(float64(firstBucketEdge) * math.Exp2(float64(b)/bucketsPerOctave))
}

func (h *latencyHistogram) add(d time.Duration) {
	h.counts[bucketIndex(d)]++
	h.totalWeight++
	h.samples++
	h.sinceRefresh++
	if h.totalWeight >= decaySamples {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.totalWeight /= 2
	}
	if h.sinceRefresh >= refreshSamples || h.samples <= minSamples {
		h.sinceRefresh = 0
		h.median = h.quantile(0.5)
		h.tail = h.quantile(h.tailQuantile)
	}
}

// quantile returns the latency at quantile q, interpolated within its bucket.
func (h *latencyHistogram) quantile(q float64) time.Duration {
	remaining := q * h.totalWeight
	for b, n := range h.counts {
		if n == 0 || remaining > n {
			remaining -= n
			continue
		}
		lower := time.Duration(0)
		if b > 0 {
			lower = bucketEdge(b - 1)
		}
		return lower + time.Duration(remaining/n*float64(bucketEdge(b)-lower))
	}
	return bucketEdge(bucketCount - 1)
}

// reliable reports whether there are enough samples for the quantiles.
func (h *latencyHistogram) reliable() bool {
	return h != nil && h.samples >= minSamples
}
