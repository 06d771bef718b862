package anvilmodel

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VMName names an entry VM, which runs a node, as in the published VM list.
type VMName string

// MemberStatus is the status of a member from the point of view of one node.
type MemberStatus int

// Member statuses.
const (
	// MemberUnknown means that the process on the VM has not announced itself.
	MemberUnknown MemberStatus = iota
	MemberAlive
	// MemberSuspect means that probes of the member failed. It is declared dead
	// unless it refutes the suspicion.
	MemberSuspect
	// MemberLeaving means that the member announced its shutdown.
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

// Member describes an entry VM and the node that runs on it.
type Member struct {
	Name          VMName
	Slot          SlotName
	FailureDomain FailureDomain
	// CallerAddress accepts connections of callers.
	CallerAddress netip.AddrPort
	// PeerAddress accepts connections of other nodes.
	PeerAddress netip.AddrPort
	Incarnation Incarnation
	Status      MemberStatus
	// Unreachable is set if the node with this view has not reached a suspect for long, so
	// that callers are not directed to it.
	Unreachable bool
	// Serving is false while the node does not accept requests, for example until it
	// has a configuration.
	Serving bool
	// Load is the share of the node's capacity in use, from 0.
	Load float64
	// RequestRate is the number of requests per second that the node receives from callers.
	RequestRate float64
	// ConfigRevision is the store revision of the configuration that the node uses, and
	// ConfigEra the number of times that the store had been restored from an older copy by
	// then.
	ConfigRevision uint64
	ConfigEra      uint64
	// TicketEpoch is the current ticket epoch of the node.
	TicketEpoch uint32
	// CPUCapacity is the CPU share of the node in hundredths of a core; 0 if not stated.
	CPUCapacity uint32
	// RefutationCount increases each time the node refutes a suspicion within its
	// incarnation.
	RefutationCount uint32
}

// IsIsolated reports whether at least half of the other members are suspected or dead, so
// that rather the node with this view is partitioned.
func IsIsolated(others []Member) bool {
	unreachable := 0
	for _, m := range others {
		if m.Status == MemberDead || m.Status == MemberSuspect {
			unreachable++
		}
	}
	return len(others) > 0 && unreachable*2 >= len(others)
}

// CompareByHash orders VM names by their hash, so that the first names of a sorted list
// are spread over the fleet. The order is the same on all nodes.
func CompareByHash(a, b VMName) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// SortByHash sorts members in the order of CompareByHash.
func SortByHash(members []Member) {
	type hashed struct {
		hash   uint64
		member Member
	}
	sorted := make([]hashed, 0, len(members))
	for _, m := range members {
		sorted = append(sorted, hashed{
			hash:   xxhash.Sum64String(string(m.Name)),
			member: m,
		})
	}
	slices.SortFunc(sorted, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.Name, b.member.Name))
	})
	for i, s := range sorted {
		members[i] = s.member
	}
}

// ListedVM is an entry of the published VM list.
type ListedVM struct {
	Name          VMName
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	FailureDomain FailureDomain
	Leaving       bool
}

// ParseMemberStatus returns the status whose String method returns the text, or
// MemberUnknown for any other text.
func ParseMemberStatus(text string) MemberStatus {
	for s := MemberAlive; s <= MemberDead; s++ {
		if s.String() == text {
			return s
		}
	}
	return MemberUnknown
}
