package anvilleaf

import "time"

// Sizes of the windows over which service times are judged, in calls.
const (
	fastWindow  = 64
	floorWindow = 32
	// floorRise is the part of the floor by which it rises with each window, so
	// that a leaf that has become slower for good is judged by its new pace.
	floorRise   = 100
	recentShare = 16
	usualShare  = 128
	// usualSlowShare is used instead while recent calls take half as long again
	// as usual, so that distress is not learned as usual while it builds up.
	usualSlowShare = 4096
	// distressSamples is the number of calls after which the usual service
	// time of a warm leaf is trusted.
	distressSamples = 32
	// distressFactor times the usual service time is distress.
	distressFactor = 4
	// distressLeast keeps jitter of very short calls from counting as distress.
	distressLeast = 2 * time.Millisecond
)

// latency keeps estimates of the service time of one leaf from good calls.
type latency struct {
	// recent is a moving mean over about recentShare calls.
	recent time.Duration
	// usual is a moving mean over about usualShare calls of the warm leaf.
	usual      time.Duration
	warmSample int
	// fast holds the minimum of the running and of the last window.
	fast      [2]time.Duration
	fastCount int
	// floor is the lowest mean of a window, 0 until one is complete.
	floor      time.Duration
	floorSum   time.Duration
	floorCount int
}

// add takes the service time of a good call.
func (l *latency) add(t time.Duration, warm bool) {
	if l.recent == 0 {
		l.recent = t
	}
	l.recent += (t - l.recent) / recentShare
	l.addFast(t)
	l.addFloor(t)
	if !warm {
		return
	}
	l.warmSample++
	switch {
	case l.warmSample <= distressSamples:
		l.usual += (t - l.usual) / time.Duration(l.warmSample)
	case 2*l.recent > 3*l.usual:
		l.usual += (t - l.usual) / usualSlowShare
	default:
		l.usual += (t - l.usual) / usualShare
	}
}

// restart forgets the usual service time; the leaf has just become warm.
func (l *latency) restart() {
	l.usual = 0
	l.warmSample = 0
}

// distressed reports whether recent calls took over 4 times as long as usual.
func (l *latency) distressed() bool {
	if l.warmSample < distressSamples {
		return false
	}
	return l.recent > distressFactor*l.usual && l.recent > l.usual+distressLeast
}

// fastest returns the shortest service time of the last 64 to 128 good calls,
// 0 if there was none.
func (l *latency) fastest() time.Duration {
	if l.fast[1] == 0 {
		return l.fast[0]
	}
	if l.fast[0] == 0 {
		return l.fast[1]
	}
	return min(l.fast[0], l.fast[1])
}

func (l *latency) addFast(t time.Duration) {
	if l.fastCount == fastWindow {
		l.fast[1] = l.fast[0]
		l.fast[0] = 0
		l.fastCount = 0
	}
	l.fastCount++
	if l.fast[0] == 0 || t < l.fast[0] {
		l.fast[0] = t
	}
}

func (l *latency) addFloor(t time.Duration) {
	l.floorSum += t
	l.floorCount++
	if l.floorCount < floorWindow {
		return
	}
	mean := l.floorSum / floorWindow
	if l.floor == 0 {
		l.floor = mean
	}
	l.floor = min(mean, l.floor+l.floor/floorRise)
	l.floorSum = 0
	l.floorCount = 0
}
