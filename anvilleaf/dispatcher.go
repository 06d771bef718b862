// Package anvilleaf decides, for one leaf, which calls wait, start or are
// refused, and over which connections they go.
package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Dispatcher is the queue and limiter in front of one leaf. It is not safe for
// concurrent use. Every method that takes actions appends to them and returns
// the extended slice; the edge carries them out in order.
//
// Connections are numbered from 1. The control connection, over which the edge
// reads the leaf's state and sends cancellations, is not numbered but counts
// against the share.
type Dispatcher struct{}

// New returns a dispatcher that judges the leaf cold and is in its quiet period.
func New(c Config, now time.Time) *Dispatcher { return &Dispatcher{} }

// Submit takes a call over. It is started, queued or refused at once.
func (d *Dispatcher) Submit(call anvilmodel.Call, now time.Time, actions []Action) []Action {
	return actions
}

// Cancel ends a call that its origin no longer needs.
func (d *Dispatcher) Cancel(id anvilmodel.CallID, now time.Time, actions []Action) []Action {
	return actions
}

// Done takes the end of a started call.
func (d *Dispatcher) Done(o Outcome, now time.Time, actions []Action) []Action { return actions }

// Opened reports that a connection is usable. The incarnation is the one that
// the leaf stated over this connection, 0 if it was not read.
func (d *Dispatcher) Opened(connection int, incarnation anvilmodel.Incarnation, now time.Time, actions []Action) []Action {
	return actions
}

// Closed reports that a connection no longer exists, or could not be opened.
func (d *Dispatcher) Closed(connection int, now time.Time, actions []Action) []Action {
	return actions
}

// ObserveState takes what the leaf's state endpoint says.
func (d *Dispatcher) ObserveState(s anvilmodel.LeafState, now time.Time, actions []Action) []Action {
	return actions
}

// AdoptJudgement takes another candidate's view of the leaf.
func (d *Dispatcher) AdoptJudgement(s anvilmodel.LeafState, now time.Time, actions []Action) []Action {
	return actions
}

// SetOut tells whether the leaf's failure domain is taken out.
func (d *Dispatcher) SetOut(out bool, now time.Time, actions []Action) []Action { return actions }

// SetLeaving tells whether the leaf is listed as leaving.
func (d *Dispatcher) SetLeaving(leaving bool, now time.Time, actions []Action) []Action {
	return actions
}

// SetIsolated tells whether this node has heard from neither peers nor platform.
func (d *Dispatcher) SetIsolated(isolated bool, now time.Time, actions []Action) []Action {
	return actions
}

// SetShare changes this node's part of the leaf after an assignment change.
func (d *Dispatcher) SetShare(s Share, now time.Time, actions []Action) []Action { return actions }

// Tick does what is due at now.
func (d *Dispatcher) Tick(now time.Time, actions []Action) []Action { return actions }

// Next returns when Tick has to be called at the latest. It is at most 500 ms
// after the last event.
func (d *Dispatcher) Next() time.Time { return time.Time{} }

// Status returns a view for operators and for the choice of a leaf.
func (d *Dispatcher) Status(now time.Time) Status { return Status{} }

// LeafState returns this node's judgement for other candidates, and false if
// it rests on no call of this node.
func (d *Dispatcher) LeafState(now time.Time) (anvilmodel.LeafState, bool) {
	return anvilmodel.LeafState{}, false
}
