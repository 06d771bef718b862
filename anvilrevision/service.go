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
	// watchersPerDomain is the number of nodes of a failure domain that watch
	// the configuration service.
	watchersPerDomain = 3
	// peerSilenceLimit is how long a node without news from peers waits before
	// it reads the configuration service itself.
	peerSilenceLimit = 5 * time.Second
	// readInterval is the time between two such reads; up to readSpread is added
	// at random, so that nodes that lost each other do not read at one time.
	readInterval = 5 * time.Second
	readJitter   = time.Second
	// A read of everything shows whether the service went back to an older
	// version, which a read for newer ones cannot show. It is made after as
	// many seconds as keep it at fullReadBytesPerSecond bytes a second, within bounds,
	// and at different times by different nodes.
	fullReadBytesPerSecond = 512
	minFullReadInterval    = time.Minute
	maxFullReadInterval    = time.Hour
)

// serviceState is what the keeper knows of the configuration serviceState.
type serviceState struct {
	// lastVersion is the version that the service returned last.
	lastVersion uint64
	// stale is set for the stretch in which the service serves an old version.
	stale           bool
	nextFullReadAt  time.Time
	lastPeerContact time.Time
	nextReadAt      time.Time
}

// ShouldWatch reports whether a node ranks among those that watch the configuration
// service, out of the usable members of its failure domain, itself included.
// Nodes with different views have more or fewer watchers for a while, which
// costs a few reads or is covered by the reads of silent nodes.
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

// ReadAfterVersion returns the version for the next read of the service, which returns
// only newer ones. Now and then it is 0, to see which version is served.
func (m *Manager) ReadAfterVersion(now time.Time) uint64 {
	if now.Before(m.service.nextFullReadAt) {
		return m.service.lastVersion
	}
	return 0
}

// HandleDocuments hands over the documents that the service returned to a read that was
// sent at sent.
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

// HandleNotModified says that the service had nothing newer than after for a read
// that was sent at sent.
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

// reportStaleService reports a stale service once for each stretch. A reply that was
// under way when the revision in force was accepted says nothing.
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
		Cause: fmt.Sprintf("the service serves version %d, version %d is in force and stays; a change needs a version above it", version, active),
	}}
}

// dueServiceRead asks for a read while there is no configuration, or no peer has
// been heard of.
func (m *Manager) dueServiceRead(now time.Time) []Action {
	silent := now.Sub(m.service.lastPeerContact) >= peerSilenceLimit
	if (m.release != nil && !silent) || now.Before(m.service.nextReadAt) {
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
