package anvilgather

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

// MergeTop returns the greatest records of the parts in falling order, at most
// limit of them. Records are compared byte by byte, and equal ones all count. A
// rest of a part that is shorter than a record is not one.
func MergeTop(parts [][]byte, limit int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordSize
	}
	records := make([][]byte, 0, total)
	for _, p := range parts {
		for len(p) >= RecordSize {
			records = append(records, p[:RecordSize])
			p = p[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int {
		return bytes.Compare(b, a)
	})
	records = records[:min(len(records), max(limit, 0))]
	merged := make([]byte, 0, len(records)*RecordSize)
	for _, r := range records {
		merged = append(merged, r...)
	}
	return merged
}
