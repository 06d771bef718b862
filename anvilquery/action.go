package anvilquery

import "anvilbridge/anvilmodel"

// ActionKind is the kind of operation that an Action requests from the caller.
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

// Action is one operation that a query requests from the caller of this package.
type Action struct {
	Kind ActionKind
	// Query is the query that the action belongs to.
	Query *Query
	// Call is set for ActionCall, and in part for ActionCancel.
	Call anvilmodel.Call
	// Answer is set for an ActionFinish with data. It covers at least one shard.
	Answer *anvilmodel.Answer
	// Refusal is set for an ActionFinish without data.
	Refusal *anvilmodel.Refusal
}
