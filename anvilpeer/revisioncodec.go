package anvilpeer

import (
	"anvilbridge/anvilproto"
	"anvilbridge/anvilrevision"
)

// stateMessage is implemented by AnnounceRequest and AnnounceReply.
type stateMessage interface {
	GetRevision() uint64
	GetDigest() []byte
	GetRefused() uint64
	GetRefusedDigest() []byte
	GetServing() bool
}

func decodeState(m stateMessage) anvilrevision.State {
	return anvilrevision.State{
		Active:  decodeRevision(m.GetRevision(), m.GetDigest()),
		Refused: decodeRevision(m.GetRefused(), m.GetRefusedDigest()),
		Serving: m.GetServing(),
	}
}

func encodeDigest(r anvilrevision.Revision) []byte {
	if r.Version == 0 {
		return nil
	}
	return r.Digest[:]
}

// decodeRevision leaves the digest zero, that is unknown, if it has the wrong length.
func decodeRevision(version uint64, digest []byte) anvilrevision.Revision {
	r := anvilrevision.Revision{
		Version: version,
	}
	if len(digest) == len(r.Digest) {
		copy(r.Digest[:], digest)
	}
	return r
}

func encodeManifest(m anvilrevision.Manifest) *anvilproto.FetchReply {
	reply := &anvilproto.FetchReply{
		Revision:  m.Revision.Version,
		Digest:    m.Revision.Digest[:],
		Documents: make([]*anvilproto.DocumentManifest, 0, len(m.Documents)),
	}
	for _, d := range m.Documents {
		reply.Documents = append(reply.Documents, &anvilproto.DocumentManifest{
			Name:   d.Name,
			Chunks: encodeHashes(d.Chunks),
		})
	}
	return reply
}

// decodeManifest returns false if a hash or the digest has the wrong length.
func decodeManifest(r *anvilproto.FetchReply) (anvilrevision.Manifest, bool) {
	manifest := anvilrevision.Manifest{
		Documents: make([]anvilrevision.DocumentManifest, 0, len(r.GetDocuments())),
	}
	manifest.Revision = decodeRevision(r.GetRevision(), r.GetDigest())
	if len(r.GetDigest()) != len(manifest.Revision.Digest) {
		return manifest, false
	}
	for _, d := range r.GetDocuments() {
		hashes, ok := decodeHashes(d.GetChunks())
		if !ok {
			return manifest, false
		}
		manifest.Documents = append(manifest.Documents, anvilrevision.DocumentManifest{
			Name:   d.GetName(),
			Chunks: hashes,
		})
	}
	return manifest, true
}

func encodeHashes(hashes []anvilrevision.ChunkHash) [][]byte {
	encoded := make([][]byte, 0, len(hashes))
	for _, h := range hashes {
		encoded = append(encoded, h[:])
	}
	return encoded
}

func decodeHashes(encoded [][]byte) ([]anvilrevision.ChunkHash, bool) {
	hashes := make([]anvilrevision.ChunkHash, 0, len(encoded))
	for _, e := range encoded {
		var h anvilrevision.ChunkHash
		if len(e) != len(h) {
			return nil, false
		}
		copy(h[:], e)
		hashes = append(hashes, h)
	}
	return hashes, true
}
