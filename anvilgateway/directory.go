package anvilgateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmodel"
)

// maxAddresses is the number of addresses that callers accept in an answer.
const maxAddresses = 64

// dialPeer opens a connection to another node.
func (g *Gateway) dialPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return NewDialer(peerTimeout).DialContext(ctx, "tcp", address.String())
}

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

// serveAddresses tells callers which gateways to use.
func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.config.Protocol.AddressPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	addresses := g.addresses(g.config.Protocol.DecodeAddressRequest(r))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := g.config.Protocol.EncodeAddresses(w, addresses, g.config.AddressLifetime); err != nil {
		g.config.Log.Warn().Str("event", "address-answer-failed").Err(err).Send()
	}
}

func (g *Gateway) addresses(domain anvilmodel.FailureDomain) []netip.AddrPort {
	ready := g.ready()
	g.control.Lock()
	defer g.control.Unlock()
	self := g.members.Self()
	self.Serving = ready
	if self.Status == anvilmodel.MemberUnheard {
		// A node that has just started may name itself before the others have heard of
		// its incarnation: the answer does not state it.
		self.Status = anvilmodel.MemberAlive
	}
	members := anviladdress.Focus(g.members.Members(), g.focus)
	if !slices.ContainsFunc(members, func(m anvilmodel.Member) bool { return m.Name == self.Name }) && len(members) > 0 {
		// Choose would name this node as well.
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
