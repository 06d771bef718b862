package anvilticket

import "anvilbridge/anvilmodel"

// Verdict says what a node does with a ticket.
type Verdict int

// Verdicts of Begin.
const (
	// VerdictRun lets the node run the request, and report it with Finish.
	VerdictRun Verdict = iota + 1
	// VerdictRecorded returns the outcome of an earlier run.
	VerdictRecorded
	// VerdictRunning says that the request runs now.
	VerdictRunning
	// VerdictElsewhere says that another incarnation has to be asked. This
	// node never runs the ticket.
	VerdictElsewhere
	// VerdictRefused refuses the request with a reason.
	VerdictRefused
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictRun:
		return "run"
	case VerdictRecorded:
		return "recorded"
	case VerdictRunning:
		return "running"
	case VerdictElsewhere:
		return "elsewhere"
	case VerdictRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// Decision is the answer of Begin.
type Decision struct {
	Verdict Verdict
	// Outcome is set for VerdictRecorded.
	Outcome Outcome
	// Reason, Ran and Detail are set for VerdictRefused.
	Reason anvilmodel.RefusalReason
	Ran    anvilmodel.RunState
	Detail string
}

// Outcome is how a request with a ticket ended.
type Outcome struct {
	Ran anvilmodel.RunState
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
