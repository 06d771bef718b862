package anvilmember

import (
	"net/netip"

	"anvilbridge/anvilmodel"
)

// form says how much of a record an item holds.
type form int

const (
	// formBrief holds the judgement only.
	formBrief form = iota
	// formState adds the slot, the capacity and what the member says of itself.
	formState
	// formFull adds the failure domain and the addresses.
	formFull
)

// sampleForm returns the form for a living member. The receiver finds the address
// of a listed one in its own list.
func (r *record) sampleForm() form {
	if r.isListed {
		return formState
	}
	return formFull
}

// item returns a statement about the member.
func (r *record) item(f form) MemberUpdate {
	i := MemberUpdate{
		Member:    r.member,
		Version:   r.version,
		Witnesses: r.witnesses,
	}
	switch {
	case r.living() && r.leaving:
		i.Member.Status = anvilmodel.MemberLeaving
	case r.member.Status == anvilmodel.MemberSuspect && len(r.witnesses) == 0:
		// It refuted, but this node has not reached it yet. That is not for others.
		i.Member.Status = anvilmodel.MemberAlive
	}
	if f < formFull {
		i.Member.FailureDomain = ""
		i.Member.CallerAddress = noAddress
		i.Member.PeerAddress = noAddress
	}
	if f < formState {
		i.Member.Slot = ""
		i.Member.Serving = false
		i.Member.Load = 0
		i.Member.ConfigRevision = 0
		i.Member.TicketEpoch = 0
		i.Member.CPUCapacity = 0
		i.Version = 0
	}
	return i
}

// noAddress leaves an address out of an item.
var noAddress netip.AddrPort
