package anvilbalance

import (
	"time"

	"anvilbridge/anvilmodel"
)

// announcedLimit is the rate limit that a leaf announced last.
type announcedLimit struct {
	anvilmodel.RateLimit
	// announcedAt is when the leaf sent the last announcement.
	announcedAt time.Time
}

// CallCounts counts the requests that this node has sent to a leaf.
type CallCounts struct {
	First        int
	Hedges       int
	Retries      int
	HealthChecks int
}

func (c *CallCounts) add(kind CallKind) {
	switch kind {
	case CallFirst:
		c.First++
	case CallHedge:
		c.Hedges++
	case CallRetry:
		c.Retries++
	}
}

// LimitReport describes this node's calls to a leaf with a rate limit.
type LimitReport struct {
	Leaf  Leaf
	Limit anvilmodel.RateLimit
	// Age is the time since the leaf last announced the limit.
	Age time.Duration
	// Calls are those since the last report.
	Calls CallCounts
}

// RecordRateLimit records the rate limit that a leaf announces in a reply, and reports
// whether it has changed.
func (b *Balancer) RecordRateLimit(l Leaf, limit anvilmodel.RateLimit, now time.Time) bool {
	state := b.leaves[l.Name]
	if state == nil || !state.leaf.StartedAt.Equal(l.StartedAt) {
		return false
	}
	changed := state.limit.RateLimit != limit
	state.limit = announcedLimit{
		RateLimit:   limit,
		announcedAt: now,
	}
	if changed {
		state.calls = CallCounts{}
	}
	return changed
}

// LimitReports returns a report for each leaf that announces a rate limit, and resets the
// counts.
func (b *Balancer) LimitReports(now time.Time) []LimitReport {
	var reports []LimitReport
	for _, l := range b.leaves {
		if !l.limit.Limited {
			continue
		}
		reports = append(reports, LimitReport{
			Leaf:  l.leaf,
			Limit: l.limit.RateLimit,
			Age:   now.Sub(l.limit.announcedAt),
			Calls: l.calls,
		})
		l.calls = CallCounts{}
	}
	return reports
}
