package anvilmodel

import "time"

// LeafAnnouncements holds the announcements in replies of leaves that nodes pass on to each
// other.
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
