package anvilbalance

import (
	"slices"
	"time"
)

// Leafs pause now and then, for garbage collection or to merge their indexes, and
// many do so at regular times. A call that is sent just before or into a pause
// waits it out. The period is learned from all leafs together, because one leaf
// gets too few calls to show it; the phase is each leaf's own.

const (
	// stallFactor and shortestStall tell a stall from an ordinary slow call: its
	// latency in medians of the route, and the least time.
	stallFactor   = 5
	shortestStall = 50 * time.Millisecond
	// stallMerge is the time within which the ends of several calls belong to one
	// stall.
	stallMerge = 250 * time.Millisecond
	// keptStalls is the number of stalls that are kept of a leaf.
	keptStalls = 6
	// keptGaps is the number of gaps between stalls from which the period is learned.
	keptGaps = 512
	// estimateGaps is the number of new gaps between two estimates.
	estimateGaps = 8
	// shortestPeriod and longestPeriod bound what is taken for a period.
	shortestPeriod = 500 * time.Millisecond
	longestPeriod  = 20 * time.Second
	// periodTolerance is how far a stall may be off its time: the end of a pause is
	// seen only when a call has ended after it.
	periodTolerance = 50 * time.Millisecond
	// fewestVotes and voteShare are how many gaps, and which part of all, have to
	// agree on a period.
	fewestVotes = 8
	voteShare   = 0.12
	// steadyRatio is the relative latency up to which a leaf counts as steady; the
	// slow calls of a slow leaf say nothing of pauses.
	steadyRatio = 3.0
	// lengthQuantile of the stalls' lengths is taken for the length of a pause: most
	// calls begin within it and see only a part.
	lengthQuantile = 0.92
	// forgottenPeriods is the number of periods after which a phase that was not
	// seen again is no longer relied on.
	forgottenPeriods = 30
)

// pauseModel is the period and length that the leafs' pauses have in common.
type pauseModel struct {
	gaps    []time.Duration
	lengths []time.Duration
	added   int
	// period is 0 while none is known.
	period time.Duration
	length time.Duration
}

// stalls are the stalls of one leaf.
type stalls struct {
	// ends are when the last ones ended, the latest first.
	ends []time.Time
	// longest is the longest call of the latest one.
	longest time.Duration
	// agreed is when the latest stall ended that fits the period.
	agreed time.Time
}

// note takes a call over that took long and ended at now.
func (m *pauseModel) note(s *stalls, elapsed time.Duration, now time.Time) {
	if len(s.ends) > 0 && now.Sub(s.ends[0]) < stallMerge {
		s.longest = max(s.longest, elapsed)
		return
	}
	// Slow calls that are no stall lie between the pauses, so that all pairs vote.
	for _, earlier := range s.ends {
		m.add(now.Sub(earlier), s.longest)
	}
	s.longest = elapsed
	s.ends = slices.Insert(s.ends, 0, now)
	s.ends = s.ends[:min(len(s.ends), keptStalls)]
	if m.agrees(s, now) {
		s.agreed = now
	}
}

// agrees reports whether a stall that ended at now fits the leaf's phase, or a new
// phase that two earlier stalls fit as well.
func (m *pauseModel) agrees(s *stalls, now time.Time) bool {
	if !s.agreed.IsZero() && m.fits(now.Sub(s.agreed)) {
		return true
	}
	fitting := 0
	for _, earlier := range s.ends[1:] {
		if m.fits(now.Sub(earlier)) {
			fitting++
		}
	}
	return fitting >= 2 || s.agreed.IsZero() && fitting == 1
}

// add takes a gap between two stalls of a leaf and the length of the earlier one.
func (m *pauseModel) add(gap, length time.Duration) {
	if gap < shortestPeriod || gap > longestPeriod {
		return
	}
	m.gaps = keepLast(append(m.gaps, gap), keptGaps)
	m.lengths = keepLast(append(m.lengths, length), keptGaps)
	m.added++
	if m.added%estimateGaps == 0 {
		m.estimate()
	}
}

func keepLast(values []time.Duration, most int) []time.Duration {
	if len(values) > most {
		return values[len(values)-most:]
	}
	return values
}

// estimate finds the shortest gap that many agree on. A leaf whose stalls were
// missed shows a multiple of the period. Without agreement the last period stays:
// the phases that it gives are forgotten unless stalls confirm them.
func (m *pauseModel) estimate() {
	sorted := slices.Sorted(slices.Values(m.gaps))
	best, votes := densest(sorted)
	if votes < fewestVotes || float64(votes) < voteShare*float64(len(sorted)) {
		return
	}
	for divisor := time.Duration(3); divisor >= 2; divisor-- {
		if fraction, n := around(sorted, best/divisor); n*2 >= votes {
			best = fraction
			break
		}
	}
	m.period = best
	lengths := slices.Sorted(slices.Values(m.lengths))
	m.length = min(lengths[int(lengthQuantile*float64(len(lengths)-1))], best/2)
}

// densest returns the mean and number of the gaps in the densest stretch.
func densest(sorted []time.Duration) (mean time.Duration, votes int) {
	for _, gap := range sorted {
		if m, n := around(sorted, gap+periodTolerance); n > votes {
			mean, votes = m, n
		}
	}
	return mean, votes
}

// around returns the mean and number of the gaps within the tolerance.
func around(sorted []time.Duration, center time.Duration) (mean time.Duration, votes int) {
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

// fits reports whether a gap is a multiple of the period.
func (m *pauseModel) fits(gap time.Duration) bool {
	if m.period <= 0 || gap < m.period-periodTolerance {
		return false
	}
	off := (gap + m.period/2) % m.period
	return off >= m.period/2-periodTolerance && off <= m.period/2+periodTolerance
}

// due reports whether a leaf is expected to pause at now or within the lead, the
// time that a call takes.
func (m *pauseModel) due(s *stalls, lead time.Duration, now time.Time) bool {
	if m.period <= 0 || s.agreed.IsZero() {
		return false
	}
	since := now.Sub(s.agreed)
	if since > forgottenPeriods*m.period {
		return false
	}
	return since%m.period >= m.period-m.length-lead
}

// PausePattern returns the period and length of the leafs' pauses as learned; 0 if none
// are known.
func (b *Balancer) PausePattern() (period, length time.Duration) {
	return b.pauses.period, b.pauses.length
}
