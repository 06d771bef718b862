package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// circuitFailures is the number of failures in a row that set a leaf aside.
	circuitFailures = 3
	// circuitLost is the number of calls in a row that were cancelled because the
	// other leaf answered a hedge first. One call in twenty is hedged by chance,
	// so eight in a row mean that the leaf is silent.
	circuitLost = 8
	// backOffMinimum and backOffMaximum bound the time between probes of a leaf
	// that was set aside.
	backOffMinimum = 100 * time.Millisecond
	backOffMaximum = 5 * time.Second
	// loadLifetime is the time for which a reported load is believed.
	loadLifetime = 2 * time.Second
	// leafHoldings bounds the snapshots that one leaf is believed to hold.
	leafHoldings = 16
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
	listedAt    time.Duration
	statedAt    time.Duration
	draining    bool
	cold        bool
	load        float64

	// goneSnapshot is the last snapshot that the leaf said it had dropped.
	goneSnapshot anvilmodel.Snapshot
	goneAt       time.Duration

	// outstanding counts the calls of this origin that are neither answered nor
	// cancelled.
	outstanding int
	shedUntil   time.Duration

	failures int
	lost     int
	open     bool
	probing  bool
	backOff  time.Duration
	probeAt  time.Duration
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
	return l.eligible() && (!l.open || l.probeDue(now))
}

// succeeded closes the circuit.
func (l *leaf) succeeded() {
	l.failures = 0
	l.lost = 0
	if !l.open {
		return
	}
	l.open = false
	l.backOff = 0
	l.service.coverStale = true
}

// failed counts a failure. It reports whether the circuit opened. Failures of
// calls that were sent before the circuit opened do not lengthen the back-off.
func (l *leaf) failed(probe bool, now time.Duration) bool {
	l.failures++
	return l.setAside(l.failures >= circuitFailures, probe, now)
}

// outrun counts a call that a hedge to another leaf won against. It reports
// whether the circuit opened.
func (l *leaf) outrun(probe bool, now time.Duration) bool {
	l.lost++
	return l.setAside(l.lost >= circuitLost, probe, now)
}

// setAside opens the circuit, or lengthens the back-off after a probe that
// brought nothing. It reports whether the circuit opened.
func (l *leaf) setAside(due, probe bool, now time.Duration) bool {
	opens := due && !l.open
	switch {
	case opens:
		l.open = true
		l.probing = false
		l.backOff = backOffMinimum
	case l.open && probe:
		l.backOff = min(2*l.backOff, backOffMaximum)
	default:
		return false
	}
	l.probeAt = now + l.backOff
	l.service.coverStale = true
	return opens
}

// probeDue reports whether the one probe of this back-off may be sent.
func (l *leaf) probeDue(now time.Duration) bool {
	return l.open && !l.probing && now >= l.probeAt
}

// beginProbe notes that the probe of this back-off is on its way.
func (l *leaf) beginProbe() {
	l.probing = true
	l.service.coverStale = true
}

// endProbe allows the next probe. A probe whose outcome is not known counts as
// neither success nor failure, so the back-off stays as it is.
func (l *leaf) endProbe(now time.Duration) {
	l.probing = false
	l.probeAt = max(l.probeAt, now+l.backOff)
	l.service.coverStale = true
}

// loadKnown reports whether the reported load is recent enough to be used.
func (l *leaf) loadKnown(now time.Duration) bool {
	return l.statedAt != unstated && now-l.statedAt <= loadLifetime
}
