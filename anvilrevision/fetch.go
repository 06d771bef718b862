package anvilrevision

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// fetchTimeout is how long a peer has to answer a request. A late reply is
	// of use, because chunks are identified by their content.
	fetchTimeout = 2 * time.Second
	// askAgain is the time without progress after which another peer is asked
	// as well, or the same one again. After the first few times it is
	// askAgainLater, so that a slow transfer is not started over and over.
	askAgain      = 200 * time.Millisecond
	askAgainLater = 400 * time.Millisecond
	askAgainTimes = 4
	// askOne is the number of times that one peer is asked; then it is two.
	askOne = 2
	// chunksPerRequest keeps a reply under 2 MB.
	chunksPerRequest = 128
)

// fetch is a transfer of a revision from peers. There is one at a time.
type fetch struct {
	// peer was asked last.
	peer anvilmodel.VMName
	// repeats counts the times that was asked again without progress; the next
	// time is at again.
	repeats int
	again   time.Time
	// manifest has version 0 until it has been received.
	manifest Manifest
	// received holds chunks of this manifest or one before it.
	received map[ChunkHash][]byte
	bytes    int
	// sources are the chunks at hand, those received first.
	sources []map[ChunkHash][]byte
}

// startFetch asks a peer for the highest revision, unless a fetch runs.
func (k *Manager) startFetch(now time.Time) []Action {
	if k.fetch != nil || len(k.offers) == 0 {
		return nil
	}
	k.fetch = &fetch{
		received: make(map[ChunkHash][]byte),
	}
	return k.askNext(now)
}

// askNext asks another peer, for chunks if it has the revision of the manifest.
func (k *Manager) askNext(now time.Time) []Action {
	f := k.fetch
	peer, revision := k.choose(now)
	if peer == "" {
		k.fetch = nil
		return nil
	}
	f.peer = peer
	held := f.manifest.Revision
	if held.Version == revision.Version && (revision == held || revision.Digest == [32]byte{}) {
		return k.askChunks(now)
	}
	f.manifest = Manifest{}
	return k.ask(Action{
		Kind:     ActionFetchManifest,
		Revision: revision,
	}, now)
}

func (k *Manager) ask(a Action, now time.Time) []Action {
	f := k.fetch
	a.Peer = f.peer
	a.Timeout = fetchTimeout
	f.again = now.Add(askAgain)
	if f.repeats > askAgainTimes {
		f.again = now.Add(askAgainLater)
	}
	return []Action{a}
}

// HandleManifest takes a peer's manifest and asks for the chunks that no
// document at hand has.
func (k *Manager) HandleManifest(peer anvilmodel.VMName, manifest Manifest, now time.Time) []Action {
	k.observe(now)
	f := k.fetch
	if f == nil || f.manifest.Revision.Version > 0 {
		return nil
	}
	r := manifest.Revision
	if manifest.fault() != "" || !k.wants(r, peer) && !k.wantsRefused(r, peer) {
		if o := k.offers[peer]; o != nil {
			o.inForce = r
			o.refused = Revision{}
		}
		return k.proceed(k.failPeer(peer, now), now)
	}
	f.peer = peer
	f.repeats = 0
	f.manifest = manifest
	f.sources = append([]map[ChunkHash][]byte{f.received}, k.chunksAtHand()...)
	return k.proceed(k.askChunks(now), now)
}

// askChunks asks for the next missing chunks, or starts the judgement.
func (k *Manager) askChunks(now time.Time) []Action {
	f := k.fetch
	if missing := f.missing(); len(missing) > 0 {
		return k.ask(Action{
			Kind:     ActionFetchChunks,
			Revision: f.manifest.Revision,
			Chunks:   missing,
		}, now)
	}
	k.fetch = nil
	return k.start(&Task{
		source: Source{
			Peer: f.peer,
		},
		version:  f.manifest.Revision.Version,
		judge:    k.config.Validate,
		manifest: f.manifest,
		chunks:   f.sources,
	})
}

// missing returns the first chunks of the manifest that are not at hand.
func (f *fetch) missing() []ChunkHash {
	var missing []ChunkHash
	seen := make(map[ChunkHash]bool)
	for _, d := range f.manifest.Documents {
		for _, hash := range d.Chunks {
			if seen[hash] || find(hash, f.sources) != nil {
				continue
			}
			seen[hash] = true
			missing = append(missing, hash)
			if len(missing) == chunksPerRequest {
				return missing
			}
		}
	}
	return missing
}

// HandleChunks takes the chunks of a peer's reply to a request for those asked.
// Damaged ones and others are dropped. A peer that lacks some has moved to
// another revision or is faulty; the manifest is then fetched again, from
// another peer if one offers.
func (k *Manager) HandleChunks(peer anvilmodel.VMName, asked []ChunkHash, chunks [][]byte, now time.Time) []Action {
	k.observe(now)
	f := k.fetch
	if f == nil || f.manifest.Revision.Version == 0 {
		return nil
	}
	progress := f.take(asked, chunks)
	if progress {
		f.repeats = 0
	}
	lacks := slices.ContainsFunc(asked, func(h ChunkHash) bool { return find(h, f.sources) == nil })
	switch {
	case f.bytes > maxBytes:
		k.setAside(peer, now)
		k.fetch = nil
	case lacks && peer == f.peer:
		f.manifest = Manifest{}
		return k.proceed(k.failPeer(peer, now), now)
	case lacks:
		k.setAside(peer, now)
	case progress:
		return k.proceed(k.askChunks(now), now)
	}
	return k.proceed(nil, now)
}

// take reports whether there was a chunk that was missing.
func (f *fetch) take(asked []ChunkHash, chunks [][]byte) bool {
	before := len(f.received)
	for _, chunk := range chunks {
		hash := HashChunk(chunk)
		if len(chunk) <= chunkMaxBytes && f.received[hash] == nil && slices.Contains(asked, hash) {
			f.received[hash] = chunk
			f.bytes += len(chunk)
		}
	}
	return len(f.received) > before
}

// HandleFetchFailure says that a peer did not answer in time, or cannot be
// reached.
func (k *Manager) HandleFetchFailure(peer anvilmodel.VMName, now time.Time) []Action {
	k.observe(now)
	return k.proceed(k.failPeer(peer, now), now)
}

// repeatFetch asks again when there was no progress for a while.
func (k *Manager) repeatFetch(now time.Time) []Action {
	f := k.fetch
	if f == nil || now.Before(f.again) {
		return nil
	}
	f.repeats++
	actions := k.askNext(now)
	if f.repeats < askOne || k.fetch == nil {
		return actions
	}
	first := f.peer
	if more := k.askNext(now); f.peer != first {
		actions = append(actions, more...)
	}
	return actions
}

// failPeer asks another peer unless that has happened already.
func (k *Manager) failPeer(peer anvilmodel.VMName, now time.Time) []Action {
	k.setAside(peer, now)
	if k.fetch == nil || k.fetch.peer != peer {
		return nil
	}
	return k.askNext(now)
}
