package anvilmodel

import "time"

// Departure says that a process of a leaf is about to end and takes no new calls.
type Departure struct {
	Leaf LeafName
	// StartedAt is when the process started, as its entry says. A process that was
	// started later under the same name is another one.
	StartedAt time.Time
}
