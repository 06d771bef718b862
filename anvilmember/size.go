package anvilmember

import (
	"math/bits"
	"net/netip"
)

// The functions of this file mirror the protobuf encoding of anvilproto, in which
// all field numbers are below 16 and therefore take one byte with the wire type.
const (
	tagBytes     = 1
	boolBytes    = tagBytes + 1
	fixed64Bytes = tagBytes + 8
	// addressBytes is more than an IPv6 address with zone and port needs.
	addressBytes = 96
)

// RequestSize returns the encoded size of a request in bytes.
func RequestSize(q ProbeRequest) int {
	return lengthDelimitedSize(updateSize(q.From)) + stringSize(string(q.Target)) + updatesSize(q.Updates)
}

// ReplySize returns the encoded size of a reply in bytes.
func ReplySize(r ProbeReply) int {
	return lengthDelimitedSize(updateSize(r.From)) + boolSize(r.Reached) + updatesSize(r.Updates)
}

func updatesSize(news []MemberUpdate) int {
	n := 0
	for _, i := range news {
		n += lengthDelimitedSize(updateSize(i))
	}
	return n
}

func updateSize(i MemberUpdate) int {
	e := &i.Member
	n := stringSize(string(e.Name)) + stringSize(string(e.Slot)) + stringSize(string(e.FailureDomain))
	n += addressSize(e.CallerAddress) + addressSize(e.PeerAddress)
	n += uintSize(uint64(e.Incarnation)) + uintSize(uint64(e.Status)) + boolSize(e.Serving)
	if e.Load != 0 {
		n += fixed64Bytes
	}
	n += uintSize(e.ConfigRevision) + uintSize(uint64(e.RefutationCount)) + uintSize(uint64(e.CPUCapacity))
	for _, w := range i.Witnesses {
		n += lengthDelimitedSize(len(w))
	}
	return n + uintSize(uint64(e.TicketEpoch)) + uintSize(uint64(i.Version))
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
