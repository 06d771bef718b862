package anvilnode

import (
	"net/netip"

	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// callRoute remembers where a call of this origin went, for its cancellation.
type callRoute struct {
	runner     *leafRunner
	relay      *anvilpeer.RelayClient
	dispatcher anvilmodel.Incarnation
}

// dispatch hands a call to the first usable candidate of its leaf: to a
// dispatcher of this node, or to another node. It returns the relay that has to be
// flushed, if any. A candidate whose stream is silent is used only if there is no
// other: its calls would be lost until the stream is replaced.
func (n *Node) dispatch(v *view, call anvilmodel.Call) *anvilpeer.RelayClient {
	members := n.memberView.Load()
	var silent *anvilpeer.RelayClient
	var silentMember anvilmodel.Incarnation
	for _, candidate := range v.table.Candidates(call.Leaf) {
		if candidate.Slot == n.config.Slot {
			if r := n.runner(call.Leaf); r != nil {
				n.remember(call.ID, callRoute{
					runner: r,
				})
				r.submit(call, n.deliver)
				return nil
			}
			continue
		}
		m, ok := members.bySlot[candidate.Slot]
		if !ok || !usable(m) || !m.Serving {
			continue
		}
		relay := n.relay(m.PeerAddress)
		switch {
		case relay == nil:
		case relay.Silence() < relaySuspicion:
			return n.sendOver(relay, m.Incarnation, call)
		case silent == nil:
			silent, silentMember = relay, m.Incarnation
		}
	}
	if silent != nil {
		return n.sendOver(silent, silentMember, call)
	}
	n.handleReply(notRun(call))
	return nil
}

func (n *Node) sendOver(relay *anvilpeer.RelayClient, dispatcher anvilmodel.Incarnation, call anvilmodel.Call) *anvilpeer.RelayClient {
	n.remember(call.ID, callRoute{
		relay:      relay,
		dispatcher: dispatcher,
	})
	n.metrics.Add(anvilmetric.RelayedCalls, 1, "sent")
	relay.Enqueue(dispatcher, call)
	return relay
}

// notRun returns the reply to a call that no dispatcher has taken.
func notRun(call anvilmodel.Call) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:     call.ID,
		Leaf:   call.Leaf,
		Result: anvilmodel.CallBroken,
		Ran:    anvilmodel.RunStateNotRun,
	}
}

func (n *Node) cancelCall(id anvilmodel.CallID) {
	n.relayLock.Lock()
	route := n.routes[id]
	n.relayLock.Unlock()
	switch {
	case route.runner != nil:
		route.runner.cancel(id)
	case route.relay != nil:
		route.relay.Cancel(route.dispatcher, id)
	}
}

func (n *Node) remember(id anvilmodel.CallID, route callRoute) {
	n.relayLock.Lock()
	n.routes[id] = route
	n.relayLock.Unlock()
}

func (n *Node) forget(id anvilmodel.CallID) {
	n.relayLock.Lock()
	delete(n.routes, id)
	n.relayLock.Unlock()
}

// relay returns the stream to an address, or nil when the node is stopping.
func (n *Node) relay(address netip.AddrPort) *anvilpeer.RelayClient {
	n.relayLock.Lock()
	defer n.relayLock.Unlock()
	r, ok := n.relays[address]
	if !ok && n.relays != nil {
		r = anvilpeer.NewRelayClient(anvilpeer.RelayConfig{
			Address: address,
			Deliver: n.deliver,
			Dial:    n.config.DialPeer,
		})
		n.relays[address] = r
	}
	return r
}

// checkRelays replaces relay streams that went silent, and closes those of members
// that are gone.
func (n *Node) checkRelays() {
	present := make(map[netip.AddrPort]bool)
	for _, m := range n.memberView.Load().all {
		if m.Status != anvilmodel.MemberDead {
			present[m.PeerAddress] = true
		}
	}
	silent := []*anvilpeer.RelayClient{}
	gone := []*anvilpeer.RelayClient{}
	n.relayLock.Lock()
	for address, r := range n.relays {
		switch {
		case !present[address]:
			delete(n.relays, address)
			gone = append(gone, r)
		case r.Silence() > relaySilence:
			silent = append(silent, r)
		}
	}
	n.relayLock.Unlock()
	for _, r := range silent {
		r.Reset()
	}
	for _, r := range gone {
		r.Close()
	}
}

// closeRelays closes all streams; no new ones are opened.
func (n *Node) closeRelays() {
	n.relayLock.Lock()
	relays := n.relays
	n.relays = nil
	n.relayLock.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

// acceptCall takes a call of another node for a dispatcher of this one.
func (n *Node) acceptCall(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	r := n.runner(call.Leaf)
	if r == nil {
		reply(notRun(call))
		return
	}
	n.metrics.Add(anvilmetric.RelayedCalls, 1, "received")
	n.remember(call.ID, callRoute{
		runner: r,
	})
	r.submit(call, func(answer anvilmodel.CallReply) {
		n.forget(call.ID)
		reply(answer)
	})
}
