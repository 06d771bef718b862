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
	streamSilenceTimeout = 50 * time.Millisecond
	// relayHold is how long a node is avoided; membership knows more by then.
	avoidDuration = time.Second
)

// relay is what an origin knows of its stream to another node.
type peerStream struct {
	// waiting counts calls without a reply, heard is the last reply, or the first
	// call since none waited.
	unanswered     int
	lastHeard      time.Duration
	checkScheduled bool
	// avoided is until when the node is taken for failed.
	avoidUntil time.Duration
}

// expect notes a call on the stream to a node.
func (n *node) noteCall(to *node) {
	if to == n {
		return
	}
	r := &n.streams[to.index]
	if r.unanswered == 0 {
		r.lastHeard = n.sim.clock.now
	}
	r.unanswered++
	if n.sim.variant.Failover == FailoverOnTimeout && !r.checkScheduled {
		r.checkScheduled = true
		n.sim.clock.scheduleAfter(streamSilenceTimeout, func() { n.checkSilence(to) })
	}
}

// heard notes a reply on the stream from a node.
func (n *node) noteReply(from *node) {
	if from != n {
		r := &n.streams[from.index]
		r.unanswered = max(0, r.unanswered-1)
		r.lastHeard = n.sim.clock.now
	}
}

// watch looks whether a stream has been silent for too long.
func (n *node) checkSilence(to *node) {
	r := &n.streams[to.index]
	r.checkScheduled = false
	if n.dead || r.unanswered == 0 {
		return
	}
	if silence := n.sim.clock.now - r.lastHeard; silence < streamSilenceTimeout {
		r.checkScheduled = true
		n.sim.clock.scheduleAfter(streamSilenceTimeout-silence, func() { n.checkSilence(to) })
		return
	}
	n.failStream(to)
}

// broke is the end of the stream to a node whose process ended.
func (n *node) streamBroken(to *node) {
	if !n.dead {
		n.failStream(to)
	}
}

// refused is the end of a call that found no process at a node.
func (n *node) callRefused(attempt int, to *dispatcherRunner) {
	oc := n.outstanding[attempt]
	if n.dead || oc == nil || oc.runner != to {
		return
	}
	n.avoid(to.node)
	n.rerouteCall(oc, anvilmodel.RunStateNotRun)
}

// avoid takes a node for failed for a while.
func (n *node) avoid(to *node) {
	if n.sim.variant.Failover != FailoverNone {
		n.streams[to.index].avoidUntil = n.sim.clock.now + avoidDuration
	}
}

// fail gives up the calls on a stream.
func (n *node) failStream(to *node) {
	n.streams[to.index].unanswered = 0
	n.avoid(to)
	var lost []int
	for attempt, oc := range n.outstanding {
		if oc.runner.node == to {
			lost = append(lost, attempt)
		}
	}
	slices.Sort(lost)
	for _, attempt := range lost {
		n.rerouteCall(n.outstanding[attempt], anvilmodel.RunStateUnknown)
	}
}

// reroute sends a call to the next candidate, or gives it up.
func (n *node) rerouteCall(oc *outstandingCall, runState anvilmodel.RunState) {
	sim := n.sim
	call := oc.call
	if sim.variant.Failover != FailoverNone {
		to := sim.dispatcherFor(n, oc.runner.leaf)
		call.Timeout -= sim.clock.now - oc.sentAt
		if to != nil && to.node != oc.runner.node && call.Timeout > 0 {
			oc.runner = to
			n.sendToDispatcher(call, to)
			return
		}
	}
	reply := brokenReply(&call)
	reply.RunState = runState
	n.handleReply(reply)
}

// reachable reports whether an origin believes that a node can dispatch.
func (n *node) reachable(index int) bool {
	return index == n.index || n.usable[index] && n.sim.clock.now >= n.streams[index].avoidUntil
}
