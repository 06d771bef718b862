package anvilplatform

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilplatform")

// Error types of reads from the platform.
var (
	// Unreachable means that no reply came.
	Unreachable = Errors.NewType("unreachable")
	// TimedOut means that no reply came in time.
	TimedOut = Errors.NewType("timed-out", errorx.Timeout())
	// BadStatus is a reply with an unexpected HTTP status.
	BadStatus = Errors.NewType("bad-status")
	// TooLarge is a reply or a document above the size limit.
	TooLarge = Errors.NewType("too-large")
	// Malformed is a reply that does not follow the protocol.
	Malformed = Errors.NewType("malformed")
)
