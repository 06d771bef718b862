package anvilmirror

import (
	"slices"

	"anvilbridge/anvilmodel"
)

// Readers returns the members, at most count, that read the platform's store for
// all: the first of those alive by the hash of their names. A member that states
// no revision has not read anything; whether it serves callers does not matter,
// because all may be out of service at once while leafs are lost. Nodes with the same
// view agree without exchanging anything; those with different views agree on
// most.
func Readers(members []anvilmodel.Member, count int) []anvilmodel.Member {
	usable := make([]anvilmodel.Member, 0, len(members))
	for _, m := range members {
		if m.Status == anvilmodel.MemberAlive && m.Revision > 0 && m.PeerAddress.IsValid() {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(a, b anvilmodel.Member) int {
		return anvilmodel.CompareByHash(a.Name, b.Name)
	})
	return usable[:min(count, len(usable))]
}

// IsReader reports whether the first member is one of the readers. It is while
// too few others are usable, and while it is not in service itself.
func IsReader(members []anvilmodel.Member, count int) bool {
	if len(members) == 0 {
		return true
	}
	self := members[0]
	others := Readers(members[1:], count)
	if len(others) < count {
		return true
	}
	last := others[count-1]
	return self.Status == anvilmodel.MemberAlive &&
		anvilmodel.CompareByHash(self.Name, last.Name) < 0
}
