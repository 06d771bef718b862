package anvilupstream

import "github.com/joomcode/errorx"

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("anvilupstream")

// Error types of calls, cancellations and state reads.
var (
	// Closed means that the client was shut down.
	Closed = Errors.NewType("closed")
	// Unreachable means that the connection could not be opened or was lost.
	Unreachable = Errors.NewType("unreachable")
	// TimedOut means that no reply arrived in time.
	TimedOut = Errors.NewType("timed-out", errorx.Timeout())
	// Cancelled means that the context of the call was cancelled.
	Cancelled = Errors.NewType("cancelled")
	// BadReply means that a reply belongs to another call, or is truncated, corrupt
	// or malformed. It wraps the error of anvilwire.
	BadReply = Errors.NewType("bad-reply")
	// BadStatus means that a control request got an unexpected HTTP status.
	BadStatus = Errors.NewType("bad-status")
	// TooLarge means that a reply exceeds the size limit.
	TooLarge = Errors.NewType("too-large")
)
