package anvilwire

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilwire")

// Error types of the codecs and of the integrity checks.
var (
	// Malformed means that the input violates the protocol.
	Malformed = Errors.NewType("malformed")
	// Crossed means that a reply belongs to another request.
	Crossed = Errors.NewType("crossed")
	// Truncated means that a body's length differs from its length header.
	Truncated = Errors.NewType("truncated")
	// Corrupt means that a body's checksum differs from its checksum header.
	Corrupt = Errors.NewType("corrupt")
)
