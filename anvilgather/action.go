package anvilgather

import (
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// ActionKind is what the owner of a Request has to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionCall sends a call to its leaf. The owner passes the outcome to
	// HandleOutcome.
	ActionCall ActionKind = iota + 1
	// ActionReportOverdue reports to the balancer that a call is overdue.
	ActionReportOverdue
	// ActionFinish ends the request. It is always the last action.
	ActionFinish
)

// Action is a step that the owner of a Request has to carry out.
type Action struct {
	Kind ActionKind
	// CallIndex numbers the calls of the request from 0, PartIndex its parts.
	CallIndex int
	PartIndex int
	CallKind  anvilbalance.CallKind
	Leaf      anvilbalance.Leaf
	// Deadline is the time until which the leaf may work on the call; set for
	// ActionCall.
	Deadline time.Time
	// Finish, Cause and RetryAfter are set for ActionFinish.
	Finish FinishKind
	Cause  Cause
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// FinishKind is how a request ends.
type FinishKind int

// Ways in which a request ends.
const (
	// FinishAnswered means that the caller gets the parts that have been answered.
	FinishAnswered FinishKind = iota + 1
	// FinishRefused means that no leaf has run the request or will run it.
	FinishRefused
	// FinishFailed means that the request failed and that a leaf may have run it.
	FinishFailed
)

// String returns the name used in logs and metrics.
func (k FinishKind) String() string {
	switch k {
	case FinishAnswered:
		return "answered"
	case FinishRefused:
		return "refused"
	default:
		return "failed"
	}
}

// Cause is why a request or one of its parts was not answered in full.
type Cause int

// Causes of incomplete requests.
const (
	CauseNone Cause = iota
	// CauseNoLeaf means that a service had no leaf available.
	CauseNoLeaf
	// CauseShed means that the leaves refused the call.
	CauseShed
	// CauseLeafFailed means that a leaf replied with a failure.
	CauseLeafFailed
	// CauseConnectionLost means that the connection to a leaf ended without a reply.
	CauseConnectionLost
	// CauseTargetReached means that the latency target was about to pass.
	CauseTargetReached
	// CauseTimeout means that the request timed out.
	CauseTimeout
	// CauseDeferred means that all leaves of a service have announced that they
	// accept no calls for some time, or are at the rate limit that they announced.
	CauseDeferred
	// CauseShutdown means that the process is shutting down.
	CauseShutdown
)

var causeNames = map[Cause]string{
	CauseNone:           "none",
	CauseNoLeaf:         "no-leaf",
	CauseShed:           "leaf-shed",
	CauseLeafFailed:     "leaf-failed",
	CauseConnectionLost: "leaf-lost",
	CauseTargetReached:  "target-reached",
	CauseTimeout:        "timeout",
	CauseDeferred:       "leafs-deferred",
	CauseShutdown:       "leaving",
}

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	return causeNames[c]
}

func causeOfOutcome(outcome anvilbalance.Outcome) Cause {
	switch outcome {
	case anvilbalance.OutcomeShed, anvilbalance.OutcomeMisdirected:
		return CauseShed
	case anvilbalance.OutcomeFailed:
		return CauseLeafFailed
	case anvilbalance.OutcomeWithdrawn:
		return CauseDeferred
	case anvilbalance.OutcomeTimeout, anvilbalance.OutcomeAbandoned:
		return CauseTimeout
	default:
		return CauseConnectionLost
	}
}

// MissingPart is a part of the request that the answer does not contain.
type MissingPart struct {
	Service anvilmodel.ServiceName
	// Leaves are the leaves that were called for the part.
	Leaves []anvilmodel.LeafName
	Cause  Cause
}
