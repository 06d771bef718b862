package anvilnode

import (
	"context"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// exchangeInterval is the time between two requests for the leaf states of
	// a member in a small fleet.
	exchangeInterval = 500 * time.Millisecond
	// exchangePerMember stretches the interval, so that a node asks at most 10
	// members a second. Each exchange costs about 60 bytes and 0.5 ms of CPU.
	exchangePerMember = 100 * time.Millisecond
	// loadLifetime is the age above which the choice of a leaf ignores a load.
	loadLifetime = 2 * time.Second
)

// observeLeaf takes a state that this node read from a leaf. Queries avoid a leaf
// that either the leaf itself or the dispatcher says to be cold.
func (n *Node) observeLeaf(said, judged anvilmodel.LeafState, known bool, now time.Time) {
	if known && judged.Incarnation == said.Incarnation {
		said.Cold = said.Cold || judged.Cold
	}
	n.states.Set(said, judged, known, now)
	n.observeOrigin(said)
}

// observeOrigin hands what a leaf said to the query core.
func (n *Node) observeOrigin(state anvilmodel.LeafState) {
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
	case <-n.background.Done():
	}
	versions := make(map[anvilmodel.Incarnation]uint64)
	applied := n.applications.Load()
	for n.background.Err() == nil {
		if a := n.applications.Load(); a != applied {
			applied = a
			clear(versions)
		}
		members := n.memberView.Load()
		for _, m := range members.all {
			if m.Name == n.config.Name || !usable(m) {
				continue
			}
			if version, ok := n.askStates(m, versions[m.Incarnation]); ok {
				versions[m.Incarnation] = version
			}
		}
		for incarnation := range versions {
			if _, ok := members.byIncarnation[incarnation]; !ok {
				delete(versions, incarnation)
			}
		}
		interval := max(exchangeInterval, time.Duration(len(members.all))*exchangePerMember)
		n.states.SetIgnoreLoads(interval > loadLifetime)
		n.awaitExchange(interval)
	}
}

// awaitExchange waits, or less when the configuration has changed.
func (n *Node) awaitExchange(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.askAgain:
	case <-n.background.Done():
	}
}

// askStates returns the version up to which the member's states are known.
func (n *Node) askStates(m anvilmodel.Member, after uint64) (uint64, bool) {
	ctx, cancel := context.WithTimeout(n.background, exchangeInterval)
	defer cancel()
	states, version, err := n.peers.LeafStates(ctx, m.PeerAddress, after)
	if err != nil {
		return 0, false
	}
	for _, state := range states {
		n.observeOrigin(state)
		if r := n.runner(state.Leaf); r != nil && state.Observed {
			r.adopt(state)
		}
	}
	return version, true
}
