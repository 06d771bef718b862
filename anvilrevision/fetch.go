package anvilrevision

import (
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// fetch is a transfer of a revision from a peer. There is one at a time.
type fetch struct {
	peer     anvilmodel.VMName
	version  uint64
	started  time.Time
	manifest Manifest
	chunks   map[Hash][]byte
}

// startFetch asks the peer with the highest revision, unless a fetch runs.
func (k *Keeper) startFetch(now time.Time) []Action {
	if k.fetch != nil {
		return nil
	}
	var best anvilmodel.VMName
	var version uint64
	for peer, offered := range k.offers {
		if offered <= k.inForce.Version || offered == k.refused.Version {
			delete(k.offers, peer)
			continue
		}
		if offered > version || (offered == version && peer < best) {
			best = peer
			version = offered
		}
	}
	if version == 0 {
		return nil
	}
	k.fetch = &fetch{
		peer:    best,
		version: version,
		started: now,
		chunks:  make(map[Hash][]byte),
	}
	return []Action{{
		Kind: ActionFetchManifest,
		Peer: best,
		Revision: Revision{
			Version: version,
		},
	}}
}

// HandleManifest takes a peer's manifest and asks for the chunks that no
// document at hand has, or assembles the revision at once.
func (k *Keeper) HandleManifest(peer anvilmodel.VMName, manifest Manifest, now time.Time) []Action {
	f := k.fetch
	if f == nil || f.peer != peer {
		return nil
	}
	f.manifest = manifest
	f.version = manifest.Revision.Version
	missing := []Hash{}
	seen := make(map[Hash]bool)
	for _, d := range manifest.Documents {
		for _, hash := range d.Chunks {
			if k.chunks[hash] == nil && !seen[hash] {
				seen[hash] = true
				missing = append(missing, hash)
			}
		}
	}
	if len(missing) == 0 {
		return k.assemble(now)
	}
	return []Action{{
		Kind:     ActionFetchChunks,
		Peer:     peer,
		Revision: manifest.Revision,
		Chunks:   missing,
	}}
}

// HandleChunks takes chunks from a peer. Chunks whose hash was not asked for
// are ignored when the revision is assembled.
func (k *Keeper) HandleChunks(peer anvilmodel.VMName, chunks [][]byte, now time.Time) []Action {
	f := k.fetch
	if f == nil || f.peer != peer {
		return nil
	}
	for _, chunk := range chunks {
		f.chunks[HashOf(chunk)] = chunk
	}
	return k.assemble(now)
}

// HandleFetchFailure gives up on a peer; another one is asked if any offers.
func (k *Keeper) HandleFetchFailure(peer anvilmodel.VMName, now time.Time) []Action {
	delete(k.offers, peer)
	if k.fetch == nil || k.fetch.peer != peer {
		return nil
	}
	k.fetch = nil
	return k.startFetch(now)
}

// assemble builds the documents of the fetched revision. It fails when the peer
// moved to another revision between manifest and chunks, or sent damaged data.
func (k *Keeper) assemble(now time.Time) []Action {
	f := k.fetch
	documents := make([]anvilconfig.Document, 0, len(f.manifest.Documents))
	for _, d := range f.manifest.Documents {
		content := []byte{}
		for _, hash := range d.Chunks {
			chunk, ok := f.chunks[hash]
			if !ok {
				chunk, ok = k.chunks[hash]
			}
			if !ok {
				return k.HandleFetchFailure(f.peer, now)
			}
			content = append(content, chunk...)
		}
		documents = append(documents, anvilconfig.Document{
			Name:    d.Name,
			Content: content,
		})
	}
	if anvilconfig.Digest(documents) != f.manifest.Revision.Digest {
		return k.HandleFetchFailure(f.peer, now)
	}
	peer := f.peer
	k.fetch = nil
	delete(k.offers, peer)
	return k.Offer(f.manifest.Revision.Version, documents, Source{
		Peer: peer,
	}, now)
}
