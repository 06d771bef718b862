// Package anviladdress chooses the node addresses that callers are told to use.
package anviladdress

import (
	"math/rand/v2"
	"net/netip"
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
	// OutDomains are the failure domains that operators have taken out.
	OutDomains []anvilmodel.FailureDomain
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

func Choose(i Input) Answer {
	a := Answer{Lifetime: i.Lifetime}
	for _, m := range i.Members {
		if m.Name == i.Self.Name {
			m = i.Self
		}
		if m.Status != anvilmodel.MemberAlive || !m.Serving {
			continue
		}
		out := false
		for _, d := range i.OutDomains {
			if d == m.FailureDomain {
				out = true
			}
		}
		if out {
			continue
		}
		a.Addresses = append(a.Addresses, Address{Name: m.Name, CallerAddress: m.CallerAddress, Incarnation: m.Incarnation, TicketEpoch: m.TicketEpoch, FailureDomain: m.FailureDomain})
	}
	i.Random.Shuffle(len(a.Addresses), func(x, y int) { a.Addresses[x], a.Addresses[y] = a.Addresses[y], a.Addresses[x] })
	return a
}
