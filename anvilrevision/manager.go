package anvilrevision

import (
	"fmt"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

// pauseTime is the gap between two calls above which the process is taken to
// have paused.
const pauseTime = time.Second

// Config sets up a Manager.
type Config struct {
	Self anvilmodel.VMName
	// Validate validates documents. It must be a pure function of them, so that
	// all nodes reach the same verdict. It is called by Task.Run.
	Validate func([]anvilconfig.Document) Validation
	// ServeAlone lets a fresh node serve what the service gives it although it
	// has heard no other node.
	ServeAlone bool
	Random     *rand.Rand
}

// Manager keeps the revision in force. It is not safe for concurrent use.
type Manager struct {
	config Config
	// last is the time of the last call.
	last time.Time

	inForce  *content
	release  *anvilconfig.Release
	accepted time.Time
	sequence uint64

	// refused is the highest refused revision above the one in force.
	refused   *content
	refusals  ring
	conflicts ring

	// running is the task being run, next is to run after it.
	running *Task
	next    *Task

	service      service
	offers       map[anvilmodel.VMName]*offer
	fetch        *fetch
	nextAnnounce time.Time
	// repeat is when the last change is announced again; zero if it was.
	repeat time.Time
	join   joining
}

// New returns a keeper without a configuration.
func New(c Config, now time.Time) *Manager {
	return &Manager{
		config:       c,
		last:         now,
		inForce:      &content{},
		offers:       make(map[anvilmodel.VMName]*offer),
		nextAnnounce: now,
		service: service{
			heardPeer: now,
			nextRead:  now,
		},
		join: joining{
			peers: make(map[anvilmodel.VMName]*exchange),
		},
	}
}

// Active returns the revision in force; its version is 0 before the first.
func (k *Manager) Active() Revision {
	return k.inForce.revision
}

// Release returns the configuration in force, or nil.
func (k *Manager) Release() *anvilconfig.Release {
	return k.release
}

// State returns what other nodes are told.
func (k *Manager) State() State {
	s := State{
		Active:  k.inForce.revision,
		Serving: k.join.ready,
	}
	if k.refused != nil {
		s.Refused = k.refused.revision
	}
	return s
}

// Manifest returns the manifest of the refused revision of that version, or
// else of the revision in force. The caller must not change it.
func (k *Manager) Manifest(version uint64) Manifest {
	if k.refused != nil && k.refused.revision.Version == version {
		return k.refused.manifest
	}
	return k.inForce.manifest
}

// Chunk returns a chunk of the revision in force or the refused one, or nil.
func (k *Manager) Chunk(hash ChunkHash) []byte {
	return find(hash, k.chunksAtHand())
}

func (k *Manager) chunksAtHand() []map[ChunkHash][]byte {
	maps := []map[ChunkHash][]byte{k.inForce.chunks}
	if k.refused != nil {
		maps = append(maps, k.refused.chunks)
	}
	return maps
}

// Tick does what is due at now. The owner calls it every 250 ms.
func (k *Manager) Tick(now time.Time) []Action {
	k.observe(now)
	actions := k.repeatFetch(now)
	actions = append(actions, k.announceDue(now)...)
	actions = append(actions, k.readService(now)...)
	return k.proceed(actions, now)
}

// observe notices that the process has paused. What peers said before is then
// out of date: a fresh node must not become ready on it.
func (k *Manager) observe(now time.Time) {
	if now.Sub(k.last) > pauseTime {
		k.fetch = nil
		clear(k.offers)
		k.join.forget()
		k.repeat = now
	}
	k.last = now
}

// proceed appends what may follow from any change.
func (k *Manager) proceed(actions []Action, now time.Time) []Action {
	actions = append(actions, k.startFetch(now)...)
	if k.join.ready {
		return actions
	}
	actions = append(actions, k.becomeReady()...)
	return append(actions, k.joinExchanges(now)...)
}

// start hands a task to the node. One runs at a time; of those that wait, the
// highest is kept. One that is dropped is heard of again from peers or service.
func (k *Manager) start(t *Task) []Action {
	if k.running != nil {
		if k.next == nil || t.version >= k.next.version {
			k.next = t
		}
		return nil
	}
	t.known = append([]Revision{k.inForce.revision}, k.refusals.revisions...)
	if k.join.ready {
		t.settled = k.inForce.revision.Version
	}
	k.running = t
	return []Action{{
		Kind: ActionRunTask,
		Task: t,
	}}
}

// HandleTaskResult takes the outcome of a task. Whatever came in between counts: a
// revision that is no longer newer than the one in force is not applied.
func (k *Manager) HandleTaskResult(r TaskResult, now time.Time) []Action {
	k.observe(now)
	if r.task == nil || r.task != k.running {
		return nil
	}
	k.running = nil
	actions := k.conclude(r, now)
	if t := k.next; t != nil {
		k.next = nil
		if t.version >= k.inForce.revision.Version {
			actions = append(actions, k.start(t)...)
		}
	}
	return k.proceed(actions, now)
}

func (k *Manager) conclude(r TaskResult, now time.Time) []Action {
	source := r.task.source
	if r.damaged {
		k.setAside(source.Peer, now)
		return nil
	}
	if actions, done := k.screen(r.revision, source); done || !r.judged {
		return actions
	}
	if !r.judgement.OK() {
		return k.refuse(r, source, now)
	}
	return k.accept(r, source, now)
}

// screen handles revisions that are not newer than the one in force or that
// were refused already.
func (k *Manager) screen(revision Revision, source Source) ([]Action, bool) {
	inForce := k.inForce.revision
	switch {
	case revision == inForce || revision.Version < inForce.Version || k.refusals.has(revision):
		return nil, true
	case revision.Version > inForce.Version || k.yields(revision, source.Peer):
		return nil, false
	default:
		return k.conflict(revision, source), true
	}
}

// conflict reports, once, a version that is in force here with other content.
func (k *Manager) conflict(revision Revision, source Source) []Action {
	if k.conflicts.has(revision) {
		return nil
	}
	k.conflicts.add(revision)
	return []Action{{
		Kind:     ActionReportConflict,
		Revision: revision,
		Source:   source,
		Cause:    fmt.Sprintf("version %d from %s has other content than the one in force", revision.Version, source),
	}}
}

func (k *Manager) refuse(r TaskResult, source Source, now time.Time) []Action {
	k.refusals.add(r.revision)
	highest := k.refused == nil || k.refused.revision.Version <= r.revision.Version
	if highest && r.revision.Version > k.inForce.revision.Version {
		k.refused = r.content
	}
	findings := r.judgement.Findings
	return []Action{
		{
			Kind:     ActionReportRefused,
			Revision: r.revision,
			Findings: findings,
			Source:   source,
			Cause:    fmt.Sprintf("%d findings in version %d from %s", len(findings), r.revision.Version, source),
		},
		k.announceWidely(now),
	}
}

func (k *Manager) accept(r TaskResult, source Source, now time.Time) []Action {
	k.inForce = r.content
	k.release = r.judgement.Release
	k.accepted = now
	k.sequence++
	if k.refused != nil && k.refused.revision.Version <= r.revision.Version {
		k.refused = nil
	}
	k.dropOffers()
	k.join.forgetFresh()
	return []Action{
		k.announceWidely(now),
		{
			Kind:     ActionApply,
			Revision: r.revision,
			Release:  r.judgement.Release,
			Sequence: k.sequence,
			Source:   source,
			Cause:    fmt.Sprintf("version %d from %s", r.revision.Version, source),
		},
	}
}
