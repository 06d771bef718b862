// Package anvilticket keeps the register of tickets with which a node
// incarnation runs each non-idempotent request at most once.
//
// A node calls Begin before it runs a request with a ticket, and Finish when the
// run has ended. It answers the outcome queries of other nodes with Lookup.
//
// A caller that is told not-run may repeat the request with a new ticket while a
// copy of the request with the old ticket is still in transit. Therefore a ticket
// that was answered not-run never runs later:
//
//   - Lookup voids an unused ticket.
//   - Finish voids the ticket if the request did not run. The caller repeats such
//     a request with a new ticket.
//   - Begin voids a ticket that it refuses because the register is full.
//   - A node that refuses a request before Begin, because it is overloaded or
//     leaving, calls Void, and answers not-run only if Void returns true.
//
// A void ticket takes 8 bytes and a map entry. When there is no room even for
// that, its whole epoch accepts no more new tickets.
//
// A ticket of an epoch that is not accepted never runs, and is answered unknown,
// because its record may have been deleted. Epochs count from the start of the
// incarnation on the monotonic clock, so that neither a change of the wall clock
// nor a pause of the process reopens an epoch.
package anvilticket
