package anvilleaf

import "anvilbridge/anvilmodel"

// ActionKind is the kind of work that an Action requests of the dispatcher's
// owner.
type ActionKind int

// Kinds of actions.
const (
	// ActionStart sends Call on the given connection. Call.Timeout is the time
	// left at the start. The owner reports the end with CallFinished, exactly
	// once.
	ActionStart ActionKind = iota + 1
	// ActionReply delivers Reply to the origin of the call. Each submitted call
	// gets exactly one reply.
	ActionReply
	// ActionCancel asks the leaf over the control connection to stop the call.
	// The call keeps its connection: the owner continues to wait for the leaf's
	// reply and reports it with CallFinished, until it is told to close the
	// connection.
	ActionCancel
	// ActionOpen opens the given connection and reads the leaf's state over it.
	// The owner reports ConnectionOpened with the incarnation read, or
	// ConnectionClosed.
	ActionOpen
	// ActionClose closes the given connection. The owner reports
	// ConnectionClosed when it no longer exists; a call still running on it is
	// then broken.
	ActionClose
)

// String returns the name used in logs.
func (k ActionKind) String() string {
	switch k {
	case ActionStart:
		return "start"
	case ActionReply:
		return "reply"
	case ActionCancel:
		return "cancel"
	case ActionOpen:
		return "open"
	case ActionClose:
		return "close"
	default:
		return "unknown"
	}
}

// Action is a step for the owner to execute, in the order of the returned
// slice.
type Action struct {
	Kind ActionKind
	// ID identifies the call of ActionStart, ActionReply and ActionCancel.
	ID anvilmodel.CallID
	// Connection is the number of the connection, from 1.
	Connection int
	Call       anvilmodel.Call
	Reply      anvilmodel.CallReply
}

// Outcome is the result that the owner reports for a started call.
type Outcome struct {
	// Reply holds the result. Its Incarnation is zero unless the leaf replied.
	Reply anvilmodel.CallReply
	// Connection is the connection that carried the call.
	Connection int
	// ConnectionLost is true if the connection cannot be used after the call.
	// The dispatcher then requests that it be closed and does not use it again.
	ConnectionLost bool
	// Written is false only if it is certain that no byte of the call was
	// written to the connection.
	Written bool
}
