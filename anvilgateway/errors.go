package anvilgateway

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilgateway")

var (
	// MismatchedReply means that a reply answers another request.
	MismatchedReply = Errors.NewType("crossed")
	// MissingRequestID means that a reply does not state which request it answers.
	MissingRequestID = Errors.NewType("unidentified")
	// MissingSignature means that a successful reply does not prove that the leaf ran the
	// request.
	MissingSignature = Errors.NewType("unsigned")
	// InvalidStatus means that a reply has a status that no request can have as its answer.
	InvalidStatus = Errors.NewType("invalid_status")
	// TooLarge means that a header block or a body exceeds its size limit.
	TooLarge = Errors.NewType("too_large")
	// MemoryExhausted means that the bodies in flight use the whole memory budget.
	MemoryExhausted = Errors.NewType("memory_full")
)
