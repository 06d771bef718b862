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
	return nestedSize(itemSize(q.From)) + textSize(string(q.Target)) + newsSize(q.Updates)
}

// ReplySize returns the encoded size of a reply in bytes.
func ReplySize(r ProbeReply) int {
	return nestedSize(itemSize(r.From)) + flagSize(r.Reached) + newsSize(r.Updates)
}

func newsSize(news []MemberUpdate) int {
	n := 0
	for _, i := range news {
		n += nestedSize(itemSize(i))
	}
	return n
}

func itemSize(i MemberUpdate) int {
	e := &i.Member
	n := textSize(string(e.Name)) + textSize(string(e.Slot)) + textSize(string(e.FailureDomain))
	n += addressSize(e.CallerAddress) + addressSize(e.PeerAddress)
	n += numberSize(uint64(e.Incarnation)) + numberSize(uint64(e.Status)) + flagSize(e.Serving)
	if e.Load != 0 {
		n += fixed64Bytes
	}
	n += numberSize(e.ConfigRevision) + numberSize(uint64(e.RefutationCount)) + numberSize(uint64(e.CPUCapacity))
	for _, w := range i.Witnesses {
		n += nestedSize(len(w))
	}
	return n + numberSize(uint64(e.TicketEpoch)) + numberSize(uint64(i.Version))
}

func nestedSize(n int) int {
	return tagBytes + varintSize(uint64(n)) + n
}

func textSize(s string) int {
	if s == "" {
		return 0
	}
	return nestedSize(len(s))
}

func addressSize(a netip.AddrPort) int {
	if !a.IsValid() {
		return 0
	}
	var b [addressBytes]byte
	return nestedSize(len(a.AppendTo(b[:0])))
}

func numberSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return tagBytes + varintSize(v)
}

func flagSize(set bool) int {
	if !set {
		return 0
	}
	return boolBytes
}

func varintSize(v uint64) int {
	return (bits.Len64(v|1) + 6) / 7
}
