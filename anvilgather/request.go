package anvilgather

import (
	"slices"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// minTargetReserve and targetReserveShare, a fraction of the target, determine how
	// long before its target a request is answered, in addition to the transit time:
	// callers in other failure domains are up to 3 ms further away than the average
	// caller, and under load a request waits some milliseconds for the processor before
	// it is handled.
	minTargetReserve   = 8 * time.Millisecond
	targetReserveShare = 0.04
	// timeoutReserve is how long before its timeout a request is ended, for the same
	// reasons.
	timeoutReserve = 15 * time.Millisecond
	// minCallTime is the shortest time before the planned answer at which a call can still
	// contribute to it. Later calls get the deadline of the whole request.
	minCallTime = 10 * time.Millisecond
	// busyRetryInterval is the time between attempts to pick a leaf while all leaves are at
	// a limit.
	busyRetryInterval = 15 * time.Millisecond
	// retryAfterBusy is sent when all leaves are at a limit. It is a few service times.
	retryAfterBusy = 100 * time.Millisecond
	// retryAfterUnavailable is sent when no leaf can be called. Within this time, the
	// platform lists a new leaf or an ejected leaf is checked again.
	retryAfterUnavailable = 400 * time.Millisecond
)

// Config holds the inputs of a request.
type Config struct {
	Route *anvilroute.Route
	// Services are the services that the request is sent to: the one chosen for it,
	// or all shards of the route. Each is one part of the request.
	Services  []anvilmodel.ServiceName
	ArrivedAt time.Time
	// Elapsed is the time that had passed at the caller when the request arrived.
	Elapsed time.Duration
	// Transit is the network transit time of request and response together.
	Transit time.Duration
	// Timeout is how long the caller waits from arrival, at most the timeout of the route.
	Timeout time.Duration
	// HedgeDelay is the time after which a call is overdue.
	HedgeDelay time.Duration
	// Overloaded is set while the leaves have more queries than they can answer in time.
	Overloaded bool
	// Trial is set if the request may crash the leaf that runs it: it is sent to a single leaf
	// first, and to others only once that has answered.
	Trial bool
	// Available reports whether a service has leaves that can be called.
	Available func(name anvilmodel.ServiceName, now time.Time) bool
	// Deferral returns the time until the first leaf of a service accepts calls of this node
	// again; 0 if one accepts calls now, or if there is none.
	Deferral func(name anvilmodel.ServiceName, now time.Time) time.Duration
	// Pick chooses the leaf for a call.
	Pick func(c anvilbalance.PickRequest, now time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus)
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	config Config
	parts  []part
	calls  []call
	// required is the number of parts that an answer has to contain.
	required int
	// answered and failed count parts, inFlight counts calls.
	answered int
	failed   int
	inFlight int
	// mayHaveRun is set once a call has run or may have run.
	mayHaveRun bool
	finished   bool
	// inTrial is set until a leaf has answered a request that gets a trial.
	inTrial bool
	// answerAt is when a query that has reached its minimum coverage is answered.
	answerAt time.Time
	// medianAt is when half of the parts were answered; zero before.
	medianAt time.Time
	// deadline is when the request ends in any case.
	deadline       time.Time
	lastPickStatus anvilbalance.PickStatus
}

type part struct {
	tried    []anvilmodel.LeafName
	inFlight int
	answered bool
	failed   bool
	// retryAt is when picking a leaf is tried again because all were busy, for a call of
	// the kind retryKind; zero otherwise.
	retryAt   time.Time
	retryKind anvilbalance.CallKind
	// cause is why the part, or its last call, failed.
	cause Cause
}

type call struct {
	part      int
	leaf      anvilbalance.Leaf
	kind      anvilbalance.CallKind
	overdueAt time.Time
	overdue   bool
	ended     bool
}

// New returns a Request that has not been started.
func New(c Config) *Request {
	r := &Request{
		config:   c,
		parts:    make([]part, len(c.Services)),
		calls:    make([]call, 0, len(c.Services)+len(c.Services)/4),
		required: 1,
		inTrial:  c.Trial,
	}
	if c.Route.FansOut() {
		r.required = c.Route.MinShards()
	}
	reserve := max(minTargetReserve, time.Duration(targetReserveShare*float64(c.Route.TargetLatency)))
	r.answerAt = c.ArrivedAt.Add(c.Route.TargetLatency - c.Elapsed - c.Transit - reserve)
	r.deadline = c.ArrivedAt.Add(c.Timeout - min(timeoutReserve, c.Timeout/10))
	return r
}

