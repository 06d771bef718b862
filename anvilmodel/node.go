package anvilmodel

import (
	"cmp"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// VMName names an entry VM as the published list does.
type VMName string

// MemberStatus is a node's judgement of a member.
type MemberStatus int

// Member statuses.
const (
	MemberUnknown MemberStatus = iota
	MemberAlive
	MemberSuspect
	MemberLeaving
	MemberDead
)

// String returns the name used in status output and logs.
func (s MemberStatus) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberLeaving:
		return "leaving"
	case MemberDead:
		return "dead"
	default:
		return "unheard"
	}
}

// Member is an entry VM and the node on it.
type Member struct {
	Name          VMName
	Slot          SlotName
	FailureDomain FailureDomain
	// CallerAddress is where callers connect.
	CallerAddress netip.AddrPort
	// PeerAddress is where other nodes connect.
	PeerAddress netip.AddrPort
	Incarnation Incarnation
	Status      MemberStatus
	// Serving is false until the node has a configuration that it may serve.
	Serving bool
	// Load is the share of the node's capacity in use, from 0.
	Load float64
	// ConfigRevision is the store version of the configuration in force at the node.
	ConfigRevision uint64
	// TicketEpoch is the ticket period that the node is in.
	TicketEpoch uint32
	// CPUCapacity is the node's processor share in hundredths of a core; 0 if it is not
	// stated.
	CPUCapacity uint32
	// RefutationCount grows when the node refutes a suspicion within its incarnation.
	RefutationCount uint32
}

// CompareByHash orders VM names by their hash, which spreads a choice of the first
// ones over the fleet. Nodes that know the same names agree on it.
func CompareByHash(a, b VMName) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// ListedVM is an entry of the published VM list.
type ListedVM struct {
	Name          VMName
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	FailureDomain FailureDomain
	Leaving       bool
}

// ParseMemberStatus reads the name that String returns. Any other text is
// MemberUnheard.
func ParseMemberStatus(text string) MemberStatus {
	for s := MemberAlive; s <= MemberDead; s++ {
		if s.String() == text {
			return s
		}
	}
	return MemberUnknown
}
