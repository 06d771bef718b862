package anvilrevision

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
)

const (
	// watchersPerDomain is the number of nodes in each failure domain that watch
	// the configuration service.
	watchersPerDomain = 3
	// peerSilenceLimit is the time without messages from peers after which a node
	// reads the configuration service itself.
	peerSilenceLimit = 5 * time.Second
	// readInterval is the time between two such reads. A random time up to
	// readJitter is added, so that nodes that lose contact with each other do not
	// all read at the same time.
	readInterval = 5 * time.Second
	readJitter   = time.Second
	// A full read requests any version and shows whether the service has reverted to
	// an older one, which a read for newer versions does not show. The interval
	// between full reads is chosen, within bounds, to keep their traffic at
	// fullReadBytesPerSecond, and is randomized so that nodes read at different
	// times.
	fullReadBytesPerSecond = 512
	minFullReadInterval    = time.Minute
	maxFullReadInterval    = time.Hour
)

// serviceState is the manager's state of the configuration service.
type serviceState struct {
	// lastVersion is the version that the service returned last.
	lastVersion uint64
	// stale is set while the service serves a version below the active one.
	stale           bool
	nextFullReadAt  time.Time
	lastPeerContact time.Time
	nextReadAt      time.Time
}

// ShouldWatch reports whether a node is among those that watch the configuration
// service. domain holds the usable members of its failure domain, itself included.
// While nodes have different views of the members, a domain may have more watchers,
// which costs a few reads, or fewer; then nodes that receive no messages from peers
// read by themselves.
func ShouldWatch(self anvilmodel.VMName, domain []anvilmodel.VMName) bool {
	ranked := slices.Clone(domain)
	slices.SortFunc(ranked, func(m, n anvilmodel.VMName) int {
		return cmp.Or(cmp.Compare(watchRank(m), watchRank(n)), cmp.Compare(m, n))
	})
	return slices.Contains(ranked[:min(watchersPerDomain, len(ranked))], self)
}

func watchRank(name anvilmodel.VMName) uint64 {
	return xxhash.Sum64String("watch/" + string(name))
}

// ReadAfterVersion returns the version to pass to the next read of the service, which
// returns only newer documents. It is 0 when a full read is due.
func (m *Manager) ReadAfterVersion(now time.Time) uint64 {
	if now.Before(m.service.nextFullReadAt) {
		return m.service.lastVersion
	}
	return 0
}

// HandleDocuments handles the documents that the service returned. sent is the time
// at which the read was sent.
func (m *Manager) HandleDocuments(version uint64, documents []anvilconfig.Document, sent, now time.Time) []Action {
	m.detectPause(now)
	m.recordServedVersion(version, totalSize(documents), now)
	if version < m.active.revision.Version {
		return m.withFollowUps(m.reportStaleService(version, sent), now)
	}
	m.service.stale = false
	actions := m.startTask(&Task{
		version:   version,
		validate:  m.config.Validate,
		documents: documents,
	})
	return m.withFollowUps(actions, now)
}

// HandleNotModified handles a reply that the service has no version newer than after.
// sent is the time at which the read was sent.
func (m *Manager) HandleNotModified(after uint64, sent, now time.Time) []Action {
	m.detectPause(now)
	if after > 0 {
		return m.withFollowUps(nil, now)
	}
	m.recordServedVersion(0, m.active.size, now)
	return m.withFollowUps(m.reportStaleService(0, sent), now)
}

func (m *Manager) recordServedVersion(version uint64, bytes int, now time.Time) {
	wait := time.Duration(bytes) * time.Second / fullReadBytesPerSecond
	wait = min(max(wait, minFullReadInterval), maxFullReadInterval)
	m.service.lastVersion = version
	m.service.nextFullReadAt = now.Add(wait/2 + time.Duration(m.config.Random.Int64N(int64(wait))))
}

// reportStaleService reports that the service serves a version below the active one,
// once until it serves a current version again. Replies to reads sent before the
// active revision was accepted are ignored.
func (m *Manager) reportStaleService(version uint64, sent time.Time) []Action {
	active := m.active.revision.Version
	if version >= active || m.service.stale || sent.Before(m.activatedAt) {
		return nil
	}
	m.service.stale = true
	return []Action{{
		Kind: ActionReportStaleService,
		Revision: Revision{
			Version: version,
		},
		Cause: fmt.Sprintf("the configuration service serves version %d, but version %d is active and is kept; a change needs a higher version", version, active),
	}}
}

// dueServiceRead returns a read of the service if one is due while there is no active
// configuration or no message from peers arrives.
func (m *Manager) dueServiceRead(now time.Time) []Action {
	silent := now.Sub(m.service.lastPeerContact) >= peerSilenceLimit
	if (m.configuration != nil && !silent) || now.Before(m.service.nextReadAt) {
		return nil
	}
	m.service.nextReadAt = now.Add(readInterval + time.Duration(m.config.Random.Int64N(int64(readJitter))))
	return []Action{{
		Kind:         ActionReadService,
		AfterVersion: m.ReadAfterVersion(now),
	}}
}

func totalSize(documents []anvilconfig.Document) int {
	total := 0
	for _, d := range documents {
		total += len(d.Content)
	}
	return total
}
