// Package anvilquarantine determines which requests are not sent to leaves because they crash
// the leaves that run them.
//
// A leaf that crashes ends all calls that it has, so that one crash does not show which of
// the requests has caused it. A request that crashes leaves is never answered, though: it is
// suspected once several leaves have crashed under it and none has answered it. A suspected
// request is given a trial the next time it comes: it is sent to a single leaf first. If that
// leaf answers, the request is cleared. If the leaves of two trials crash, the request is
// quarantined, which means that it is refused for some time. Nodes pass the crashes on to each
// other.
package anvilquarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

const (
	// suspectCrashes is the number of leaves that have to crash under a request that none has
	// answered until it is suspected. Two may crash under an attempt of a request to a single
	// service by chance: the first one and that of the retry.
	suspectCrashes = 3
	// quarantineTrials is the number of trials whose leaf has to crash until the request is
	// quarantined. The leaf of one may crash because of another request that it runs.
	quarantineTrials = 2
	// Duration is how long a request is refused after the last of these trials. Leaves that can
	// run the request may be in place afterwards, which a further trial shows; if its leaf
	// crashes, the request is quarantined again.
	Duration = 5 * time.Minute
	// suspicionRetention is how long a request stays suspected after its last crash, and
	// crashRetention how long fewer crashes are kept.
	suspicionRetention = 10 * time.Minute
	crashRetention     = time.Minute
	// announceDuration is how long a crash is passed on with each message. Later, suspected and
	// quarantined requests are passed on to nodes whose digest differs.
	announceDuration = 10 * time.Second
	// maxEntries bounds the requests that are remembered, about 150 bytes each.
	maxEntries = 512
	// MaxReports bounds the requests in a message, about 75 bytes each.
	MaxReports = 24
)

// Registry holds what is known of the requests under which leaves have crashed. It is not safe
// for concurrent use.
type Registry struct {
	entries map[anvilmodel.Fingerprint]*entry
	// prunedAt is when expired entries were last removed.
	prunedAt time.Time
}

type entry struct {
	// crashes identifies the processes that have crashed, at most suspectCrashes, and
	// trialCrashes those that have crashed in a trial, at most quarantineTrials.
	crashes      []uint64
	trialCrashes []uint64
	crashedAt    time.Time
	// clearedAt is when a leaf last answered the request; zero if none has.
	clearedAt time.Time
	// quarantinedUntil is the end of the quarantine; zero if there was none.
	quarantinedUntil time.Time
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		entries: make(map[anvilmodel.Fingerprint]*entry),
	}
}

// Status is what is known of a request.
type Status int

// Statuses of a request, from the least to the most restrictive.
const (
	// StatusAllowed means that the request is sent to leaves without restriction.
	StatusAllowed Status = iota
	// StatusSuspected means that the request gets a trial.
	StatusSuspected
	// StatusQuarantined means that the request is refused.
	StatusQuarantined
)

// String returns the name used in logs.
func (s Status) String() string {
	switch s {
	case StatusSuspected:
		return "suspected"
	case StatusQuarantined:
		return "quarantined"
	default:
		return "allowed"
	}
}

func (e *entry) status(now time.Time) Status {
	switch {
	case now.Before(e.quarantinedUntil):
		return StatusQuarantined
	case len(e.crashes) >= suspectCrashes && now.Sub(e.crashedAt) < suspicionRetention:
		return StatusSuspected
	default:
		return StatusAllowed
	}
}

func (e *entry) expired(now time.Time) bool {
	return e.status(now) == StatusAllowed && now.Sub(e.crashedAt) >= crashRetention
}

// Empty reports whether no request is known, so that fingerprints are not needed.
func (r *Registry) Empty(now time.Time) bool {
	if len(r.entries) > 0 && now.Sub(r.prunedAt) >= crashRetention {
		r.prune(now)
	}
	return len(r.entries) == 0
}

// prune removes expired entries.
func (r *Registry) prune(now time.Time) {
	r.prunedAt = now
	maps.DeleteFunc(r.entries, func(_ anvilmodel.Fingerprint, e *entry) bool { return e.expired(now) })
}

// Status returns the status of a request and, for a quarantined one, the time until the end of
// the quarantine.
func (r *Registry) Status(f anvilmodel.Fingerprint, now time.Time) (Status, time.Duration) {
	e := r.entries[f]
	if e == nil {
		return StatusAllowed, 0
	}
	return e.status(now), max(e.quarantinedUntil.Sub(now), 0)
}

// RecordCrash records that the process of a leaf, given by its name and start, has crashed
// while it had a call of the request. inTrial is set if that was the call of a trial. It
// returns the status of the request and whether it has changed.
func (r *Registry) RecordCrash(f anvilmodel.Fingerprint, leaf anvilmodel.LeafName, startedAt time.Time, inTrial bool, now time.Time) (status Status, changed bool) {
	e := r.entry(f, now)
	before := e.status(now)
	process := processID(leaf, startedAt)
	e.crashes = addProcess(e.crashes, process, suspectCrashes)
	e.crashedAt = now
	if inTrial {
		e.trialCrashes = addProcess(e.trialCrashes, process, quarantineTrials)
		if len(e.trialCrashes) >= quarantineTrials {
			e.quarantinedUntil = now.Add(Duration)
		}
	}
	status = e.status(now)
	return status, status != before
}

// RecordAnswer records that a leaf has run and answered the request. It reports whether the
// request was suspected or quarantined before.
func (r *Registry) RecordAnswer(f anvilmodel.Fingerprint, now time.Time) bool {
	e := r.entries[f]
	if e == nil {
		return false
	}
	before := e.status(now)
	e.crashes = nil
	e.trialCrashes = nil
	e.quarantinedUntil = time.Time{}
	e.clearedAt = now
	return before != StatusAllowed
}

// entry returns the entry of a request and creates it if needed.
func (r *Registry) entry(f anvilmodel.Fingerprint, now time.Time) *entry {
	e := r.entries[f]
	if e == nil {
		r.evict(now)
		e = &entry{}
		r.entries[f] = e
	}
	return e
}

// evict makes room for a new entry: the least restricted request whose last crash is the
// longest ago is forgotten first.
func (r *Registry) evict(now time.Time) {
	r.prune(now)
	if len(r.entries) < maxEntries {
		return
	}
	var oldest anvilmodel.Fingerprint
	var found *entry
	for f, e := range r.entries {
		if found == nil || cmp.Or(cmp.Compare(e.status(now), found.status(now)), e.crashedAt.Compare(found.crashedAt)) < 0 {
			oldest, found = f, e
		}
	}
	delete(r.entries, oldest)
}

// addProcess adds a process to a set that has at most limit elements.
func addProcess(set []uint64, process uint64, limit int) []uint64 {
	if len(set) >= limit || slices.Contains(set, process) {
		return set
	}
	return append(set, process)
}

// processID identifies the process of a leaf.
func processID(leaf anvilmodel.LeafName, startedAt time.Time) uint64 {
	var start [8]byte
	binary.BigEndian.PutUint64(start[:], uint64(startedAt.UnixMilli()))
	var hash xxhash.Digest
	hash.Reset()
	// Writing to a digest cannot fail.
	_, _ = hash.WriteString(string(leaf))
	_, _ = hash.Write(start[:])
	return hash.Sum64()
}
