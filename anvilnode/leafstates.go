package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// stateExchangeInterval is the minimum time between two requests for the leaf
	// states of a member. It is also the timeout of a request.
	stateExchangeInterval = 500 * time.Millisecond
	// stateExchangePerMember is the minimum interval per member of the fleet. It limits
	// a node to 10 requests per second. Each request costs about 60 bytes and 0.5 ms of
	// CPU time.
	stateExchangePerMember = 100 * time.Millisecond
	// maxLoadAge is the age above which loads are ignored in the choice of a leaf.
	maxLoadAge = 2 * time.Second
)

// updateLeafState stores a state that this node read from a leaf and the state that its
// dispatcher derived. Queries avoid a leaf that is cold in either of them.
func (n *Node) updateLeafState(reported, observed anvilmodel.LeafState, hasObserved bool, now time.Time) {
	if hasObserved && observed.Incarnation == reported.Incarnation {
		reported.Cold = reported.Cold || observed.Cold
	}
	n.states.Set(reported, observed, hasObserved, now)
	n.updateOriginState(reported)
}

// updateOriginState passes the state that a leaf reported to the query origin. States
// that were derived from calls are ignored.
func (n *Node) updateOriginState(state anvilmodel.LeafState) {
	if state.Observed {
		return
	}
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if n.origin != nil {
		n.origin.ObserveState(state, time.Now())
	}
}

// runStateExchange periodically requests from the other members the states of their
// leaves. After a change of the configuration it requests all states again, because
// states of leaves that this node did not know at the time were dropped.
func (n *Node) runStateExchange() {
	select {
	case <-n.announced:
	case <-n.ctx.Done():
	}
	versions := make(map[anvilmodel.Incarnation]uint64)
	applyCount := n.applyCount.Load()
	for n.ctx.Err() == nil {
		if current := n.applyCount.Load(); current != applyCount {
			applyCount = current
			clear(versions)
		}
		members := n.memberView.Load()
		for _, m := range members.all {
			if m.Name == n.config.Name || !isAlive(m) {
				continue
			}
			if version, ok := n.fetchLeafStates(m, versions[m.Incarnation]); ok {
				versions[m.Incarnation] = version
			}
		}
		for incarnation := range versions {
			if _, ok := members.byIncarnation[incarnation]; !ok {
				delete(versions, incarnation)
			}
		}
		interval := max(stateExchangeInterval, time.Duration(len(members.all))*stateExchangePerMember)
		n.states.SetIgnoreLoadChanges(interval > maxLoadAge)
		n.waitForExchange(interval)
	}
}

// waitForExchange waits for a duration, or until the configuration changes.
func (n *Node) waitForExchange(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.exchangeNow:
	case <-n.ctx.Done():
	}
}

// fetchLeafStates fetches the leaf states of a member that changed after a version, and
// returns the version up to which they are known.
func (n *Node) fetchLeafStates(m anvilmodel.Member, after uint64) (uint64, bool) {
	ctx, cancel := context.WithTimeout(n.ctx, stateExchangeInterval)
	defer cancel()
	states, version, err := n.peers.LeafStates(ctx, m.PeerAddress, after)
	if err != nil {
		return 0, false
	}
	for _, state := range states {
		n.updateOriginState(state)
		if r := n.runner(state.Leaf); r != nil && state.Observed {
			r.adoptState(state)
		}
	}
	return version, true
}
