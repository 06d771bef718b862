package anvilrevision

import (
	"maps"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// askTimeout is how long a peer has to answer a request; it doubles with
	// each failure of the peer, up to 2.4 s, so that a slow one answers in time.
	askTimeout       = 300 * time.Millisecond
	askTimeoutDouble = 3
	// A peer that failed is not asked again for failureDelay, doubling up to
	// 6.4 s.
	failureDelay       = 100 * time.Millisecond
	failureDelayDouble = 6
	// chunksPerRequest keeps a reply under 2 MB.
	chunksPerRequest = 128
	// maxOffers bounds the peers of which offers are remembered.
	maxOffers = 1024
)

// offer is what a peer has, as far as it is known.
type offer struct {
	inForce  Revision
	refused  Revision
	failures int
	// notBefore is when the peer may be asked again.
	notBefore time.Time
}

// fetch is a transfer of a revision from peers. There is one at a time, with
// one request under way. Chunks are identified by their content, so they may
// come from several peers.
type fetch struct {
	peer     anvilmodel.VMName
	deadline time.Time
	// manifest has version 0 until it has been received.
	manifest Manifest
	asked    []Hash
	received map[Hash][]byte
	bytes    int
	// sources are the chunks at hand, those received first.
	sources []map[Hash][]byte
}

// offerOf returns the entry of a peer. A new one is made only for a peer that may
// have something to fetch: for a fresh node also another content of its version.
func (k *Keeper) offerOf(peer anvilmodel.VMName, highest uint64) *offer {
	o := k.offers[peer]
	inForce := k.inForce.revision.Version
	nothing := highest < inForce || (highest == inForce && k.join.ready)
	if o != nil || nothing || len(k.offers) >= maxOffers {
		return o
	}
	o = &offer{}
	k.offers[peer] = o
	return o
}

// dropOffers forgets the peers that offer nothing newer.
func (k *Keeper) dropOffers() {
	maps.DeleteFunc(k.offers, func(_ anvilmodel.VMName, o *offer) bool {
		return max(o.inForce.Version, o.refused.Version) <= k.inForce.revision.Version
	})
	if k.fetch != nil && k.fetch.manifest.Revision.Version <= k.inForce.revision.Version {
		k.fetch = nil
	}
}

// wants reports whether the revision in force at a peer has to be fetched.
func (k *Keeper) wants(r Revision, peer anvilmodel.VMName) bool {
	if k.refusals.has(r) || k.atHand(r.Version) {
		return false
	}
	return r.Version > k.inForce.revision.Version || k.yields(r, peer)
}

// wantsRefused reports whether a revision that a peer refused has to be fetched,
// to be judged here as well.
func (k *Keeper) wantsRefused(r Revision, _ anvilmodel.VMName) bool {
	if k.refused != nil && r.Version <= k.refused.revision.Version {
		return false
	}
	return r.Version > k.inForce.revision.Version && !k.refusals.has(r) && !k.atHand(r.Version)
}

// atHand reports whether a version is being judged or waits for it.
func (k *Keeper) atHand(version uint64) bool {
	return (k.running != nil && k.running.version == version) || (k.next != nil && k.next.version == version)
}

// choose returns the peer to ask next and the revision to ask for. Refused
// revisions come after those that may be in force.
func (k *Keeper) choose(now time.Time) (anvilmodel.VMName, Revision) {
	inForce := func(o *offer) Revision { return o.inForce }
	if peer, r := k.best(now, inForce, k.wants); peer != "" {
		return peer, r
	}
	refused := func(o *offer) Revision { return o.refused }
	return k.best(now, refused, k.wantsRefused)
}

// best draws one of the peers with the highest wanted version.
func (k *Keeper) best(now time.Time, of func(*offer) Revision, wanted func(Revision, anvilmodel.VMName) bool) (anvilmodel.VMName, Revision) {
	var highest uint64
	var peers []anvilmodel.VMName
	for _, name := range slices.Sorted(maps.Keys(k.offers)) {
		o := k.offers[name]
		r := of(o)
		if r.Version < highest || now.Before(o.notBefore) || !wanted(r, name) {
			continue
		}
		if r.Version > highest {
			highest = r.Version
			peers = peers[:0]
		}
		peers = append(peers, name)
	}
	if len(peers) == 0 {
		return "", Revision{}
	}
	peer := peers[k.config.Random.IntN(len(peers))]
	return peer, of(k.offers[peer])
}

