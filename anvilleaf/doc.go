// Package anvilleaf is the queue, concurrency limiter and circuit breaker in
// front of one leaf. It decides which calls wait, start or are refused, and over
// which connections they are sent.
//
// A [Dispatcher] does no I/O. Its owner passes it events with the current time,
// executes the returned actions in order, and reports their results:
//
//   - ActionOpen: open a connection and read the leaf's state over it. Report
//     ConnectionOpened with the incarnation read, then ObserveLeafState with the
//     whole state; or ConnectionClosed if it failed. Until its incarnation is
//     known, a connection may lead to a process that has just started.
//   - ActionStart: send the call over the given connection only. The transport
//     must not reconnect under the same number. Report CallFinished exactly
//     once, also for a call that was cancelled or is past its deadline. Keep
//     waiting for the leaf's reply until told to close the connection.
//   - ActionCancel: ask the leaf over the control connection to stop the call.
//   - ActionClose: close the connection. Report CallFinished for a call on it,
//     then ConnectionClosed once the connection no longer exists. Until then it
//     counts against the share.
//   - ActionReply: deliver the reply to the origin of the call.
//
// A connection that the leaf or the network closes is also reported with
// ConnectionClosed. The control connection carries state polls and
// cancellations. It counts against the share of connections, and the owner
// replaces it only after the old one is closed.
//
// After every event the owner sets a timer for NextTick. A gap of over 1 s
// between events is treated as a pause of the process: the node then counts as
// isolated until SetIsolated(false) reports that it has heard from others since.
//
// # Cold leaves
//
// A leaf is cold when its incarnation is new, when its state endpoint or a
// reply reports it as cold, when its service time is over 4 times the long-term
// mean, when half of its recent calls are shed or fail, and after it was out of
// service. At most Share.ColdConcurrency calls are then in flight. Calls that
// were cancelled, timed out or lost with their connection count until the leaf
// answers them or until their deadline and the grace period have passed. With a
// Share.ColdConcurrency of 0, the leaf gets no call until another candidate
// reports it as warm. Nothing is sent to a cold leaf in the quiet period or
// while the node is isolated.
//
// # Run states
//
// A call is answered not-run only if it was never started, if it is certain that
// no byte of it was written, or if the leaf reports so. No call is started twice.
package anvilleaf
