package anvilleaf

import (
	"math/bits"
	"time"
)

// Parameters of the circuit breaker. It opens after breakerConsecutiveFailures
// failures in a row, or when half of the results in the window are failures and
// there are at least breakerMinResults.
const (
	breakerConsecutiveFailures = 3
	breakerMinResults          = 16
	breakerInitialBackoff      = 100 * time.Millisecond
	breakerMaxBackoff          = 5 * time.Second
)

// BreakerState is the state of the circuit breaker of a leaf.
type BreakerState int

// Breaker states.
const (
	BreakerClosed BreakerState = iota
	BreakerOpen
	BreakerHalfOpen
)

// String returns the name used in logs and status output.
func (s BreakerState) String() string {
	switch s {
	case BreakerOpen:
		return "open"
	case BreakerHalfOpen:
		return "half-open"
	default:
		return "closed"
	}
}

// breaker is the circuit breaker of a leaf. It stops calls to a leaf that
// fails.
type breaker struct {
	open                bool
	results             resultWindow
	consecutiveFailures int
	backoff             time.Duration
	retryAt             time.Time
	// probe is the only call that may run while the breaker is half-open.
	probe *callEntry
}

// state returns the state at the given time.
func (b *breaker) state(now time.Time) BreakerState {
	if !b.open {
		return BreakerClosed
	}
	if now.Before(b.retryAt) {
		return BreakerOpen
	}
	return BreakerHalfOpen
}

// recordSuccess counts a successful call and reports whether it closed the
// breaker.
func (b *breaker) recordSuccess(now time.Time) bool {
	b.consecutiveFailures = 0
	if !b.open {
		b.results.add(false)
		return false
	}
	if b.state(now) == BreakerOpen {
		// A call that started before the breaker opened has succeeded: allow a
		// probe at once.
		b.retryAt = now
		return false
	}
	*b = breaker{}
	return true
}

// recordFailure counts a failed call and reports whether it opened or reopened
// the breaker.
func (b *breaker) recordFailure(now time.Time) bool {
	switch b.state(now) {
	case BreakerOpen:
		return false
	case BreakerHalfOpen:
		b.backoff = min(2*b.backoff, breakerMaxBackoff)
		b.retryAt = now.Add(b.backoff)
		b.probe = nil
		return true
	}
	b.consecutiveFailures++
	b.results.add(true)
	if b.consecutiveFailures < breakerConsecutiveFailures && !b.results.halfFailed(breakerMinResults) {
		return false
	}
	b.open = true
	b.backoff = breakerInitialBackoff
	b.retryAt = now.Add(b.backoff)
	return true
}

// resultWindow holds the last 16 results, with a set bit for each failure.
type resultWindow struct {
	failures uint16
	count    int
}

func (w *resultWindow) add(failed bool) {
	w.failures <<= 1
	if failed {
		w.failures |= 1
	}
	w.count = min(w.count+1, 16)
}

// halfFailed reports whether half or more of the results are failures. It
// returns false with fewer than minResults results.
func (w *resultWindow) halfFailed(minResults int) bool {
	return w.count >= minResults && 2*bits.OnesCount16(w.failures) >= w.count
}
