package anvilbalance

import (
	"math"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// smoothingFactor is the weight of a new sample in the moving averages of a leaf,
	// which cover roughly the last ten calls.
	smoothingFactor = 0.15
	// decayTime is the time constant with which the averages of a leaf that is not
	// called return to those of an unknown leaf, so that a leaf that was slow is tried
	// again.
	decayTime = 5 * time.Second
	// minLatencyRatio and maxLatencyRatio limit the relative latency of a leaf.
	minLatencyRatio = 0.25
	maxLatencyRatio = 25.0
	// ejectThreshold is the number of consecutive unanswered calls after which a leaf
	// gets no more calls until a health check succeeds.
	ejectThreshold = 3
	// minBackoff and maxBackoff limit the time between two health checks of an ejected
	// leaf.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// avoidDuration is how long a leaf is avoided after a call to it ended without an
	// answer: the usual length of a pause.
	avoidDuration = 300 * time.Millisecond
	// overduePenalty is the cost factor of a leaf that has overdue calls, is avoided
	// after an unanswered call or is expected to pause.
	overduePenalty = 8.0
	// failurePenalty is the weight of the failure rate in the cost of a leaf: the cost
	// factor is 1 + failurePenalty*failureRate.
	failurePenalty = 6.0
	// crossDomainPenalty is the cost factor of a leaf in another failure domain. It
	// stands for the traffic between domains; the additional time is part of the
	// latency. It outweighs the usual difference between two leaves (1.6), but not a
	// queue or a slow leaf.
	crossDomainPenalty = 2.0
	// coldPenalty is the cost factor of a cold leaf.
	coldPenalty = 1.5
	// costJitter spreads calls among leaves of the same cost.
	costJitter = 0.1
)

// leafState holds a leaf and the statistics of this node's calls to it.
type leafState struct {
	leaf Leaf
	// latencyRatio is the latency of the leaf relative to the median of the route.
	latencyRatio float64
	// decayedAt is when the averages were last moved towards those of an unknown leaf.
	decayedAt   time.Time
	failureRate float64
	// otherLoad is the load, in requests, that the leaf reports in addition to this
	// node's own calls.
	otherLoad    float64
	inFlight     int
	overdueCalls int
	// unanswered is the number of consecutive calls that got no answer.
	unanswered int
	avoidUntil time.Time
	// coldSince is when the leaf turned cold, as far as is known, and coldUntil the end of
	// its warm-up.
	coldSince time.Time
	coldUntil time.Time
	// unverifiedUntil is the time until which the leaf may have restarted since it last
	// answered, and suspectedAt the time of the latest evidence.
	unverifiedUntil time.Time
	suspectedAt     time.Time
	ejected         bool
	nextCheckAt     time.Time
	backoff         time.Duration
	stalls          stallHistory
	// leaving is set if the leaf announced its shutdown.
	leaving bool
	// deferredUntil is when the leaf accepts calls again.
	deferredUntil time.Time
	limit         announcedLimit
	// calls counts the requests to the leaf since the last LimitReport or change of limit.
	calls  CallCounts
	bucket tokenBucket
	// graceEnd is the time until which a leaf without an entry may still be used; zero
	// if it has an entry.
	graceEnd time.Time
}

// SetLeaf adds a leaf or updates its entry.
func (b *Balancer) SetLeaf(l Leaf, now time.Time) {
	state := b.leaves[l.Name]
	if state != nil && !state.leaf.sameProcess(l) {
		b.deleteLeaf(state, now)
		state = nil
	}
	if state == nil {
		if state = b.takeRemoved(l, now); state == nil {
			state = &leafState{
				leaf:         l,
				latencyRatio: 1,
				decayedAt:    now,
			}
		}
		b.leaves[l.Name] = state
		s := b.service(l.Service)
		s.leaves = append(s.leaves, state)
	}
	delete(b.removedEntries, l.Name)
	state.leaf = l
	state.leaving = b.hasDeparted(l)
	state.graceEnd = time.Time{}
	b.extendCold(state, l.ColdFor, now)
}

// RemoveLeaf removes a leaf whose entry was deleted, after the grace period.
func (b *Balancer) RemoveLeaf(name anvilmodel.LeafName, now time.Time, grace time.Duration) {
	state := b.leaves[name]
	switch {
	case state == nil:
	case grace > 0:
		state.graceEnd = now.Add(grace)
	default:
		b.deleteLeaf(state, now)
	}
}

func (b *Balancer) deleteLeaf(l *leafState, now time.Time) {
	delete(b.leaves, l.leaf.Name)
	b.keepRemoved(l, now)
	b.keepEntry(l.leaf, now)
	s := b.service(l.leaf.Service)
	s.leaves = slices.DeleteFunc(s.leaves, func(other *leafState) bool { return other == l })
}

