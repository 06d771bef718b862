package anvilrevision

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// fetchTimeout bounds a request to a peer. It is longer than the retry delays
	// because late replies are still usable: chunks are identified by their hash.
	fetchTimeout = 2 * time.Second
	// retryDelay is the time without progress after which the request is also sent
	// to another peer, or again to the same one if there is no other. After
	// maxShortRetries retries without progress it is longRetryDelay, so that a slow
	// transfer is not restarted repeatedly.
	retryDelay      = 200 * time.Millisecond
	longRetryDelay  = 400 * time.Millisecond
	maxShortRetries = 4
	// singlePeerAttempts is the number of attempts sent to a single peer. Later
	// ones are sent to two peers each.
	singlePeerAttempts = 2
	// maxChunksPerRequest keeps the size of a reply under 2 MB.
	maxChunksPerRequest = 128
)

// fetch is the transfer of a revision from peers. At most one is in progress.
type fetch struct {
	// peer is the peer of the last request.
	peer anvilmodel.VMName
	// retries counts the retries since the last progress; the next one is due at
	// retryAt.
	retries int
	retryAt time.Time
	// manifest has version 0 until it has been received.
	manifest Manifest
	// received holds the chunks received for this manifest or an earlier one.
	received      map[ChunkHash][]byte
	receivedBytes int
	// chunkSources are the chunks available locally, starting with received.
	chunkSources []map[ChunkHash][]byte
}

// startFetch starts to fetch the highest offered revision unless a fetch is in
// progress.
func (m *Manager) startFetch(now time.Time) []Action {
	if m.fetch != nil || len(m.offers) == 0 {
		return nil
	}
	m.fetch = &fetch{
		received: make(map[ChunkHash][]byte),
	}
	return m.requestFromNextPeer(now)
}

// requestFromNextPeer chooses a peer and requests chunks from it if it has the
// revision of the current manifest, or else its manifest. Without a peer the fetch
// ends.
func (m *Manager) requestFromNextPeer(now time.Time) []Action {
	f := m.fetch
	peer, revision := m.choosePeer(now)
	if peer == "" {
		m.fetch = nil
		return nil
	}
	f.peer = peer
	current := f.manifest.Revision
	if current.Version == revision.Version && (revision == current || revision.Digest == [32]byte{}) {
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

// HandleManifest handles a peer's manifest and requests the chunks that are not
// available locally.
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

// requestChunks requests the next missing chunks, or starts the validation if there
// are none.
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

// missingChunks returns the first chunks of the manifest that are not available
// locally, at most one request's worth.
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

// HandleChunks handles the reply to a request for chunks. Corrupt and unrequested
// chunks are dropped. A peer that lacks some of the requested chunks has
// switched to another revision or is faulty; the manifest is then fetched again, from
// another peer if one offers a revision.
func (m *Manager) HandleChunks(peer anvilmodel.VMName, requested []ChunkHash, chunks [][]byte, now time.Time) []Action {
	m.detectPause(now)
	f := m.fetch
	if f == nil || f.manifest.Revision.Version == 0 {
		return nil
	}
	progress := f.addChunks(requested, chunks)
	if progress {
		f.retries = 0
	}
	incomplete := slices.ContainsFunc(requested, func(h ChunkHash) bool { return findChunk(h, f.chunkSources) == nil })
	switch {
	case f.receivedBytes > maxRevisionBytes:
		m.backOff(peer, now)
		m.fetch = nil
	case incomplete && peer == f.peer:
		f.manifest = Manifest{}
		return m.withFollowUps(m.handlePeerFailure(peer, now), now)
	case incomplete:
		m.backOff(peer, now)
	case progress:
		return m.withFollowUps(m.requestChunks(now), now)
	}
	return m.withFollowUps(nil, now)
}

// addChunks stores the requested chunks that were missing and reports whether there
// was any.
func (f *fetch) addChunks(requested []ChunkHash, chunks [][]byte) bool {
	before := len(f.received)
	for _, chunk := range chunks {
		hash := HashChunk(chunk)
		if len(chunk) <= chunkMaxBytes && f.received[hash] == nil && slices.Contains(requested, hash) {
			f.received[hash] = chunk
			f.receivedBytes += len(chunk)
		}
	}
	return len(f.received) > before
}

// HandleFetchFailure handles a request that a peer did not answer in time, or that
// could not be sent.
func (m *Manager) HandleFetchFailure(peer anvilmodel.VMName, now time.Time) []Action {
	m.detectPause(now)
	return m.withFollowUps(m.handlePeerFailure(peer, now), now)
}

// retryFetch repeats the request if there was no progress within the retry delay.
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

// handlePeerFailure delays further requests to a peer, and sends a request to another
// one if the last request went to that peer.
func (m *Manager) handlePeerFailure(peer anvilmodel.VMName, now time.Time) []Action {
	m.backOff(peer, now)
	if m.fetch == nil || m.fetch.peer != peer {
		return nil
	}
	return m.requestFromNextPeer(now)
}
