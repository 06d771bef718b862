// Package anvilleaf decides, for one leaf, which calls wait, start or are
// refused, and over which connections they go.
//
// A [Dispatcher] is handed events and the time, and returns actions. The edge
// carries the actions out in order and reports what comes of them:
//
//   - ActionOpen: connect, and read the leaf's state over that connection.
//     Report ConnectionOpened with the incarnation read, then ObserveLeafState with the rest;
//     or ConnectionClosed if it failed. Until its incarnation is known, a connection may
//     lead to a process that has just started.
//   - ActionStart: send the call over the connection named, and over no other:
//     a transport must not dial again under the same number. Report CallFinished once,
//     also after the call was cancelled or is past its time. Keep waiting for
//     the leaf's reply until the connection is to be closed.
//   - ActionCancel: ask the leaf over the control connection to stop the call.
//   - ActionClose: close the connection. Report CallFinished for a call on it, then
//     ConnectionClosed once it no longer exists. Until then it counts against the share.
//   - ActionReply: hand the reply to the origin of the call.
//
// A connection that ends by itself is reported with ConnectionClosed as well. The control
// connection carries state polls and cancellations; it is one of the share, and
// the edge replaces it only after it has closed the old one.
//
// After every event the edge arms a timer for NextTick. A gap of over 1 s between
// events is taken for a pause of the process: the node then counts as isolated
// until SetIsolated(false) says that it has heard from others since.
//
// # Cold leafs
//
// A leaf is cold when its incarnation is new, when it or a reply says so, on
// distress, and after it was away. Then at most Share.ColdConcurrency calls are in flight,
// counting those that were cancelled, timed out or lost with their connection
// until the leaf answered them or their deadline and the margin have passed.
// With Share.ColdConcurrency 0 the leaf gets no call until another candidate's judgement
// is adopted. Nothing is sent to a cold leaf in the quiet period and while the
// node is isolated.
//
// # Run states
//
// A call is answered not-run only if it was never started, if the edge is
// certain that no byte of it was written, or if the leaf says so. No call is
// started twice.
package anvilleaf
