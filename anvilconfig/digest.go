package anvilconfig

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Digest returns the SHA-256 digest of the names and contents of a set of
// documents. It does not depend on the order of the documents.
func Digest(documents []Document) [sha256.Size]byte {
	ordered := slices.Clone(documents)
	slices.SortStableFunc(ordered, func(a, b Document) int {
		return cmp.Compare(a.Name, b.Name)
	})
	var encoded []byte
	for _, d := range ordered {
		encoded = appendLengthPrefixed(encoded, []byte(d.Name))
		encoded = appendLengthPrefixed(encoded, d.Content)
	}
	return sha256.Sum256(encoded)
}

// appendLengthPrefixed appends the length of data and then data itself. The
// length makes the encoding unambiguous: moving a byte from one name or content
// to the next changes the digest.
func appendLengthPrefixed(encoded, data []byte) []byte {
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(len(data)))
	return append(encoded, data...)
}
