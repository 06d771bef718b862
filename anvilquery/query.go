package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Query is one running query.
type Query struct{}

// Handle takes a reply and appends the actions that follow. Replies that do not
// answer an outstanding call of this query are dropped and counted.
func (q *Query) Handle(reply anvilmodel.CallReply, now time.Time, actions []Action) []Action {
	return actions
}

// Tick appends the actions that are due at now.
func (q *Query) Tick(now time.Time, actions []Action) []Action {
	return actions
}

// Next returns the next instant at which Tick must run. It is zero once the
// query is done.
func (q *Query) Next() time.Time {
	return time.Time{}
}

// Abandon ends the query because its caller is gone, and appends the
// cancellations. No Finish action follows. A non-idempotent query runs on, so
// that its outcome can be recorded; it finishes as usual.
func (q *Query) Abandon(now time.Time, actions []Action) []Action {
	return actions
}

// Done reports whether the query has finished or was abandoned.
func (q *Query) Done() bool {
	return true
}

// RequestID returns the id of the request.
func (q *Query) RequestID() anvilmodel.RequestID {
	return ""
}

// Release gives the memory of a query that is done back to its origin. The
// query must not be used afterwards. Calling it is optional.
func (q *Query) Release() {}
