// Package anvilticket keeps the register with which a node incarnation runs
// each non-idempotent request at most once.
//
// A node calls Begin before it runs a request with a ticket, and Finish when
// the run is over. It answers the outcome queries of other nodes with Lookup.
//
// Whoever is told not-run may go on with a new ticket while a copy of the
// request with the old one is still on its way. So a ticket that was answered
// not-run never runs later:
//
//   - Lookup makes an unused ticket void.
//   - Finish with not-run leaves a void ticket. The caller repeats such a
//     request with a new ticket.
//   - Begin makes a ticket void that it refuses because the register is full.
//   - A node that refuses a request before Begin, for overload or because it is
//     leaving, calls Void, and says not-run only if Void returns true.
//
// A void ticket takes 8 bytes and its place in a map. When there is no room
// even for that, its whole epoch takes no new tickets any more.
//
// A ticket of an epoch that is not accepted is never run, and is answered
// unknown, since its record may be gone. Epochs count from the start of the
// incarnation on the monotonic clock, so neither a clock that is set nor a
// pause opens an epoch again.
package anvilticket
