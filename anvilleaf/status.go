package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Counters holds the event counts of a dispatcher since its creation.
type Counters struct {
	// Submitted counts submitted calls, without duplicates.
	Submitted uint64
	// Duplicates counts submitted calls whose id was already in use; they are
	// dropped.
	Duplicates uint64
	// Started counts calls sent to the leaf.
	Started uint64
	// Replied counts replies to origins.
	Replied uint64
	// Refused counts calls refused before they were started.
	Refused uint64
	// Displaced counts queued calls that were refused to make room for a call
	// that starts earlier, or because the queue became shorter.
	Displaced uint64
	// Expired counts queued calls that were refused because they could no
	// longer finish in time.
	Expired uint64
	// HedgesRefused counts hedges refused because the queue was over half full.
	HedgesRefused uint64
	// Shed counts calls that the leaf refused without running them.
	Shed uint64
	// TimedOut counts started calls without a reply in time.
	TimedOut uint64
	// Cancelled counts calls cancelled by their origin.
	Cancelled uint64
	// DroppedReplies counts replies to calls that were unknown or already
	// answered.
	DroppedReplies uint64
	// MismatchedReplies counts replies over another connection than the call's,
	// or from another incarnation than the connection's.
	MismatchedReplies uint64
	// SilentConnections counts connections closed because they had gone silent.
	SilentConnections uint64
	// Pauses counts gaps between events that were treated as pauses of the
	// process.
	Pauses uint64
}

// Status is the state of a dispatcher, for operators and for the choice of a
// leaf.
type Status struct {
	Leaf        anvilmodel.LeafName
	Incarnation anvilmodel.Incarnation
	// QueueLength is the number of waiting calls.
	QueueLength int
	// InFlight is the number of calls that count against Limit.
	InFlight int
	// Limit is the number of calls that may be in flight now; 0 if none may start.
	Limit int
	// AdaptiveLimit is the limit of the warm leaf before rounding.
	AdaptiveLimit      float64
	Cold               bool
	RampingUp          bool
	Breaker            BreakerState
	Connections        int
	IdleConnections    int
	SuspectConnections int
	FailureDomainOut   bool
	Leaving            bool
	Draining           bool
	Isolated           bool
	// QuietTimeLeft is the remaining time in which nothing is sent to a cold
	// leaf.
	QuietTimeLeft time.Duration
	// Load is the load that the leaf last reported, LoadAge the time since
	// then. LoadAge is negative if the leaf has not reported a load.
	Load    float64
	LoadAge time.Duration
	// MeanServiceTime is the mean service time of recent successful calls,
	// MinServiceTime their shortest; both are 0 until a call has succeeded.
	MeanServiceTime time.Duration
	MinServiceTime  time.Duration
	Counters        Counters
}

// Status returns the state for operators and for the choice of a leaf.
func (d *Dispatcher) Status(now time.Time) Status {
	s := Status{
		Leaf:               d.config.Leaf,
		Incarnation:        d.health.incarnation,
		QueueLength:        d.queue.len(),
		InFlight:           d.inFlight(),
		Limit:              d.startLimit(now),
		AdaptiveLimit:      d.limit,
		Cold:               d.health.cold,
		RampingUp:          d.health.rampingUp,
		Breaker:            d.breaker.state(now),
		Connections:        d.connectionCount,
		IdleConnections:    d.countConnections(connectionIdle),
		SuspectConnections: d.suspectCount,
		FailureDomainOut:   d.domainOut,
		Leaving:            d.leaving,
		Draining:           d.draining,
		Isolated:           d.isolated,
		QuietTimeLeft:      max(d.quietUntil.Sub(now), 0),
		Load:               d.load,
		LoadAge:            -1,
		MeanServiceTime:    d.latency.recentMean,
		MinServiceTime:     d.latency.minServiceTime(),
		Counters:           d.counters,
	}
	if !d.loadReportedAt.IsZero() {
		s.LoadAge = now.Sub(d.loadReportedAt)
	}
	return s
}