// startFetch asks a peer for the highest revision, unless a fetch runs.
func (k *Keeper) startFetch(now time.Time) []Action {
	if k.fetch != nil || len(k.offers) == 0 {
		return nil
	}
	k.fetch = &fetch{}
	return k.askNext(now)
}

// askNext asks another peer, for chunks if it has the revision of the manifest.
func (k *Keeper) askNext(now time.Time) []Action {
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

func (k *Keeper) ask(a Action, now time.Time) []Action {
	a.Peer = k.fetch.peer
	a.Timeout = askTimeout
	if o := k.offers[a.Peer]; o != nil {
		a.Timeout <<= min(o.failures, askTimeoutDouble)
	}
	k.fetch.deadline = now.Add(a.Timeout)
	return []Action{a}
}

// HandleManifest takes a peer's manifest and asks for the chunks that no
// document at hand has.
func (k *Keeper) HandleManifest(peer anvilmodel.VMName, manifest Manifest, now time.Time) []Action {
	k.observe(now)
	f := k.fetch
	if f == nil || f.peer != peer || f.manifest.Revision.Version > 0 {
		return nil
	}
	r := manifest.Revision
	wanted := k.wants(r, peer) || k.wantsRefused(r, peer)
	if !wanted || manifest.fault() != "" {
		if o := k.offers[peer]; o != nil {
			o.inForce = r
			o.refused = Revision{}
		}
		return k.proceed(k.failPeer(peer, now), now)
	}
	f.manifest = manifest
	f.received = make(map[Hash][]byte)
	f.bytes = 0
	f.sources = append([]map[Hash][]byte{f.received}, k.chunksAtHand()...)
	return k.proceed(k.askChunks(now), now)
}

// askChunks asks for the next missing chunks, or starts the judgement.
func (k *Keeper) askChunks(now time.Time) []Action {
	f := k.fetch
	f.asked = f.missing()
	if len(f.asked) > 0 {
		return k.ask(Action{
			Kind:     ActionFetchChunks,
			Revision: f.manifest.Revision,
			Chunks:   f.asked,
		}, now)
	}
	k.fetch = nil
	return k.start(&Task{
		source: Source{
			Peer: f.peer,
		},
		version:  f.manifest.Revision.Version,
		judge:    k.config.Judge,
		manifest: f.manifest,
		chunks:   f.sources,
	})
}

// missing returns the first chunks of the manifest that are not at hand.
func (f *fetch) missing() []Hash {
	var missing []Hash
	seen := make(map[Hash]bool)
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

// HandleChunks takes chunks from a peer. Damaged ones, and those not asked for,
// are dropped. A peer that lacks some has moved to another revision or is
// faulty; the manifest is then fetched again, from another peer if one offers.
func (k *Keeper) HandleChunks(peer anvilmodel.VMName, chunks [][]byte, now time.Time) []Action {
	k.observe(now)
	f := k.fetch
	if f == nil || f.peer != peer || len(f.asked) == 0 {
		return nil
	}
	for _, chunk := range chunks {
		hash := HashOf(chunk)
		if len(chunk) <= chunkMaxBytes && f.received[hash] == nil && slices.Contains(f.asked, hash) {
			f.received[hash] = chunk
			f.bytes += len(chunk)
		}
	}
	lacks := slices.ContainsFunc(f.asked, func(h Hash) bool { return f.received[h] == nil })
	if lacks || f.bytes > maxBytes {
		f.manifest = Manifest{}
		f.asked = nil
		return k.proceed(k.failPeer(peer, now), now)
	}
	return k.proceed(k.askChunks(now), now)
}

// HandleFetchFailure says that a peer did not answer in time.
func (k *Keeper) HandleFetchFailure(peer anvilmodel.VMName, now time.Time) []Action {
	k.observe(now)
	if k.fetch == nil || k.fetch.peer != peer {
		return nil
	}
	return k.proceed(k.failPeer(peer, now), now)
}

// expireFetch gives up a request of which the node has reported nothing.
func (k *Keeper) expireFetch(now time.Time) []Action {
	if k.fetch == nil || now.Before(k.fetch.deadline) {
		return nil
	}
	return k.failPeer(k.fetch.peer, now)
}

func (k *Keeper) failPeer(peer anvilmodel.VMName, now time.Time) []Action {
	k.setAside(peer, now)
	return k.askNext(now)
}

// setAside delays the next request to a peer, so that one that offers what it
// does not have costs little.
func (k *Keeper) setAside(peer anvilmodel.VMName, now time.Time) {
	o := k.offers[peer]
	if o == nil {
		return
	}
	o.notBefore = now.Add(failureDelay << min(o.failures, failureDelayDouble))
	o.failures++
}
