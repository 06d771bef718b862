// Package anviladdress chooses the node addresses that are sent to callers.
package anviladdress

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Input.
const (
	DefaultCount    = 3
	DefaultLifetime = 2 * time.Second
)

// Input holds what Choose depends on.
type Input struct {
	// Members are the known members of the fleet, with or without this node.
	Members []anvilmodel.Member
	// Self is this node with its current load. It replaces its entry in Members.
	Self anvilmodel.Member
	// CallerDomain is the caller's failure domain; empty if not stated.
	CallerDomain anvilmodel.FailureDomain
	// ExcludedDomains are the failure domains that operators have taken out of service.
	ExcludedDomains []anvilmodel.FailureDomain
	// LocalShares gives the share of a failure domain's callers that its own nodes can
	// take. If nil, the caller's failure domain is always preferred.
	LocalShares *LocalShares
	// Count is the maximum number of addresses; 0 means DefaultCount.
	Count int
	// Lifetime is how long the caller may use the answer; 0 means DefaultLifetime.
	Lifetime time.Duration
	Random   *rand.Rand
}

// Address is a node that the caller may use.
type Address struct {
	Name          anvilmodel.VMName
	CallerAddress netip.AddrPort
	Incarnation   anvilmodel.Incarnation
	TicketEpoch   uint32
	FailureDomain anvilmodel.FailureDomain
}

// Answer lists the nodes that a caller may use.
type Answer struct {
	// Addresses are in order of preference. The list is empty if no node is eligible.
	Addresses []Address
	// Lifetime is how long the caller may use the answer.
	Lifetime time.Duration
}

// Choose returns a random choice of eligible nodes: those of the caller's failure domain
// first, unless they are overloaded according to LocalShares, and suspects last. Nodes
// that are dead, unreachable, leaving, not serving, not announced or in an excluded failure
// domain are never chosen. This node is chosen under the same rules, also if there is no other.
func Choose(input Input) Answer {
	if input.Count <= 0 {
		input.Count = DefaultCount
	}
	if input.Lifetime <= 0 {
		input.Lifetime = DefaultLifetime
	}
	d := newDraw(input)
	for len(d.chosen) < input.Count && d.next(len(d.chosen) == input.Count-1) {
		continue
	}
	answer := Answer{Lifetime: input.Lifetime}
	for _, m := range d.chosen {
		answer.Addresses = append(answer.Addresses, Address{
			Name:          m.Name,
			CallerAddress: m.CallerAddress,
			Incarnation:   m.Incarnation,
			TicketEpoch:   m.TicketEpoch,
			FailureDomain: m.FailureDomain,
		})
	}
	return answer
}

// isEligible reports whether a member may be listed to callers.
func isEligible(m *anvilmodel.Member, excluded []anvilmodel.FailureDomain) bool {
	switch m.Status {
	case anvilmodel.MemberAlive, anvilmodel.MemberSuspect:
	default:
		return false
	}
	return m.Serving && !m.Unreachable && m.Incarnation != 0 && m.CallerAddress.IsValid() && !slices.Contains(excluded, m.FailureDomain)
}
