package anvilgateway

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilgateway")

var (
	// Crossed means that a reply answers another request.
	Crossed = Errors.NewType("crossed")
	// Unidentified means that a reply does not say which request it answers.
	Unidentified = Errors.NewType("unidentified")
	// Unsigned means that a successful reply does not prove that the leaf ran the
	// request.
	Unsigned = Errors.NewType("unsigned")
	// TooLarge means that a head or a body is longer than accepted.
	TooLarge = Errors.NewType("too_large")
	// MemoryFull means that the bodies in flight hold all the memory that they may.
	MemoryFull = Errors.NewType("memory_full")
)