// UsableLeaves returns all leaves that may be called, for opening connections in
// advance.
func (b *Balancer) UsableLeaves(now time.Time) []Leaf {
	var leaves []Leaf
	for _, l := range b.leaves {
		if l.usable(b, now) {
			leaves = append(leaves, l.leaf)
		}
	}
	return leaves
}

// LeafService returns the service of a leaf, whether it is usable or not; ok is false
// if the leaf is unknown.
func (b *Balancer) LeafService(leaf anvilmodel.LeafName) (service anvilmodel.ServiceName, ok bool) {
	state := b.leaves[leaf]
	if state == nil {
		return "", false
	}
	return state.leaf.Service, true
}

func (l *leafState) usable(b *Balancer, now time.Time) bool {
	return !l.leaf.Draining && !l.leaving && !b.isExcluded(l.leaf.FailureDomain, now) && (l.graceEnd.IsZero() || now.Before(l.graceEnd))
}

// ServiceAvailable reports whether the service has a leaf that can be called, possibly
// after a short wait because of its connection limit.
func (b *Balancer) ServiceAvailable(name anvilmodel.ServiceName, now time.Time) bool {
	return slices.ContainsFunc(b.service(name).leaves, func(l *leafState) bool {
		return l.callable(b, now) && b.attemptCall(l, now)
	})
}

// ServiceReachable reports whether the service has a leaf that can be called now or when its
// rate limit allows it.
func (b *Balancer) ServiceReachable(name anvilmodel.ServiceName, now time.Time) bool {
	return slices.ContainsFunc(b.service(name).leaves, func(l *leafState) bool { return l.callable(b, now) })
}

// callable reports whether the leaf can be called, apart from its rate limits.
func (l *leafState) callable(b *Balancer, now time.Time) bool {
	return !l.ejected && l.usable(b, now) && !l.deferred(now)
}

// PickStatus is the outcome of a Pick.
type PickStatus int

// Outcomes of a Pick.
const (
	// PickOK means that a leaf was selected.
	PickOK PickStatus = iota
	// PickNoLeaf means that the service has no leaf that can be called.
	PickNoLeaf
	// PickBusy means that every leaf that can be called is at its connection limit, which
	// is a short-lived condition.
	PickBusy
	// PickRateLimited means that every leaf that can be called is at its rate limit.
	PickRateLimited
	// PickOverBudget means that the retry budget is exhausted.
	PickOverBudget
)

// String returns the name used in logs.
func (s PickStatus) String() string {
	switch s {
	case PickNoLeaf:
		return "no-leaf"
	case PickBusy:
		return "leafs-busy"
	case PickRateLimited:
		return "rate-limit"
	case PickOverBudget:
		return "retry-budget"
	default:
		return "picked"
	}
}

// PickRequest describes a call for which a leaf is needed.
type PickRequest struct {
	Service anvilmodel.ServiceName
	Route   anvilroute.Name
	Kind    CallKind
	// Tried are the leaves that the request was already sent to.
	Tried []anvilmodel.LeafName
}

// Pick selects the leaf for a call and counts the call. Finish must be called for
// every call that was picked.
func (b *Balancer) Pick(r PickRequest, now time.Time) (Leaf, PickStatus) {
	s := b.service(r.Service)
	if !b.withinBudget(s, r.Kind, now) {
		return Leaf{}, PickOverBudget
	}
	best, status := b.cheapestLeaf(s, r, now)
	if best == nil {
		return Leaf{}, status
	}
	b.takeTokens(best, now)
	best.inFlight++
	best.calls.add(r.Kind)
	if r.Kind != CallFirst {
		s.budget.extraCalls[s.budget.advance(now, b.config.RetryWindow)]++
	}
	return best.leaf, PickOK
}

// cheapestLeaf returns the leaf with the lowest cost among those that can be called. If
// there is none, it returns the status of the Pick.
func (b *Balancer) cheapestLeaf(s *serviceState, r PickRequest, now time.Time) (*leafState, PickStatus) {
	connectionLimit := b.ConnectionLimit(r.Service)
	callTime := time.Duration(0)
	if latency := b.routeLatencies[r.Route]; latency.reliable() {
		callTime = latency.median
	}
	status := PickNoLeaf
	var best *leafState
	var bestCost float64
	for _, l := range s.leaves {
		if !l.callable(b, now) || slices.Contains(r.Tried, l.leaf.Name) {
			continue
		}
		if r.Kind == CallHedge && (l.queueFull() || !b.rateLimitAllowsHedge(l, now)) {
			continue
		}
		if !b.attemptCall(l, now) {
			if status == PickNoLeaf {
				status = PickRateLimited
			}
			continue
		}
		if l.inFlight >= connectionLimit {
			status = PickBusy
			continue
		}
		if cost := b.cost(l, callTime, now); best == nil || cost < bestCost {
			best = l
			bestCost = cost
		}
	}
	return best, status
}

