package anvilleaf

import "time"

// Parameters of the service time estimates. Windows and means are measured in
// calls.
const (
	minimumWindow  = 64
	baselineWindow = 32
	// baselineRiseDivisor limits the rise of the baseline to this fraction per
	// window, so that a leaf that has become permanently slower is eventually
	// compared with its new service time.
	baselineRiseDivisor = 100
	recentMeanCalls     = 16
	longTermMeanCalls   = 128
	// longTermMeanCallsWhileSlow is used instead while the recent mean is over
	// 1.5 times the long-term mean, so that a growing slowdown does not raise
	// the long-term mean.
	longTermMeanCallsWhileSlow = 4096
	// minLongTermSamples is the number of calls to a warm leaf after which the
	// long-term mean is used to detect degradation.
	minLongTermSamples = 32
	// degradationFactor is the ratio of the recent to the long-term mean above
	// which the leaf is degraded.
	degradationFactor = 4
	// minDegradation is the smallest difference between the two means that
	// counts as degradation, so that jitter of very short calls does not.
	minDegradation = 2 * time.Millisecond
)

// latencyEstimator estimates the service time of one leaf from successful
// calls.
type latencyEstimator struct {
	// recentMean is a moving mean over about recentMeanCalls calls.
	recentMean time.Duration
	// longTermMean is a moving mean over about longTermMeanCalls calls to the
	// warm leaf.
	longTermMean    time.Duration
	longTermSamples int
	// windowMin holds the minimum of the current and of the previous window.
	windowMin   [2]time.Duration
	windowCount int
	// baseline is the lowest mean of a window, which rises slowly; 0 until a
	// window is complete.
	baseline      time.Duration
	baselineSum   time.Duration
	baselineCount int
}

// add records the service time of a successful call.
func (l *latencyEstimator) add(t time.Duration, warm bool) {
	if l.recentMean == 0 {
		l.recentMean = t
	}
	l.recentMean += (t - l.recentMean) / recentMeanCalls
	l.updateMin(t)
	l.updateBaseline(t)
	if !warm {
		return
	}
	l.longTermSamples++
	switch {
	case l.longTermSamples <= minLongTermSamples:
		l.longTermMean += (t - l.longTermMean) / time.Duration(l.longTermSamples)
	case 2*l.recentMean > 3*l.longTermMean:
		l.longTermMean += (t - l.longTermMean) / longTermMeanCallsWhileSlow
	default:
		l.longTermMean += (t - l.longTermMean) / longTermMeanCalls
	}
}

// resetLongTermMean discards the long-term mean when the leaf becomes warm.
func (l *latencyEstimator) resetLongTermMean() {
	l.longTermMean = 0
	l.longTermSamples = 0
}

// degraded reports whether the recent mean is over 4 times the long-term mean.
func (l *latencyEstimator) degraded() bool {
	if l.longTermSamples < minLongTermSamples {
		return false
	}
	return l.recentMean > degradationFactor*l.longTermMean && l.recentMean > l.longTermMean+minDegradation
}

// minServiceTime returns the shortest service time of the last 64 to 128
// successful calls, 0 if there was none.
func (l *latencyEstimator) minServiceTime() time.Duration {
	if l.windowMin[1] == 0 {
		return l.windowMin[0]
	}
	if l.windowMin[0] == 0 {
		return l.windowMin[1]
	}
	return min(l.windowMin[0], l.windowMin[1])
}

func (l *latencyEstimator) updateMin(t time.Duration) {
	if l.windowCount == minimumWindow {
		l.windowMin[1] = l.windowMin[0]
		l.windowMin[0] = 0
		l.windowCount = 0
	}
	l.windowCount++
	if l.windowMin[0] == 0 || t < l.windowMin[0] {
		l.windowMin[0] = t
	}
}

func (l *latencyEstimator) updateBaseline(t time.Duration) {
	l.baselineSum += t
	l.baselineCount++
	if l.baselineCount < baselineWindow {
		return
	}
	mean := l.baselineSum / baselineWindow
	if l.baseline == 0 {
		l.baseline = mean
	}
	l.baseline = min(mean, l.baseline+l.baseline/baselineRiseDivisor)
	l.baselineSum = 0
	l.baselineCount = 0
}
