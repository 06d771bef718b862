package anvilbalance

import (
	"math"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// smoothing is the weight of a new sample in a leaf's averages: the last ten
	// calls or so count.
	smoothing = 0.15
	// forgetTime is how fast a leaf that is not called becomes average again, so
	// that a leaf which was slow gets another chance.
	forgetTime = 5 * time.Second
	// lowestRatio and highestRatio bound the relative latency of a leaf.
	lowestRatio  = 0.25
	highestRatio = 25.0
	// ejectFailures is the number of unanswered calls in a row after which a leaf
	// gets no more calls before a health check has succeeded.
	ejectFailures = 3
	// firstBackoff and longestBackoff bound the time between two health checks of
	// an ejected leaf.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
	// suspicionTime is how long a leaf is avoided after a call without an answer
	// was given up: the usual length of a pause.
	suspicionTime = 300 * time.Millisecond
	// overduePenalty is the factor on the cost of a leaf that has overdue calls or
	// is under suspicion.
	overduePenalty = 8.0
	// failurePenalty is the factor on the cost of a leaf that always fails.
	failurePenalty = 6.0
	// domainPenalty is the factor on the cost of a leaf in another failure domain,
	// for the bytes between domains. The time is part of the latency. It outweighs the
	// usual difference between two leafs (1.6) and not a queue or a slow leaf.
	domainPenalty = 2.0
	// coldPenalty is the factor on the cost of a cold leaf.
	coldPenalty = 1.5
	// jitter spreads the choices between leafs of the same cost.
	jitter = 0.1
)

// leafState is a leaf and what this node's calls have shown of it.
type leafState struct {
	leaf Leaf
	// ratio is the leaf's latency relative to the median of the route.
	ratio   float64
	ratioAt time.Time
	// failure is the share of recent calls that failed.
	failure float64
	// others is the load that the leaf reports beyond this node's own calls, in
	// requests.
	others   float64
	inFlight int
	overdue  int
	// unanswered counts the calls in a row that got no answer.
	unanswered     int
	suspectedUntil time.Time
	coldUntil      time.Time
	coldSecond     int64
	coldCalls      int
	ejected        bool
	checkAt        time.Time
	backoff        time.Duration
	stalls         stalls
	// leaving says that the leaf has said that it leaves.
	leaving bool
	// deferredUntil is the end of the time in which the leaf wants no calls.
	deferredUntil time.Time
	// removedAt is set when the leaf's entry is gone and the leaf may be used a
	// little longer.
	removedAt time.Time
}

// SetLeaf adds a leaf or changes its entry.
func (b *Balancer) SetLeaf(l Leaf, now time.Time) {
	held := b.leafs[l.ID]
	if held != nil && (held.leaf.Service != l.Service || held.leaf.Address != l.Address || !held.leaf.Started.Equal(l.Started)) {
		b.drop(held)
		held = nil
	}
	if held == nil {
		held = &leafState{
			ratio:   1,
			ratioAt: now,
		}
		b.leafs[l.ID] = held
		s := b.service(l.Service)
		s.leafs = append(s.leafs, held)
	}
	held.leaf = l
	held.leaving = b.departed(l)
	held.removedAt = time.Time{}
	held.coldUntil = now.Add(l.ColdFor)
}

// RemoveLeaf takes a leaf whose entry is gone out of use after the grace.
func (b *Balancer) RemoveLeaf(id anvilmodel.LeafName, now time.Time, grace time.Duration) {
	held := b.leafs[id]
	switch {
	case held == nil:
	case grace > 0:
		held.removedAt = now.Add(grace)
	default:
		b.drop(held)
	}
}

func (b *Balancer) drop(l *leafState) {
	delete(b.leafs, l.leaf.ID)
	s := b.service(l.leaf.Service)
	s.leafs = slices.DeleteFunc(s.leafs, func(x *leafState) bool { return x == l })
}

// Leafs returns all leafs that may be called, for opening connections early.
func (b *Balancer) Leafs(now time.Time) []Leaf {
	var leafs []Leaf
	for _, l := range b.leafs {
		if l.usable(b, now) {
			leafs = append(leafs, l.leaf)
		}
	}
	return leafs
}

// ServiceOf returns the service of a leaf, whether usable or not; ok is false if
// the leaf is not known.
func (b *Balancer) ServiceOf(id anvilmodel.LeafName) (name anvilmodel.ServiceName, ok bool) {
	held := b.leafs[id]
	if held == nil {
		return "", false
	}
	return held.leaf.Service, true
}

func (l *leafState) usable(b *Balancer, now time.Time) bool {
	return !l.leaf.Draining && !l.leaving && !b.out[l.leaf.FailureDomain] && (l.removedAt.IsZero() || now.Before(l.removedAt))
}

// Available reports whether the service has a leaf that can be called, now or
// within a moment.
func (b *Balancer) Available(name anvilmodel.ServiceName, now time.Time) bool {
	return slices.ContainsFunc(b.service(name).leafs, func(l *leafState) bool {
		return !l.ejected && l.usable(b, now) && !l.deferred(now)
	})
}