// cost returns the cost of calling a leaf. callTime is the time that a call of the
// route takes.
func (b *Balancer) cost(l *leafState, callTime time.Duration, now time.Time) float64 {
	l.decay(now)
	load := (float64(l.inFlight) + l.otherLoad) / float64(max(l.leaf.Slots, 1))
	cost := l.latencyRatio * (1 + load*load) * (1 + failurePenalty*l.failureRate) * (1 + costJitter*b.config.Random.Float64())
	if l.overdueCalls > 0 || now.Before(l.avoidUntil) || b.pauses.pauseExpected(&l.stalls, callTime, now) {
		cost *= overduePenalty
	}
	if l.cold(now) {
		cost *= coldPenalty
	}
	if l.leaf.FailureDomain != b.config.FailureDomain {
		cost *= crossDomainPenalty
	}
	return cost
}

// queueFull reports whether at least as many calls wait at the leaf as it runs
// concurrently, so that one more would take about twice as long.
func (l *leafState) queueFull() bool {
	return float64(l.inFlight)+l.otherLoad >= float64(2*max(l.leaf.Slots, 1))
}

// decay moves the averages towards those of an unknown leaf as time passes.
func (l *leafState) decay(now time.Time) {
	elapsed := now.Sub(l.decayedAt)
	if elapsed < 100*time.Millisecond {
		return
	}
	l.decayedAt = now
	weight := math.Exp(-float64(elapsed) / float64(decayTime))
	l.latencyRatio = 1 + (l.latencyRatio-1)*weight
	l.failureRate *= weight
	l.otherLoad *= weight
}

// MarkOverdue records that a call has taken longer than the hedge delay. The leaf is
// avoided until the call has ended.
func (b *Balancer) MarkOverdue(l Leaf) {
	if state := b.process(l); state != nil {
		state.overdueCalls++
	}
}

// Finish records the result of a call that was picked, and returns the changes to the
// state of its leaf.
func (b *Balancer) Finish(r CallResult, now time.Time) LeafChanges {
	state := b.process(r.Leaf)
	if state == nil {
		return LeafChanges{}
	}
	wasEjected := state.ejected
	state.inFlight = max(state.inFlight-1, 0)
	if r.Overdue {
		state.overdueCalls = max(state.overdueCalls-1, 0)
	}
	if r.LoadKnown {
		otherLoad := max(0, float64(r.Load-state.inFlight-1))
		state.otherLoad += smoothingFactor * (otherLoad - state.otherLoad)
	}
	b.extendCold(state, r.ColdFor, now)
	changes := LeafChanges{
		Deferral: b.DeferCalls(r.Leaf, r.Deferral, now),
	}
	if r.Leaving {
		changes.NewDeparture = b.RecordDeparture(anvilmodel.Departure{
			Leaf:      r.Leaf.Name,
			StartedAt: r.Leaf.StartedAt,
		}, now)
	}
	if r.RateLimitKnown {
		changes.RateLimitChanged = b.RecordRateLimit(r.Leaf, r.RateLimit, now)
	}
	state.decay(now)
	switch r.Outcome {
	case OutcomeGood:
		b.recordStall(state, r, now)
		b.recordLatency(state, r, true)
		state.failureRate -= smoothingFactor * state.failureRate
		state.unanswered = 0
		state.backoff /= 2
	case OutcomeFailed:
		state.failureRate += smoothingFactor * (1 - state.failureRate)
		state.unanswered = 0
	case OutcomeShed:
		state.failureRate += smoothingFactor * (1 - state.failureRate)
		state.avoidUntil = now.Add(avoidDuration / 4)
		state.unanswered = 0
	case OutcomeMisdirected:
		// The leaf no longer runs at its address although its entry still exists. The
		// next entry under its name describes another process.
		state.ejected = true
		state.nextCheckAt = now.Add(maxBackoff)
		state.backoff = maxBackoff
	case OutcomeLost, OutcomeUnsent, OutcomeTimeout:
		state.failureRate += smoothingFactor * (1 - state.failureRate)
		state.avoidUntil = now.Add(avoidDuration)
		state.unanswered++
		b.ejectIfUnresponsive(state, now)
	case OutcomeAbandoned:
		if r.Overdue {
			b.recordLatency(state, r, false)
			state.avoidUntil = now.Add(avoidDuration)
			state.unanswered++
			b.ejectIfUnresponsive(state, now)
		}
	case OutcomeWithdrawn:
	}
	changes.Ejected = state.ejected && !wasEjected
	return changes
}

