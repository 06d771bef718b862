package anvilfollower

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
)

const (
	// standInDelay is how long a node has had its copy before it stands in for missing readers.
	// By then it has learned of the readers of a fleet that has just started.
	standInDelay = 2 * settleTime
	// minTrialDelay is the least time between two attempts of a node to read the store in
	// place of missing readers. nodesPerTrial makes a fleet of any size try about four times
	// a second.
	minTrialDelay = time.Second
	nodesPerTrial = 4
	// minLapseTime is the shortest outage of the store in which entries of live leaves may
	// lapse, because the leaves have missed two reports.
	minLapseTime = 2 * time.Second
)

// RolesConfig configures Roles. All fields are required.
type RolesConfig struct {
	// Members returns this node's view of the fleet, itself first.
	Members func() []anvilmodel.Member
	Random  *rand.Rand
	Log     zerolog.Logger
}

// Roles decides whether this node reads the store and from which nodes it replicates. Both
// followers of a node share it. It is safe for concurrent use.
type Roles struct {
	config RolesConfig

	mu    sync.Mutex
	table *anvilmirror.ReaderTable
	// loadedAt is when this node first had a copy; zero before.
	loadedAt time.Time
	// readers are the members that read the store, as of the last call of update.
	readers []anvilmodel.VMName
	// changed is closed and replaced when the readers change.
	changed chan struct{}
	// passOn is set while the other nodes may not have received the latest change.
	passOn bool
	// retryAt is when this node may try to read the store after a failure, and retryDelay the
	// delay after the next one.
	retryAt    time.Time
	retryDelay time.Duration
	// graceUntil is the end of the time after an outage of the store in which entries may
	// have been deleted because of missed reports.
	graceUntil time.Time
	// verifyNow requests a read of the store out of turn.
	verifyNow chan struct{}
}

// NewRoles returns Roles of a node that knows of no reads of the store.
func NewRoles(c RolesConfig) *Roles {
	return &Roles{
		config: c,
		table: anvilmirror.NewReaderTable(anvilmirror.ReaderConfig{
			Count:    ReaderCount,
			FanOut:   anvilmirror.FanOut,
			Lifetime: readLifetime,
		}),
		changed:    make(chan struct{}),
		retryDelay: minRetryDelay,
		verifyNow:  make(chan struct{}, 1),
	}
}

// pollWait returns how long the poll of another node waits for a change in a replication
// tree of the depth.
func pollWait(depth int) time.Duration {
	return min(time.Duration(max(depth, 1))*peerPollWait, maxPeerPollWait)
}

// readLifetime returns how long a read of the store counts in a replication tree of the depth.
func readLifetime(depth int) time.Duration {
	return maxCopyAge + time.Duration(depth)*pollWait(depth)
}

// role is the role of this node.
type role struct {
	anvilmirror.ReaderRole
	// pollWait is how long the poll of another node waits for a change.
	pollWait time.Duration
	// self is the name of this node.
	self anvilmodel.VMName
	// settled is set if this node has had a copy for long enough to have discovered the
	// readers.
	settled bool
	// changed is closed when the readers change.
	changed <-chan struct{}
}

// watches reports whether the node keeps watches of the store open.
func (r role) watches() bool {
	return r.Reads && r.Active && r.settled
}

// current returns the role of this node. It wakes those that wait for a change if the
// readers are others than at the last call.
func (r *Roles) current(now time.Time) role {
	members := r.config.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update(members, now)
}

// update returns the role of the first member. The caller must hold mu.
func (r *Roles) update(members []anvilmodel.Member, now time.Time) role {
	current := role{
		settled: !r.loadedAt.IsZero() && now.Sub(r.loadedAt) >= settleTime,
	}
	standsIn := current.settled && now.Sub(r.loadedAt) >= standInDelay
	current.ReaderRole = r.table.Role(members, standsIn, now)
	current.pollWait = pollWait(current.Position.Depth)
	if len(members) > 0 {
		current.self = members[0].Name
	}
	if now.Before(r.retryAt) {
		current.Reads = current.Reads && current.Active
		current.NextTrialAt = r.retryAt
	}
	if !slices.Equal(r.readers, current.Readers) {
		r.config.Log.Info().Str("event", "store-readers-changed").Str("before", joinNames(r.readers)).
			Str("after", joinNames(current.Readers)).Send()
		r.readers = current.Readers
		r.passOn = true
		close(r.changed)
		r.changed = make(chan struct{})
	}
	current.changed = r.changed
	return current
}

func joinNames(names []anvilmodel.VMName) string {
	texts := make([]string, 0, len(names))
	for _, n := range names {
		texts = append(texts, string(n))
	}
	return strings.Join(texts, " ")
}

// recordLoaded records that this node has a copy.
func (r *Roles) recordLoaded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loadedAt.IsZero() {
		r.loadedAt = now
	}
}

// recordSuccess records that the store has answered this node.
func (r *Roles) recordSuccess(now time.Time) {
	members := r.config.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inOutage(now) {
		r.graceUntil = now.Add(OutageGrace)
	}
	r.retryAt = time.Time{}
	r.retryDelay = minRetryDelay
	if len(members) > 0 {
		r.table.RecordSuccess(members[0].Name, now)
	}
	r.update(members, now)
}

