package anvilplatform

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilplatform")

// Errors of reads from the platform.
var (
	// Unreachable means that the connection failed or ended before the reply was complete.
	Unreachable = Errors.NewType("unreachable")
	// TimedOut means that the reply was not complete within the timeout.
	TimedOut = Errors.NewType("timed-out", errorx.Timeout())
	// BadStatus means that the reply has an unexpected HTTP status.
	BadStatus = Errors.NewType("bad-status")
	// TooLarge means that a reply or a document exceeds a limit.
	TooLarge = Errors.NewType("too-large")
	// Malformed means that the body of a reply cannot be decoded.
	Malformed = Errors.NewType("malformed")
)
