package anvilticket

import "anvilbridge/anvilmodel"

// DecisionKind says what a node does with a ticket.
type DecisionKind int

// Kinds of decisions.
const (
	// DecisionRun lets the node run the request, and report it with Finish.
	DecisionRun DecisionKind = iota + 1
	// DecisionRecorded returns the outcome of an earlier run.
	DecisionRecorded
	// DecisionRunning says that the request runs now.
	DecisionRunning
	// DecisionOtherIncarnation says that another incarnation has to be asked. This
	// node never runs the ticket.
	DecisionOtherIncarnation
	// DecisionRefused refuses the request with a reason.
	DecisionRefused
)

// String returns the name used in logs and metrics.
func (v DecisionKind) String() string {
	switch v {
	case DecisionRun:
		return "run"
	case DecisionRecorded:
		return "recorded"
	case DecisionRunning:
		return "running"
	case DecisionOtherIncarnation:
		return "elsewhere"
	case DecisionRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// Decision is the answer of Begin.
type Decision struct {
	Kind DecisionKind
	// Outcome is set for DecisionRecorded.
	Outcome Outcome
	// Reason, RunState and Detail are set for DecisionRefused.
	Reason   anvilmodel.RefusalReason
	RunState anvilmodel.RunState
	Detail   string
}

// Outcome is how a request with a ticket ended.
type Outcome struct {
	RunState anvilmodel.RunState
	// Answer is in the encoding that callers receive. It is nil in a recorded
	// outcome if it was too large to keep.
	Answer []byte
	// Digest is the xxhash64 of the answer and Size its length in bytes. The
	// register fills both in.
	Digest uint64
	Size   int
}

// TicketState answers the outcome query of another node.
type TicketState int

// Ticket states.
const (
	// TicketUnknown says that the register cannot tell.
	TicketUnknown TicketState = iota
	// TicketRunning says that the request runs now.
	TicketRunning
	// TicketVoid says that the request was not run and never will be.
	TicketVoid
	// TicketFinished says that an outcome is recorded; it may be unknown.
	TicketFinished
)

// String returns the name that the protocol between nodes uses.
func (s TicketState) String() string {
	switch s {
	case TicketRunning:
		return "running"
	case TicketVoid:
		return "not-run"
	case TicketFinished:
		return "run"
	default:
		return "unknown"
	}
}
