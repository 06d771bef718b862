package anvilmodel

import "time"

// LeafAnnouncements holds what nodes pass on to each other of the replies of leaves, and of
// leaves that crash.
type LeafAnnouncements struct {
	Departures   []Departure
	RateLimits   []RateLimitNotice
	CrashReports []CrashReport
	// CrashDigest is a digest of the requests that the node does not send to leaves freely, so
	// that reports that both nodes have are not sent again.
	CrashDigest uint64
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
