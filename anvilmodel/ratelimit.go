package anvilmodel

// RateLimit is the announcement of a leaf in need of how many requests it accepts from all
// nodes together.
type RateLimit struct {
	// Limited is false if the leaf announces no limit.
	Limited bool
	// PerSecond is the number of requests per second.
	PerSecond float64
}
