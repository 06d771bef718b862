package anvilbalance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

const (
	// burstTime and burstCalls give the number of calls that all nodes together may make at
	// once to a leaf with a rate limit: those of burstTime, plus burstCalls.
	burstTime  = 750 * time.Millisecond
	burstCalls = 2
	// maxColdRateShare and coldBurstShare are the parts of what a cold leaf may receive
	// within a second that its calls use on average, and at once. The rest is left for the
	// calls of many nodes, whose number varies.
	maxColdRateShare = 0.5
	coldBurstShare   = 0.125
	// A leaf tolerates limitTolerance times its limit plus toleratedCalls in any limitWindow
	// (the users' rule).
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	toleratedCalls = 5
	// manyNodesShare is the share of a limit below which a node that makes its calls in parts
	// reduces its rate. Many nodes complete their calls independently of each other, so that
	// the number of their calls together varies.
	manyNodesShare = 0.1
	// maxDeviations is the number of standard deviations by which it may vary within what a
	// leaf tolerates.
	maxDeviations = 5
	// maxNewLimits bounds the rate limits in a message to another node, and maxOldLimits
	// those that changed more than newLimitTime ago. One takes about 40 bytes, and a node may
	// send messages to 16 others every 1.4 s. Old limits then take 1.8 KB/s of the 4 KB/s
	// that a node may spend on control traffic, new ones up to 15 KB/s for newLimitTime.
	maxNewLimits = 32
	maxOldLimits = 4
	newLimitTime = 5 * time.Second
)

// RecordRateLimit records the rate limit that a leaf announces in a reply, and reports
// whether it has changed.
func (b *Balancer) RecordRateLimit(l Leaf, limit anvilmodel.RateLimit, now time.Time) bool {
	state := b.process(l)
	return state != nil && b.updateLimit(state, limit, now, now)
}

// MergeRateLimit records a rate limit that another node passed on, unless this node has a
// later announcement of the leaf. It reports whether the limit has changed.
func (b *Balancer) MergeRateLimit(n anvilmodel.RateLimitNotice, now time.Time) bool {
	state := b.leaves[n.Leaf]
	announcedAt := now.Add(-n.Age)
	if state == nil || !state.leaf.StartedAt.Equal(n.StartedAt) || n.Age < 0 || !announcedAt.After(state.limit.announcedAt) {
		return false
	}
	return b.updateLimit(state, n.RateLimit, announcedAt, now)
}

func (b *Balancer) updateLimit(state *leafState, limit anvilmodel.RateLimit, announcedAt, now time.Time) bool {
	wasLimited := state.limit.Limited
	changed := state.limit.update(limit, announcedAt)
	if changed {
		state.calls = CallCounts{}
	}
	if !wasLimited && limit.Limited {
		state.bucket = b.newBucket(state.leaf.Name, now)
	}
	return changed
}

// RateLimitsToAnnounce returns the rate limits to pass on to other nodes: those that leaves
// announced or ended within announceDuration, the latest changes first, and only a few that
// have not changed lately.
func (b *Balancer) RateLimitsToAnnounce(now time.Time) []anvilmodel.RateLimitNotice {
	var recent []*leafState
	for _, l := range b.leaves {
		if !l.limit.changedAt.IsZero() && now.Sub(l.limit.announcedAt) < announceDuration {
			recent = append(recent, l)
		}
	}
	slices.SortFunc(recent, func(x, y *leafState) int {
		return cmp.Or(y.limit.changedAt.Compare(x.limit.changedAt), cmp.Compare(x.leaf.Name, y.leaf.Name))
	})
	var notices []anvilmodel.RateLimitNotice
	for i, l := range recent[:min(len(recent), maxNewLimits)] {
		if i >= maxOldLimits && now.Sub(l.limit.changedAt) >= newLimitTime {
			break
		}
		notices = append(notices, anvilmodel.RateLimitNotice{
			Leaf:      l.leaf.Name,
			StartedAt: l.leaf.StartedAt,
			RateLimit: l.limit.RateLimit,
			Age:       now.Sub(l.limit.announcedAt),
		})
	}
	return notices
}

