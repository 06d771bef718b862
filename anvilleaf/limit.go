package anvilleaf

import "time"

// Rules of DefaultLimitRule. BenchmarkLimitRules compares it with simpler ones.
const (
	// growBelow is the rise of the recent mean service time over its floor up
	// to which the limit still grows; over dropAbove the leaf queues calls
	// itself, and a limit over the slots comes down again.
	growBelow = 1.8
	dropAbove = 2.2
	// shedHold is the time for which the limit stays below the number of calls
	// that led to a shed. Without it, a leaf that sheds all over its slots
	// refuses one call in ten.
	shedHold = 5 * time.Second
)

// LimitSample is what a LimitRule sees of one finished call.
type LimitSample struct {
	// Limit is the limit before this call.
	Limit float64
	// LimitReached says whether the limit was reached when the call ended.
	LimitReached bool
	// Shed says that the leaf refused the call; at most one shed per round
	// trip is passed on.
	Shed bool
	// MeanServiceTime is the mean service time of recent good calls.
	MeanServiceTime time.Duration
	// BaselineServiceTime is the lowest mean service time that the leaf has shown for a
	// while, 0 if it is not known yet.
	BaselineServiceTime time.Duration
	Slots               int
	// InFlightAtShed is the number of calls that were in flight at the last shed, 0 if
	// there was none, TimeSinceShed the time since.
	InFlightAtShed int
	TimeSinceShed  time.Duration
}

// LimitRule returns the next limit of a warm leaf. The dispatcher keeps the
// result between 1 and the warm maximum.
type LimitRule func(LimitSample) float64

// DefaultLimitRule halves the limit on a shed. It adds one per limit good calls
// while the limit is in use and the service time is near its floor, but stays
// below the number of calls that led to a shed for a while. It takes one off
// per limit calls while the limit is over the slots and the service time is
// far over its floor.
func DefaultLimitRule(s LimitSample) float64 {
	if s.Shed {
		return s.Limit / 2
	}
	if s.BaselineServiceTime == 0 {
		return s.Limit
	}
	rise := float64(s.MeanServiceTime) / float64(s.BaselineServiceTime)
	if rise > dropAbove && s.Limit > float64(s.Slots) {
		return s.Limit - 1/s.Limit
	}
	if !s.LimitReached || rise > growBelow {
		return s.Limit
	}
	next := s.Limit + 1/s.Limit
	if next >= float64(s.InFlightAtShed) && s.TimeSinceShed < shedHold {
		return s.Limit
	}
	return next
}

// adapt applies the limit rule.
func (d *Dispatcher) adapt(inUse, shed bool) {
	before := int(d.limit)
	next := d.config.LimitRule(LimitSample{
		Limit:               d.limit,
		LimitReached:        inUse,
		Shed:                shed,
		MeanServiceTime:     d.latency.recent,
		BaselineServiceTime: d.latency.floor,
		Slots:               d.config.Slots,
		InFlightAtShed:      d.shedAt,
		TimeSinceShed:       d.now.Sub(d.lastCut),
	})
	d.limit = min(max(next, 1), float64(d.config.MaxLimit))
	if int(d.limit) < before {
		d.shrunk = true
	}
}
