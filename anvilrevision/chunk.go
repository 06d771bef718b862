package anvilrevision

import (
	"bytes"
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

// A chunk ends after a line whose hash is 0 modulo chunkDivisor, so that a
// change in one place leaves the other chunks as they were. Configuration lines
// have about 60 bytes, which gives chunks of about 4 KB.
const (
	chunkDivisor  = 64
	chunkMaxBytes = 16 << 10
)

// Hash identifies a chunk: the first 16 bytes of its SHA-256.
type Hash [16]byte

// HashOf returns the hash of a chunk.
func HashOf(chunk []byte) Hash {
	sum := sha256.Sum256(chunk)
	return Hash(sum[:16])
}

// Split cuts a document into content-defined chunks. The chunks alias content.
func Split(content []byte) [][]byte {
	chunks := [][]byte{}
	start := 0
	for position := 0; position < len(content); {
		end := lineEnd(content, position)
		cut := xxhash.Sum64(content[position:end])%chunkDivisor == 0
		position = end
		if cut || position-start >= chunkMaxBytes {
			chunks = append(chunks, content[start:position])
			start = position
		}
	}
	if start < len(content) {
		chunks = append(chunks, content[start:])
	}
	return chunks
}

// lineEnd returns the end of the line at a position. Very long lines are cut,
// so that one line cannot make a chunk of any size.
func lineEnd(content []byte, position int) int {
	limit := min(position+chunkMaxBytes, len(content))
	newline := bytes.IndexByte(content[position:limit], '\n')
	if newline < 0 {
		return limit
	}
	return position + newline + 1
}
