package anvilbalance

import "time"

// The process of a leaf may end and start again under the same name. It is cold then, and its
// entry shows this only with the next report of the process. Connections that end are
// earlier evidence: until the leaf has answered a health check, which states how long it
// stays cold, it is treated as cold.

// unverifiedTime is how long a leaf that may have restarted is treated as cold if it answers
// no health check. By then the entry of a new process has arrived.
const unverifiedTime = 5 * time.Second

// SuspectRestart records that the connections to a leaf's process have ended, and reports
// whether this was unknown. It matters only for services whose cold leaves have a limit.
func (b *Balancer) SuspectRestart(l Leaf, now time.Time) bool {
	state := b.process(l)
	if state == nil || b.service(l.Service).settings.MaxColdRate <= 0 {
		return false
	}
	wasUnverified := state.unverified(now)
	if !state.cold(now) {
		state.coldSince = now
		state.bucket = b.newBucket(l.Name, now)
	}
	state.unverifiedUntil = now.Add(unverifiedTime)
	state.suspectedAt = now
	if !wasUnverified && !state.ejected {
		state.nextCheckAt = now
	}
	return !wasUnverified
}

// AllowsNewConnection reports whether a call that was picked at the given time may be sent
// over a new connection. A call that was picked before the leaf turned cold, or may have
// restarted, counts against the limit of cold leaves only now.
func (b *Balancer) AllowsNewConnection(l Leaf, pickedAt, now time.Time) bool {
	state := b.process(l)
	if state == nil || !state.cold(now) || !state.coldSince.After(pickedAt) {
		return true
	}
	if !b.attemptCall(state, now) {
		return false
	}
	b.takeTokens(state, now)
	return true
}

// unverified reports whether the leaf may have restarted since it last answered.
func (l *leafState) unverified(now time.Time) bool {
	return now.Before(l.unverifiedUntil)
}

// cold reports whether the leaf is cold or may be.
func (l *leafState) cold(now time.Time) bool {
	return now.Before(l.coldUntil) || l.unverified(now)
}

// extendCold records that the leaf stays cold for a time. It never shortens the time that is
// known already, because an entry may be older than a reply.
func (b *Balancer) extendCold(l *leafState, coldFor time.Duration, now time.Time) {
	until := now.Add(coldFor)
	if coldFor <= 0 || !until.After(l.coldUntil) {
		return
	}
	if !l.cold(now) {
		l.coldSince = now
		if b.service(l.leaf.Service).settings.MaxColdRate > 0 {
			l.bucket = b.newBucket(l.leaf.Name, now)
		}
	}
	l.coldUntil = until
}
