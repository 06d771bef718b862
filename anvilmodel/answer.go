package anvilmodel

import "time"

// Coverage states how many of the shards that a request addresses are in its answer.
type Coverage struct {
	Covered int
	Total   int
	Missing []Shard
}

// Ratio returns the covered share of the shards, from 0 to 1. It is 0 if Total is 0,
// which means that the number of shards is not known.
func (c Coverage) Ratio() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// Part is the reply of one shard in an answer.
type Part struct {
	Shard Shard
	Body  []byte
}

// Answer is the successful result of a request.
type Answer struct {
	RequestID RequestID
	Snapshot  Snapshot
	Coverage  Coverage
	Parts     []Part
	// Elapsed is the time between the arrival of the request at the node and its
	// completion there.
	Elapsed time.Duration
}

// RunState states whether a request or call was run.
type RunState int

// Run states. RunStateNotRun is reported only if it is certain that nothing was run.
const (
	RunStateUnknown RunState = iota
	RunStateNotRun
	RunStateRun
)

// String returns the name used in the wire protocols.
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

// RefusalReason is the reason code of a refusal, as sent to the caller.
type RefusalReason string

// Refusal reasons.
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

// Refusal is the final reply to a request that gets no Answer. It implements error.
type Refusal struct {
	RequestID RequestID
	Reason    RefusalReason
	RunState  RunState
	// Detail describes what was wrong and where.
	Detail string
	// Accepted describes the values that would have been accepted; it may be empty.
	Accepted string
	// RetryAfter is the time after which the caller may retry; 0 if not stated.
	RetryAfter time.Duration
}

// Error returns the reason, the run state and the detail as one line.
func (r *Refusal) Error() string {
	return string(r.Reason) + " (" + r.RunState.String() + "): " + r.Detail
}
