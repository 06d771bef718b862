package anvilrevision

import (
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// ActionKind is what the node has to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionRunTask calls Task.Run without holding the manager's lock. The result
	// goes to HandleTaskResult.
	ActionRunTask ActionKind = iota + 1
	// ActionApply makes Configuration the active one.
	ActionApply
	// ActionExchangeState exchanges states with Peer if it is set, or else with
	// PeerCount random peers. The outcome of each exchange goes to HandlePeerState
	// or HandleExchangeFailure.
	ActionExchangeState
	// ActionFetchManifest fetches the manifest of Revision from Peer. The reply goes
	// to HandleManifest; a failure, or no reply within Timeout, goes to
	// HandleFetchFailure.
	ActionFetchManifest
	// ActionFetchChunks fetches Chunks from Peer. The reply goes to HandleChunks; a
	// failure, or no reply within Timeout, goes to HandleFetchFailure.
	ActionFetchChunks
	// ActionReadService reads the configuration service. The read returns
	// immediately, with documents only if their version is above AfterVersion.
	ActionReadService
	// ActionReportRefused reports that Revision is invalid, with its Findings.
	ActionReportRefused
	// ActionReportStaleService reports that the configuration service serves a
	// version below the active one.
	ActionReportStaleService
	// ActionReportConflict reports a revision that has the version of the active
	// one but different content.
	ActionReportConflict
	// ActionReady reports that the node may serve from now on.
	ActionReady
)

// Action is something that the node has to do or report.
type Action struct {
	Kind          ActionKind
	Revision      Revision
	Configuration *anvilconfig.Configuration
	// Sequence increases with each ActionApply. A node that runs actions in several
	// goroutines skips an ActionApply with a lower number than the last one applied.
	Sequence     uint64
	Findings     anvilconfig.Findings
	Source       Source
	Peer         anvilmodel.VMName
	PeerCount    int
	Chunks       []ChunkHash
	Timeout      time.Duration
	AfterVersion uint64
	Task         *Task
	// Cause is a readable reason for the audit trail.
	Cause string
}
