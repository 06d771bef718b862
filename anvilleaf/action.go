package anvilleaf

import "anvilbridge/anvilmodel"

// ActionKind says what an Action asks of the edge.
type ActionKind int

// Kinds of actions.
const (
	// ActionStart sends Call on connection Connection. Call.Timeout is the time
	// left at the start. The edge reports the end with CallFinished, once.
	ActionStart ActionKind = iota + 1
	// ActionReply hands Reply to the origin of the call. Each submitted call
	// gets exactly one.
	ActionReply
	// ActionCancel asks the leaf to stop call ID, over the control connection.
	// The call keeps its connection: the edge goes on waiting for the leaf's
	// reply, and reports it with CallFinished, until it is told to close the connection.
	ActionCancel
	// ActionOpen connects connection Connection and reads the leaf's state over
	// it. The edge reports ConnectionOpened with the incarnation read, or ConnectionClosed.
	ActionOpen
	// ActionClose closes connection Connection. The edge reports ConnectionClosed when it
	// no longer exists; a call still running on it is then broken.
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

// Action is what the edge has to do, in the order of the returned slice.
type Action struct {
	Kind ActionKind
	// ID names the call of ActionStart, ActionReply and ActionCancel.
	ID anvilmodel.CallID
	// Connection is the number of the connection, from 1.
	Connection int
	Call       anvilmodel.Call
	Reply      anvilmodel.CallReply
}

// Outcome is what the edge reports when a started call is over.
type Outcome struct {
	// Reply holds the result. Its Incarnation is zero unless the leaf replied.
	Reply anvilmodel.CallReply
	// Connection is the connection that carried the call.
	Connection int
	// ConnectionLost says that the connection did not survive the call. The dispatcher asks
	// for its closure and does not use it again.
	ConnectionLost bool
	// Written is false only if it is certain that no byte of the call was
	// written to the connection.
	Written bool
}
