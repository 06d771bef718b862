package anvilbalance

import (
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Outcome is how a call ended.
type Outcome int

// Outcomes of calls.
const (
	// OutcomeGood means that the leaf sent a complete and successful answer.
	OutcomeGood Outcome = iota + 1
	// OutcomeFailed means that the leaf ran the call and answered that it failed.
	OutcomeFailed
	// OutcomeShed means that the leaf answered that it did not run the call.
	OutcomeShed
	// OutcomeMisdirected means that another leaf at the address answered that it did
	// not run the call.
	OutcomeMisdirected
	// OutcomeUnsent means that no byte of the call was sent.
	OutcomeUnsent
	// OutcomeLost means that the connection ended, or delivered an invalid answer,
	// after the call was sent.
	OutcomeLost
	// OutcomeTimeout means that no answer arrived before the call's deadline.
	OutcomeTimeout
	// OutcomeAbandoned means that this node cancelled the call before its deadline.
	OutcomeAbandoned
	// OutcomeWithdrawn means that the call was not sent, because the leaf had
	// meanwhile announced that it accepts none.
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

// NotRun reports whether the leaf certainly did not run the call.
func (o Outcome) NotRun() bool {
	return o == OutcomeShed || o == OutcomeMisdirected || o == OutcomeUnsent || o == OutcomeWithdrawn
}

// CallResult describes a finished call and what the reply reported about the leaf.
type CallResult struct {
	Leaf    Leaf
	Route   anvilroute.Name
	Outcome Outcome
	// Elapsed is the time from the start of the call to its end.
	Elapsed time.Duration
	// Overdue is set if MarkOverdue was called for this call.
	Overdue bool
	// LoadKnown is set if the leaf reported its load, which is Load requests.
	LoadKnown bool
	Load      int
	// ColdFor is how long the leaf reported that it stays cold; 0 if not reported.
	ColdFor time.Duration
	// Leaving is set if the leaf announced its shutdown.
	Leaving bool
	// Deferral is the time for which the leaf announced that it accepts no calls; 0
	// if it did not.
	Deferral time.Duration
	// RateLimitKnown is set if the leaf replied, and RateLimit is what it announced.
	RateLimitKnown bool
	RateLimit      anvilmodel.RateLimit
}

// LeafChanges describes how the result of a call changed the state of its leaf.
type LeafChanges struct {
	// Ejected is set if the leaf gets no calls until a health check succeeds.
	Ejected bool
	// NewDeparture is set if the leaf announced its shutdown for the first time.
	NewDeparture bool
	// Deferral is how long the leaf gets no calls at its own request; 0 if it made no
	// such request.
	Deferral time.Duration
	// RateLimitChanged is set if the leaf announced another rate limit than before.
	RateLimitChanged bool
}
