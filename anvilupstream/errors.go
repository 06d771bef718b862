package anvilupstream

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilupstream")

// Error types of calls, cancellations and state reads.
var (
	// Closed means that the client was shut down or the leaf forgotten.
	Closed = Errors.NewType("closed")
	// Unreachable means that the connection could not be opened or broke.
	Unreachable = Errors.NewType("unreachable")
	// TimedOut means that no reply came in time.
	TimedOut = Errors.NewType("timed-out", errorx.Timeout())
	// Cancelled means that the context of the call was cancelled.
	Cancelled = Errors.NewType("cancelled")
	// BadReply is a reply that is crossed, truncated, corrupt or malformed. It
	// wraps the error of anvilwire.
	BadReply = Errors.NewType("bad-reply")
	// BadStatus is a control reply with an unexpected HTTP status.
	BadStatus = Errors.NewType("bad-status")
	// TooLarge is a reply above the size limit.
	TooLarge = Errors.NewType("too-large")
)
