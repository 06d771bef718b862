// Package anvilrevision decides which configuration is in force at a node, how
// a revision spreads between nodes, and when a fresh node may serve. It does no
// I/O: it is handed documents and messages and returns actions.
package anvilrevision

import (
	"cmp"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// Revision identifies a configuration: the version that the configuration
// service gave the documents, and their digest.
type Revision struct {
	Version uint64
	Digest  [32]byte
}

// Manifest names the chunks of the documents of a revision.
type Manifest struct {
	Revision  Revision
	Documents []DocumentManifest
}

// DocumentManifest names the chunks of one document, in order.
type DocumentManifest struct {
	Name   string
	Chunks []Hash
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

// Judgement is the verdict on the documents of a revision.
type Judgement struct {
	Release  *anvilconfig.Release
	Findings anvilconfig.Findings
}

// OK reports whether the documents are valid.
func (j Judgement) OK() bool {
	return j.Release != nil && len(j.Findings) == 0
}

// ActionKind says what the node is to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionApply means that Release is in force from now on.
	ActionApply ActionKind = iota + 1
	// ActionAnnounce asks to announce the revision in force to a few peers.
	ActionAnnounce
	// ActionFetchManifest asks a peer for the manifest of its revision.
	ActionFetchManifest
	// ActionFetchChunks asks a peer for chunks.
	ActionFetchChunks
	// ActionRead asks for a read of the configuration service without waiting.
	ActionRead
	// ActionRefused reports a refused revision with its findings.
	ActionRefused
	// ActionStale reports that the service serves an older version.
	ActionStale
	// ActionConflict reports an equal version with other content.
	ActionConflict
	// ActionReady means that the node may serve from now on.
	ActionReady
)

// Action is something that the node is to do or report.
type Action struct {
	Kind     ActionKind
	Revision Revision
	Release  *anvilconfig.Release
	Findings anvilconfig.Findings
	Source   Source
	Peer     anvilmodel.VMName
	Chunks   []Hash
	// Cause says in words why, for the audit trail.
	Cause string
}

func compareName(d anvilconfig.Document, e anvilconfig.Document) int {
	return cmp.Compare(d.Name, e.Name)
}