// recordStall reports a stalled call to the pause model, unless the leaf is slow in
// general.
func (b *Balancer) recordStall(l *leafState, r CallResult, now time.Time) {
	latency := b.routeLatencies[r.Route]
	if !latency.reliable() || l.latencyRatio > maxSteadyRatio {
		return
	}
	if r.Elapsed >= minStall && r.Elapsed >= stallFactor*latency.median {
		b.pauses.recordStall(&l.stalls, r.Elapsed, now)
	}
}

// recordLatency updates the latencies of the route and the leaf. The time of a call
// that was abandoned is a lower bound of its latency, so it only counts for the leaf if
// it is above the leaf's average.
func (b *Balancer) recordLatency(l *leafState, r CallResult, answered bool) {
	latency := b.routeLatency(r.Route)
	latency.add(r.Elapsed)
	if !latency.reliable() || latency.median <= 0 {
		return
	}
	ratio := min(max(float64(r.Elapsed)/float64(latency.median), minLatencyRatio), maxLatencyRatio)
	if answered || ratio > l.latencyRatio {
		l.latencyRatio += smoothingFactor * (ratio - l.latencyRatio)
	}
}

// ejectIfUnresponsive ejects a leaf that left several consecutive calls unanswered.
func (b *Balancer) ejectIfUnresponsive(l *leafState, now time.Time) {
	if l.unanswered < ejectThreshold || l.ejected {
		return
	}
	l.ejected = true
	l.backoff = min(max(l.backoff*2, minBackoff), maxBackoff)
	l.nextCheckAt = now.Add(l.backoff)
}

// DueHealthChecks returns the ejected leaves, and those that may have restarted, whose health
// has to be checked now, and removes leaves whose grace period is over. FinishHealthCheck
// must be called for every leaf that is returned.
func (b *Balancer) DueHealthChecks(now time.Time) []Leaf {
	var due []Leaf
	for _, l := range b.leaves {
		if !l.graceEnd.IsZero() && !now.Before(l.graceEnd) {
			b.deleteLeaf(l, now)
			continue
		}
		unverified := l.unverified(now)
		if !l.ejected && !unverified || !l.usable(b, now) || l.deferred(now) || now.Before(l.nextCheckAt) {
			continue
		}
		// Until its check, a leaf that may have restarted gets calls as if it were cold, so
		// its check must not wait for the same limit.
		if l.ejected && !b.attemptCall(l, now) {
			continue
		}
		if l.ejected {
			b.takeTokens(l, now)
		}
		l.nextCheckAt = now.Add(maxBackoff)
		l.calls.HealthChecks++
		due = append(due, l.leaf)
	}
	return due
}

// HealthResult is the result of a health check.
type HealthResult struct {
	Leaf Leaf
	// Answered is set if the leaf answered, and Healthy if it did and is healthy.
	Answered bool
	Healthy  bool
	// SentAt is when the check was sent.
	SentAt time.Time
	// ColdFor is how long the leaf stated that it stays cold; 0 if it did not.
	ColdFor time.Duration
}

// FinishHealthCheck records the outcome of a health check, and reports whether an ejected
// leaf is used again. It is ejected at once if its next call is not answered either.
func (b *Balancer) FinishHealthCheck(r HealthResult, now time.Time) bool {
	state := b.process(r.Leaf)
	if state == nil {
		return false
	}
	b.extendCold(state, r.ColdFor, now)
	if r.Answered && !state.suspectedAt.After(r.SentAt) {
		state.unverifiedUntil = time.Time{}
	}
	switch {
	case r.Healthy && state.ejected:
		state.ejected = false
		state.unanswered = ejectThreshold - 1
		return true
	case state.ejected || state.unverified(now):
		state.backoff = min(max(state.backoff*2, minBackoff), maxBackoff)
		state.nextCheckAt = now.Add(state.backoff)
	}
	return false
}

// ServiceSettings returns the settings of a service.
func (b *Balancer) ServiceSettings(name anvilmodel.ServiceName) anvilroute.Service {
	return b.service(name).settings
}

// LeafCounts holds numbers of leaves for metrics.
type LeafCounts struct {
	Known   int
	Ejected int
	// RateLimited is the number of leaves that announce a rate limit.
	RateLimited int
}

// LeafCounts returns the numbers of known leaves and of those in certain states.
func (b *Balancer) LeafCounts() LeafCounts {
	var counts LeafCounts
	for _, l := range b.leaves {
		counts.Known++
		if l.ejected {
			counts.Ejected++
		}
		if l.limit.Limited {
			counts.RateLimited++
		}
	}
	return counts
}
