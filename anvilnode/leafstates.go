package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// exchangeInterval is the time between two requests for the leaf states of
	// a member in a small fleet.
	stateExchangeInterval = 500 * time.Millisecond
	// exchangePerMember stretches the interval, so that a node asks at most 10
	// members a second. Each exchange costs about 60 bytes and 0.5 ms of CPU.
	stateExchangePerMember = 100 * time.Millisecond
	// loadLifetime is the age above which the choice of a leaf ignores a load.
	maxLoadAge = 2 * time.Second
)

// observeLeaf takes a state that this node read from a leaf. Queries avoid a leaf
// that either the leaf itself or the dispatcher says to be cold.
func (n *Node) updateLeafState(reported, observed anvilmodel.LeafState, known bool, now time.Time) {
	if known && observed.Incarnation == reported.Incarnation {
		reported.Cold = reported.Cold || observed.Cold
	}
	n.states.Set(reported, observed, known, now)
	n.updateOriginState(reported)
}

// observeOrigin hands what a leaf said to the query core.
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

// runStateExchange asks the other members for the states of their leafs. After a
// change of the configuration it asks for all of them again: what was said of a
// leaf that this node did not know is lost.
func (n *Node) runStateExchange() {
	select {
	case <-n.announced:
	case <-n.ctx.Done():
	}
	versions := make(map[anvilmodel.Incarnation]uint64)
	applyCount := n.applyCount.Load()
	for n.ctx.Err() == nil {
		if a := n.applyCount.Load(); a != applyCount {
			applyCount = a
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
		n.states.SetIgnoreLoads(interval > maxLoadAge)
		n.waitForExchange(interval)
	}
}

// awaitExchange waits, or less when the configuration has changed.
func (n *Node) waitForExchange(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.exchangeNow:
	case <-n.ctx.Done():
	}
}

// askStates returns the version up to which the member's states are known.
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
