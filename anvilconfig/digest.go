package anvilconfig

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Digest returns the SHA-256 digest of a set of documents: names and contents,
// in order of name, whatever order they are handed over in.
func Digest(documents []Document) [sha256.Size]byte {
	ordered := slices.Clone(documents)
	slices.SortStableFunc(ordered, func(a, b Document) int {
		return cmp.Compare(a.Name, b.Name)
	})
	var framed []byte
	for _, d := range ordered {
		framed = appendLengthPrefixed(framed, []byte(d.Name))
		framed = appendLengthPrefixed(framed, d.Content)
	}
	return sha256.Sum256(framed)
}

// appendLengthPrefixed writes the length first, so that a byte that moves from one
// document or name to the next changes the digest.
func appendLengthPrefixed(to, part []byte) []byte {
	to = binary.BigEndian.AppendUint64(to, uint64(len(part)))
	return append(to, part...)
}
