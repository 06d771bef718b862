package anvilbalance

import (
	"math"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// minRateLimit is the least number of requests per second that all nodes together send
	// to a leaf with a rate limit, because only a reply shows that the limit has ended.
	minRateLimit = 0.25
	// limitRaiseDelay is the time after which a higher limit applies, so that no limitWindow
	// holds more than the lower one allows.
	limitRaiseDelay = limitWindow
	// After the end of a limit, the rate of calls starts at twice the limit and doubles every
	// rampStep until rampTime is over, because all nodes return to the leaf at the same time.
	rampStep = 2 * time.Second
	rampTime = 4 * rampStep
)

// announcedLimit is the rate limit that a leaf announced last.
type announcedLimit struct {
	anvilmodel.RateLimit
	// announcedAt is when the leaf sent the last announcement, and changedAt when it sent
	// the first of the present limit.
	announcedAt time.Time
	changedAt   time.Time
	// lower holds earlier limits that are lower and still apply, the lowest first.
	lower []supersededLimit
	// ended is the limit that the leaf has ended last.
	ended supersededLimit
}

// supersededLimit is an earlier limit.
type supersededLimit struct {
	perSecond float64
	endedAt   time.Time
}

// update takes over an announcement and reports whether it differs from the last one.
func (a *announcedLimit) update(limit anvilmodel.RateLimit, now time.Time) bool {
	previous := a.RateLimit
	a.RateLimit = limit
	a.announcedAt = now
	if limit == previous {
		return false
	}
	a.changedAt = now
	if !limit.Limited {
		a.ended = supersededLimit{
			perSecond: a.lowest(previous.PerSecond, now),
			endedAt:   now,
		}
		a.lower = nil
		return true
	}
	if previous.Limited {
		a.lower = append(a.lower, supersededLimit{
			perSecond: previous.PerSecond,
			endedAt:   now,
		})
	}
	a.lower = slices.DeleteFunc(a.lower, func(l supersededLimit) bool { return l.perSecond >= limit.PerSecond })
	return true
}

// current returns the limit in force; limited is false if there is none.
func (a *announcedLimit) current(now time.Time) (perSecond float64, limited bool) {
	if a.Limited {
		return max(a.lowest(a.PerSecond, now), minRateLimit), true
	}
	sinceEnd := now.Sub(a.ended.endedAt)
	if a.ended.endedAt.IsZero() || sinceEnd >= rampTime {
		return 0, false
	}
	return math.Ldexp(max(a.ended.perSecond, minRateLimit), 1+int(sinceEnd/rampStep)), true
}

// lowest returns the lowest of the given limit and those that the leaf has announced within
// limitRaiseDelay.
func (a *announcedLimit) lowest(perSecond float64, now time.Time) float64 {
	for len(a.lower) > 0 && now.Sub(a.lower[0].endedAt) >= limitRaiseDelay {
		a.lower = a.lower[1:]
	}
	if len(a.lower) > 0 {
		return min(perSecond, a.lower[0].perSecond)
	}
	return perSecond
}