// Start sends the first call of each part. It refuses the request if too few services
// are available.
func (r *Request) Start(now time.Time, actions []Action) []Action {
	available := 0
	for i, name := range r.config.Services {
		if r.config.Available(name, now) {
			available++
			continue
		}
		r.failPart(&r.parts[i], r.unavailableCause(name, now))
	}
	if available < r.required {
		r.lastPickStatus = anvilbalance.PickNoLeaf
		return r.finish(FinishRefused, r.firstFailureCause(), now, actions)
	}
	actions = r.sendFirstCalls(now, actions)
	return r.finishIfDue(now, actions)
}

// sendFirstCalls sends the first call of each part that has none. During a trial it sends a
// single call, unless one is in flight or postponed.
func (r *Request) sendFirstCalls(now time.Time, actions []Action) []Action {
	for i := range r.parts {
		p := &r.parts[i]
		if r.inTrial && (r.inFlight > 0 || !p.retryAt.IsZero()) {
			break
		}
		if !p.failed && !p.answered && len(p.tried) == 0 && p.retryAt.IsZero() {
			actions = r.sendCall(i, anvilbalance.CallFirst, now, actions)
		}
	}
	return actions
}

// HandleOutcome processes the outcome of a call.
func (r *Request) HandleOutcome(callIndex int, outcome anvilbalance.Outcome, now time.Time, actions []Action) []Action {
	c := &r.calls[callIndex]
	if c.ended {
		return actions
	}
	c.ended = true
	p := &r.parts[c.part]
	p.inFlight--
	r.inFlight--
	if !outcome.NotRun() {
		r.mayHaveRun = true
	}
	if r.finished || p.answered {
		return actions
	}
	if outcome == anvilbalance.OutcomeGood {
		p.answered = true
		r.answered++
		if r.medianAt.IsZero() && 2*r.answered >= len(r.parts) {
			r.medianAt = now
		}
		if p.failed {
			p.failed = false
			r.failed--
		}
		if r.inTrial {
			r.inTrial = false
			actions = r.sendFirstCalls(now, actions)
		}
		return r.finishIfDue(now, actions)
	}
	p.cause = causeOfOutcome(outcome)
	if r.inTrial && !outcome.NotRun() {
		return r.finish(FinishFailed, p.cause, now, actions)
	}
	if p.inFlight == 0 && !p.failed {
		actions = r.retry(c.part, outcome, now, actions)
	}
	if r.inTrial {
		actions = r.sendFirstCalls(now, actions)
	}
	return r.finishIfDue(now, actions)
}

// retry repeats a failed call at another leaf, or fails the part if that is not allowed.
func (r *Request) retry(partIndex int, outcome anvilbalance.Outcome, now time.Time, actions []Action) []Action {
	p := &r.parts[partIndex]
	if r.config.Route.NonIdempotent && !outcome.NotRun() || len(p.tried) >= r.config.Route.MaxAttempts {
		r.failPart(p, p.cause)
		return actions
	}
	return r.sendCall(partIndex, anvilbalance.CallRetry, now, actions)
}

// sendCall sends a call for a part. If all leaves are busy, Tick tries again after
// busyRetryInterval. If no leaf is available, the part fails unless another call for it is
// in flight.
func (r *Request) sendCall(partIndex int, kind anvilbalance.CallKind, now time.Time, actions []Action) []Action {
	p := &r.parts[partIndex]
	leaf, status := r.config.Pick(anvilbalance.PickRequest{
		Service: r.config.Services[partIndex],
		Route:   r.config.Route.Name,
		Kind:    kind,
		Tried:   p.tried,
	}, now)
	switch status {
	case anvilbalance.PickOK:
	case anvilbalance.PickBusy:
		p.retryAt = now.Add(busyRetryInterval)
		p.retryKind = kind
		return actions
	default:
		if p.inFlight == 0 {
			r.lastPickStatus = status
			if p.cause == CauseNone {
				p.cause = r.unavailableCause(r.config.Services[partIndex], now)
			}
			r.failPart(p, p.cause)
		}
		return actions
	}
	p.retryAt = time.Time{}
	p.tried = append(p.tried, leaf.Name)
	p.inFlight++
	r.inFlight++
	r.calls = append(r.calls, call{
		part:      partIndex,
		leaf:      leaf,
		kind:      kind,
		overdueAt: now.Add(r.config.HedgeDelay),
	})
	return append(actions, Action{
		Kind:      ActionCall,
		CallIndex: len(r.calls) - 1,
		PartIndex: partIndex,
		CallKind:  kind,
		Leaf:      leaf,
		Deadline:  r.callDeadline(now),
	})
}

