package anvilgather

import (
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// ActionKind says what the owner of a Request has to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionCall sends the call to its leaf; its outcome goes to HandleOutcome.
	ActionCall ActionKind = iota + 1
	// ActionReportOverdue tells the balancer that the call is overdue.
	ActionReportOverdue
	// ActionFinish ends the request. It is its last action.
	ActionFinish
)

// Action is one thing that a request wants done.
type Action struct {
	Kind ActionKind
	// CallIndex numbers the calls of the request from 0.
	CallIndex int
	PartIndex int
	CallKind  anvilbalance.CallKind
	Leaf      anvilbalance.Leaf
	// Deadline is set for ActionCall: until then the leaf may work on the call.
	Deadline time.Time
	// Finish, Cause and RetryAfter are set for ActionFinish.
	Finish FinishKind
	Cause  Cause
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// FinishKind is how a request ends.
type FinishKind int

// Ends of requests.
const (
	// FinishAnswered means that the parts that are in are the answer.
	FinishAnswered FinishKind = iota + 1
	// FinishRefused means that the request has not run and will not run.
	FinishRefused
	// FinishFailed means that the request may have run.
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

// Cause is why a request is not complete.
type Cause int

// Causes.
const (
	CauseNone Cause = iota
	// CauseNoLeaf means that a service had no leaf that could be called.
	CauseNoLeaf
	// CauseShed means that the leafs refused the call.
	CauseShed
	// CauseLeafFailed means that a leaf answered that it failed.
	CauseLeafFailed
	// CauseConnectionLost means that a leaf's connection ended without an answer.
	CauseConnectionLost
	// CauseTargetReached means that the target was about to pass.
	CauseTargetReached
	// CauseTimeout means that the time of the request was over.
	CauseTimeout
	// CauseDeferred means that the leafs of a service want no calls for a while.
	CauseDeferred
	// CauseShutdown means that the process ends.
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

func causeOf(o anvilbalance.Outcome) Cause {
	switch o {
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

// MissingPart is a part that is not in the answer.
type MissingPart struct {
	Service anvilmodel.ServiceName
	// Leaves are those that were called.
	Leaves []anvilmodel.LeafName
	Cause  Cause
}
