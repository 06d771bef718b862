package anvilwire

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilwire")

// Error types of the codecs.
var (
	// Malformed is input that does not follow the protocol.
	Malformed = Errors.NewType("malformed")
	// Crossed is a reply that belongs to another request.
	Crossed = Errors.NewType("crossed")
	// Truncated is a body whose length differs from the stated one.
	Truncated = Errors.NewType("truncated")
	// Corrupt is a body whose checksum differs from the stated one.
	Corrupt = Errors.NewType("corrupt")
)
