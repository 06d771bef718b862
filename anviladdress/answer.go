// Package anviladdress chooses the node addresses that callers are told to use.
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

// Input is what an answer is chosen from.
type Input struct {
	// Members are the known members; this node may be among them.
	Members []anvilmodel.Member
	// Self is this node with its present load. It takes the place of its entry in
	// Members.
	Self anvilmodel.Member
	// CallerDomain is the caller's failure domain; empty if not stated.
	CallerDomain anvilmodel.FailureDomain
	// ExcludedDomains are the failure domains that operators have taken out.
	ExcludedDomains []anvilmodel.FailureDomain
	// LocalShares says how much of the callers of a failure domain its nodes can take; nil
	// always prefers the caller's failure domain.
	LocalShares *LocalShares
	// Count is the largest number of addresses; 0 takes the default.
	Count int
	// Lifetime is how long the caller may use the answer; 0 takes the default.
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

// Answer lists the addresses in the order of use.
type Answer struct {
	// Addresses is empty when no node may be named.
	Addresses []Address
	// Lifetime is how long the caller may use the answer.
	Lifetime time.Duration
}

// Choose returns an answer: nodes of the caller's failure domain first, unless
// LocalShares says that they are overloaded, and suspects last. Nodes that are dead, leaving, not
// serving, not announced or in a failure domain taken out are never named. When
// this node knows of no other, it names itself, under the same rules.
func Choose(i Input) Answer {
	if i.Count <= 0 {
		i.Count = DefaultCount
	}
	if i.Lifetime <= 0 {
		i.Lifetime = DefaultLifetime
	}
	d := newDraw(i)
	for len(d.chosen) < i.Count && d.next(len(d.chosen) == i.Count-1) {
		continue
	}
	answer := Answer{Lifetime: i.Lifetime}
	for _, e := range d.chosen {
		answer.Addresses = append(answer.Addresses, Address{
			Name:          e.Name,
			CallerAddress: e.CallerAddress,
			Incarnation:   e.Incarnation,
			TicketEpoch:   e.TicketEpoch,
			FailureDomain: e.FailureDomain,
		})
	}
	return answer
}

// namable reports whether a member may be in an answer.
func namable(e *anvilmodel.Member, out []anvilmodel.FailureDomain) bool {
	switch e.Status {
	case anvilmodel.MemberAlive, anvilmodel.MemberSuspect:
	default:
		return false
	}
	return e.Serving && e.Incarnation != 0 && e.CallerAddress.IsValid() && !slices.Contains(out, e.FailureDomain)
}
