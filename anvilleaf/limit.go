package anvilleaf

import "time"

// LimitSample is what a LimitRule sees of one finished call.
type LimitSample struct {
	// Limit is the limit before this call.
	Limit float64
	// InUse says whether the limit was reached while the call ran.
	InUse bool
	// Shed says that the leaf refused the call; at most one shed per round
	// trip is passed on.
	Shed bool
	// Recent is the mean service time of recent good calls.
	Recent time.Duration
	// Floor is the lowest mean service time that the leaf has shown for a while.
	Floor time.Duration
	Slots int
}

// LimitRule returns the next limit of a warm leaf. The dispatcher keeps the
// result between 1 and the warm maximum.
type LimitRule func(LimitSample) float64
