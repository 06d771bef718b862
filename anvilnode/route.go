package anvilnode

import (
	"net/netip"
	"time"

	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// callRoute records where a call of this origin or of another node was sent, so that it
// can be cancelled, or sent to the next candidate if the node there fails.
type callRoute struct {
	runner      *leafRunner
	relay       *anvilpeer.RelayClient
	incarnation anvilmodel.Incarnation
	// call, sent and rank are set for calls sent to another node.
	call anvilmodel.Call
	sent time.Time
	rank int
	// cancelled is set once the call is cancelled. It is then not sent to another
	// candidate.
	cancelled bool
}

// dispatch sends a call to the first usable candidate of its leaf, which is a
// dispatcher of this node or of another one. It returns the relay stream that has to be
// flushed, or nil.
func (n *Node) dispatch(active *activeConfig, call anvilmodel.Call) *anvilpeer.RelayClient {
	relay, ok := n.dispatchFromRank(active, call, 0)
	if !ok {
		n.handleReply(notRunReply(call))
	}
	return relay
}

// dispatchFromRank is like dispatch, but skips candidates below a rank. It reports
// false if no candidate is usable. A candidate whose relay stream is silent is used
// only if there is no other one, because its calls would be lost until the stream is
// replaced.
func (n *Node) dispatchFromRank(active *activeConfig, call anvilmodel.Call, rank int) (*anvilpeer.RelayClient, bool) {
	members := n.memberView.Load()
	var silent *callRoute
	for _, candidate := range active.assignments.Candidates(call.Leaf) {
		if candidate.Rank < rank {
			continue
		}
		if candidate.Slot == n.config.Slot {
			if r := n.runner(call.Leaf); r != nil {
				n.storeRoute(call.ID, callRoute{
					runner: r,
				})
				r.submit(call, n.replyHandler)
				return nil, true
			}
			continue
		}
		m, ok := members.bySlot[candidate.Slot]
		if !ok || !isAlive(m) || !m.Serving {
			continue
		}
		relay := n.relay(m.PeerAddress)
		if relay == nil {
			continue
		}
		route := callRoute{
			relay:       relay,
			incarnation: m.Incarnation,
			call:        call,
			rank:        candidate.Rank,
		}
		if relay.Silence() < relayAvoidAfter {
			return n.sendViaRelay(route), true
		}
		if silent == nil {
			silent = &route
		}
	}
	if silent != nil {
		return n.sendViaRelay(*silent), true
	}
	return nil, false
}

func (n *Node) sendViaRelay(route callRoute) *anvilpeer.RelayClient {
	route.sent = time.Now()
	n.storeRoute(route.call.ID, route)
	n.metrics.Add(anvilmetric.RelayedCalls, 1, "sent")
	route.relay.Enqueue(route.incarnation, route.call)
	return route.relay
}

// handleBrokenCall handles the end of a call whose relay stream broke. The call is sent
// to the next candidate, unless it may have run and must not run twice.
func (n *Node) handleBrokenCall(reply anvilmodel.CallReply) {
	n.relayLock.Lock()
	route, ok := n.routes[reply.ID]
	delete(n.routes, reply.ID)
	n.relayLock.Unlock()
	repeatable := !route.call.NonIdempotent || reply.RunState == anvilmodel.RunStateNotRun
	if !ok || route.cancelled || !repeatable {
		n.handleReply(reply)
		return
	}
	call := route.call
	call.Timeout -= time.Since(route.sent)
	if call.Timeout <= 0 {
		n.handleReply(reply)
		return
	}
	relay, ok := n.dispatchFromRank(n.activeConfig.Load(), call, route.rank+1)
	if !ok {
		n.handleReply(reply)
		return
	}
	n.metrics.Add(anvilmetric.RelayedCalls, 1, "failed-over")
	if relay != nil {
		relay.Flush()
	}
}

// notRunReply returns the reply to a call that no dispatcher has accepted.
func notRunReply(call anvilmodel.Call) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:       call.ID,
		Leaf:     call.Leaf,
		Result:   anvilmodel.CallBroken,
		RunState: anvilmodel.RunStateNotRun,
	}
}

func (n *Node) cancelCall(id anvilmodel.CallID) {
	n.relayLock.Lock()
	route, ok := n.routes[id]
	if ok {
		route.cancelled = true
		n.routes[id] = route
	}
	n.relayLock.Unlock()
	switch {
	case route.runner != nil:
		route.runner.cancelCall(id)
	case route.relay != nil:
		route.relay.Cancel(route.incarnation, id)
	}
}

func (n *Node) storeRoute(id anvilmodel.CallID, route callRoute) {
	n.relayLock.Lock()
	n.routes[id] = route
	n.relayLock.Unlock()
}

func (n *Node) deleteRoute(id anvilmodel.CallID) {
	n.relayLock.Lock()
	delete(n.routes, id)
	n.relayLock.Unlock()
}

// relay returns the relay stream to an address, or nil if the node is stopping.
func (n *Node) relay(address netip.AddrPort) *anvilpeer.RelayClient {
	n.relayLock.Lock()
	defer n.relayLock.Unlock()
	r, ok := n.relays[address]
	if !ok && n.relays != nil {
		r = anvilpeer.NewRelayClient(anvilpeer.RelayClientConfig{
			Address:          address,
			HandleReply:      n.replyHandler,
			HandleBrokenCall: n.handleBrokenCall,
			Dial:             n.config.DialPeer,
		})
		n.relays[address] = r
	}
	return r
}

// checkRelays replaces silent relay streams and closes those to members that are dead
// or no longer known.
func (n *Node) checkRelays() {
	memberAddresses := make(map[netip.AddrPort]bool)
	for _, m := range n.memberView.Load().all {
		if m.Status != anvilmodel.MemberDead {
			memberAddresses[m.PeerAddress] = true
		}
	}
	silent := []*anvilpeer.RelayClient{}
	removed := []*anvilpeer.RelayClient{}
	n.relayLock.Lock()
	for address, r := range n.relays {
		switch {
		case !memberAddresses[address]:
			delete(n.relays, address)
			removed = append(removed, r)
		case r.Silence() > relayResetAfter:
			silent = append(silent, r)
		}
	}
	n.relayLock.Unlock()
	for _, r := range silent {
		r.Reset()
	}
	for _, r := range removed {
		r.Close()
	}
}

// closeRelays closes all relay streams and prevents new ones.
func (n *Node) closeRelays() {
	n.relayLock.Lock()
	relays := n.relays
	n.relays = nil
	n.relayLock.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

// acceptCall submits a call from another node to a dispatcher of this node.
func (n *Node) acceptCall(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	r := n.runner(call.Leaf)
	if r == nil {
		reply(notRunReply(call))
		return
	}
	n.metrics.Add(anvilmetric.RelayedCalls, 1, "received")
	n.storeRoute(call.ID, callRoute{
		runner: r,
	})
	r.submit(call, func(callReply anvilmodel.CallReply) {
		n.deleteRoute(call.ID)
		if n.ctx.Err() != nil {
			// The node is stopping without waiting for its calls. No reply is sent,
			// because the end of the stream tells the origin that the dispatching node
			// failed, and not the leaf.
			return
		}
		reply(callReply)
	})
}
