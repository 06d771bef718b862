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
	// silenceBeforeRead is how long a node without news from peers waits before
	// it reads the configuration service itself.
	silenceBeforeRead = 5 * time.Second
	// readRetry is the time between two such reads; up to readSpread is added
	// at random, so that nodes that lost each other do not read at one time.
	readRetry  = 5 * time.Second
	readSpread = time.Second
	// A read of everything shows whether the service went back to an older
	// version, which a read for newer ones cannot show. It is made after as
	// many seconds as keep it at fullReadRate bytes a second, within bounds,
	// and at different times by different nodes.
	fullReadRate     = 512
	fullReadShortest = time.Minute
	fullReadLongest  = time.Hour
)

// service is what the keeper knows of the configuration service.
type service struct {
	// served is the version that the service returned last.
	served uint64
	// stale is set for the stretch in which the service serves an old version.
	stale     bool
	nextFull  time.Time
	heardPeer time.Time
	nextRead  time.Time
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
func (k *Manager) ReadAfterVersion(now time.Time) uint64 {
	if now.Before(k.service.nextFull) {
		return k.service.served
	}
	return 0
}

// HandleDocuments hands over the documents that the service returned to a read that was
// sent at sent.
func (k *Manager) HandleDocuments(version uint64, documents []anvilconfig.Document, sent, now time.Time) []Action {
	k.observe(now)
	k.serviceServed(version, size(documents), now)
	if version < k.inForce.revision.Version {
		return k.proceed(k.servedOld(version, sent), now)
	}
	k.service.stale = false
	actions := k.start(&Task{
		version:   version,
		judge:     k.config.Validate,
		documents: documents,
	})
	return k.proceed(actions, now)
}

// HandleNotModified says that the service had nothing newer than after for a read
// that was sent at sent.
func (k *Manager) HandleNotModified(after uint64, sent, now time.Time) []Action {
	k.observe(now)
	if after > 0 {
		return k.proceed(nil, now)
	}
	k.serviceServed(0, k.inForce.bytes, now)
	return k.proceed(k.servedOld(0, sent), now)
}

func (k *Manager) serviceServed(version uint64, bytes int, now time.Time) {
	wait := time.Duration(bytes) * time.Second / fullReadRate
	wait = min(max(wait, fullReadShortest), fullReadLongest)
	k.service.served = version
	k.service.nextFull = now.Add(wait/2 + time.Duration(k.config.Random.Int64N(int64(wait))))
}

// servedOld reports a stale service once for each stretch. A reply that was
// under way when the revision in force was accepted says nothing.
func (k *Manager) servedOld(version uint64, sent time.Time) []Action {
	inForce := k.inForce.revision.Version
	if version >= inForce || k.service.stale || sent.Before(k.accepted) {
		return nil
	}
	k.service.stale = true
	return []Action{{
		Kind: ActionReportStaleService,
		Revision: Revision{
			Version: version,
		},
		Cause: fmt.Sprintf("the service serves version %d, version %d is in force and stays; a change needs a version above it", version, inForce),
	}}
}

// readService asks for a read while there is no configuration, or no peer has
// been heard of.
func (k *Manager) readService(now time.Time) []Action {
	silent := now.Sub(k.service.heardPeer) >= silenceBeforeRead
	if (k.release != nil && !silent) || now.Before(k.service.nextRead) {
		return nil
	}
	k.service.nextRead = now.Add(readRetry + time.Duration(k.config.Random.Int64N(int64(readSpread))))
	return []Action{{
		Kind:         ActionReadService,
		AfterVersion: k.ReadAfterVersion(now),
	}}
}

func size(documents []anvilconfig.Document) int {
	total := 0
	for _, d := range documents {
		total += len(d.Content)
	}
	return total
}