// Verdict is the outcome of a Pick.
type Verdict int

// Verdicts.
const (
	// VerdictPicked means that a leaf was chosen.
	VerdictPicked Verdict = iota
	// VerdictNone means that the service has no leaf that can be called.
	VerdictNone
	// VerdictBusy means that every leaf is at a bound that passes within a moment.
	VerdictBusy
	// VerdictBudget means that the retry budget is spent.
	VerdictBudget
)

// String returns the name used in logs.
func (v Verdict) String() string {
	switch v {
	case VerdictNone:
		return "no-leaf"
	case VerdictBusy:
		return "leafs-busy"
	case VerdictBudget:
		return "retry-budget"
	default:
		return "picked"
	}
}

// Choice asks for a leaf.
type Choice struct {
	Service anvilmodel.ServiceName
	Route   anvilroute.Name
	Kind    CallKind
	// Tried are leafs that the request was sent to already.
	Tried []anvilmodel.LeafName
}

// Pick chooses the leaf of a call and counts the call. Each picked call must be
// ended by Finish.
func (b *Balancer) Pick(c Choice, now time.Time) (Leaf, Verdict) {
	s := b.service(c.Service)
	if !b.allowed(s, c.Kind, now) {
		return Leaf{}, VerdictBudget
	}
	connections := b.Connections(c.Service)
	verdict := VerdictNone
	lead := time.Duration(0)
	if route := b.routes[c.Route]; route.known() {
		lead = route.median
	}
	var best *leafState
	var bestCost float64
	for _, l := range s.leafs {
		if l.ejected || !l.usable(b, now) || l.deferred(now) || slices.Contains(c.Tried, l.leaf.ID) {
			continue
		}
		if c.Kind == CallHedge && l.full() {
			continue
		}
		if l.inFlight >= connections || !b.coldRoom(s, l, now) {
			verdict = VerdictBusy
			continue
		}
		if cost := b.cost(l, lead, now); best == nil || cost < bestCost {
			best = l
			bestCost = cost
		}
	}
	if best == nil {
		return Leaf{}, verdict
	}
	best.inFlight++
	if now.Before(best.coldUntil) {
		best.coldCalls++
	}
	if c.Kind != CallFirst {
		s.budget.extras[s.budget.advance(now, b.config.RetryWindow)]++
	}
	return best.leaf, VerdictPicked
}

// coldRoom reports whether a cold leaf may get one more call within this second.
// The bound holds for any second, so that only half of it is used in each
// second of the clock.
func (b *Balancer) coldRoom(s *serviceState, l *leafState, now time.Time) bool {
	if s.settings.MaxColdRate <= 0 || !now.Before(l.coldUntil) {
		return true
	}
	if second := now.Unix(); l.coldSecond != second {
		l.coldSecond = second
		l.coldCalls = 0
	}
	bound := s.settings.MaxColdRate*b.config.ColdFactor + b.config.ColdSlack
	return float64(l.coldCalls+1) <= max(1, bound/2/float64(b.nodes))
}

func (b *Balancer) cost(l *leafState, lead time.Duration, now time.Time) float64 {
	l.relax(now)
	load := (float64(l.inFlight) + l.others) / float64(max(l.leaf.Slots, 1))
	cost := l.ratio * (1 + load*load) * (1 + failurePenalty*l.failure) * (1 + jitter*b.config.Random.Float64())
	if l.overdue > 0 || now.Before(l.suspectedUntil) || b.pauses.due(&l.stalls, lead, now) {
		cost *= overduePenalty
	}
	if now.Before(l.coldUntil) {
		cost *= coldPenalty
	}
	if l.leaf.FailureDomain != b.config.FailureDomain {
		cost *= domainPenalty
	}
	return cost
}

// full reports whether as many calls wait at the leaf as it runs at a time: one more
// would take twice as long.
func (l *leafState) full() bool {
	return float64(l.inFlight)+l.others >= float64(2*max(l.leaf.Slots, 1))
}

// relax moves the averages back to those of an unknown leaf with time.
func (l *leafState) relax(now time.Time) {
	passed := now.Sub(l.ratioAt)
	if passed < 100*time.Millisecond {
		return
	}
	l.ratioAt = now
	keep := math.Exp(-float64(passed) / float64(forgetTime))
	l.ratio = 1 + (l.ratio-1)*keep
	l.failure *= keep
	l.others *= keep
}

// Overdue notes that a call has taken longer than the hedge delay. The leaf is
// avoided until the call has ended.
func (b *Balancer) Overdue(l Leaf) {
	if held := b.leafs[l.ID]; held != nil && held.leaf.Started.Equal(l.Started) {
		held.overdue++
	}
}

