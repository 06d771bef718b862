package anvilbalance

import (
	"time"

	"anvilbridge/anvilroute"
)

// Outcome is how a call ended.
type Outcome int

// Outcomes of calls.
const (
	// OutcomeGood is a whole and successful answer.
	OutcomeGood Outcome = iota + 1
	// OutcomeFailed is the leaf's own answer that it failed; it has run.
	OutcomeFailed
	// OutcomeShed is the leaf's word that it did not run the call.
	OutcomeShed
	// OutcomeMisdirected is the word of another leaf at the address that it did not
	// run the call.
	OutcomeMisdirected
	// OutcomeUnsent means that certainly no byte of the call was sent.
	OutcomeUnsent
	// OutcomeLost means that the connection ended, or said nothing sensible, after
	// the call was sent.
	OutcomeLost
	// OutcomeTimeout means that no answer came in the time that the call had.
	OutcomeTimeout
	// OutcomeAbandoned means that this node gave the call up early.
	OutcomeAbandoned
	// OutcomeWithdrawn means that the call was not sent, because the leaf has said
	// meanwhile that it wants none.
	OutcomeWithdrawn
)

var outcomeNames = map[Outcome]string{
	OutcomeGood:        "good",
	OutcomeFailed:      "failed",
	OutcomeShed:        "shed",
	OutcomeMisdirected: "misdirected",
	OutcomeUnsent:      "unsent",
	OutcomeLost:        "lost",
	OutcomeTimeout:     "timeout",
	OutcomeAbandoned:   "abandoned",
	OutcomeWithdrawn:   "withdrawn",
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// NotRun reports whether the call has certainly not run.
func (o Outcome) NotRun() bool {
	return o == OutcomeShed || o == OutcomeMisdirected || o == OutcomeUnsent || o == OutcomeWithdrawn
}

// CallResult is what a call has shown.
type CallResult struct {
	Leaf    Leaf
	Route   anvilroute.Name
	Outcome Outcome
	// Elapsed is the time from the call's start to its end.
	Elapsed time.Duration
	// Overdue says that Overdue was called for the call.
	Overdue bool
	// LoadKnown says that the leaf reported its load, which is Load requests.
	LoadKnown bool
	Load      int
	// ColdFor is how long the leaf says that it stays cold; 0 if it says nothing.
	ColdFor time.Duration
	// Leaving says that the leaf says that it leaves.
	Leaving bool
	// Deferral is how long the leaf says that it wants no calls of this node; 0 if it
	// says nothing.
	Deferral time.Duration
}

// LeafChanges is what a result has changed about its leaf.
type LeafChanges struct {
	// Ejected says that the leaf gets no calls until a health check has succeeded.
	Ejected bool
	// NewDeparture says that the leaf has said for the first time that it leaves.
	NewDeparture bool
	// Deferral is how long the leaf gets no calls because it said so; 0 if it did not.
	Deferral time.Duration
}