// callDeadline returns the time until which a leaf may work on a call. Under overload it
// is the time of the planned answer, so that leaves drop queued calls that can no longer
// contribute instead of working on them before others. Otherwise it is the timeout of the
// request: a late part still counts if the minimum coverage has not been reached by then.
func (r *Request) callDeadline(now time.Time) time.Time {
	if r.config.Overloaded && r.config.Route.FansOut() && r.answerAt.Sub(now) >= minCallTime {
		return r.answerAt
	}
	return r.config.ArrivedAt.Add(r.config.Timeout)
}

// Tick handles everything that is due: overdue calls, postponed calls, and the end of the
// request.
func (r *Request) Tick(now time.Time, actions []Action) []Action {
	if r.finished {
		return actions
	}
	for i := range r.calls {
		c := &r.calls[i]
		if c.ended || c.overdue || now.Before(c.overdueAt) {
			continue
		}
		c.overdue = true
		actions = append(actions, Action{
			Kind:      ActionReportOverdue,
			CallIndex: i,
			PartIndex: c.part,
			Leaf:      c.leaf,
		})
		actions = r.hedge(c.part, now, actions)
	}
	for i := range r.parts {
		p := &r.parts[i]
		if p.answered || p.failed || p.retryAt.IsZero() || now.Before(p.retryAt) {
			continue
		}
		p.retryAt = time.Time{}
		if p.retryKind == anvilbalance.CallHedge && p.inFlight == 0 {
			p.retryKind = anvilbalance.CallRetry
		}
		actions = r.sendCall(i, p.retryKind, now, actions)
	}
	if r.inTrial {
		actions = r.sendFirstCalls(now, actions)
	}
	return r.finishIfDue(now, actions)
}

// Shutdown ends the request early because the process is shutting down. A query that has
// reached its minimum coverage is answered with the parts so far.
func (r *Request) Shutdown(now time.Time, actions []Action) []Action {
	switch {
	case r.finished:
		return actions
	case r.config.Route.FansOut() && r.answered >= r.required:
		return r.finish(FinishAnswered, CauseShutdown, now, actions)
	default:
		return r.finish(r.failureKind(), CauseShutdown, now, actions)
	}
}

// hedge sends a second call for a part whose only call in flight is overdue.
func (r *Request) hedge(partIndex int, now time.Time, actions []Action) []Action {
	p := &r.parts[partIndex]
	if r.inTrial || p.answered || p.failed || p.inFlight != 1 || r.config.Route.NonIdempotent || len(p.tried) >= r.config.Route.MaxAttempts {
		return actions
	}
	return r.sendCall(partIndex, anvilbalance.CallHedge, now, actions)
}

// unavailableCause returns why no leaf of a service is available.
func (r *Request) unavailableCause(name anvilmodel.ServiceName, now time.Time) Cause {
	if r.config.Deferral(name, now) > 0 {
		return CauseDeferred
	}
	return CauseNoLeaf
}

func (r *Request) failPart(p *part, cause Cause) {
	p.failed = true
	p.cause = cause
	r.failed++
}

// finishIfDue ends the request if one of the conditions in the package documentation
// holds.
func (r *Request) finishIfDue(now time.Time, actions []Action) []Action {
	total := len(r.parts)
	switch {
	case r.finished:
		return actions
	case r.answered == total:
		return r.finish(FinishAnswered, CauseNone, now, actions)
	case r.answered+r.failed == total && r.answered >= r.required:
		return r.finish(FinishAnswered, r.firstFailureCause(), now, actions)
	case total-r.failed < r.required:
		return r.finish(r.failureKind(), r.firstFailureCause(), now, actions)
	case !now.Before(r.deadline):
		return r.finish(r.failureKind(), CauseTimeout, now, actions)
	case r.config.Route.FansOut() && r.answered >= r.required && !now.Before(r.answerAt):
		return r.finish(FinishAnswered, CauseTargetReached, now, actions)
	}
	return actions
}

