package anvilpeer

import (
	"net/netip"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

func encodeMember(update anvilmember.MemberUpdate) *anvilproto.Member {
	m := update.Member
	witnesses := make([]string, 0, len(update.Witnesses))
	for _, w := range update.Witnesses {
		witnesses = append(witnesses, string(w))
	}
	return &anvilproto.Member{
		Name:          string(m.Name),
		Slot:          string(m.Slot),
		FailureDomain: string(m.FailureDomain),
		CallerAddress: encodeAddress(m.CallerAddress),
		PeerAddress:   encodeAddress(m.PeerAddress),
		Incarnation:   uint64(m.Incarnation),
		Status:        int32(m.Status),
		Serving:       m.Serving,
		Load:          m.Load,
		RequestRate:   float32(m.RequestRate),
		Revision:      m.ConfigRevision,
		Era:           m.ConfigEra,
		TicketEpoch:   m.TicketEpoch,
		Counter:       m.RefutationCount,
		Capacity:      m.CPUCapacity,
		Version:       update.Version,
		Witnesses:     witnesses,
	}
}

func decodeMember(m *anvilproto.Member) anvilmember.MemberUpdate {
	witnesses := make([]anvilmodel.VMName, 0, len(m.GetWitnesses()))
	for _, w := range m.GetWitnesses() {
		witnesses = append(witnesses, anvilmodel.VMName(w))
	}
	return anvilmember.MemberUpdate{
		Member: anvilmodel.Member{
			Name:            anvilmodel.VMName(m.GetName()),
			Slot:            anvilmodel.SlotName(m.GetSlot()),
			FailureDomain:   anvilmodel.FailureDomain(m.GetFailureDomain()),
			CallerAddress:   decodeAddress(m.GetCallerAddress()),
			PeerAddress:     decodeAddress(m.GetPeerAddress()),
			Incarnation:     anvilmodel.Incarnation(m.GetIncarnation()),
			Status:          anvilmodel.MemberStatus(m.GetStatus()),
			Serving:         m.GetServing(),
			Load:            m.GetLoad(),
			RequestRate:     float64(m.GetRequestRate()),
			ConfigEra:       m.GetEra(),
			ConfigRevision:  m.GetRevision(),
			TicketEpoch:     m.GetTicketEpoch(),
			RefutationCount: m.GetCounter(),
			CPUCapacity:     m.GetCapacity(),
		},
		Version:   m.GetVersion(),
		Witnesses: witnesses,
	}
}

func encodeMembers(updates []anvilmember.MemberUpdate) []*anvilproto.Member {
	encoded := make([]*anvilproto.Member, 0, len(updates))
	for _, u := range updates {
		encoded = append(encoded, encodeMember(u))
	}
	return encoded
}

func decodeMembers(encoded []*anvilproto.Member) []anvilmember.MemberUpdate {
	updates := make([]anvilmember.MemberUpdate, 0, len(encoded))
	for _, m := range encoded {
		updates = append(updates, decodeMember(m))
	}
	return updates
}

// encodeAddress encodes an invalid address, which stands for one that is not
// included, as an empty string.
func encodeAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// decodeAddress returns the zero address, which stands for one that is not
// included, if the text cannot be parsed.
func decodeAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

func encodeProbe(request anvilmember.ProbeRequest) *anvilproto.ProbeRequest {
	return &anvilproto.ProbeRequest{
		From:   encodeMember(request.From),
		Target: string(request.Target),
		News:   encodeMembers(request.Updates),
	}
}

func decodeProbe(request *anvilproto.ProbeRequest) anvilmember.ProbeRequest {
	return anvilmember.ProbeRequest{
		From:    decodeMember(request.GetFrom()),
		Target:  anvilmodel.VMName(request.GetTarget()),
		Updates: decodeMembers(request.GetNews()),
	}
}

func encodeProbeReply(r anvilmember.ProbeReply) *anvilproto.ProbeReply {
	return &anvilproto.ProbeReply{
		From:    encodeMember(r.From),
		Reached: r.Reached,
		News:    encodeMembers(r.Updates),
	}
}

func decodeProbeReply(r *anvilproto.ProbeReply) anvilmember.ProbeReply {
	return anvilmember.ProbeReply{
		From:    decodeMember(r.GetFrom()),
		Reached: r.GetReached(),
		Updates: decodeMembers(r.GetNews()),
	}
}