// rateLimitAllowsHedge reports whether the rate limits of the leaf leave enough for other
// calls after a hedge: half of the calls that may be made at once.
func (b *Balancer) rateLimitAllowsHedge(l *leafState, now time.Time) bool {
	rate, limited := b.callRate(l, now)
	return !limited || b.rateLimitWait(l, now) == 0 && l.bucket.tokens-1 >= rate.burst/2
}

// callRate returns the rate at which this node may call a leaf; limited is false if there is
// no limit. A cold leaf that also announces a limit gets the lower one.
func (b *Balancer) callRate(l *leafState, now time.Time) (rate callRate, limited bool) {
	rate = callRate{
		perSecond: math.Inf(1),
		burst:     math.Inf(1),
	}
	if perSecond, ok := l.limit.current(now); ok {
		rate.perSecond = perSecond
		limited = true
	}
	if coldRate := b.service(l.leaf.Service).settings.MaxColdRate; coldRate > 0 && l.cold(now) {
		maxPerSecond := coldRate*b.config.ColdFactor + b.config.ColdSlack
		rate.perSecond = min(rate.perSecond, coldRate, maxPerSecond*maxColdRateShare)
		rate.burst = maxPerSecond * coldBurstShare
		limited = true
	}
	rate.burst = min(rate.burst, rate.perSecond*burstTime.Seconds()+burstCalls)
	rate.perSecond *= b.share
	rate.burst *= b.share
	if rate.isPartial() && b.share < manyNodesShare {
		rate.perSecond = manyNodesRate(rate.perSecond/b.share) * b.share
	}
	return rate, limited
}

// manyNodesRate returns the average rate of calls of many nodes together to a leaf with the
// limit. The number of calls in limitWindow varies by the root of its average.
func manyNodesRate(perSecond float64) float64 {
	window := limitWindow.Seconds()
	tolerated := limitTolerance*perSecond*window + toleratedCalls
	root := (math.Sqrt(maxDeviations*maxDeviations+4*tolerated) - maxDeviations) / 2
	return min(perSecond, root*root/window)
}

// rateLimitWait returns the time until the rate limits of the leaf allow a call; 0 if they
// allow one now.
func (b *Balancer) rateLimitWait(l *leafState, now time.Time) time.Duration {
	rate, limited := b.callRate(l, now)
	if !limited {
		return 0
	}
	if l.bucket.refilledAt.IsZero() {
		l.bucket = b.newBucket(l.leaf.Name, now)
	}
	l.bucket.refill(rate, now)
	return l.bucket.wait(rate)
}

// newBucket returns an empty bucket. Its part of a call differs by the position of the node,
// and by leaf, so that not always the same nodes complete their calls first.
func (b *Balancer) newBucket(name anvilmodel.LeafName, now time.Time) tokenBucket {
	offset := float64(xxhash.Sum64String(string(name))) / math.MaxUint64
	_, partial := math.Modf(b.phase + offset)
	return tokenBucket{
		refilledAt: now,
		partial:    partial,
	}
}

// attemptCall reports whether the rate limits of the leaf allow a call now. An attempt that
// is not allowed may still take its part of a call.
func (b *Balancer) attemptCall(l *leafState, now time.Time) bool {
	if b.rateLimitWait(l, now) == 0 {
		return true
	}
	l.calls.Withheld++
	rate, _ := b.callRate(l, now)
	return l.bucket.attempt(rate)
}

// takeTokens takes the tokens of a request that is sent to the leaf.
func (b *Balancer) takeTokens(l *leafState, now time.Time) {
	if rate, limited := b.callRate(l, now); limited {
		l.bucket.take(rate)
	}
}
