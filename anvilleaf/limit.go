package anvilleaf

import "time"

// Rules of DefaultRule. BenchmarkLimitRules compares it with simpler ones.
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
	// InUse says whether the limit was reached when the call ended.
	InUse bool
	// Shed says that the leaf refused the call; at most one shed per round
	// trip is passed on.
	Shed bool
	// Recent is the mean service time of recent good calls.
	Recent time.Duration
	// Floor is the lowest mean service time that the leaf has shown for a
	// while, 0 if it is not known yet.
	Floor time.Duration
	Slots int
	// ShedAt is the number of calls that were in flight at the last shed, 0 if
	// there was none, SinceShed the time since.
	ShedAt    int
	SinceShed time.Duration
}

// LimitRule returns the next limit of a warm leaf. The dispatcher keeps the
// result between 1 and the warm maximum.
type LimitRule func(LimitSample) float64

// DefaultRule halves the limit on a shed. It adds one per limit good calls
// while the limit is in use and the service time is near its floor, but stays
// below the number of calls that led to a shed for a while. It takes one off
// per limit calls while the limit is over the slots and the service time is
// far over its floor.
func DefaultRule(s LimitSample) float64 {
	if s.Shed {
		return s.Limit / 2
	}
	if s.Floor == 0 {
		return s.Limit
	}
	rise := float64(s.Recent) / float64(s.Floor)
	if rise > dropAbove && s.Limit > float64(s.Slots) {
		return s.Limit - 1/s.Limit
	}
	if !s.InUse || rise > growBelow {
		return s.Limit
	}
	next := s.Limit + 1/s.Limit
	if next >= float64(s.ShedAt) && s.SinceShed < shedHold {
		return s.Limit
	}
	return next
}

// adapt applies the limit rule.
func (d *Dispatcher) adapt(inUse, shed bool) {
	before := int(d.limit)
	next := d.config.Rule(LimitSample{
		Limit:     d.limit,
		InUse:     inUse,
		Shed:      shed,
		Recent:    d.latency.recent,
		Floor:     d.latency.floor,
		Slots:     d.config.Slots,
		ShedAt:    d.shedAt,
		SinceShed: d.now.Sub(d.lastCut),
	})
	d.limit = min(max(next, 1), float64(d.config.WarmMaximum))
	if int(d.limit) < before {
		d.shrunk = true
	}
}
