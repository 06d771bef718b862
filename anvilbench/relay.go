package anvilbench

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Failover says what an origin does about a node that does not answer.
type Failover int

// Kinds of failover.
const (
	// FailoverNone answers calls on a broken stream as broken and goes on sending
	// to the node until membership suspects it.
	FailoverNone Failover = iota
	// FailoverOnDisconnect avoids a node whose stream broke, and sends its outstanding
	// calls to the next candidate, as anvilnode does.
	FailoverOnDisconnect
	// FailoverOnTimeout does the same when a node has answered nothing on a stream
	// for relayTimeout while calls were waiting.
	FailoverOnTimeout
)

const (
	// relayTimeout is several times the gap between replies on a stream under the
	// loads of the scenarios.
	relayTimeout = 50 * time.Millisecond
	// relayHold is how long a node is avoided; membership knows more by then.
	relayHold = time.Second
)

// relay is what an origin knows of its stream to another node.
type relay struct {
	// waiting counts calls without a reply, heard is the last reply, or the first
	// call since none waited.
	waiting int
	heard   time.Duration
	watched bool
	// avoided is until when the node is taken for failed.
	avoided time.Duration
}

// expect notes a call on the stream to a node.
func (n *node) expect(to *node) {
	if to == n {
		return
	}
	r := &n.relays[to.index]
	if r.waiting == 0 {
		r.heard = n.fleet.clock.now
	}
	r.waiting++
	if n.fleet.variant.Failover == FailoverOnTimeout && !r.watched {
		r.watched = true
		n.fleet.clock.after(relayTimeout, func() { n.watch(to) })
	}
}

// heard notes a reply on the stream from a node.
func (n *node) heard(from *node) {
	if from != n {
		r := &n.relays[from.index]
		r.waiting = max(0, r.waiting-1)
		r.heard = n.fleet.clock.now
	}
}

// watch looks whether a stream has been silent for too long.
func (n *node) watch(to *node) {
	r := &n.relays[to.index]
	r.watched = false
	if n.dead || r.waiting == 0 {
		return
	}
	if silence := n.fleet.clock.now - r.heard; silence < relayTimeout {
		r.watched = true
		n.fleet.clock.after(relayTimeout-silence, func() { n.watch(to) })
		return
	}
	n.fail(to)
}

// broke is the end of the stream to a node whose process ended.
func (n *node) broke(to *node) {
	if !n.dead {
		n.fail(to)
	}
}

// refused is the end of a call that found no process at a node.
func (n *node) refused(attempt int, to *runner) {
	w := n.routes[attempt]
	if n.dead || w == nil || w.runner != to {
		return
	}
	n.avoid(to.node)
	n.reroute(w, anvilmodel.RunStateNotRun)
}

// avoid takes a node for failed for a while.
func (n *node) avoid(to *node) {
	if n.fleet.variant.Failover != FailoverNone {
		n.relays[to.index].avoided = n.fleet.clock.now + relayHold
	}
}

// fail gives up the calls on a stream.
func (n *node) fail(to *node) {
	n.relays[to.index].waiting = 0
	n.avoid(to)
	var lost []int
	for attempt, w := range n.routes {
		if w.runner.node == to {
			lost = append(lost, attempt)
		}
	}
	slices.Sort(lost)
	for _, attempt := range lost {
		n.reroute(n.routes[attempt], anvilmodel.RunStateUnknown)
	}
}

// reroute sends a call to the next candidate, or gives it up.
func (n *node) reroute(w *route, ran anvilmodel.RunState) {
	f := n.fleet
	call := w.call
	if f.variant.Failover != FailoverNone {
		to := f.dispatcherFor(n, w.runner.leaf)
		call.Timeout -= f.clock.now - w.sentAt
		if to != nil && to.node != w.runner.node && call.Timeout > 0 {
			w.runner = to
			n.transmit(call, to)
			return
		}
	}
	reply := brokenReply(&call)
	reply.RunState = ran
	n.deliver(reply)
}

// reachable reports whether an origin believes that a node can dispatch.
func (n *node) reachable(index int) bool {
	return index == n.index || n.usable[index] && n.fleet.clock.now >= n.relays[index].avoided
}
