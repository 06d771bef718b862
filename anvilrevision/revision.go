// Package anvilrevision decides which configuration revision is active on a node,
// how revisions spread between nodes, and when a node that has started may serve.
// It does no I/O: callers pass in documents and messages and carry out the actions
// that it returns.
package anvilrevision

import (
	"slices"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// Revision identifies a configuration by the version that the configuration service
// assigned to its documents, and by their digest.
type Revision struct {
	Version uint64
	// Digest is zero when only the version is known.
	Digest [32]byte
}

// Manifest lists the chunks of the documents of a revision.
type Manifest struct {
	Revision Revision
	// Documents are sorted by name.
	Documents []DocumentManifest
}

// DocumentManifest lists the chunks of one document, in order.
type DocumentManifest struct {
	Name   string
	Chunks []ChunkHash
}

// State is what a node reports to other nodes about its configuration.
type State struct {
	// Active has version 0 until the first revision is accepted.
	Active Revision
	// Refused is the highest refused revision above the active one, so that the
	// other node can validate it too. Its version is 0 if there is none.
	Refused Revision
	// Serving is false until the node is ready.
	Serving bool
}

// Source is the origin of documents, for the audit trail.
type Source struct {
	// Peer is empty if the documents come from the configuration service.
	Peer anvilmodel.VMName
}

// String returns the source as it appears in audit causes.
func (s Source) String() string {
	if s.Peer == "" {
		return "configuration service"
	}
	return "peer " + string(s.Peer)
}

// Validation is the result of validating the documents of a revision.
type Validation struct {
	Configuration *anvilconfig.Configuration
	Findings      anvilconfig.Findings
}

// OK reports whether the documents are valid.
func (v Validation) OK() bool {
	return v.Configuration != nil && len(v.Findings) == 0
}

// maxRecentRevisions is the capacity of recentRevisions.
const maxRecentRevisions = 16

// recentRevisions is a ring buffer of the last revisions that were refused, or that
// conflict with the active one, so that each is validated and reported once.
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

// contains compares only versions if the digest of the revision is not known.
func (r *recentRevisions) contains(revision Revision) bool {
	if revision.Digest != ([32]byte{}) {
		return slices.Contains(r.revisions, revision)
	}
	return slices.ContainsFunc(r.revisions, func(s Revision) bool { return s.Version == revision.Version })
}
