// Package anvilquery makes all decisions of one query at the node that received
// it: deadline, snapshot, coverage, choice of leafs, hedging, retries and when
// to answer. It does no I/O; it is handed the time and events and returns actions.
package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Origin is what all queries of one node share. It is not safe for concurrent use.
type Origin struct {
	config   Config
	counters Counters
}

// NewOrigin returns an Origin without leafs.
func NewOrigin(config Config) *Origin {
	return &Origin{
		config: config.withDefaults(),
	}
}

// SetLeafs replaces the configured leafs of all services. What is known of leafs
// that remain is kept; running queries send no new calls to removed ones.
func (o *Origin) SetLeafs(leafs []anvilmodel.Leaf) {}

// SetBudgets replaces the hedge and retry budgets of Config, for a new revision.
func (o *Origin) SetBudgets(hedge, retry float64) {}

// SetUsable says whether new calls may go to a leaf. Leafs are usable until told
// otherwise. Use it for leafs that are leaving, taken out, or judged broken.
func (o *Origin) SetUsable(leaf anvilmodel.LeafName, usable bool) {}

// ObserveState learns what a leaf states of itself at its state endpoint.
func (o *Origin) ObserveState(state anvilmodel.LeafState, now time.Time) {}

// Start begins a query and appends its first actions. A refused request has a
// Finish action at once. The query is never nil.
func (o *Origin) Start(request anvilmodel.Request, now time.Time, actions []Action) (*Query, []Action) {
	return &Query{}, actions
}

// Handle hands a reply to the query whose call it answers and appends the
// actions that follow. It returns nil and drops the reply if there is none.
func (o *Origin) Handle(reply anvilmodel.CallReply, now time.Time, actions []Action) (*Query, []Action) {
	return nil, actions
}

// Counters returns the counters.
func (o *Origin) Counters() Counters {
	return o.counters
}
