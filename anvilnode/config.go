// Package anvilnode implements the node process. It connects the packages that make
// decisions (membership, revisions, queries, dispatchers and tickets) to sockets, files
// and timers.
package anvilnode

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// Defaults of the Config fields.
const (
	DefaultMaxQueries       = 2000
	DefaultShutdownLimit    = 30 * time.Second
	DefaultLeafPollInterval = 500 * time.Millisecond
	DefaultVMListInterval   = 2 * time.Second
)

// Config holds the settings of a node.
type Config struct {
	// Name is the VM's name in the published VM list.
	Name          anvilmodel.VMName
	Site          anvilconfig.SiteName
	Slot          anvilmodel.SlotName
	FailureDomain anvilmodel.FailureDomain
	// CallerAddress and PeerAddress are the addresses that are advertised to callers
	// and to other nodes.
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	// CallerListener and PeerListener, if set, are used instead of listening on
	// CallerAddress and PeerAddress.
	CallerListener net.Listener
	PeerListener   net.Listener
	// ConfigServiceAddress and VMListAddress are the addresses of the platform's
	// services.
	ConfigServiceAddress netip.AddrPort
	VMListAddress        netip.AddrPort
	// MaxQueries limits the number of queries that the node processes concurrently as
	// their origin.
	MaxQueries int
	// ShutdownLimit is the time after which a graceful shutdown cuts off what is still
	// running.
	ShutdownLimit time.Duration
	// LeafPollInterval is the time between two reads of a leaf's state by the leaf's
	// first candidate in a small fleet. It grows with the fleet.
	LeafPollInterval time.Duration
	// VMListInterval is the minimum time between two reads of the VM list. It grows
	// with the fleet.
	VMListInterval time.Duration
	// ServeAlone lets a joining node serve what the configuration service returns
	// although it has no contact to other nodes.
	ServeAlone bool
	// Seed seeds the random choices. If it is 0, a random seed is used.
	Seed uint64
	Log  zerolog.Logger
	// DialPeer and DialUpstream replace the dialing of connections in tests. If nil,
	// TCP is used.
	DialPeer     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
}

// Finding describes an invalid setting.
type Finding struct {
	Setting  string
	Message  string
	Accepted string
}

// Validate returns a finding for every invalid setting.
func (c Config) Validate() []Finding {
	findings := []Finding{}
	add := func(setting, message, accepted string) {
		findings = append(findings, Finding{
			Setting:  setting,
			Message:  message,
			Accepted: accepted,
		})
	}
	names := []struct{ setting, value string }{
		{setting: "name", value: string(c.Name)},
		{setting: "site", value: string(c.Site)},
		{setting: "slot", value: string(c.Slot)},
		{setting: "failure-domain", value: string(c.FailureDomain)},
	}
	for _, n := range names {
		if n.value == "" {
			add(n.setting, "is not set", "a name")
		}
	}
	addresses := []struct {
		setting string
		value   netip.AddrPort
	}{
		{setting: "caller-address", value: c.CallerAddress},
		{setting: "peer-address", value: c.PeerAddress},
		{setting: "config-service", value: c.ConfigServiceAddress},
		{setting: "vm-list", value: c.VMListAddress},
	}
	for _, a := range addresses {
		if !a.value.IsValid() || a.value.Addr().IsUnspecified() || a.value.Port() == 0 {
			add(a.setting, "is not an address that others can connect to", "IP:PORT, such as 10.0.0.1:7000")
		}
	}
	if c.CallerAddress.IsValid() && c.CallerAddress == c.PeerAddress {
		add("peer-address", "is the same as caller-address", "another port")
	}
	if c.MaxQueries < 0 {
		add("max-queries", "is negative", "1 or more")
	}
	if c.ShutdownLimit < 0 {
		add("shutdown-limit", "is negative", "a duration above 0, such as 30s")
	}
	return findings
}

func (c Config) withDefaults() Config {
	if c.MaxQueries == 0 {
		c.MaxQueries = DefaultMaxQueries
	}
	if c.ShutdownLimit == 0 {
		c.ShutdownLimit = DefaultShutdownLimit
	}
	if c.LeafPollInterval == 0 {
		c.LeafPollInterval = DefaultLeafPollInterval
	}
	if c.VMListInterval == 0 {
		c.VMListInterval = DefaultVMListInterval
	}
	return c
}
