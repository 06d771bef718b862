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
// dispatcher of this node or to another node.
func (n *Node) dispatch(call anvilmodel.Call) {
	v := n.view.Load()
	members := n.memberView.Load()
	for _, candidate := range v.table.Candidates(call.Leaf) {
		if candidate.Slot == n.config.Slot {
			if r := n.runner(call.Leaf); r != nil {
				n.remember(call.ID, callRoute{
					runner: r,
				})
				r.submit(call, n.handleReply)
				return
			}
			continue
		}
		m, ok := members.bySlot[candidate.Slot]
		if !ok || !usable(m) || !m.Serving {
			continue
		}
		relay := n.relay(m.PeerAddress)
		n.remember(call.ID, callRoute{
			relay:      relay,
			dispatcher: m.Incarnation,
		})
		n.metrics.Add(anvilmetric.RelayedCalls, 1, "sent")
		relay.Send(m.Incarnation, call)
		return
	}
	n.handleReply(anvilmodel.CallReply{
		ID:     call.ID,
		Leaf:   call.Leaf,
		Result: anvilmodel.CallBroken,
		Ran:    anvilmodel.RunStateNotRun,
	})
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

func (n *Node) relay(address netip.AddrPort) *anvilpeer.RelayClient {
	n.relayLock.Lock()
	defer n.relayLock.Unlock()
	r, ok := n.relays[address]
	if !ok {
		r = anvilpeer.NewRelayClient(anvilpeer.RelayConfig{
			Address: address,
			Deliver: n.handleReply,
			Dial:    n.config.DialPeer,
		})
		n.relays[address] = r
	}
	return r
}

// checkRelays replaces relay streams that went silent while the member behind
// them answers probes, and closes those of members that are gone.
func (n *Node) checkRelays() {
	status := make(map[netip.AddrPort]anvilmodel.MemberStatus)
	for _, m := range n.memberView.Load().all {
		if status[m.PeerAddress] != anvilmodel.MemberAlive {
			status[m.PeerAddress] = m.Status
		}
	}
	n.relayLock.Lock()
	silent := []*anvilpeer.RelayClient{}
	for address, r := range n.relays {
		s, ok := status[address]
		if !ok || s == anvilmodel.MemberDead {
			delete(n.relays, address)
			silent = append(silent, r)
			continue
		}
		if r.Silence() > relaySilence {
			silent = append(silent, r)
		}
	}
	n.relayLock.Unlock()
	for _, r := range silent {
		r.Reset()
	}
}

func (n *Node) closeRelays() {
	n.relayLock.Lock()
	relays := n.relays
	n.relays = make(map[netip.AddrPort]*anvilpeer.RelayClient)
	n.relayLock.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

// acceptCall takes a call of another node for a dispatcher of this one.
func (n *Node) acceptCall(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	r := n.runner(call.Leaf)
	if r == nil {
		reply(anvilmodel.CallReply{
			ID:     call.ID,
			Leaf:   call.Leaf,
			Result: anvilmodel.CallBroken,
			Ran:    anvilmodel.RunStateNotRun,
		})
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
