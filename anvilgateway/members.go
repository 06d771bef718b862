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
	// peerDialTimeout bounds opening a connection to another node.
	peerDialTimeout = time.Second
	// capacityUnitsPerCore is the number of units of CPU capacity per core.
	capacityUnitsPerCore = 100
	// minSubsetSize is the least number of nodes to which callers are directed, so that
	// the loss of one node affects at most a quarter of the callers.
	minSubsetSize = 4
	// minConnectionsPerLeaf is the number of connections to each leaf that a node needs
	// for its share of the calls: two for each slot of a leaf, and as many for calls that
	// are delayed by a pause of the leaf.
	minConnectionsPerLeaf = 8
	// subsetMargin reserves a part of the limits of the leaves for callers that use nodes
	// outside the subset.
	subsetMargin = 1.25
	// maxSubsetNodeLoad is the load of a node above which callers are directed to more
	// nodes.
	maxSubsetNodeLoad = 0.5
)

// memberName returns the name of the node at a peer address. Seeds consist of addresses
// only, so the address serves as the name on which all nodes agree.
func memberName(address netip.AddrPort) anvilmodel.VMName {
	return anvilmodel.VMName(address.String())
}

func (g *Gateway) startMembership() {
	now := time.Now()
	g.members = anvilmember.New(anvilmember.Config{
		Self: anvilmodel.Member{
			Name:          memberName(g.config.Addresses.Peer),
			FailureDomain: g.config.FailureDomain,
			CallerAddress: g.config.Addresses.Caller,
			PeerAddress:   g.config.Addresses.Peer,
			CPUCapacity:   uint32(g.config.Cores * capacityUnitsPerCore),
			Incarnation:   anvilmodel.Incarnation(now.UnixMilli()),
		},
		Random: rand.New(rand.NewPCG(g.config.Seed, 3)),
	}, now)
	g.peers = anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: anvilpeer.DialFunc(g.dialPeer),
	})
	g.prober = anvilpeer.NewProber(anvilpeer.ProberConfig{
		Membership: g.members,
		Lock:       &g.membersMu,
		Client:     g.peers,
		Context:    g.background,
		Go:         g.startTask,
		BeforeTick: g.updateSelfState,
		OnEvent:    g.logMemberEvent,
	})
	g.setSeeds(g.config.Seeds)
}

// dialPeer opens a connection to another node.
func (g *Gateway) dialPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return NewDialer(peerDialTimeout).DialContext(ctx, "tcp", address.String())
}

// setSeeds passes the seeds to the membership as nodes to contact. The seeds are not a
// list of all members, so the list is marked as unavailable and does not count as
// evidence.
func (g *Gateway) setSeeds(seeds []netip.AddrPort) {
	list := make([]anvilmodel.ListedVM, 0, len(seeds))
	for _, s := range seeds {
		list = append(list, anvilmodel.ListedVM{
			Name:        memberName(s),
			PeerAddress: s,
		})
	}
	g.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.SetVMList(list, now, a)
		m.SetVMListUnavailable(now, a)
	})
}

func (g *Gateway) peerHandlers() anvilpeer.Handlers {
	return anvilpeer.Handlers{
		Probe:     g.prober.HandleProbe,
		Published: g.published,
	}
}

// updateSelfState passes the current state of this node to the membership.
func (g *Gateway) updateSelfState() {
	// Nodes with an older version fetch this one.
	version := g.followers.Configuration.LatestVersion()
	state := anvilmember.SelfState{
		Load:           g.load.value(),
		RequestRate:    math.Float64frombits(g.requestRate.Load()),
		ConfigRevision: version.Revision,
		ConfigEra:      version.Era,
		Serving:        g.table.Load() != nil && g.followers.Leaves.Loaded() && g.enoughShards.Load(),
		Leaving:        g.shuttingDown.Load(),
	}
	g.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.UpdateSelf(state, now, a)
	})
}

