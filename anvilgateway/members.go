package anvilgateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilroute"
)

const (
	// peerTimeout bounds opening a connection to another node.
	peerTimeout = time.Second
	// capacityUnit is what the capacity of a member is counted in: parts of a core.
	capacityUnit = 100
	// leastFocus is the number of nodes that callers are sent to at least, so that
	// the loss of one takes a quarter of them along at most.
	leastFocus = 4
	// focusConnections is the number of connections to each leaf that a node has to
	// have for its share of the calls: two for each slot of a leaf and as many for
	// calls that wait out a pause.
	focusConnections = 8
	// focusMargin leaves a part of the bounds on leafs to callers that come to the
	// other nodes.
	focusMargin = 1.25
	// focusLoad is the load of a node above which callers are sent to more nodes.
	focusLoad = 0.5
)

// memberName names the node at a peer address. Seeds state addresses only, so
// that the address is the name that all nodes agree on.
func memberName(address netip.AddrPort) anvilmodel.VMName {
	return anvilmodel.VMName(address.String())
}

func (g *Gateway) startMembers() {
	now := time.Now()
	g.members = anvilmember.New(anvilmember.Config{
		Self: anvilmodel.Member{
			Name:          memberName(g.config.Addresses.Peer),
			FailureDomain: g.config.FailureDomain,
			CallerAddress: g.config.Addresses.Caller,
			PeerAddress:   g.config.Addresses.Peer,
			CPUCapacity:   uint32(g.config.Cores * capacityUnit),
			Incarnation:   anvilmodel.Incarnation(now.UnixMilli()),
		},
		Random: rand.New(rand.NewPCG(g.config.Seed, 3)),
	}, now)
	g.peers = anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: anvilpeer.DialFunc(g.dialPeer),
	})
	g.prober = anvilpeer.NewProber(anvilpeer.ProberConfig{
		Members:    g.members,
		Lock:       &g.control,
		Client:     g.peers,
		Background: g.background,
		Go:         g.goRun,
		BeforeTick: g.updateSelf,
		Event:      g.logMember,
	})
	g.setSeeds(g.config.Seeds)
}

// dialPeer opens a connection to another node.
func (g *Gateway) dialPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return NewDialer(peerTimeout).DialContext(ctx, "tcp", address.String())
}

// setSeeds hands the seeds to the membership as members to ask. They are no list
// of all members, so that the list does not count as a witness.
func (g *Gateway) setSeeds(seeds []netip.AddrPort) {
	list := make([]anvilmodel.ListedVM, 0, len(seeds))
	for _, s := range seeds {
		list = append(list, anvilmodel.ListedVM{
			Name:        memberName(s),
			PeerAddress: s,
		})
	}
	g.prober.With(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.SetVMList(list, now, a)
		m.SetVMListUnavailable(now, a)
	})
}

func (g *Gateway) peerHandlers() anvilpeer.Handlers {
	return anvilpeer.Handlers{
		Probe:     g.prober.Answer,
		Published: g.published,
	}
}

// updateSelf tells the membership what this node says of itself.
func (g *Gateway) updateSelf() {
	state := anvilmember.SelfState{
		Load: g.load.value(),
		// Others that are behind ask for it.
		ConfigRevision: g.copies.Configuration.LatestRevision(),
		Serving:        g.table.Load() != nil && g.copies.Leaves.Loaded() && g.able.Load(),
		Leaving:        g.leaving.Load(),
	}
	g.prober.With(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.UpdateSelf(state, now, a)
	})
}

func (g *Gateway) logMember(e anvilmember.Event) {
	g.config.Log.Info().Str("event", e.Kind.String()).Str("member", string(e.Member)).
		Uint64("incarnation", uint64(e.Incarnation)).Str("cause", e.Cause).Send()
}

// followFleet tells the balancer how many nodes share the bounds on leafs: those
// that callers are sent to, with a margin for the others, or for one of the others
// the whole fleet.
func (g *Gateway) followFleet(now time.Time) {
	g.control.Lock()
	members := g.members.Members()
	focus := g.focus
	focused := anviladdress.Subset(members, focus)
	name := g.members.Self().Name
	g.control.Unlock()
	count := 0
	load := 0.0
	for i, m := range members {
		switch m.Status {
		case anvilmodel.MemberAlive, anvilmodel.MemberSuspect, anvilmodel.MemberLeaving:
			count++
			load += m.Load
		case anvilmodel.MemberUnknown, anvilmodel.MemberDead:
			if i == 0 {
				count++
			}
		}
	}
	active := slices.ContainsFunc(focused, func(m anvilmodel.Member) bool { return m.Name == name })
	wanted := g.shareBounds(count, focus, active, now)
	g.control.Lock()
	g.focus = max(wanted, int(math.Ceil(load/focusLoad)))
	g.control.Unlock()
}

// shareBounds divides the bounds on leafs and returns the number of nodes that
// callers should be sent to for the sake of their connections.
func (g *Gateway) shareBounds(count, focus int, active bool, now time.Time) int {
	g.balancing.Lock()
	defer g.balancing.Unlock()
	g.lookAtLeafs(now)
	g.fleet.Observe(count, now)
	share := g.fleet.Size()
	g.active = active
	if active {
		share = min(share, int(math.Ceil(float64(focus)*focusMargin)))
	}
	g.balancer.SetNodeCount(share)
	return max(leastFocus, g.balancer.MinLeafConnectionLimit()/focusConnections)
}

// lookAtLeafs notes whether this node reaches enough shards: it does not if most
// routes over shards miss their floor. The lock balancing is held.
func (g *Gateway) lookAtLeafs(now time.Time) {
	able := true
	if table := g.table.Load(); table != nil && len(table.FanOutRoutes()) > 0 {
		short := 0
		for _, r := range table.FanOutRoutes() {
			if !g.reachesFloor(r, now) {
				short++
			}
		}
		able = short*2 <= len(table.FanOutRoutes())
	}
	if g.able.Swap(able) != able {
		g.config.Log.Info().Str("event", "reach-changed").Bool("able", able).Send()
	}
}

// reachesFloor reports whether enough shards of a route have a leaf that can be
// called.
func (g *Gateway) reachesFloor(r *anvilroute.Route, now time.Time) bool {
	reached := 0
	for _, name := range r.Shards {
		if g.balancer.ServiceAvailable(name, now) {
			reached++
		}
	}
	return reached >= r.MinShards()
}
