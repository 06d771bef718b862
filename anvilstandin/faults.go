package anvilstandin

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// ReplyFault is a fault of single replies.
type ReplyFault int

// Reply faults.
const (
	// CrossReply answers with the reply to another call.
	CrossReply ReplyFault = iota
	// TruncateReply leaves out the second half of the body.
	TruncateReply
	// CorruptReply changes one byte of the body.
	CorruptReply
	// BreakReply runs the call and closes the connection without a reply.
	BreakReply

	faultKinds = int(BreakReply) + 1
)

// FalseState is what a leaf falsely says of itself.
type FalseState struct {
	Cold     bool
	Draining bool
	Load     float64
}

// InjectReplyFaults makes the next good replies faulty.
func (u *Upstream) InjectReplyFaults(fault ReplyFault, replies int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.replies[fault] = replies
}

// SetServiceDelay adds a time to every service time.
func (u *Upstream) SetServiceDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.slow = d
}

// SetReplyDelay holds every reply back after the call has run.
func (u *Upstream) SetReplyDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.replyDelay = d
}

// SetIgnoreTimeouts makes the leaf run calls on after their Anvil-Timeout.
func (u *Upstream) SetIgnoreTimeouts(ignore bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.ignoreTimeouts = ignore
}

// SetStateDelay makes the state endpoint slow.
func (u *Upstream) SetStateDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.stateDelay = d
}

// SetStateFrozen makes the state endpoint go on answering with the present
// state, as a lagging endpoint does.
func (u *Upstream) SetStateFrozen(frozen bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.frozen = nil
	if frozen {
		state := u.state()
		u.faults.frozen = &state
	}
}

// SetFalseState makes the state endpoint and the reply headers state a claim
// instead of the truth; nil ends it.
func (u *Upstream) SetFalseState(c *FalseState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.claim = c
}

// SetCold makes the leaf cold or warm without a new incarnation.
func (u *Upstream) SetCold(cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold = cold
	u.warmed = 0
	u.collapsed = u.collapsed && cold
}

// SetDraining makes the leaf say that it drains. It still serves calls, and
// counts them.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// SetFailureDomainOut marks that operators have taken the leaf's failure domain out, so
// that calls received from now on are counted. The leaf does not say it.
func (u *Upstream) SetFailureDomainOut(out bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.out = out
}

// AddHolding adds a snapshot beside those that the leaf holds, in place of an
// earlier holding of that snapshot.
func (u *Upstream) AddHolding(h anvilmodel.Holding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dropSnapshot(h.Snapshot)
	u.holdings = append(u.holdings, h)
}

// DropSnapshot makes the leaf no longer hold a snapshot.
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

// SilenceConnections makes the open connections stop reading and answering
// for good, while new ones work.
func (u *Upstream) SilenceConnections() {
	u.server.connections().silence()
}

// takeFault reports whether the present reply has the fault.
func (u *Upstream) takeFault(f ReplyFault) bool {
	if u.faults.replies[f] <= 0 {
		return false
	}
	u.faults.replies[f]--
	return true
}
