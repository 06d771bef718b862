package anvilassign

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a slot with its rendezvous weight for one key.
type ranked struct {
	slot   int
	weight uint64
}

// rank orders the slots by their rendezvous weight for a key, highest first. A
// slot's weight does not depend on the other slots, so that adding or removing
// one changes nothing between the others.
func rank(key string, slots []Slot, out []ranked) []ranked {
	out = out[:0]
	buffer := make([]byte, 0, len(key)+64)
	for i, s := range slots {
		buffer = append(buffer[:0], key...)
		buffer = append(buffer, 0)
		buffer = append(buffer, s.Name...)
		out = append(out, ranked{
			slot:   i,
			weight: xxhash.Sum64(buffer),
		})
	}
	slices.SortFunc(out, func(a, b ranked) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(slots[a.slot].Name, slots[b.slot].Name)
	})
	return out
}
