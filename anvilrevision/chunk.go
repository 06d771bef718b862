package anvilrevision

import (
	"bytes"
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilconfig"
)

// Content-defined chunking: a chunk ends after a line whose hash is 0 modulo
// chunkDivisor, so that an edit in one place does not change the other chunks.
// Configuration lines have about 60 bytes, so 1 KB and 50 more lines give chunks
// of about 4 KB. The minimum bounds the number of chunks when a line that ends a
// chunk occurs many times.
const (
	chunkDivisor  = 50
	chunkMinBytes = 1 << 10
	chunkMaxBytes = 16 << 10
)

// Limits on what a node accepts from a peer. They bound the memory of a fetch to
// 16 documents of 1 MB.
const (
	// MaxDocuments is the maximum number of documents of a revision. The client
	// of the configuration service has the same limit.
	MaxDocuments = 16
	// maxNameBytes is the maximum length of a document name.
	maxNameBytes         = 255
	maxChunksPerDocument = anvilconfig.MaxDocumentBytes/chunkMinBytes + 1
	maxRevisionBytes     = MaxDocuments * anvilconfig.MaxDocumentBytes
)

// ChunkHash identifies a chunk: the first 16 bytes of its SHA-256.
type ChunkHash [16]byte

// HashChunk returns the hash that identifies a chunk.
func HashChunk(chunk []byte) ChunkHash {
	sum := sha256.Sum256(chunk)
	return ChunkHash(sum[:16])
}

// Split cuts a document into content-defined chunks of 1 to 16 KB; the last may
// be shorter. The chunks alias content.
func Split(content []byte) [][]byte {
	chunks := [][]byte{}
	start := 0
	for position := 0; position < len(content); {
		end := lineEnd(content, position, start+chunkMaxBytes)
		cut := end-start >= chunkMinBytes && xxhash.Sum64(content[position:end])%chunkDivisor == 0
		position = end
		if cut || position-start == chunkMaxBytes {
			chunks = append(chunks, content[start:position])
			start = position
		}
	}
	if start < len(content) {
		chunks = append(chunks, content[start:])
	}
	return chunks
}

// lineEnd returns the end of the line that starts at position, or limit if the line
// is longer, which bounds the size of a chunk with a very long line.
func lineEnd(content []byte, position, limit int) int {
	limit = min(limit, len(content))
	newline := bytes.IndexByte(content[position:limit], '\n')
	if newline < 0 {
		return limit
	}
	return position + newline + 1
}

// revisionContent holds the documents of a revision, split into chunks. It is
// immutable, so tasks read it without a lock.
type revisionContent struct {
	revision Revision
	manifest Manifest
	chunks   map[ChunkHash][]byte
	size     int
}

func newRevisionContent(revision Revision, documents []anvilconfig.Document) *revisionContent {
	c := &revisionContent{
		revision: revision,
		manifest: Manifest{
			Revision:  revision,
			Documents: make([]DocumentManifest, 0, len(documents)),
		},
		chunks: make(map[ChunkHash][]byte),
	}
	for _, d := range documents {
		entry := DocumentManifest{
			Name: d.Name,
		}
		for _, chunk := range Split(d.Content) {
			hash := HashChunk(chunk)
			c.chunks[hash] = chunk
			entry.Chunks = append(entry.Chunks, hash)
		}
		c.manifest.Documents = append(c.manifest.Documents, entry)
		c.size += len(d.Content)
	}
	return c
}

// invalidReason returns why a manifest from a peer is not accepted, or "".
func (m Manifest) invalidReason() string {
	if len(m.Documents) > MaxDocuments {
		return "too many documents"
	}
	for i, d := range m.Documents {
		switch {
		case d.Name == "" || len(d.Name) > maxNameBytes:
			return "length of a document name out of range"
		case i > 0 && d.Name <= m.Documents[i-1].Name:
			return "documents not sorted by name"
		case len(d.Chunks) > maxChunksPerDocument:
			return "too many chunks in a document"
		}
	}
	return ""
}
