// Package anvilrevision decides which configuration is in force at a node, how
// a revision spreads between nodes, and when a fresh node may serve. It does no
// I/O: it is handed documents and messages and returns actions.
package anvilrevision

import (
	"slices"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// Revision identifies a configuration: the version that the configuration
// service gave the documents, and their digest.
type Revision struct {
	Version uint64
	// Digest is zero when only the version is known.
	Digest [32]byte
}

// Manifest names the chunks of the documents of a revision.
type Manifest struct {
	Revision Revision
	// Documents are in order of name.
	Documents []DocumentManifest
}

// DocumentManifest names the chunks of one document, in order.
type DocumentManifest struct {
	Name   string
	Chunks []ChunkHash
}

// State is what a node tells another about its configuration.
type State struct {
	// Active has version 0 before the first revision.
	Active Revision
	// Refused is the highest refused revision above the one in force, so that
	// the other node can judge it too. Its version is 0 if there is none.
	Refused Revision
	// Serving is false while the node is fresh.
	Serving bool
}

// Source says where documents came from, for the audit trail.
type Source struct {
	// Peer is empty when the configuration service gave the documents.
	Peer anvilmodel.VMName
}

// String returns the text used in audit causes.
func (s Source) String() string {
	if s.Peer == "" {
		return "configuration service"
	}
	return "peer " + string(s.Peer)
}

// Validation is the verdict on the documents of a revision.
type Validation struct {
	Release  *anvilconfig.Release
	Findings anvilconfig.Findings
}

// OK reports whether the documents are valid.
func (j Validation) OK() bool {
	return j.Release != nil && len(j.Findings) == 0
}

// maxRecentRevisions bounds the revisions that a ring remembers.
const maxRecentRevisions = 16

// recentRevisions remembers the last revisions that were refused, or in conflict with the
// one in force, so that each is judged and reported once.
type recentRevisions struct {
	revisions []Revision
	next      int
}

func (r *recentRevisions) add(revision Revision) {
	if len(r.revisions) < maxRecentRevisions {
		r.revisions = append(r.revisions, revision)
		return
	}
	r.revisions[r.next] = revision
	r.next = (r.next + 1) % maxRecentRevisions
}

// contains compares versions only when the digest of the revision is not known.
func (r *recentRevisions) contains(revision Revision) bool {
	if revision.Digest != ([32]byte{}) {
		return slices.Contains(r.revisions, revision)
	}
	return slices.ContainsFunc(r.revisions, func(s Revision) bool { return s.Version == revision.Version })
}
