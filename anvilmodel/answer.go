package anvilmodel

import "time"

// Coverage says how much of a snapshot an answer covers.
type Coverage struct {
	Covered int
	Total   int
	Missing []Shard
}

// Ratio returns the covered share from 0 to 1. It is 0 when the total is unknown.
func (c Coverage) Ratio() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// Part is the reply of one shard.
type Part struct {
	Shard Shard
	Body  []byte
}

// Answer is what a caller receives for a request that ran.
type Answer struct {
	RequestID RequestID
	Snapshot  Snapshot
	Coverage  Coverage
	Parts     []Part
	// Elapsed is the time from arrival to completion at the node.
	Elapsed time.Duration
}

// RunState says whether a request was run.
type RunState int

// Run states. NotRun is only said when it is certain.
const (
	RunStateUnknown RunState = iota
	RunStateNotRun
	RunStateRun
)

// String returns the name that the protocols use.
func (s RunState) String() string {
	switch s {
	case RunStateNotRun:
		return "not-run"
	case RunStateRun:
		return "run"
	default:
		return "unknown"
	}
}

// RefusalReason is the typed reason of a refusal.
type RefusalReason string

// Reasons of refusals.
const (
	ReasonBadRequest       RefusalReason = "bad-request"
	ReasonUnknownService   RefusalReason = "unknown-service"
	ReasonUnknownClass     RefusalReason = "unknown-class"
	ReasonBadTimeout       RefusalReason = "bad-timeout"
	ReasonBodyTooLarge     RefusalReason = "body-too-large"
	ReasonDeadline         RefusalReason = "deadline"
	ReasonOverload         RefusalReason = "overload"
	ReasonShed             RefusalReason = "shed"
	ReasonNoSnapshot       RefusalReason = "no-snapshot"
	ReasonNotReady         RefusalReason = "not-ready"
	ReasonLeaving          RefusalReason = "leaving"
	ReasonFailureDomainOut RefusalReason = "failure-domain-out"
	ReasonBadTicket        RefusalReason = "bad-ticket"
	ReasonTicketUsed       RefusalReason = "ticket-used"
	ReasonUpstream         RefusalReason = "upstream"
	ReasonNodeLost         RefusalReason = "node-lost"
)

// Refusal is the final answer to a request that is not answered with data.
type Refusal struct {
	RequestID RequestID
	Reason    RefusalReason
	RunState  RunState
	// Detail says what was wrong and where.
	Detail string
	// Accepted says what would have been accepted; it may be empty.
	Accepted string
	// RetryAfter is when the caller may come back; zero means not stated.
	RetryAfter time.Duration
}

// Error returns the reason, the run state and the detail.
func (r *Refusal) Error() string {
	return string(r.Reason) + " (" + r.RunState.String() + "): " + r.Detail
}
