package anvilassign

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankedSlot is a slot with its rendezvous hashing weight for a key.
type rankedSlot struct {
	slot   int
	weight uint64
}

// rankSlots orders the slots by their rendezvous hashing weight for a key,
// highest first. The weight of a slot does not depend on the other slots, so
// adding or removing a slot leaves the order of the others unchanged. The
// result reuses the memory of out.
func rankSlots(key string, slots []Slot, out []rankedSlot) []rankedSlot {
	out = out[:0]
	buffer := make([]byte, 0, len(key)+64)
	for i, s := range slots {
		buffer = append(buffer[:0], key...)
		buffer = append(buffer, 0)
		buffer = append(buffer, s.Name...)
		out = append(out, rankedSlot{
			slot:   i,
			weight: xxhash.Sum64(buffer),
		})
	}
	slices.SortFunc(out, func(a, b rankedSlot) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(slots[a.slot].Name, slots[b.slot].Name)
	})
	return out
}
