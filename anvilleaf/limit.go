package anvilleaf

import "time"

// Parameters of DefaultLimitRule, which BenchmarkLimitRules compares with
// simpler rules.
const (
	// maxGrowthLatencyRatio is the ratio of the mean service time to its
	// baseline up to which the limit still grows. Above
	// minReductionLatencyRatio the leaf queues calls itself, and a limit above
	// the slots is reduced.
	maxGrowthLatencyRatio    = 1.8
	minReductionLatencyRatio = 2.2
	// shedHoldTime is the time for which the limit stays below the number of
	// calls in flight at the last shed. Without it, a leaf that sheds all calls
	// above its slots refuses one call in ten.
	shedHoldTime = 5 * time.Second
)

// LimitSample is the input of a LimitRule for one finished call.
type LimitSample struct {
	// Limit is the limit before this call.
	Limit float64
	// LimitReached is true if the limit was reached when the call ended.
	LimitReached bool
	// Shed is true if the leaf refused the call; at most one shed per round
	// trip is passed on.
	Shed bool
	// MeanServiceTime is the mean service time of recent successful calls.
	MeanServiceTime time.Duration
	// BaselineServiceTime is the lowest mean service time of a window of calls,
	// 0 if it is not known yet. It rises slowly, to follow a leaf that has
	// become slower.
	BaselineServiceTime time.Duration
	Slots               int
	// InFlightAtShed is the number of calls that were in flight at the last
	// shed, 0 if there was none. TimeSinceShed is the time since then.
	InFlightAtShed int
	TimeSinceShed  time.Duration
}

// LimitRule returns the next limit of a warm leaf. The dispatcher keeps the
// result between 1 and Config.MaxLimit.
type LimitRule func(LimitSample) float64

// DefaultLimitRule implements additive increase and multiplicative decrease. It
// halves the limit on a shed. While the limit is reached and the service time
// is near its baseline, it adds 1/limit per successful call, but for 5 s after
// a shed stays below the number of calls that were in flight then. While the
// limit is above the slots and the service time is far above its baseline, it
// subtracts 1/limit per call.
func DefaultLimitRule(s LimitSample) float64 {
	if s.Shed {
		return s.Limit / 2
	}
	if s.BaselineServiceTime == 0 {
		return s.Limit
	}
	latencyRatio := float64(s.MeanServiceTime) / float64(s.BaselineServiceTime)
	if latencyRatio > minReductionLatencyRatio && s.Limit > float64(s.Slots) {
		return s.Limit - 1/s.Limit
	}
	if !s.LimitReached || latencyRatio > maxGrowthLatencyRatio {
		return s.Limit
	}
	next := s.Limit + 1/s.Limit
	if next >= float64(s.InFlightAtShed) && s.TimeSinceShed < shedHoldTime {
		return s.Limit
	}
	return next
}

// updateLimit applies the limit rule.
func (d *Dispatcher) updateLimit(limitReached, shed bool) {
	before := int(d.limit)
	next := d.config.LimitRule(LimitSample{
		Limit:               d.limit,
		LimitReached:        limitReached,
		Shed:                shed,
		MeanServiceTime:     d.latency.recentMean,
		BaselineServiceTime: d.latency.baseline,
		Slots:               d.config.Slots,
		InFlightAtShed:      d.inFlightAtShed,
		TimeSinceShed:       d.now.Sub(d.limitCutAt),
	})
	d.limit = min(max(next, 1), float64(d.config.MaxLimit))
	if int(d.limit) < before {
		d.recheckQueue = true
	}
}
