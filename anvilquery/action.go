package anvilquery

import "anvilbridge/anvilmodel"

// ActionKind says what the caller of the core has to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionCall sends Call to its leaf.
	ActionCall ActionKind = iota + 1
	// ActionCancel cancels the call with Call.ID at Call.Leaf. Of Call only ID,
	// Leaf, Service and Class are set.
	ActionCancel
	// ActionFinish ends the query with either Answer or Refusal. It is the last
	// action of a query.
	ActionFinish
)

// String returns the name used in logs.
func (k ActionKind) String() string {
	switch k {
	case ActionCall:
		return "call"
	case ActionCancel:
		return "cancel"
	case ActionFinish:
		return "finish"
	default:
		return "unknown"
	}
}

// Action is one thing that a query wants done.
type Action struct {
	Kind ActionKind
	// Query is the query that the action belongs to.
	Query *Query
	// Call is set for ActionCall, and in part for ActionCancel.
	Call anvilmodel.Call
	// Answer is set when an ActionFinish carries data, covering at least one shard.
	Answer *anvilmodel.Answer
	// Refusal is set when an ActionFinish carries no data.
	Refusal *anvilmodel.Refusal
}
