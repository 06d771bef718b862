package anvilgather

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"slices"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

// MergeTop returns the greatest records of all parts in descending order, at most
// limit of them. Records are compared byte by byte, and duplicates are kept. Bytes at
// the end of a part that are too few for a record are ignored.
func MergeTop(parts [][]byte, limit int) []byte {
	if limit <= 0 {
		return []byte{}
	}
	var top recordHeap
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			r := decodeRecord(p)
			switch {
			case len(top) < limit:
				heap.Push(&top, r)
			case top[0].compare(r) < 0:
				top[0] = r
				heap.Fix(&top, 0)
			}
		}
	}
	slices.SortFunc(top, func(a, b record) int { return b.compare(a) })
	merged := make([]byte, 0, len(top)*RecordSize)
	for _, r := range top {
		merged = binary.BigEndian.AppendUint64(merged, r.high)
		merged = binary.BigEndian.AppendUint64(merged, r.low)
	}
	return merged
}

// record holds the bytes of a record as two big-endian numbers, which have the same
// order as the bytes.
type record struct {
	high uint64
	low  uint64
}

func decodeRecord(p []byte) record {
	return record{
		high: binary.BigEndian.Uint64(p),
		low:  binary.BigEndian.Uint64(p[RecordSize/2:]),
	}
}

func (r record) compare(other record) int {
	if r.high != other.high {
		return cmp.Compare(r.high, other.high)
	}
	return cmp.Compare(r.low, other.low)
}

// recordHeap is a min-heap of the greatest records so far. Of many parts, only few
// records are greater than the root, so most are discarded after one comparison.
type recordHeap []record

func (h recordHeap) Len() int { return len(h) }

func (h recordHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }

func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(r any) { *h = append(*h, r.(record)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
