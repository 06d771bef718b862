package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Counters count what the dispatcher did since it was created.
type Counters struct {
	// Submitted counts calls handed over, without duplicates.
	Submitted uint64
	// Duplicates counts submitted calls whose id was outstanding; they are dropped.
	Duplicates uint64
	// Started counts calls sent to the leaf.
	Started uint64
	// Replied counts replies to origins.
	Replied uint64
	// Refused counts calls refused before they were started.
	Refused uint64
	// Displaced counts queued calls that gave way to a call of a higher rank.
	Displaced uint64
	// Expired counts calls refused because their time ran out in the queue.
	Expired uint64
	// HedgesRefused counts hedges refused because the queue was over half full.
	HedgesRefused uint64
	// Shed counts calls that the leaf refused without running them.
	Shed uint64
	// TimedOut counts started calls without a reply in time.
	TimedOut uint64
	// Cancelled counts calls cancelled by their origin.
	Cancelled uint64
	// DroppedReplies counts replies whose call was not outstanding.
	DroppedReplies uint64
	// MismatchedReplies counts replies on another connection than the call's, or from
	// another incarnation than the connection's.
	MismatchedReplies uint64
	// SilentConnections counts connections closed because they had gone silent.
	SilentConnections uint64
	// Pauses counts gaps between events that were taken for a process pause.
	Pauses uint64
}

// Status is a view of the dispatcher for operators and for the choice of a leaf.
type Status struct {
	Leaf        anvilmodel.LeafName
	Incarnation anvilmodel.Incarnation
	// QueueLength is the number of calls that wait.
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
	// QuietTimeLeft is the time left in which nothing is sent to a cold leaf.
	QuietTimeLeft time.Duration
	// Load is what the leaf last reported, LoadAge how long ago. LoadAge is
	// negative if the leaf has not reported a load.
	Load    float64
	LoadAge time.Duration
	// MeanServiceTime is the mean service time of recent good calls, Fast the shortest
	// of the recent ones; both are 0 until a call succeeded.
	MeanServiceTime time.Duration
	MinServiceTime  time.Duration
	Counters        Counters
}

// Status returns a view for operators and for the choice of a leaf.
func (d *Dispatcher) Status(now time.Time) Status {
	s := Status{
		Leaf:               d.config.Leaf,
		Incarnation:        d.judgement.incarnation,
		QueueLength:        d.queue.len(),
		InFlight:           d.inFlight(),
		Limit:              d.startLimit(now),
		AdaptiveLimit:      d.limit,
		Cold:               d.judgement.cold,
		RampingUp:          d.judgement.ramping,
		Breaker:            d.breaker.state(now),
		Connections:        d.live,
		IdleConnections:    d.count(connectionIdle),
		SuspectConnections: d.suspects,
		FailureDomainOut:   d.out,
		Leaving:            d.leaving,
		Draining:           d.draining,
		Isolated:           d.isolated,
		QuietTimeLeft:      max(d.quietUntil.Sub(now), 0),
		Load:               d.load,
		LoadAge:            -1,
		MeanServiceTime:    d.latency.recent,
		MinServiceTime:     d.latency.fastest(),
		Counters:           d.counters,
	}
	if !d.loadAt.IsZero() {
		s.LoadAge = now.Sub(d.loadAt)
	}
	return s
}