func (g *Gateway) logMemberEvent(e anvilmember.Event) {
	g.config.Log.Info().Str("event", e.Kind.String()).Str("member", string(e.Member)).
		Uint64("incarnation", uint64(e.Incarnation)).Str("cause", e.Cause).Send()
}

// updateFleetSize updates the share of the rate limits of leaves, the number of nodes among
// which the balancer divides the other limits, and the size of the subset of nodes to which
// callers are directed. A node of the subset counts the nodes of the subset, with a margin
// for the others. Any other node counts the whole fleet.
func (g *Gateway) updateFleetSize(now time.Time) {
	g.membersMu.Lock()
	members := g.members.Members()
	subsetSize := g.subsetSize
	subset := anviladdress.Subset(members, subsetSize)
	name := g.members.Self().Name
	g.membersMu.Unlock()
	g.updateShare(members, now)
	nodes := 0
	load := 0.0
	for i, m := range members {
		switch m.Status {
		case anvilmodel.MemberAlive, anvilmodel.MemberSuspect, anvilmodel.MemberLeaving:
			nodes++
			load += m.Load
		case anvilmodel.MemberUnknown, anvilmodel.MemberDead:
			if i == 0 {
				nodes++
			}
		}
	}
	inSubset := slices.ContainsFunc(subset, func(m anvilmodel.Member) bool { return m.Name == name })
	byConnections := g.divideLeafLimits(nodes, subsetSize, inSubset, now)
	g.membersMu.Lock()
	g.subsetSize = max(byConnections, int(math.Ceil(load/maxSubsetNodeLoad)))
	g.membersMu.Unlock()
}

// updateShare updates this node's demand and its share of the rate limits of leaves.
func (g *Gateway) updateShare(members []anvilmodel.Member, now time.Time) {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	rate := g.demand.Update(g.requestCount.Swap(0), now)
	g.requestRate.Store(math.Float64bits(rate))
	g.share.Observe(members, now)
	g.balancer.SetShare(g.share.Share(), g.share.Phase())
}

// divideLeafLimits divides the connection limits of the leaves and the slack of the retry
// budget among the nodes. It returns the largest number of nodes to which callers can be
// directed such that each still has minConnectionsPerLeaf connections to a leaf, but at
// least minSubsetSize.
func (g *Gateway) divideLeafLimits(nodes, subsetSize int, inSubset bool, now time.Time) int {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	g.updateEnoughShards(now)
	g.fleetSize.Observe(nodes, now)
	nodeCount := g.fleetSize.Size()
	g.inSubset = inSubset
	if inSubset {
		nodeCount = min(nodeCount, int(math.Ceil(float64(subsetSize)*subsetMargin)))
	}
	g.balancer.SetNodeCount(nodeCount)
	return max(minSubsetSize, g.balancer.MinLeafConnectionLimit()/minConnectionsPerLeaf)
}

// updateEnoughShards determines whether this node reaches enough shards. It does not if
// most fan-out routes are below their minimum coverage. The caller must hold balancerMu.
func (g *Gateway) updateEnoughShards(now time.Time) {
	enough := true
	if table := g.table.Load(); table != nil && len(table.FanOutRoutes()) > 0 {
		belowMinimum := 0
		for _, r := range table.FanOutRoutes() {
			if !g.reachesMinCoverage(r, now) {
				belowMinimum++
			}
		}
		enough = belowMinimum*2 <= len(table.FanOutRoutes())
	}
	if g.enoughShards.Swap(enough) != enough {
		g.config.Log.Info().Str("event", "reach-changed").Bool("able", enough).Send()
	}
}

// reachesMinCoverage reports whether enough shards of a route have a leaf that can be
// called.
func (g *Gateway) reachesMinCoverage(r *anvilroute.Route, now time.Time) bool {
	available := 0
	for _, name := range r.Shards {
		if g.balancer.ServiceReachable(name, now) {
			available++
		}
	}
	return available >= r.MinShards()
}
