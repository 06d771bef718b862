// Package anvilgather makes the decisions of one request: which calls to send,
// when to send a second one, and when to answer. A request has one part, or one
// for each shard of a query. The package does no I/O; it is handed the time and
// events and returns actions.
//
// A call that is overdue is hedged once at another leaf. A call that failed is
// repeated at another leaf, within the attempts of the route and the retry
// budget. A non-idempotent request is sent a second time only if the first call
// has certainly not run.
//
// A request ends when
//   - every part is in or has failed for good,
//   - its target is about to pass and the parts that are in reach the floor,
//   - the floor can no longer be reached, or
//   - its time is over.
//
// It is refused, with the word that it has not run, only if no call may have run.
package anvilgather
