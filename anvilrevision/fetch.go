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
	// retryDelay is the time without progress after which another peer is asked
	// as well, or the same one again. After the first few times it is
	// askAgainLater, so that a slow transfer is not started over and over.
	retryDelay      = 200 * time.Millisecond
	longRetryDelay  = 400 * time.Millisecond
	maxShortRetries = 4
	// singlePeerAttempts is the number of times that one peer is asked; then it is two.
	singlePeerAttempts = 2
	// maxChunksPerRequest keeps a reply under 2 MB.
	maxChunksPerRequest = 128
)

// fetch is a transfer of a revision from peers. There is one at a time.
type fetch struct {
	// peer was asked last.
	peer anvilmodel.VMName
	// retries counts the times that was asked again without progress; the next
	// time is at again.
	retries int
	retryAt time.Time
	// manifest has version 0 until it has been received.
	manifest Manifest
	// received holds chunks of this manifest or one before it.
	received      map[ChunkHash][]byte
	receivedBytes int
	// chunkSources are the chunks at hand, those received first.
	chunkSources []map[ChunkHash][]byte
}

// startFetch asks a peer for the highest revision, unless a fetch runs.
func (m *Manager) startFetch(now time.Time) []Action {
	if m.fetch != nil || len(m.offers) == 0 {
		return nil
	}
	m.fetch = &fetch{
		received: make(map[ChunkHash][]byte),
	}
	return m.requestFromNextPeer(now)
}

// requestFromNextPeer asks another peer, for chunks if it has the revision of the manifest.
func (m *Manager) requestFromNextPeer(now time.Time) []Action {
	f := m.fetch
	peer, revision := m.choosePeer(now)
	if peer == "" {
		m.fetch = nil
		return nil
	}
	f.peer = peer
	held := f.manifest.Revision
	if held.Version == revision.Version && (revision == held || revision.Digest == [32]byte{}) {
		return m.requestChunks(now)
	}
	f.manifest = Manifest{}
	return m.request(Action{
		Kind:     ActionFetchManifest,
		Revision: revision,
	}, now)
}

func (m *Manager) request(a Action, now time.Time) []Action {
	f := m.fetch
	a.Peer = f.peer
	a.Timeout = fetchTimeout
	f.retryAt = now.Add(retryDelay)
	if f.retries > maxShortRetries {
		f.retryAt = now.Add(longRetryDelay)
	}
	return []Action{a}
}

// HandleManifest takes a peer's manifest and asks for the chunks that no
// document at hand has.
func (m *Manager) HandleManifest(peer anvilmodel.VMName, manifest Manifest, now time.Time) []Action {
	m.detectPause(now)
	f := m.fetch
	if f == nil || f.manifest.Revision.Version > 0 {
		return nil
	}
	r := manifest.Revision
	if manifest.invalidReason() != "" || !m.needsActive(r, peer) && !m.needsRefused(r, peer) {
		if o := m.offers[peer]; o != nil {
			o.active = r
			o.refused = Revision{}
		}
		return m.withFollowUps(m.handlePeerFailure(peer, now), now)
	}
	f.peer = peer
	f.retries = 0
	f.manifest = manifest
	f.chunkSources = append([]map[ChunkHash][]byte{f.received}, m.availableChunks()...)
	return m.withFollowUps(m.requestChunks(now), now)
}

// requestChunks asks for the next missing chunks, or starts the judgement.
func (m *Manager) requestChunks(now time.Time) []Action {
	f := m.fetch
	if missing := f.missingChunks(); len(missing) > 0 {
		return m.request(Action{
			Kind:     ActionFetchChunks,
			Revision: f.manifest.Revision,
			Chunks:   missing,
		}, now)
	}
	m.fetch = nil
	return m.startTask(&Task{
		source: Source{
			Peer: f.peer,
		},
		version:  f.manifest.Revision.Version,
		validate: m.config.Validate,
		manifest: f.manifest,
		chunks:   f.chunkSources,
	})
}

// missingChunks returns the first chunks of the manifest that are not at hand.
func (f *fetch) missingChunks() []ChunkHash {
	var missing []ChunkHash
	seen := make(map[ChunkHash]bool)
	for _, d := range f.manifest.Documents {
		for _, hash := range d.Chunks {
			if seen[hash] || findChunk(hash, f.chunkSources) != nil {
				continue
			}
			seen[hash] = true
			missing = append(missing, hash)
			if len(missing) == maxChunksPerRequest {
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
func (m *Manager) HandleChunks(peer anvilmodel.VMName, asked []ChunkHash, chunks [][]byte, now time.Time) []Action {
	m.detectPause(now)
	f := m.fetch
	if f == nil || f.manifest.Revision.Version == 0 {
		return nil
	}
	progress := f.addChunks(asked, chunks)
	if progress {
		f.retries = 0
	}
	lacks := slices.ContainsFunc(asked, func(h ChunkHash) bool { return findChunk(h, f.chunkSources) == nil })
	switch {
	case f.receivedBytes > maxRevisionBytes:
		m.backOff(peer, now)
		m.fetch = nil
	case lacks && peer == f.peer:
		f.manifest = Manifest{}
		return m.withFollowUps(m.handlePeerFailure(peer, now), now)
	case lacks:
		m.backOff(peer, now)
	case progress:
		return m.withFollowUps(m.requestChunks(now), now)
	}
	return m.withFollowUps(nil, now)
}

// addChunks reports whether there was a chunk that was missing.
func (f *fetch) addChunks(asked []ChunkHash, chunks [][]byte) bool {
	before := len(f.received)
	for _, chunk := range chunks {
		hash := HashChunk(chunk)
		if len(chunk) <= chunkMaxBytes && f.received[hash] == nil && slices.Contains(asked, hash) {
			f.received[hash] = chunk
			f.receivedBytes += len(chunk)
		}
	}
	return len(f.received) > before
}

// HandleFetchFailure says that a peer did not answer in time, or cannot be
// reached.
func (m *Manager) HandleFetchFailure(peer anvilmodel.VMName, now time.Time) []Action {
	m.detectPause(now)
	return m.withFollowUps(m.handlePeerFailure(peer, now), now)
}

// retryFetch asks again when there was no progress for a while.
func (m *Manager) retryFetch(now time.Time) []Action {
	f := m.fetch
	if f == nil || now.Before(f.retryAt) {
		return nil
	}
	f.retries++
	actions := m.requestFromNextPeer(now)
	if f.retries < singlePeerAttempts || m.fetch == nil {
		return actions
	}
	first := f.peer
	if more := m.requestFromNextPeer(now); f.peer != first {
		actions = append(actions, more...)
	}
	return actions
}

// handlePeerFailure asks another peer unless that has happened already.
func (m *Manager) handlePeerFailure(peer anvilmodel.VMName, now time.Time) []Action {
	m.backOff(peer, now)
	if m.fetch == nil || m.fetch.peer != peer {
		return nil
	}
	return m.requestFromNextPeer(now)
}
