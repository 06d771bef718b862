package anvilbalance

import "time"

// callRate is the rate at which this node may call a leaf.
type callRate struct {
	perSecond float64
	// burst is the number of calls that may be made at once after a pause. It is below one
	// if the node has a small share of the limit.
	burst float64
}

// isPartial reports whether the node makes its calls in parts.
func (r callRate) isPartial() bool {
	return r.burst < 1
}

// tokenBucket holds the calls that this node may make to a leaf. In a large fleet, a bucket
// of one call for each node would let all nodes together send a large burst. A bucket may
// therefore be smaller than a call: each attempt then takes what is there, and only the
// attempt that completes a whole call is made.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	// partial is the part of a call that earlier attempts have taken. It starts at another
	// value on each node, so that the nodes do not complete their calls at the same time.
	partial float64
}

func (t *tokenBucket) refill(r callRate, now time.Time) {
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.tokens += r.perSecond * elapsed.Seconds()
		t.refilledAt = now
	}
	t.tokens = min(t.tokens, r.burst)
}

// attempt reports whether a call may be made now. An attempt that does not complete a call
// takes its part of it.
func (t *tokenBucket) attempt(r callRate) bool {
	if t.wait(r) == 0 {
		return true
	}
	if r.isPartial() {
		t.partial += t.tokens
		t.tokens = 0
	}
	return false
}

// take takes the tokens of a call, for which wait must return 0.
func (t *tokenBucket) take(r callRate) {
	t.tokens = max(t.tokens-t.needed(r), 0)
	if r.isPartial() {
		t.partial = 0
	}
}

// needed returns the number of tokens that complete a call.
func (t *tokenBucket) needed(r callRate) float64 {
	if r.isPartial() {
		return 1 - t.partial
	}
	return 1
}

// wait returns the time until a call may be made; 0 if it may be made now.
func (t *tokenBucket) wait(r callRate) time.Duration {
	missing := t.needed(r) - t.tokens
	if missing <= tokenEpsilon {
		return 0
	}
	return time.Duration(missing / r.perSecond * float64(time.Second))
}

// tokenEpsilon compensates for rounding of times and tokens.
const tokenEpsilon = 1e-6