// failureKind returns FinishRefused if certainly no call has run or will run, and
// FinishFailed otherwise.
func (r *Request) failureKind() FinishKind {
	if r.mayHaveRun || r.inFlight > 0 {
		return FinishFailed
	}
	return FinishRefused
}

func (r *Request) firstFailureCause() Cause {
	for i := range r.parts {
		if r.parts[i].failed {
			return r.parts[i].cause
		}
	}
	return CauseNone
}

// retryAfter returns the time after which a refused caller should retry.
func (r *Request) retryAfter(cause Cause, now time.Time) time.Duration {
	delay := retryAfterBusy
	if r.lastPickStatus == anvilbalance.PickNoLeaf && (cause == CauseNoLeaf || cause == CauseDeferred) {
		delay = retryAfterUnavailable
	}
	if wait := r.deferralDelay(delay, now); wait > 0 {
		return wait
	}
	return delay
}

// deferralDelay returns the time until enough of the failed parts have leaves that accept
// calls again to reach the minimum coverage. Parts without a known deferral count as
// available after the fallback time. It returns 0 if no failed part is deferred or if the
// other parts are enough.
func (r *Request) deferralDelay(fallback time.Duration, now time.Time) time.Duration {
	shortfall := r.required - (len(r.parts) - r.failed)
	if shortfall <= 0 {
		return 0
	}
	deferred := false
	waits := make([]time.Duration, 0, r.failed)
	for i := range r.parts {
		if !r.parts[i].failed {
			continue
		}
		wait := r.config.Deferral(r.config.Services[i], now)
		deferred = deferred || wait > 0
		if wait == 0 {
			wait = fallback
		}
		waits = append(waits, wait)
	}
	if !deferred {
		return 0
	}
	slices.Sort(waits)
	return waits[shortfall-1]
}

func (r *Request) finish(kind FinishKind, cause Cause, now time.Time, actions []Action) []Action {
	r.finished = true
	delay := time.Duration(0)
	if kind == FinishRefused {
		delay = r.retryAfter(cause, now)
	}
	return append(actions, Action{
		Kind:       ActionFinish,
		Finish:     kind,
		Cause:      cause,
		RetryAfter: delay,
	})
}

// NextTick returns the time by which Tick has to be called next.
func (r *Request) NextTick() time.Time {
	next := r.deadline
	if r.config.Route.FansOut() && r.answered >= r.required && r.answerAt.Before(next) {
		next = r.answerAt
	}
	for i := range r.calls {
		if c := &r.calls[i]; !c.ended && !c.overdue && c.overdueAt.Before(next) && !r.parts[c.part].answered {
			next = c.overdueAt
		}
	}
	for i := range r.parts {
		p := &r.parts[i]
		if !p.answered && !p.failed && !p.retryAt.IsZero() && p.retryAt.Before(next) {
			next = p.retryAt
		}
	}
	return next
}

// MedianLatency returns the time from arrival until half of the parts were answered. If
// known is false, fewer are answered and it returns the time from arrival until now.
func (r *Request) MedianLatency(now time.Time) (latency time.Duration, known bool) {
	if r.medianAt.IsZero() {
		return now.Sub(r.config.ArrivedAt), false
	}
	return r.medianAt.Sub(r.config.ArrivedAt), true
}

// InFlight returns the number of calls without an outcome yet.
func (r *Request) InFlight() int {
	return r.inFlight
}

// ExtraCalls returns the number of hedges and retries that were sent.
func (r *Request) ExtraCalls() (hedges, retries int) {
	for i := range r.calls {
		switch r.calls[i].kind {
		case anvilbalance.CallHedge:
			hedges++
		case anvilbalance.CallRetry:
			retries++
		case anvilbalance.CallFirst:
		}
	}
	return hedges, retries
}

// MissingParts returns the parts that were not answered, with their causes.
func (r *Request) MissingParts() []MissingPart {
	var missing []MissingPart
	for i := range r.parts {
		p := &r.parts[i]
		if p.answered {
			continue
		}
		cause := p.cause
		if cause == CauseNone {
			cause = CauseTargetReached
		}
		missing = append(missing, MissingPart{
			Service: r.config.Services[i],
			Leaves:  p.tried,
			Cause:   cause,
		})
	}
	return missing
}
