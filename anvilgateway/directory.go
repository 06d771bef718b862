package anvilgateway

import (
	"net/http"
	"net/netip"
	"slices"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmodel"
)

// maxAddresses is the largest number of addresses that callers accept in an answer.
const maxAddresses = 64

// serveReady answers the platform's readiness checks.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != g.config.Protocol.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case !g.ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// serveAddresses answers callers that request the addresses of gateways.
func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.config.Protocol.AddressPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	addresses := g.selectAddresses(g.config.Protocol.DecodeAddressRequest(r))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := g.config.Protocol.EncodeAddresses(w, addresses, g.config.AddressLifetime); err != nil {
		g.config.Log.Warn().Str("event", "address-answer-failed").Err(err).Send()
	}
}

// withAllServing returns a copy of the members in which all are marked as serving.
func withAllServing(members []anvilmodel.Member) []anvilmodel.Member {
	all := slices.Clone(members)
	for i := range all {
		all[i].Serving = true
	}
	return all
}

func (g *Gateway) selectAddresses(domain anvilmodel.FailureDomain) []netip.AddrPort {
	ready, enoughShards := g.ready(), g.enoughShards.Load()
	g.membersMu.Lock()
	defer g.membersMu.Unlock()
	self := g.members.Self()
	self.Serving = ready && enoughShards
	if self.Status == anvilmodel.MemberUnknown {
		// The incarnation is not final before the announcement. The node may list itself
		// nevertheless, because the answer does not contain the incarnation.
		self.Status = anvilmodel.MemberAlive
	}
	members := anviladdress.Subset(g.members.Members(), g.subsetSize)
	if len(members) == 0 && ready && !enoughShards && !anvilmodel.IsIsolated(g.members.Members()[1:]) {
		// No node reaches enough shards. Callers are still served best by the nodes that
		// are alive. An isolated node returns no addresses, so that callers request them
		// from another node.
		self.Serving = true
		members = withAllServing(g.members.Members())
	}
	if len(members) > 0 && !slices.ContainsFunc(members, func(m anvilmodel.Member) bool { return m.Name == self.Name }) {
		// Choose adds this node to the answer if it is marked as serving.
		self.Serving = false
	}
	answer := anviladdress.Choose(anviladdress.Input{
		Members:      members,
		Self:         self,
		CallerDomain: domain,
		Count:        maxAddresses,
		Lifetime:     g.config.AddressLifetime,
		Random:       g.random,
	})
	addresses := make([]netip.AddrPort, 0, len(answer.Addresses))
	for _, a := range answer.Addresses {
		addresses = append(addresses, a.CallerAddress)
	}
	return addresses
}
