package anvilbench

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Failover is the way that an origin handles a node that does not answer.
type Failover int

// Kinds of failover.
const (
	// FailoverNone fails the calls on a broken stream and keeps sending to the node
	// until membership suspects it.
	FailoverNone Failover = iota
	// FailoverOnDisconnect avoids a node whose stream broke, and sends its
	// outstanding calls to the next candidate, as anvilnode does.
	FailoverOnDisconnect
	// FailoverOnTimeout also does so when a node has sent no reply on a stream for
	// streamSilenceTimeout although calls are outstanding.
	FailoverOnTimeout
)

const (
	// streamSilenceTimeout is several times the interval between replies on a stream
	// at the loads of the scenarios.
	streamSilenceTimeout = 50 * time.Millisecond
	// avoidDuration is the time for which a failed node is avoided. Membership has
	// usually detected a failure by then.
	avoidDuration = time.Second
)

// peerStream is the state of an origin's stream to another node.
type peerStream struct {
	// unanswered counts the calls without a reply. lastHeard is the time of the last
	// reply, or of the first call after a time without unanswered calls if that is
	// later.
	unanswered     int
	lastHeard      time.Duration
	checkScheduled bool
	// avoidUntil is the time until which the node is considered failed.
	avoidUntil time.Duration
}

// noteCall records a call sent on the stream to a node.
func (n *node) noteCall(to *node) {
	if to == n {
		return
	}
	s := &n.streams[to.index]
	if s.unanswered == 0 {
		s.lastHeard = n.sim.clock.now
	}
	s.unanswered++
	if n.sim.variant.Failover == FailoverOnTimeout && !s.checkScheduled {
		s.checkScheduled = true
		n.sim.clock.scheduleAfter(streamSilenceTimeout, func() { n.checkSilence(to) })
	}
}

// noteReply records a reply received on the stream from a node.
func (n *node) noteReply(from *node) {
	if from != n {
		s := &n.streams[from.index]
		s.unanswered = max(0, s.unanswered-1)
		s.lastHeard = n.sim.clock.now
	}
}

// checkSilence fails a stream that has had no reply for streamSilenceTimeout, or
// schedules the next check.
func (n *node) checkSilence(to *node) {
	s := &n.streams[to.index]
	s.checkScheduled = false
	if n.dead || s.unanswered == 0 {
		return
	}
	if silence := n.sim.clock.now - s.lastHeard; silence < streamSilenceTimeout {
		s.checkScheduled = true
		n.sim.clock.scheduleAfter(streamSilenceTimeout-silence, func() { n.checkSilence(to) })
		return
	}
	n.failStream(to)
}

// streamBroken handles the end of the stream to a node whose process ended.
func (n *node) streamBroken(to *node) {
	if !n.dead {
		n.failStream(to)
	}
}

// callRefused handles the refusal of a call by a VM whose node process has ended.
func (n *node) callRefused(attempt int, to *dispatcherRunner) {
	oc := n.outstanding[attempt]
	if n.dead || oc == nil || oc.runner != to {
		return
	}
	n.avoid(to.node)
	n.rerouteCall(oc, anvilmodel.RunStateNotRun)
}

// avoid makes the origin avoid a node for avoidDuration.
func (n *node) avoid(to *node) {
	if n.sim.variant.Failover != FailoverNone {
		n.streams[to.index].avoidUntil = n.sim.clock.now + avoidDuration
	}
}

// failStream avoids a node and reroutes the outstanding calls on its stream.
func (n *node) failStream(to *node) {
	n.streams[to.index].unanswered = 0
	n.avoid(to)
	var attempts []int
	for attempt, oc := range n.outstanding {
		if oc.runner.node == to {
			attempts = append(attempts, attempt)
		}
	}
	slices.Sort(attempts)
	for _, attempt := range attempts {
		n.rerouteCall(n.outstanding[attempt], anvilmodel.RunStateUnknown)
	}
}

// rerouteCall sends a call to the next candidate, or fails it if there is none.
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

// reachable reports whether this origin considers a node able to dispatch calls.
func (n *node) reachable(index int) bool {
	return index == n.index || n.usable[index] && n.sim.clock.now >= n.streams[index].avoidUntil
}
