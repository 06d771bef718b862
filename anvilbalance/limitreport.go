package anvilbalance

import (
	"time"

	"anvilbridge/anvilmodel"
)

// CallCounts counts the requests that this node has sent to a leaf.
type CallCounts struct {
	First        int
	Hedges       int
	Retries      int
	HealthChecks int
	// Withheld is how often the leaf was passed over because of its rate limit.
	Withheld int
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
	// Share is the part of the limit that this node may use.
	Share float64
	// Calls are those since the last report or change of the limit.
	Calls CallCounts
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
			Share: b.share,
			Calls: l.calls,
		})
		l.calls = CallCounts{}
	}
	return reports
}
