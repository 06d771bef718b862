package anvilbalance

import (
	"slices"
	"time"
)

// Leaves pause occasionally, for garbage collection or to merge their indexes, and
// many do so periodically. A call that is sent shortly before or during a pause
// waits until its end. The period is estimated from all leaves together, because
// one leaf gets too few calls to reveal it; the phase is specific to each leaf.

const (
	// stallFactor and minStall distinguish a stall from an ordinary slow call. A stall
	// takes at least stallFactor times the median latency of the route, and at least
	// minStall.
	stallFactor = 5
	minStall    = 50 * time.Millisecond
	// stallMergeWindow is the time within which the ends of several slow calls count
	// as one stall.
	stallMergeWindow = 250 * time.Millisecond
	// maxStalls is the number of stalls that are kept per leaf.
	maxStalls = 6
	// maxGaps is the number of gaps between stalls that the period is estimated from.
	maxGaps = 512
	// gapsPerEstimate is the number of new gaps between two estimates.
	gapsPerEstimate = 8
	// minPeriod and maxPeriod limit the estimated period.
	minPeriod = 500 * time.Millisecond
	maxPeriod = 20 * time.Second
	// periodTolerance is how far a stall may be from its expected time: the end of a
	// pause is only observed when a call ends after it.
	periodTolerance = 50 * time.Millisecond
	// minVotes and minVoteShare are the number and the share of gaps that have to agree
	// on a period.
	minVotes     = 8
	minVoteShare = 0.12
	// maxSteadyRatio is the relative latency up to which a leaf counts as steady. Slow
	// calls at a leaf that is slow in general are not evidence of pauses.
	maxSteadyRatio = 3.0
	// pauseLengthQuantile is the quantile of the stall lengths that is used as the
	// length of a pause. Most calls start during the pause and observe only a part
	// of it.
	pauseLengthQuantile = 0.92
	// phaseExpiryPeriods is the number of periods after which a phase that no stall
	// has confirmed expires.
	phaseExpiryPeriods = 30
)

// pauseModel is the period and length that the pauses of all leaves have in common.
type pauseModel struct {
	gaps      []time.Duration
	lengths   []time.Duration
	gapsAdded int
	// period is 0 while it is unknown.
	period      time.Duration
	pauseLength time.Duration
}

// stallHistory holds the recent stalls of one leaf.
type stallHistory struct {
	// ends are the times at which the stalls ended, latest first.
	ends []time.Time
	// longestCall is the longest call of the latest stall.
	longestCall time.Duration
	// lastMatch is the end of the latest stall that matches the period.
	lastMatch time.Time
}

// recordStall records a slow call that ended at now.
func (m *pauseModel) recordStall(s *stallHistory, elapsed time.Duration, now time.Time) {
	if len(s.ends) > 0 && now.Sub(s.ends[0]) < stallMergeWindow {
		s.longestCall = max(s.longestCall, elapsed)
		return
	}
	// Slow calls that are not caused by a pause occur between the pauses, so gaps to
	// all earlier stalls are counted and not only the gap to the latest one.
	for _, earlier := range s.ends {
		m.addGap(now.Sub(earlier), s.longestCall)
	}
	s.longestCall = elapsed
	s.ends = slices.Insert(s.ends, 0, now)
	s.ends = s.ends[:min(len(s.ends), maxStalls)]
	if m.matchesPhase(s, now) {
		s.lastMatch = now
	}
}

// matchesPhase reports whether a stall that ended at now matches the phase of the
// leaf, or a new phase that two earlier stalls match as well. If no phase is known
// yet, one earlier stall is enough.
func (m *pauseModel) matchesPhase(s *stallHistory, now time.Time) bool {
	if !s.lastMatch.IsZero() && m.isMultipleOfPeriod(now.Sub(s.lastMatch)) {
		return true
	}
	matches := 0
	for _, earlier := range s.ends[1:] {
		if m.isMultipleOfPeriod(now.Sub(earlier)) {
			matches++
		}
	}
	return matches >= 2 || s.lastMatch.IsZero() && matches == 1
}

// addGap records a gap between two stalls of a leaf, and the length of the stall
// before the one that ends the gap.
func (m *pauseModel) addGap(gap, length time.Duration) {
	if gap < minPeriod || gap > maxPeriod {
		return
	}
	m.gaps = keepLast(append(m.gaps, gap), maxGaps)
	m.lengths = keepLast(append(m.lengths, length), maxGaps)
	m.gapsAdded++
	if m.gapsAdded%gapsPerEstimate == 0 {
		m.estimatePeriod()
	}
}

func keepLast(values []time.Duration, limit int) []time.Duration {
	if len(values) > limit {
		return values[len(values)-limit:]
	}
	return values
}

// estimatePeriod sets the period to the value that most gaps agree on, or to a third
// or half of it if at least half as many gaps agree on that: a leaf whose stalls were
// partly missed yields multiples of the period. If too few gaps agree, the previous
// period is kept; phases based on it expire unless stalls confirm them.
func (m *pauseModel) estimatePeriod() {
	sorted := slices.Sorted(slices.Values(m.gaps))
	best, votes := densestCluster(sorted)
	if votes < minVotes || float64(votes) < minVoteShare*float64(len(sorted)) {
		return
	}
	for divisor := time.Duration(3); divisor >= 2; divisor-- {
		if fraction, n := clusterAround(sorted, best/divisor); n*2 >= votes {
			best = fraction
			break
		}
	}
	m.period = best
	lengths := slices.Sorted(slices.Values(m.lengths))
	m.pauseLength = min(lengths[int(pauseLengthQuantile*float64(len(lengths)-1))], best/2)
}

// densestCluster returns the mean and size of the largest cluster of gaps.
func densestCluster(sorted []time.Duration) (mean time.Duration, votes int) {
	for _, gap := range sorted {
		if m, n := clusterAround(sorted, gap+periodTolerance); n > votes {
			mean, votes = m, n
		}
	}
	return mean, votes
}

// clusterAround returns the mean and number of the gaps within periodTolerance of
// the center.
func clusterAround(sorted []time.Duration, center time.Duration) (mean time.Duration, votes int) {
	first, _ := slices.BinarySearch(sorted, center-periodTolerance)
	last, _ := slices.BinarySearch(sorted, center+periodTolerance+1)
	if last <= first {
		return 0, 0
	}
	sum := time.Duration(0)
	for _, gap := range sorted[first:last] {
		sum += gap - center
	}
	return center + sum/time.Duration(last-first), last - first
}

// isMultipleOfPeriod reports whether a gap is a multiple of the period, within
// periodTolerance.
func (m *pauseModel) isMultipleOfPeriod(gap time.Duration) bool {
	if m.period <= 0 || gap < m.period-periodTolerance {
		return false
	}
	shifted := (gap + m.period/2) % m.period
	return shifted >= m.period/2-periodTolerance && shifted <= m.period/2+periodTolerance
}

// pauseExpected reports whether the leaf is expected to pause at now or within
// callTime, the time that a call takes.
func (m *pauseModel) pauseExpected(s *stallHistory, callTime time.Duration, now time.Time) bool {
	if m.period <= 0 || s.lastMatch.IsZero() {
		return false
	}
	elapsed := now.Sub(s.lastMatch)
	if elapsed > phaseExpiryPeriods*m.period {
		return false
	}
	return elapsed%m.period >= m.period-m.pauseLength-callTime
}

// PausePattern returns the estimated period and length of the leaves' pauses; 0 if
// they are unknown.
func (b *Balancer) PausePattern() (period, length time.Duration) {
	return b.pauses.period, b.pauses.pauseLength
}
