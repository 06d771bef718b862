// Package anvilticket keeps the register with which a node incarnation runs
// each non-idempotent request at most once.
package anvilticket

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Config holds the settings of a register.
type Config struct {
	// Incarnation is the node's own.
	Incarnation anvilmodel.Incarnation
	// Started is when the incarnation started, with its monotonic reading.
	Started time.Time
	// Period is the length of an epoch; 0 means 30 s.
	Period time.Duration
	// Capacity bounds the used tickets kept at a time; 0 means 16,384.
	Capacity int
	// VoidCapacity bounds the void tickets kept at a time; 0 means 8 times Capacity.
	VoidCapacity int
	// OutcomeBytes bounds one recorded outcome; a larger one is kept without
	// its answer. 0 means 4,096.
	OutcomeBytes int
	// TotalBytes bounds all recorded answers together; 0 means 16 MiB.
	TotalBytes int
}

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
	// VerdictElsewhere says that another incarnation has to be asked.
	VerdictElsewhere
	// VerdictRefused refuses the request with a reason.
	VerdictRefused
)

// Decision is the answer of Begin.
type Decision struct {
	Verdict Verdict
	// Outcome is set for VerdictRecorded.
	Outcome Outcome
	// Reason, Ran and Detail are set for VerdictRefused.
	Reason anvilmodel.Reason
	Ran    anvilmodel.RunState
	Detail string
}

// Outcome is how a request with a ticket ended.
type Outcome struct {
	Ran anvilmodel.RunState
	// Answer is in the encoding that callers receive. It is nil if the answer
	// was too large to keep.
	Answer []byte
	// Digest is the xxhash64 of the answer, Size its length in bytes.
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
	// TicketFinished says that an outcome is recorded.
	TicketFinished
)

// Register keeps the tickets of one node incarnation. It is not safe for
// concurrent use.
type Register struct{}

// New returns an empty register.
func New(c Config) *Register { return &Register{} }

// Begin claims a ticket for a request with the given body digest.
func (r *Register) Begin(t anvilmodel.Ticket, bodyDigest uint64, now time.Time) Decision {
	return Decision{}
}

// Finish records how the run of a ticket ended. It reports whether it was kept.
func (r *Register) Finish(t anvilmodel.Ticket, o Outcome, now time.Time) bool { return false }

// Lookup answers the outcome query of another node. An unused ticket of an
// accepted epoch becomes void.
func (r *Register) Lookup(t anvilmodel.Ticket, now time.Time) (TicketState, Outcome) {
	return TicketUnknown, Outcome{}
}

// Void makes an unused ticket void and reports whether it certainly never runs.
func (r *Register) Void(t anvilmodel.Ticket, now time.Time) bool { return false }

// Epoch returns the epoch that callers are told now.
func (r *Register) Epoch(now time.Time) uint32 { return 0 }
