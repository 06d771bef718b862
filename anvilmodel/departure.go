package anvilmodel

import "time"

// Departure announces that the process of a leaf is shutting down and accepts no new
// calls.
type Departure struct {
	Leaf LeafName
	// StartedAt is the start time of the process according to its entry. The departure
	// does not apply to a process that started later under the same name.
	StartedAt time.Time
}