// recordLoss records that the store does not answer this node, and delays its next attempt.
func (r *Roles) recordLoss(now time.Time, err error) {
	members := r.config.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.update(members, now)
	if current.Active || current.Permanent {
		r.retryAt = now.Add(r.retryDelay/2 + r.randomDuration(r.retryDelay))
		r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	} else {
		delay := max(minTrialDelay, time.Duration(len(members))*time.Second/nodesPerTrial)
		r.retryAt = now.Add(delay/2 + r.randomDuration(delay))
	}
	r.config.Log.Debug().Str("event", "store-verify-failed").Bool("reader", current.Active).
		Dur("retry-ms", r.retryAt.Sub(now)).Err(err).Send()
	r.table.RecordLoss(current.self, now)
	r.update(members, now)
}

// recordUnreachable records that another node has not answered a poll.
func (r *Roles) recordUnreachable(name anvilmodel.VMName, now time.Time) {
	members := r.config.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordUnreachable(name, now)
	r.update(members, now)
}

// merge records the reads that another node passed on.
func (r *Roles) merge(reads []anvilmirror.StoreRead, now time.Time) {
	if len(reads) == 0 {
		return
	}
	members := r.config.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Merge(reads, now)
	r.update(members, now)
}

// readsForReply returns the reads to pass on to a node that polls this one.
func (r *Roles) readsForReply(now time.Time) []anvilmirror.StoreRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Reads(r.readers, now)
}

// readsForPoll returns the reads to pass on to a node that this one polls: all after a
// change, and otherwise none unless this node is a reader.
func (r *Roles) readsForPoll(current role, now time.Time) []anvilmirror.StoreRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.passOn && !slices.Contains(r.readers, current.self) {
		return nil
	}
	return r.table.Reads(r.readers, now)
}

// markPassedOn records that another node has received the reads. They may have changed since
// they were returned for the poll if the channel is closed.
func (r *Roles) markPassedOn(changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-changed:
	default:
		r.passOn = false
	}
}

// orderSources returns the sources of a copy with those last that did not answer lately.
func (r *Roles) orderSources(sources []anvilmodel.Member, now time.Time) []anvilmodel.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := slices.Clone(sources)
	slices.SortStableFunc(ordered, func(a, b anvilmodel.Member) int {
		aFailed, bFailed := r.table.IsUnreachable(a.Name, now), r.table.IsUnreachable(b.Name, now)
		switch {
		case bFailed && !aFailed:
			return -1
		case aFailed && !bFailed:
			return 1
		default:
			return 0
		}
	})
	return ordered
}

// substitute returns a random member with a copy that is not among the sources.
func (r *Roles) substitute(sources []anvilmodel.Member) (anvilmodel.Member, bool) {
	members := r.config.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []anvilmodel.Member
	for _, m := range members[min(1, len(members)):] {
		isSource := slices.ContainsFunc(sources, func(s anvilmodel.Member) bool { return s.Name == m.Name })
		if m.Status == anvilmodel.MemberAlive && m.PeerAddress.IsValid() && m.ConfigRevision > 0 && !isSource {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return anvilmodel.Member{}, false
	}
	return candidates[r.config.Random.IntN(len(candidates))], true
}

// inOutage reports whether no node has read the store for so long that entries of live
// leaves may have lapsed. The caller must hold mu.
func (r *Roles) inOutage(now time.Time) bool {
	since, ok := r.table.Outage()
	return ok && now.Sub(since) >= minLapseTime
}

// remainingGrace returns for how much longer deletions of entries may be due to an outage
// of the store.
func (r *Roles) remainingGrace(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inOutage(now) {
		return OutageGrace
	}
	return max(r.graceUntil.Sub(now), 0)
}

// beginGrace begins the grace period after a restore of the store, which lacks the entries
// that were written since its copy was made until the leaves report again.
func (r *Roles) beginGrace(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := now.Add(OutageGrace); until.After(r.graceUntil) {
		r.graceUntil = until
	}
}

// extendGrace extends the grace period by the remaining one of another node, which may have
// noticed an outage of the store that this node has not.
func (r *Roles) extendGrace(remaining time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := now.Add(min(remaining, OutageGrace)); remaining > 0 && until.After(r.graceUntil) {
		r.graceUntil = until
	}
}

// requestVerification makes the node read the store out of turn if it is a reader.
func (r *Roles) requestVerification() {
	select {
	case r.verifyNow <- struct{}{}:
	default:
	}
}

// await waits until the role may have changed, but at most for the duration. verify is set if
// a read out of turn was requested.
func (r *Roles) await(ctx context.Context, current role, now time.Time, limit time.Duration) (verify bool) {
	if !current.NextTrialAt.IsZero() && current.NextTrialAt.After(now) {
		limit = min(limit, current.NextTrialAt.Sub(now))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-current.changed:
	case <-timer.C:
	case <-r.verifyNow:
		return true
	}
	return false
}

// randomDuration returns a random duration below the limit. The caller must hold mu.
func (r *Roles) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.config.Random.Int64N(int64(limit)))
}
