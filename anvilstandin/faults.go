package anvilstandin

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// ReplyFault is a fault that is injected into single replies.
type ReplyFault int

// Reply faults.
const (
	// CrossReply sends the previous successful reply instead of the call's own or, if
	// there is none, the call's own with a wrong request id.
	CrossReply ReplyFault = iota
	// TruncateReply omits the second half of the body.
	TruncateReply
	// CorruptReply changes one byte of the body.
	CorruptReply
	// BreakReply runs the call and closes the connection without a reply.
	BreakReply

	replyFaultCount = int(BreakReply) + 1
)

// FalseState is a state that a leaf reports instead of its real one.
type FalseState struct {
	Cold     bool
	Draining bool
	Load     float64
}

// InjectReplyFaults injects the fault into the given number of replies to
// successful calls.
func (u *Upstream) InjectReplyFaults(fault ReplyFault, replies int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.replyFaults[fault] = replies
}

// SetServiceDelay adds a delay to the service time of calls.
func (u *Upstream) SetServiceDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.serviceDelay = d
}

// SetReplyDelay delays the replies to calls after the calls have run.
func (u *Upstream) SetReplyDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.replyDelay = d
}

// SetIgnoreTimeouts makes the leaf keep running calls whose Anvil-Timeout has
// passed.
func (u *Upstream) SetIgnoreTimeouts(ignore bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.ignoreTimeouts = ignore
}

// SetStateDelay delays the replies of the state endpoint.
func (u *Upstream) SetStateDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.stateDelay = d
}

// SetStateFrozen makes the state endpoint keep returning the current state, as an
// endpoint with stale data does.
func (u *Upstream) SetStateFrozen(frozen bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.frozenState = nil
	if frozen {
		state := u.currentState()
		u.faults.frozenState = &state
	}
}

// SetFalseState makes the state endpoint and the reply headers report the given
// state instead of the real one; nil reverts it.
func (u *Upstream) SetFalseState(state *FalseState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.falseState = state
}

// SetCold makes the leaf cold or warm without changing its incarnation.
func (u *Upstream) SetCold(cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold = cold
	u.completedSinceCold = 0
	u.collapsed = u.collapsed && cold
}

// SetDraining makes the leaf report that it is draining. It still serves calls,
// which are counted in Stats.CallsWhileDraining.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// SetFailureDomainOut records whether operators have taken the leaf's failure
// domain out. Calls received meanwhile are counted in Stats.CallsWhileOut; nothing
// that the leaf reports changes.
func (u *Upstream) SetFailureDomainOut(out bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureDomainOut = out
}

// AddHolding adds a snapshot to those that the leaf holds. It replaces an earlier
// holding of the same snapshot.
func (u *Upstream) AddHolding(h anvilmodel.Holding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dropSnapshot(h.Snapshot)
	u.holdings = append(u.holdings, h)
}

// DropSnapshot removes a snapshot from the leaf.
func (u *Upstream) DropSnapshot(s anvilmodel.Snapshot) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dropSnapshot(s)
}

func (u *Upstream) dropSnapshot(s anvilmodel.Snapshot) {
	u.holdings = slices.DeleteFunc(u.holdings, func(h anvilmodel.Holding) bool {
		return h.Snapshot == s
	})
}

// SilenceConnections makes all open connections permanently stop reading and
// answering. New connections work.
func (u *Upstream) SilenceConnections() {
	u.server.currentListener().silence()
}

// consumeReplyFault reports whether the fault applies to the current reply, and
// counts it as injected.
func (u *Upstream) consumeReplyFault(f ReplyFault) bool {
	if u.faults.replyFaults[f] <= 0 {
		return false
	}
	u.faults.replyFaults[f]--
	return true
}
