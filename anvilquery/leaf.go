package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// circuitFailureThreshold is the number of consecutive failures that opens the
	// circuit of a leaf.
	circuitFailureThreshold = 3
	// circuitHedgeLossThreshold is the number of consecutive calls cancelled
	// because a hedge to another leaf answered first that opens the circuit. One
	// call in twenty is hedged by chance, so eight in a row mean that the leaf does
	// not reply.
	circuitHedgeLossThreshold = 8
	// minBackoff and maxBackoff limit the time between probes of a leaf with an
	// open circuit.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxLoadAge is the age up to which a reported load is used.
	maxLoadAge = 2 * time.Second
	// maxHoldingsPerLeaf limits the number of snapshots accepted from one leaf.
	maxHoldingsPerLeaf = 16
)

// leaf holds the state of one leaf as known to the origin.
type leaf struct {
	name    anvilmodel.LeafName
	service *service

	// usable is set by the node through SetUsable. removed is set once the
	// configuration no longer contains the leaf.
	usable  bool
	removed bool

	// The following fields are reported by the leaf.
	incarnation anvilmodel.Incarnation
	holdings    []anvilmodel.Holding
	holdingsAt  time.Duration
	conditionAt time.Duration
	draining    bool
	cold        bool
	load        float64

	// droppedSnapshot is the last snapshot that the leaf reported as dropped.
	droppedSnapshot anvilmodel.Snapshot
	droppedAt       time.Duration

	// outstanding counts the calls of this origin that have not ended.
	outstanding int
	shedUntil   time.Duration

	consecutiveFailures int
	hedgeLosses         int
	circuitOpen         bool
	probeInFlight       bool
	backoff             time.Duration
	probeAt             time.Duration
}

// eligible reports whether the leaf may be called according to the configuration,
// the node and the leaf itself. It does not consider the circuit.
func (l *leaf) eligible() bool {
	return l.usable && !l.removed && !l.draining
}

// available reports whether the leaf counts towards coverage. A leaf that is due
// for a probe counts: otherwise a leaf that is needed only for a snapshot that
// cannot be pinned while its circuit is open would never be probed.
func (l *leaf) available(now time.Duration) bool {
	return l.eligible() && (!l.circuitOpen || l.probeDue(now))
}

// recordSuccess resets the failure counts and closes the circuit.
func (l *leaf) recordSuccess() {
	l.consecutiveFailures = 0
	l.hedgeLosses = 0
	if !l.circuitOpen {
		return
	}
	l.circuitOpen = false
	l.backoff = 0
	l.service.coverageStale = true
}

// recordFailure counts a failed call and reports whether it opened the circuit.
// Failures of calls that were sent before the circuit opened do not increase the
// backoff.
func (l *leaf) recordFailure(probe bool, now time.Duration) bool {
	l.consecutiveFailures++
	return l.updateCircuit(l.consecutiveFailures >= circuitFailureThreshold, probe, now)
}

// recordHedgeLoss counts a call that lost against a hedge to another leaf, and
// reports whether it opened the circuit.
func (l *leaf) recordHedgeLoss(probe bool, now time.Duration) bool {
	l.hedgeLosses++
	return l.updateCircuit(l.hedgeLosses >= circuitHedgeLossThreshold, probe, now)
}

// updateCircuit opens the circuit if the threshold is reached, or increases the
// backoff after an unsuccessful probe. It reports whether the circuit was opened.
func (l *leaf) updateCircuit(thresholdReached, probe bool, now time.Duration) bool {
	opens := thresholdReached && !l.circuitOpen
	switch {
	case opens:
		l.circuitOpen = true
		l.probeInFlight = false
		l.backoff = minBackoff
	case l.circuitOpen && probe:
		l.backoff = min(2*l.backoff, maxBackoff)
	default:
		return false
	}
	l.probeAt = now + l.backoff
	l.service.coverageStale = true
	return opens
}

// probeDue reports whether a probe may be sent. One probe is sent per backoff.
func (l *leaf) probeDue(now time.Duration) bool {
	return l.circuitOpen && !l.probeInFlight && now >= l.probeAt
}

// beginProbe records that a probe is in flight.
func (l *leaf) beginProbe() {
	l.probeInFlight = true
	l.service.coverageStale = true
}

// endProbe schedules the next probe. A probe with an unknown outcome counts as
// neither success nor failure and leaves the backoff unchanged.
func (l *leaf) endProbe(now time.Duration) {
	l.probeInFlight = false
	l.probeAt = max(l.probeAt, now+l.backoff)
	l.service.coverageStale = true
}

// hasRecentLoad reports whether the reported load is recent enough to be used.
func (l *leaf) hasRecentLoad(now time.Duration) bool {
	return l.conditionAt != neverReported && now-l.conditionAt <= maxLoadAge
}
