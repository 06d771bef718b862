package anvilmember

import (
	"net/netip"

	"anvilbridge/anvilmodel"
)

// detailLevel selects the fields of a record that an update includes.
type detailLevel int

const (
	// detailStatus includes the name, incarnation, status, refutation count and
	// witnesses only.
	detailStatus detailLevel = iota
	// detailState adds the slot, the CPU capacity and the state that the member
	// reports about itself.
	detailState
	// detailFull adds the failure domain and the addresses.
	detailFull
)

// sampleDetail returns the detail level for updates about a live member. Addresses
// of listed members are left out, because the receiver has them from the VM list.
func (r *record) sampleDetail() detailLevel {
	if r.isListed {
		return detailState
	}
	return detailFull
}

// memberUpdate returns an update about the member with the given detail.
func (r *record) memberUpdate(detail detailLevel) MemberUpdate {
	update := MemberUpdate{
		Member:    r.member,
		Version:   r.version,
		Witnesses: r.witnesses,
	}
	switch {
	case r.isLive() && r.announcedLeaving:
		update.Member.Status = anvilmodel.MemberLeaving
	case r.member.Status == anvilmodel.MemberSuspect && len(r.witnesses) == 0:
		// The member refuted, but this node has not reached it since. Other nodes have
		// no reason to suspect it.
		update.Member.Status = anvilmodel.MemberAlive
	}
	if detail < detailFull {
		update.Member.FailureDomain = ""
		update.Member.CallerAddress = noAddress
		update.Member.PeerAddress = noAddress
	}
	if detail < detailState {
		update.Member.Slot = ""
		update.Member.Serving = false
		update.Member.Load = 0
		update.Member.RequestRate = 0
		update.Member.ConfigRevision = 0
		update.Member.ConfigEra = 0
		update.Member.TicketEpoch = 0
		update.Member.CPUCapacity = 0
		update.Version = 0
	}
	return update
}

// noAddress stands for an address that an update does not include.
var noAddress netip.AddrPort