// Finish ends a picked call and returns what it has changed.
func (b *Balancer) Finish(r Result, now time.Time) Effect {
	held := b.leafs[r.Leaf.ID]
	if held == nil || !held.leaf.Started.Equal(r.Leaf.Started) || held.leaf.Address != r.Leaf.Address {
		return Effect{}
	}
	before := held.ejected
	held.inFlight = max(held.inFlight-1, 0)
	if r.Overdue {
		held.overdue = max(held.overdue-1, 0)
	}
	if r.LoadKnown {
		others := max(0, float64(r.Load-held.inFlight-1))
		held.others += smoothing * (others - held.others)
	}
	if r.ColdFor > 0 {
		held.coldUntil = now.Add(r.ColdFor)
	}
	effect := Effect{
		Deferral: b.Defer(r.Leaf, r.Deferral, now),
	}
	if r.Leaving {
		effect.Departed = b.Depart(anvilmodel.Departure{
			Leaf:      r.Leaf.ID,
			StartedAt: r.Leaf.Started,
		}, now)
	}
	held.relax(now)
	switch r.Outcome {
	case OutcomeGood:
		b.noteStall(held, r, now)
		b.learn(held, r, true)
		held.failure -= smoothing * held.failure
		held.unanswered = 0
		held.backoff /= 2
	case OutcomeFailed:
		held.failure += smoothing * (1 - held.failure)
		held.unanswered = 0
	case OutcomeShed:
		held.failure += smoothing * (1 - held.failure)
		held.suspectedUntil = now.Add(suspicionTime / 4)
		held.unanswered = 0
	case OutcomeMisdirected:
		// The entry outlives the leaf; the next entry under its id is another leaf.
		held.ejected = true
		held.checkAt = now.Add(longestBackoff)
		held.backoff = longestBackoff
	case OutcomeLost, OutcomeUnsent, OutcomeTimeout:
		held.failure += smoothing * (1 - held.failure)
		held.suspectedUntil = now.Add(suspicionTime)
		held.unanswered++
		b.judge(held, now)
	case OutcomeAbandoned:
		if r.Overdue {
			b.learn(held, r, false)
			held.suspectedUntil = now.Add(suspicionTime)
			held.unanswered++
			b.judge(held, now)
		}
	case OutcomeWithdrawn:
	}
	effect.Ejected = held.ejected && !before
	return effect
}

// noteStall tells the pause model of a call that took long at a steady leaf.
func (b *Balancer) noteStall(l *leafState, r Result, now time.Time) {
	route := b.routes[r.Route]
	if !route.known() || l.ratio > steadyRatio {
		return
	}
	if r.Elapsed >= shortestStall && r.Elapsed >= stallFactor*route.median {
		b.pauses.note(&l.stalls, r.Elapsed, now)
	}
}

// learn takes the latency of a call over. For a call that was given up it is a
// lower bound, which only counts if it is above the average.
func (b *Balancer) learn(l *leafState, r Result, answered bool) {
	route := b.latencyOf(r.Route)
	route.add(r.Elapsed)
	if !route.known() || route.median <= 0 {
		return
	}
	ratio := min(max(float64(r.Elapsed)/float64(route.median), lowestRatio), highestRatio)
	if answered || ratio > l.ratio {
		l.ratio += smoothing * (ratio - l.ratio)
	}
}

// judge ejects a leaf that has not answered several times in a row.
func (b *Balancer) judge(l *leafState, now time.Time) {
	if l.unanswered < ejectFailures || l.ejected {
		return
	}
	l.ejected = true
	l.backoff = min(max(l.backoff*2, firstBackoff), longestBackoff)
	l.checkAt = now.Add(l.backoff)
}

// DueChecks returns the ejected leafs whose health has to be checked now, and
// drops the leafs whose time after their removal is over. Each must be ended by
// Checked.
func (b *Balancer) DueChecks(now time.Time) []Leaf {
	var due []Leaf
	for _, l := range b.leafs {
		if !l.removedAt.IsZero() && !now.Before(l.removedAt) {
			b.drop(l)
			continue
		}
		if l.ejected && l.usable(b, now) && !l.deferred(now) && !now.Before(l.checkAt) {
			l.checkAt = now.Add(longestBackoff)
			due = append(due, l.leaf)
		}
	}
	return due
}

// Checked reports the outcome of a health check. A healthy leaf is used again; it
// is ejected at once if its next call is not answered either.
func (b *Balancer) Checked(l Leaf, healthy bool, now time.Time) {
	held := b.leafs[l.ID]
	if held == nil || !held.ejected || !held.leaf.Started.Equal(l.Started) {
		return
	}
	if healthy {
		held.ejected = false
		held.unanswered = ejectFailures - 1
		return
	}
	held.backoff = min(max(held.backoff*2, firstBackoff), longestBackoff)
	held.checkAt = now.Add(held.backoff)
}

// Settings returns the settings of the leaf's service.
func (b *Balancer) Settings(name anvilmodel.ServiceName) anvilroute.Service {
	return b.service(name).settings
}

// Counts returns the number of leafs known and of those ejected, for metrics.
func (b *Balancer) Counts() (known, ejected int) {
	for _, l := range b.leafs {
		known++
		if l.ejected {
			ejected++
		}
	}
	return known, ejected
}
