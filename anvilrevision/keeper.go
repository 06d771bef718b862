package anvilrevision

import (
	"fmt"
	"slices"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

const (
	// fetchTimeout is how long a fetch from a peer may take before another
	// peer is asked.
	fetchTimeout = time.Second
	// silenceBeforeRead is how long a node without news from peers waits before
	// it reads the configuration service itself.
	silenceBeforeRead = 5 * time.Second
	// readRetry is the time between such reads.
	readRetry = 5 * time.Second
)

// Config sets up a Keeper.
type Config struct {
	Self anvilmodel.VMName
	// Judge validates documents. It must be a pure function of them, so that
	// all nodes reach the same verdict.
	Judge func([]anvilconfig.Document) Judgement
	// ServeAlone lets a fresh node serve what the service gives it although it
	// has heard no other node.
	ServeAlone bool
}

// Keeper keeps the revision in force. It is not safe for concurrent use.
type Keeper struct {
	config Config

	inForce   Revision
	release   *anvilconfig.Release
	documents []anvilconfig.Document
	manifest  Manifest
	chunks    map[Hash][]byte

	refused Revision
	stale   bool

	fetch     *fetch
	offers    map[anvilmodel.VMName]uint64
	heardPeer time.Time
	nextRead  time.Time

	join joining
}

// New returns a keeper without a configuration.
func New(c Config, now time.Time) *Keeper {
	return &Keeper{
		config:    c,
		chunks:    make(map[Hash][]byte),
		offers:    make(map[anvilmodel.VMName]uint64),
		heardPeer: now,
		nextRead:  now,
		join:      newJoining(),
	}
}

// InForce returns the revision in force; its version is 0 before the first.
func (k *Keeper) InForce() Revision {
	return k.inForce
}

// Release returns the configuration in force, or nil.
func (k *Keeper) Release() *anvilconfig.Release {
	return k.release
}

// Offer hands over the documents of a version, from the service or assembled
// from a peer's chunks.
func (k *Keeper) Offer(version uint64, documents []anvilconfig.Document, source Source, now time.Time) []Action {
	if source.Peer == "" {
		k.join.serviceRead = true
	}
	documents = slices.Clone(documents)
	slices.SortFunc(documents, compareName)
	revision := Revision{
		Version: version,
		Digest:  anvilconfig.Digest(documents),
	}
	if actions, done := k.screen(revision, source); done {
		return append(actions, k.readiness()...)
	}
	judgement := k.config.Judge(documents)
	if !judgement.OK() {
		k.refused = revision
		return []Action{{
			Kind:     ActionRefused,
			Revision: revision,
			Findings: judgement.Findings,
			Source:   source,
			Cause:    fmt.Sprintf("%d findings in version %d from %s", len(judgement.Findings), version, source),
		}}
	}
	k.accept(revision, documents, judgement.Release)
	actions := []Action{
		{
			Kind:     ActionApply,
			Revision: revision,
			Release:  judgement.Release,
			Source:   source,
			Cause:    fmt.Sprintf("version %d from %s", version, source),
		},
		{
			Kind:     ActionAnnounce,
			Revision: revision,
		},
	}
	return append(actions, k.readiness()...)
}

// screen handles revisions that are not newer than the one in force or that
// were refused already.
func (k *Keeper) screen(revision Revision, source Source) ([]Action, bool) {
	if revision == k.refused {
		return nil, true
	}
	if revision.Version > k.inForce.Version || k.release == nil {
		k.stale = k.stale && source.Peer != ""
		return nil, false
	}
	if revision == k.inForce {
		k.stale = k.stale && source.Peer != ""
		return nil, true
	}
	if revision.Version == k.inForce.Version {
		return []Action{{
			Kind:     ActionConflict,
			Revision: revision,
			Source:   source,
			Cause:    fmt.Sprintf("version %d from %s has other content than the one in force", revision.Version, source),
		}}, true
	}
	if source.Peer != "" || k.stale {
		return nil, true
	}
	k.stale = true
	return []Action{{
		Kind:     ActionStale,
		Revision: revision,
		Source:   source,
		Cause:    fmt.Sprintf("the service serves version %d, version %d is in force", revision.Version, k.inForce.Version),
	}}, true
}

func (k *Keeper) accept(revision Revision, documents []anvilconfig.Document, release *anvilconfig.Release) {
	k.inForce = revision
	k.release = release
	k.documents = documents
	k.manifest = Manifest{
		Revision:  revision,
		Documents: make([]DocumentManifest, 0, len(documents)),
	}
	clear(k.chunks)
	for _, d := range documents {
		entry := DocumentManifest{
			Name: d.Name,
		}
		for _, chunk := range Split(d.Content) {
			hash := HashOf(chunk)
			k.chunks[hash] = chunk
			entry.Chunks = append(entry.Chunks, hash)
		}
		k.manifest.Documents = append(k.manifest.Documents, entry)
	}
	if k.fetch != nil && k.fetch.version <= revision.Version {
		k.fetch = nil
	}
}

// Manifest returns the manifest of the revision in force, for a peer.
func (k *Keeper) Manifest() Manifest {
	return k.manifest
}

// Chunk returns a chunk of the revision in force, or nil.
func (k *Keeper) Chunk(hash Hash) []byte {
	return k.chunks[hash]
}

// Heard handles the revision that a peer says is in force with it, and whether
// the peer is already serving.
func (k *Keeper) Heard(peer anvilmodel.VMName, version uint64, serving bool, now time.Time) []Action {
	k.heardPeer = now
	k.join.exchanged(peer, version, serving)
	actions := k.readiness()
	if version <= k.inForce.Version || version == k.refused.Version {
		delete(k.offers, peer)
		return actions
	}
	k.offers[peer] = version
	return append(actions, k.startFetch(now)...)
}

// SetListed hands over the names of the VMs listed live without this one.
func (k *Keeper) SetListed(names []anvilmodel.VMName) []Action {
	k.join.listed = names
	k.join.listRead = true
	return k.readiness()
}

// Ready reports whether the node may serve.
func (k *Keeper) Ready() bool {
	return k.join.ready
}

// Tick starts fetches again that took too long, and asks for a read of the
// service when no peer has been heard for 5 s.
func (k *Keeper) Tick(now time.Time) []Action {
	actions := []Action{}
	if k.fetch != nil && now.Sub(k.fetch.started) >= fetchTimeout {
		delete(k.offers, k.fetch.peer)
		k.fetch = nil
	}
	actions = append(actions, k.startFetch(now)...)
	alone := k.release == nil || now.Sub(k.heardPeer) >= silenceBeforeRead
	if alone && !now.Before(k.nextRead) {
		k.nextRead = now.Add(readRetry)
		actions = append(actions, Action{
			Kind: ActionRead,
		})
	}
	return actions
}

func (k *Keeper) readiness() []Action {
	if k.join.ready || k.release == nil {
		return nil
	}
	cause := k.join.mayServe(k.inForce.Version, k.config.ServeAlone)
	if cause == "" {
		return nil
	}
	k.join.ready = true
	return []Action{{
		Kind:     ActionReady,
		Revision: k.inForce,
		Cause:    cause,
	}}
}
