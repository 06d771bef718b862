package anvilmember

import (
	"math/bits"
	"net/netip"
)

// The functions in this file compute sizes of the protobuf encoding in anvilproto. Tags of
// field numbers below 16 take one byte, those of higher ones two.
const (
	tagBytes     = 1
	longTagBytes = 2
	boolBytes    = tagBytes + 1
	fixed64Bytes = tagBytes + 8
	// requestRateBytes is the size of a request rate, which is encoded in four bytes.
	requestRateBytes = longTagBytes + 4
	// addressBytes is the buffer size for a formatted address. An IPv6 address with zone
	// and port is shorter.
	addressBytes = 96
)

// RequestSize returns the encoded size of a request in bytes.
func RequestSize(request ProbeRequest) int {
	return lengthDelimitedSize(updateSize(request.From)) + stringSize(string(request.Target)) + updatesSize(request.Updates)
}

// ReplySize returns the encoded size of a reply in bytes.
func ReplySize(reply ProbeReply) int {
	return lengthDelimitedSize(updateSize(reply.From)) + boolSize(reply.Reached) + updatesSize(reply.Updates)
}

func updatesSize(updates []MemberUpdate) int {
	size := 0
	for _, update := range updates {
		size += lengthDelimitedSize(updateSize(update))
	}
	return size
}

func updateSize(update MemberUpdate) int {
	member := &update.Member
	size := stringSize(string(member.Name)) + stringSize(string(member.Slot)) + stringSize(string(member.FailureDomain))
	size += addressSize(member.CallerAddress) + addressSize(member.PeerAddress)
	size += uintSize(uint64(member.Incarnation)) + uintSize(uint64(member.Status)) + boolSize(member.Serving)
	if member.Load != 0 {
		size += fixed64Bytes
	}
	if member.RequestRate != 0 {
		size += requestRateBytes
	}
	if member.ConfigEra != 0 {
		size += longTagBytes + varintSize(member.ConfigEra)
	}
	size += uintSize(member.ConfigRevision) + uintSize(uint64(member.RefutationCount)) + uintSize(uint64(member.CPUCapacity))
	for _, w := range update.Witnesses {
		size += lengthDelimitedSize(len(w))
	}
	return size + uintSize(uint64(member.TicketEpoch)) + uintSize(uint64(update.Version))
}

func lengthDelimitedSize(n int) int {
	return tagBytes + varintSize(uint64(n)) + n
}

func stringSize(s string) int {
	if s == "" {
		return 0
	}
	return lengthDelimitedSize(len(s))
}

func addressSize(a netip.AddrPort) int {
	if !a.IsValid() {
		return 0
	}
	var b [addressBytes]byte
	return lengthDelimitedSize(len(a.AppendTo(b[:0])))
}

func uintSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return tagBytes + varintSize(v)
}

func boolSize(set bool) int {
	if !set {
		return 0
	}
	return boolBytes
}

func varintSize(v uint64) int {
	return (bits.Len64(v|1) + 6) / 7
}
