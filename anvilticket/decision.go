package anvilticket

import "anvilbridge/anvilmodel"

// DecisionKind is what a node does with a request after Begin.
type DecisionKind int

// Kinds of decisions.
const (
	// DecisionRun means that the node runs the request and reports the end with
	// Finish.
	DecisionRun DecisionKind = iota + 1
	// DecisionRecorded means that the outcome of an earlier run is returned.
	DecisionRecorded
	// DecisionRunning means that the request is already running.
	DecisionRunning
	// DecisionOtherIncarnation means that the ticket belongs to another
	// incarnation, which has to be asked. This node never runs it.
	DecisionOtherIncarnation
	// DecisionRefused means that the request is refused.
	DecisionRefused
)

// String returns the name used in logs and metrics.
func (k DecisionKind) String() string {
	switch k {
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

// Decision is the result of Begin.
type Decision struct {
	Kind DecisionKind
	// Outcome is set for DecisionRecorded.
	Outcome Outcome
	// Reason, RunState and Detail are set for DecisionRefused.
	Reason   anvilmodel.RefusalReason
	RunState anvilmodel.RunState
	Detail   string
}

// Outcome is the result of a request with a ticket.
type Outcome struct {
	RunState anvilmodel.RunState
	// Answer is in the encoding that callers receive. In a recorded outcome it
	// is nil if it was too large to keep.
	Answer []byte
	// Digest is the xxhash64 of the answer, Size its length in bytes. The
	// register sets both.
	Digest uint64
	Size   int
}

// TicketState is the state of a ticket as reported to other nodes.
type TicketState int

// Ticket states.
const (
	// TicketUnknown means that the register cannot tell the state.
	TicketUnknown TicketState = iota
	// TicketRunning means that the request is running.
	TicketRunning
	// TicketVoid means that the request was not run and never will be.
	TicketVoid
	// TicketFinished means that an outcome is recorded; its run state may be
	// unknown.
	TicketFinished
)

// String returns the name used in the protocol between nodes.
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
