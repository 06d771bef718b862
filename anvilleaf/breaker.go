package anvilleaf

import (
	"math/bits"
	"time"
)

// Rules of the circuit breaker.
const (
	breakerRow      = 3
	breakerWindow   = 16
	breakerFirst    = 100 * time.Millisecond
	breakerGreatest = 5 * time.Second
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

// breaker stops calls to a leaf that fails.
type breaker struct {
	open    bool
	window  window
	row     int
	backoff time.Duration
	retryAt time.Time
	// probe is the one call that may try an open breaker after the back-off.
	probe *entry
}

// state returns the state at now.
func (b *breaker) state(now time.Time) BreakerState {
	if !b.open {
		return BreakerClosed
	}
	if now.Before(b.retryAt) {
		return BreakerOpen
	}
	return BreakerHalfOpen
}

// succeed takes a good call and reports whether it closed the breaker.
func (b *breaker) succeed(now time.Time) bool {
	b.row = 0
	if !b.open {
		b.window.add(false)
		return false
	}
	if b.state(now) == BreakerOpen {
		// A call from before the opening came back good: probe at once.
		b.retryAt = now
		return false
	}
	*b = breaker{}
	return true
}

// fail takes a failed call and reports whether it opened the breaker.
func (b *breaker) fail(now time.Time) bool {
	switch b.state(now) {
	case BreakerOpen:
		return false
	case BreakerHalfOpen:
		b.backoff = min(2*b.backoff, breakerGreatest)
		b.retryAt = now.Add(b.backoff)
		b.probe = nil
		return true
	}
	b.row++
	b.window.add(true)
	if b.row < breakerRow && !b.window.half(breakerWindow) {
		return false
	}
	b.open = true
	b.backoff = breakerFirst
	b.retryAt = now.Add(b.backoff)
	return true
}

// window holds the last 16 results, a set bit for each bad one.
type window struct {
	bad   uint16
	count int
}

func (w *window) add(bad bool) {
	w.bad <<= 1
	if bad {
		w.bad |= 1
	}
	w.count = min(w.count+1, 16)
}

// half reports whether half or more of at least the given number of results
// were bad.
func (w *window) half(least int) bool {
	return w.count >= least && 2*bits.OnesCount16(w.bad) >= w.count
}
