package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// circuitFailureThreshold is the number of failures in a row that set a leaf aside.
	circuitFailureThreshold = 3
	// circuitHedgeLossThreshold is the number of calls in a row that were cancelled because the
	// other leaf answered a hedge first. One call in twenty is hedged by chance,
	// so eight in a row mean that the leaf is silent.
	circuitHedgeLossThreshold = 8
	// minBackoff and backOffMaximum bound the time between probes of a leaf
	// that was set aside.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxLoadAge is the time for which a reported load is believed.
	maxLoadAge = 2 * time.Second
	// maxHoldingsPerLeaf bounds the snapshots that one leaf is believed to hold.
	maxHoldingsPerLeaf = 16
)

// leaf is what the origin knows of one leaf.
type leaf struct {
	name    anvilmodel.LeafName
	service *service

	// usable is what the node says; removed is set once the configuration no
	// longer names the leaf.
	usable  bool
	removed bool

	// The following is what the leaf states of itself.
	incarnation anvilmodel.Incarnation
	holdings    []anvilmodel.Holding
	holdingsAt  time.Duration
	conditionAt time.Duration
	draining    bool
	cold        bool
	load        float64

	// droppedSnapshot is the last snapshot that the leaf said it had dropped.
	droppedSnapshot anvilmodel.Snapshot
	droppedAt       time.Duration

	// outstanding counts the calls of this origin that are neither answered nor
	// cancelled.
	outstanding int
	shedUntil   time.Duration

	consecutiveFailures int
	hedgeLosses         int
	circuitOpen         bool
	probeInFlight       bool
	backoff             time.Duration
	probeAt             time.Duration
}

// eligible reports whether the leaf may be called as far as the node and the
// leaf itself say.
func (l *leaf) eligible() bool {
	return l.usable && !l.removed && !l.draining
}

// available reports whether the leaf makes a shard covered. A leaf that is due
// for a probe does: otherwise a leaf that is needed only for a snapshot that is
// not pinned while it is set aside would never be probed.
func (l *leaf) available(now time.Duration) bool {
	return l.eligible() && (!l.circuitOpen || l.probeDue(now))
}

// recordSuccess closes the circuit.
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

// recordFailure counts a failure. It reports whether the circuit opened. Failures of
// calls that were sent before the circuit opened do not lengthen the back-off.
func (l *leaf) recordFailure(probe bool, now time.Duration) bool {
	l.consecutiveFailures++
	return l.updateCircuit(l.consecutiveFailures >= circuitFailureThreshold, probe, now)
}

// recordHedgeLoss counts a call that a hedge to another leaf won against. It reports
// whether the circuit opened.
func (l *leaf) recordHedgeLoss(probe bool, now time.Duration) bool {
	l.hedgeLosses++
	return l.updateCircuit(l.hedgeLosses >= circuitHedgeLossThreshold, probe, now)
}

// updateCircuit opens the circuit, or lengthens the back-off after a probe that
// brought nothing. It reports whether the circuit opened.
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

// probeDue reports whether the one probe of this back-off may be sent.
func (l *leaf) probeDue(now time.Duration) bool {
	return l.circuitOpen && !l.probeInFlight && now >= l.probeAt
}

// beginProbe notes that the probe of this back-off is on its way.
func (l *leaf) beginProbe() {
	l.probeInFlight = true
	l.service.coverageStale = true
}

// endProbe allows the next probe. A probe whose outcome is not known counts as
// neither success nor failure, so the back-off stays as it is.
func (l *leaf) endProbe(now time.Duration) {
	l.probeInFlight = false
	l.probeAt = max(l.probeAt, now+l.backoff)
	l.service.coverageStale = true
}

// hasRecentLoad reports whether the reported load is recent enough to be used.
func (l *leaf) hasRecentLoad(now time.Duration) bool {
	return l.conditionAt != neverReported && now-l.conditionAt <= maxLoadAge
}
