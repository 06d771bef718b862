package anvilcaller

import (
	"github.com/joomcode/errorx"

	"anvilbridge/anvilmodel"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilcaller")

// Error types of requests. A refusal by a node is an *anvilmodel.Refusal.
var (
	// BadRequest means that the request is invalid and was not sent.
	BadRequest = Errors.NewType("bad-request")
	// Unreachable means that no node could be reached.
	Unreachable = Errors.NewType("unreachable")
	// TimedOut means that no answer arrived within the request's timeout.
	TimedOut = Errors.NewType("timed-out", errorx.Timeout())
	// BadReply means that a reply belongs to another request or is truncated,
	// corrupt, malformed, too large or inconsistent.
	BadReply = Errors.NewType("bad-reply")
	// UnknownOutcome means that a non-idempotent request may have run. It wraps
	// the refusal or the failure that is the cause. TicketOf returns the ticket,
	// which can be passed to Client.Outcome to query the outcome again.
	UnknownOutcome = Errors.NewType("unknown-outcome")
)

var ticketProperty = errorx.RegisterProperty("ticket")

// TicketOf returns the ticket of an UnknownOutcome error.
func TicketOf(err error) (anvilmodel.Ticket, bool) {
	value, ok := errorx.ExtractProperty(err, ticketProperty)
	if !ok {
		return anvilmodel.Ticket{}, false
	}
	t, ok := value.(anvilmodel.Ticket)
	return t, ok
}
