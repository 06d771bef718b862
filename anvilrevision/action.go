package anvilrevision

import (
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// ActionKind says what the node is to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionRunTask asks to call Run of Task without holding the keeper's lock, and
	// to hand the result to HandleTaskResult.
	ActionRunTask ActionKind = iota + 1
	// ActionApply means that Release is in force from now on.
	ActionApply
	// ActionExchangeState asks to exchange states with Peer, or with Count peers
	// drawn at random. The outcome goes to HandlePeerState or
	// HandleExchangeFailure.
	ActionExchangeState
	// ActionFetchManifest asks Peer for the manifest of Revision. The outcome
	// goes to HandleManifest or, after Timeout, to HandleFetchFailure.
	ActionFetchManifest
	// ActionFetchChunks asks Peer for Chunks. The outcome goes to HandleChunks
	// or, after Timeout, to HandleFetchFailure.
	ActionFetchChunks
	// ActionReadService asks for a read of the configuration service without waiting,
	// for anything newer than After.
	ActionReadService
	// ActionReportRefused reports a refused revision with its findings.
	ActionReportRefused
	// ActionReportStaleService reports that the service serves an older version.
	ActionReportStaleService
	// ActionReportConflict reports an equal version with other content.
	ActionReportConflict
	// ActionReady means that the node may serve from now on.
	ActionReady
)

// Action is something that the node is to do or report.
type Action struct {
	Kind     ActionKind
	Revision Revision
	Release  *anvilconfig.Release
	// Sequence grows with each ActionApply. A node that carries out actions in
	// several goroutines skips one with a lower number than the last applied.
	Sequence     uint64
	Findings     anvilconfig.Findings
	Source       Source
	Peer         anvilmodel.VMName
	PeerCount    int
	Chunks       []ChunkHash
	Timeout      time.Duration
	AfterVersion uint64
	Task         *Task
	// Cause says in words why, for the audit trail.
	Cause string
}
