package anvilmember

import (
	"net/netip"

	"anvilbridge/anvilmodel"
)

// detailLevel says how much of a record an item holds.
type detailLevel int

const (
	// detailStatus holds the judgement only.
	detailStatus detailLevel = iota
	// detailState adds the slot, the capacity and what the member says of itself.
	detailState
	// detailFull adds the failure domain and the addresses.
	detailFull
)

// sampleDetail returns the form for a living member. The receiver finds the address
// of a listed one in its own list.
func (r *record) sampleDetail() detailLevel {
	if r.isListed {
		return detailState
	}
	return detailFull
}

// memberUpdate returns a statement about the member.
func (r *record) memberUpdate(f detailLevel) MemberUpdate {
	i := MemberUpdate{
		Member:    r.member,
		Version:   r.version,
		Witnesses: r.witnesses,
	}
	switch {
	case r.isLive() && r.announcedLeaving:
		i.Member.Status = anvilmodel.MemberLeaving
	case r.member.Status == anvilmodel.MemberSuspect && len(r.witnesses) == 0:
		// It refuted, but this node has not reached it yet. That is not for others.
		i.Member.Status = anvilmodel.MemberAlive
	}
	if f < detailFull {
		i.Member.FailureDomain = ""
		i.Member.CallerAddress = noAddress
		i.Member.PeerAddress = noAddress
	}
	if f < detailState {
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
