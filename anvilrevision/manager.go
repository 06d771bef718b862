package anvilrevision

import (
	"fmt"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// pauseThreshold is the time between two calls above which the process is assumed to
// have been paused.
const pauseThreshold = time.Second

// Config sets up a Manager.
type Config struct {
	Self anvilmodel.VMName
	// Validate validates documents. It must be a pure function of them, so that
	// all nodes get the same result. Task.Run calls it.
	Validate func([]anvilconfig.Document) Validation
	// ServeAlone lets a joining node serve what the configuration service returns
	// although it has no contact to other nodes.
	ServeAlone bool
	Random     *rand.Rand
}

// Manager manages the configuration revisions of a node. It is not safe for
// concurrent use.
type Manager struct {
	config Config
	// lastCall is the time of the last call, to detect pauses of the process.
	lastCall time.Time

	active        *revisionContent
	configuration *anvilconfig.Configuration
	activatedAt   time.Time
	applySequence uint64

	// refused is the highest refused revision above the active one, or nil.
	refused         *revisionContent
	recentRefused   recentRevisions
	recentConflicts recentRevisions

	// runningTask is in progress; nextTask is started after it.
	runningTask *Task
	nextTask    *Task

	service        serviceState
	offers         map[anvilmodel.VMName]*offer
	fetch          *fetch
	nextExchangeAt time.Time
	// repeatAnnounceAt is when the last change is announced a second time, or zero
	// if that has been done.
	repeatAnnounceAt time.Time
	join             joinState
}

// New returns a manager without an active configuration.
func New(c Config, now time.Time) *Manager {
	return &Manager{
		config:         c,
		lastCall:       now,
		active:         &revisionContent{},
		offers:         make(map[anvilmodel.VMName]*offer),
		nextExchangeAt: now,
		service: serviceState{
			lastPeerContact: now,
			nextReadAt:      now,
		},
		join: joinState{
			peers: make(map[anvilmodel.VMName]*joinPeer),
		},
	}
}

// Active returns the active revision. Its version is 0 until the first one is
// accepted.
func (m *Manager) Active() Revision {
	return m.active.revision
}

// Configuration returns the active configuration, or nil.
func (m *Manager) Configuration() *anvilconfig.Configuration {
	return m.configuration
}

// State returns the state to report to other nodes.
func (m *Manager) State() State {
	s := State{
		Active:  m.active.revision,
		Serving: m.join.ready,
	}
	if m.refused != nil {
		s.Refused = m.refused.revision
	}
	return s
}

// Manifest returns the manifest of the refused revision if that has the version, or
// else the manifest of the active revision. The caller must not change it.
func (m *Manager) Manifest(version uint64) Manifest {
	if m.refused != nil && m.refused.revision.Version == version {
		return m.refused.manifest
	}
	return m.active.manifest
}

// Chunk returns a chunk of the active or the refused revision, or nil.
func (m *Manager) Chunk(hash ChunkHash) []byte {
	return findChunk(hash, m.availableChunks())
}

func (m *Manager) availableChunks() []map[ChunkHash][]byte {
	maps := []map[ChunkHash][]byte{m.active.chunks}
	if m.refused != nil {
		maps = append(maps, m.refused.chunks)
	}
	return maps
}

// Tick returns the actions that are due at now. The owner calls it every 250 ms.
func (m *Manager) Tick(now time.Time) []Action {
	m.detectPause(now)
	actions := m.retryFetch(now)
	actions = append(actions, m.dueExchanges(now)...)
	actions = append(actions, m.dueServiceRead(now)...)
	return m.withFollowUps(actions, now)
}

// detectPause detects that the process was paused. What peers reported before the
// pause is then outdated and discarded: a joining node must not become ready on it.
func (m *Manager) detectPause(now time.Time) {
	if now.Sub(m.lastCall) > pauseThreshold {
		m.fetch = nil
		clear(m.offers)
		m.join.resetPeers()
		m.repeatAnnounceAt = now
	}
	m.lastCall = now
}

// withFollowUps appends the actions that may result from any change.
func (m *Manager) withFollowUps(actions []Action, now time.Time) []Action {
	actions = append(actions, m.startFetch(now)...)
	if m.join.ready {
		return actions
	}
	actions = append(actions, m.checkReady()...)
	return append(actions, m.dueJoinExchanges(now)...)
}

// startTask starts a task if none is running. Of the waiting tasks only the one with
// the highest version is kept. A dropped revision is offered again by peers or the
// configuration service.
func (m *Manager) startTask(t *Task) []Action {
	if m.runningTask != nil {
		if m.nextTask == nil || t.version >= m.nextTask.version {
			m.nextTask = t
		}
		return nil
	}
	t.knownRevisions = append([]Revision{m.active.revision}, m.recentRefused.revisions...)
	if m.join.ready {
		t.skipVersion = m.active.revision.Version
	}
	m.runningTask = t
	return []Action{{
		Kind: ActionRunTask,
		Task: t,
	}}
}

// HandleTaskResult handles the result of a task. A revision that is no longer newer
// than the active one when the result arrives is not applied.
func (m *Manager) HandleTaskResult(r TaskResult, now time.Time) []Action {
	m.detectPause(now)
	if r.task == nil || r.task != m.runningTask {
		return nil
	}
	m.runningTask = nil
	actions := m.processResult(r, now)
	if t := m.nextTask; t != nil {
		m.nextTask = nil
		if t.version >= m.active.revision.Version {
			actions = append(actions, m.startTask(t)...)
		}
	}
	return m.withFollowUps(actions, now)
}

func (m *Manager) processResult(r TaskResult, now time.Time) []Action {
	source := r.task.source
	if r.corrupt {
		m.backOff(source.Peer, now)
		return nil
	}
	if actions, done := m.handleNotNewer(r.revision, source); done || !r.validated {
		return actions
	}
	if !r.validation.OK() {
		return m.refuse(r, source, now)
	}
	return m.accept(r, source, now)
}

// handleNotNewer handles a revision that is not newer than the active one or has been
// refused already. It returns false for all others, which the caller has to handle.
func (m *Manager) handleNotNewer(revision Revision, source Source) ([]Action, bool) {
	active := m.active.revision
	switch {
	case revision == active || revision.Version < active.Version || m.recentRefused.contains(revision):
		return nil, true
	case revision.Version > active.Version || m.replacesActive(revision, source.Peer):
		return nil, false
	default:
		return m.reportConflict(revision, source), true
	}
}

// reportConflict reports once that a revision has the active version but different
// content.
func (m *Manager) reportConflict(revision Revision, source Source) []Action {
	if m.recentConflicts.contains(revision) {
		return nil
	}
	m.recentConflicts.add(revision)
	return []Action{{
		Kind:     ActionReportConflict,
		Revision: revision,
		Source:   source,
		Cause:    fmt.Sprintf("version %d from %s has different content than the active revision", revision.Version, source),
	}}
}

func (m *Manager) refuse(r TaskResult, source Source, now time.Time) []Action {
	m.recentRefused.add(r.revision)
	highest := m.refused == nil || m.refused.revision.Version <= r.revision.Version
	if highest && r.revision.Version > m.active.revision.Version {
		m.refused = r.content
	}
	findings := r.validation.Findings
	return []Action{
		{
			Kind:     ActionReportRefused,
			Revision: r.revision,
			Findings: findings,
			Source:   source,
			Cause:    fmt.Sprintf("%d findings in version %d from %s", len(findings), r.revision.Version, source),
		},
		m.announceRevision(now),
	}
}

func (m *Manager) accept(r TaskResult, source Source, now time.Time) []Action {
	m.active = r.content
	m.configuration = r.validation.Configuration
	m.activatedAt = now
	m.applySequence++
	if m.refused != nil && m.refused.revision.Version <= r.revision.Version {
		m.refused = nil
	}
	m.dropOutdatedOffers()
	m.join.resetJoiningPeers()
	return []Action{
		m.announceRevision(now),
		{
			Kind:          ActionApply,
			Revision:      r.revision,
			Configuration: r.validation.Configuration,
			Sequence:      m.applySequence,
			Source:        source,
			Cause:         fmt.Sprintf("version %d from %s", r.revision.Version, source),
		},
	}
}
