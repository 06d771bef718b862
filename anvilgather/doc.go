// Package anvilgather decides how a single request is executed: which calls to send
// to leaves, when to send a second call, and when to answer. A request has one part,
// or one part for each shard of a query. The package does no I/O: its owner passes in
// the time and events, and carries out the actions that it returns.
//
// A call that is overdue is hedged once at another leaf. A call that failed is
// retried at another leaf, within the attempts of the route and the retry budget. A
// non-idempotent request is sent a second time only if the first call has certainly
// not run.
//
// A request ends when
//   - every part has been answered or has failed for good,
//   - its latency target is about to pass and the answered parts reach the route's
//     minimum coverage,
//   - the minimum coverage can no longer be reached, or
//   - its timeout has expired.
//
// A refusal states that the request has not run, so a request is refused only if no
// call can have run.
package anvilgather
