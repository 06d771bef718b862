package anvilmodel

import "time"

// LeafAnnouncements are what leaves have announced in their replies, as nodes pass it on to
// each other.
type LeafAnnouncements struct {
	Departures []Departure
	RateLimits []RateLimitNotice
}

// RateLimitNotice passes on the rate limit that a leaf has announced.
type RateLimitNotice struct {
	Leaf LeafName
	// StartedAt is the start time of the leaf's process according to its entry.
	StartedAt time.Time
	RateLimit RateLimit
	// Age is the time since the leaf sent the announcement.
	Age time.Duration
}
