package anvilgather

import (
	"slices"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// shortestReserve and reserveShare say how long before its target a request is
	// answered beside the time of the way: callers in other failure domains are up to
	// 3 ms further away than the average one, and under load a request waits some
	// milliseconds for the processor before it is seen.
	shortestReserve = 8 * time.Millisecond
	reserveShare    = 0.04
	// limitReserve is the same for the end of the request's time.
	limitReserve = 15 * time.Millisecond
	// leastCallTime is the time before the answer below which a call is not meant to be
	// in time for it.
	leastCallTime = 10 * time.Millisecond
	// busyDelay is the time after which a leaf is looked for again when all were at
	// a bound.
	busyDelay = 15 * time.Millisecond
	// retryAfterBusy is stated when the leafs were at a bound: a few service times.
	retryAfterBusy = 100 * time.Millisecond
	// retryAfterNone is stated when no leaf can be called: the time in which the
	// platform lists a new one or an ejected one is checked again.
	retryAfterNone = 400 * time.Millisecond
)

// Config holds what a request is decided with.
type Config struct {
	Route *anvilroute.Route
	// Services are the services that the request is sent to: the one chosen for it,
	// or the shards of the route.
	Services []anvilmodel.ServiceName
	Arrived  time.Time
	// Elapsed is how much of the target had passed at the caller on arrival.
	Elapsed time.Duration
	// Transit is the time of the way here and back.
	Transit time.Duration
	// Timeout is the time that the caller will wait, at most the route's.
	Timeout time.Duration
	// HedgeDelay is the time after which a call is overdue.
	HedgeDelay time.Duration
	// Overloaded says that the leafs have more queries than they can answer in time.
	Overloaded bool
	// Available reports whether a service has leafs that can be called.
	Available func(name anvilmodel.ServiceName, now time.Time) bool
	// Deferral returns how long all leafs of a service want no calls; 0 if one may be
	// called earlier.
	Deferral func(name anvilmodel.ServiceName, now time.Time) time.Duration
	// Pick chooses the leaf of a call.
	Pick func(c anvilbalance.PickRequest, now time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus)
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	config   Config
	parts    []part
	calls    []call
	need     int
	in       int
	failed   int
	open     int
	mayRun   bool
	done     bool
	answerAt time.Time
	// halfAt is when half of the parts were in.
	halfAt  time.Time
	limit   time.Time
	verdict anvilbalance.PickStatus
}

type part struct {
	tried   []anvilmodel.LeafName
	open    int
	in      bool
	failed  bool
	retryAt time.Time
	kind    anvilbalance.CallKind
	// cause is why the part has failed.
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

// New returns a request that is not started.
func New(c Config) *Request {
	r := &Request{
		config: c,
		parts:  make([]part, len(c.Services)),
		calls:  make([]call, 0, len(c.Services)+len(c.Services)/4),
		need:   1,
	}
	if c.Route.FansOut() {
		r.need = c.Route.MinShards()
	}
	reserve := max(shortestReserve, time.Duration(reserveShare*float64(c.Route.TargetLatency)))
	r.answerAt = c.Arrived.Add(c.Route.TargetLatency - c.Elapsed - c.Transit - reserve)
	r.limit = c.Arrived.Add(c.Timeout - min(limitReserve, c.Timeout/10))
	return r
}

// Start sends the first call of each part, or refuses the request.
func (r *Request) Start(now time.Time, actions []Action) []Action {
	reachable := 0
	for i, name := range r.config.Services {
		if r.config.Available(name, now) {
			reachable++
			continue
		}
		r.fail(&r.parts[i], r.noLeaf(name, now))
	}
	if reachable < r.need {
		r.verdict = anvilbalance.PickNoLeaf
		return r.finish(FinishRefused, r.missingCause(), now, actions)
	}
	for i := range r.parts {
		if !r.parts[i].failed {
			actions = r.send(i, anvilbalance.CallFirst, now, actions)
		}
	}
	return r.settle(now, actions)
}

// Handle takes the outcome of a call over.
func (r *Request) Handle(index int, o anvilbalance.Outcome, now time.Time, actions []Action) []Action {
	c := &r.calls[index]
	if c.ended {
		return actions
	}
	c.ended = true
	p := &r.parts[c.part]
	p.open--
	r.open--
	if !o.NotRun() {
		r.mayRun = true
	}
	if r.done || p.in {
		return actions
	}
	if o == anvilbalance.OutcomeGood {
		p.in = true
		r.in++
		if r.halfAt.IsZero() && 2*r.in >= len(r.parts) {
			r.halfAt = now
		}
		if p.failed {
			p.failed = false
			r.failed--
		}
		return r.settle(now, actions)
	}
	p.cause = causeOf(o)
	if p.open == 0 && !p.failed {
		actions = r.repeat(c.part, o, now, actions)
	}
	return r.settle(now, actions)
}

// repeat sends a failed call to another leaf, if it may be.
func (r *Request) repeat(index int, o anvilbalance.Outcome, now time.Time, actions []Action) []Action {
	p := &r.parts[index]
	if r.config.Route.NonIdempotent && !o.NotRun() || len(p.tried) >= r.config.Route.MaxAttempts {
		r.fail(p, p.cause)
		return actions
	}
	return r.send(index, anvilbalance.CallRetry, now, actions)
}

// send makes a call for a part. A part for which no leaf is free is tried again
// after a moment, one for which there is none fails.
func (r *Request) send(index int, kind anvilbalance.CallKind, now time.Time, actions []Action) []Action {
	p := &r.parts[index]
	leaf, verdict := r.config.Pick(anvilbalance.PickRequest{
		Service: r.config.Services[index],
		Route:   r.config.Route.Name,
		Kind:    kind,
		Tried:   p.tried,
	}, now)
	switch verdict {
	case anvilbalance.PickOK:
	case anvilbalance.PickBusy:
		p.retryAt = now.Add(busyDelay)
		p.kind = kind
		return actions
	default:
		if p.open == 0 {
			r.verdict = verdict
			if p.cause == CauseNone {
				p.cause = r.noLeaf(r.config.Services[index], now)
			}
			r.fail(p, p.cause)
		}
		return actions
	}
	p.retryAt = time.Time{}
	p.tried = append(p.tried, leaf.ID)
	p.open++
	r.open++
	r.calls = append(r.calls, call{
		part:      index,
		leaf:      leaf,
		kind:      kind,
		overdueAt: now.Add(r.config.HedgeDelay),
	})
	return append(actions, Action{
		Kind:     ActionCall,
		Call:     len(r.calls) - 1,
		Part:     index,
		CallKind: kind,
		Leaf:     leaf,
		Deadline: r.callDeadline(now),
	})
}

// callDeadline returns until when a leaf may work on a call. An overloaded leaf that knows
// when the query is answered drops the call from its queue then, in place of working on
// it before the next one. Otherwise a part that is late still counts, if the floor has
// not been reached by then.
func (r *Request) callDeadline(now time.Time) time.Time {
	if r.config.Overloaded && r.config.Route.FansOut() && r.answerAt.Sub(now) >= leastCallTime {
		return r.answerAt
	}
	return r.config.Arrived.Add(r.config.Timeout)
}

// Tick does what is due at now.
func (r *Request) Tick(now time.Time, actions []Action) []Action {
	if r.done {
		return actions
	}
	for i := range r.calls {
		c := &r.calls[i]
		if c.ended || c.overdue || now.Before(c.overdueAt) {
			continue
		}
		c.overdue = true
		actions = append(actions, Action{
			Kind: ActionOverdue,
			Call: i,
			Part: c.part,
			Leaf: c.leaf,
		})
		actions = r.hedge(c.part, now, actions)
	}
	for i := range r.parts {
		p := &r.parts[i]
		if p.in || p.failed || p.retryAt.IsZero() || now.Before(p.retryAt) {
			continue
		}
		p.retryAt = time.Time{}
		if p.kind == anvilbalance.CallHedge && p.open == 0 {
			p.kind = anvilbalance.CallRetry
		}
		actions = r.send(i, p.kind, now, actions)
	}
	return r.settle(now, actions)
}

// End ends the request with what is in, because the process ends.
func (r *Request) End(now time.Time, actions []Action) []Action {
	switch {
	case r.done:
		return actions
	case r.config.Route.FansOut() && r.in >= r.need:
		return r.finish(FinishAnswered, CauseLeaving, now, actions)
	default:
		return r.finish(r.failure(), CauseLeaving, now, actions)
	}
}

// hedge sends a second call for a part whose first one is overdue.
func (r *Request) hedge(index int, now time.Time, actions []Action) []Action {
	p := &r.parts[index]
	if p.in || p.failed || p.open != 1 || r.config.Route.NonIdempotent || len(p.tried) >= r.config.Route.MaxAttempts {
		return actions
	}
	return r.send(index, anvilbalance.CallHedge, now, actions)
}

// noLeaf returns why no leaf of a service can be called.
func (r *Request) noLeaf(name anvilmodel.ServiceName, now time.Time) Cause {
	if r.config.Deferral(name, now) > 0 {
		return CauseDeferred
	}
	return CauseNoLeaf
}

func (r *Request) fail(p *part, cause Cause) {
	p.failed = true
	p.cause = cause
	r.failed++
}

// settle ends the request if its time has come.
func (r *Request) settle(now time.Time, actions []Action) []Action {
	total := len(r.parts)
	switch {
	case r.done:
		return actions
	case r.in == total:
		return r.finish(FinishAnswered, CauseNone, now, actions)
	case r.in+r.failed == total && r.in >= r.need:
		return r.finish(FinishAnswered, r.missingCause(), now, actions)
	case total-r.failed < r.need:
		return r.finish(r.failure(), r.missingCause(), now, actions)
	case !now.Before(r.limit):
		return r.finish(r.failure(), CauseTimeout, now, actions)
	case r.config.Route.FansOut() && r.in >= r.need && !now.Before(r.answerAt):
		return r.finish(FinishAnswered, CauseTarget, now, actions)
	}
	return actions
}

// failure is FinishRefused if certainly nothing has run or will run.
func (r *Request) failure() FinishKind {
	if r.mayRun || r.open > 0 {
		return FinishFailed
	}
	return FinishRefused
}

func (r *Request) missingCause() Cause {
	for i := range r.parts {
		if r.parts[i].failed {
			return r.parts[i].cause
		}
	}
	return CauseNone
}

// retryAfter returns when a refused caller should come back.
func (r *Request) retryAfter(cause Cause, now time.Time) time.Duration {
	after := retryAfterBusy
	if r.verdict == anvilbalance.PickNoLeaf && (cause == CauseNoLeaf || cause == CauseDeferred) {
		after = retryAfterNone
	}
	return max(r.deferral(after, now), after)
}

// deferral returns when enough of the failed parts have leafs that take calls again;
// those of which nothing is known count as back after the time unknown. It returns 0
// if no part waits for that.
func (r *Request) deferral(unknown time.Duration, now time.Time) time.Duration {
	short := r.need - (len(r.parts) - r.failed)
	if short <= 0 {
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
		waits = append(waits, max(wait, unknown))
	}
	if !deferred {
		return 0
	}
	slices.Sort(waits)
	return waits[short-1]
}

func (r *Request) finish(kind FinishKind, cause Cause, now time.Time, actions []Action) []Action {
	r.done = true
	after := time.Duration(0)
	if kind == FinishRefused {
		after = r.retryAfter(cause, now)
	}
	return append(actions, Action{
		Kind:       ActionFinish,
		Finish:     kind,
		Cause:      cause,
		RetryAfter: after,
	})
}

// Next returns when Tick has to be called at the latest.
func (r *Request) Next() time.Time {
	next := r.limit
	if r.config.Route.FansOut() && r.in >= r.need && r.answerAt.Before(next) {
		next = r.answerAt
	}
	for i := range r.calls {
		if c := &r.calls[i]; !c.ended && !c.overdue && c.overdueAt.Before(next) && !r.parts[c.part].in {
			next = c.overdueAt
		}
	}
	for i := range r.parts {
		p := &r.parts[i]
		if !p.in && !p.failed && !p.retryAt.IsZero() && p.retryAt.Before(next) {
			next = p.retryAt
		}
	}
	return next
}

// Half returns how long it took until half of the parts were in, or how long the
// request has taken so far if they are not.
func (r *Request) Half(now time.Time) (half time.Duration, in bool) {
	if r.halfAt.IsZero() {
		return now.Sub(r.config.Arrived), false
	}
	return r.halfAt.Sub(r.config.Arrived), true
}

// Open returns the number of calls that have not ended.
func (r *Request) Open() int {
	return r.open
}

// Counts returns the number of calls by kind.
func (r *Request) Counts() (hedges, retries int) {
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

// Missing returns the parts that are not in, with the causes.
func (r *Request) Missing() []MissingPart {
	var missing []MissingPart
	for i := range r.parts {
		p := &r.parts[i]
		if p.in {
			continue
		}
		cause := p.cause
		if cause == CauseNone {
			cause = CauseTarget
		}
		missing = append(missing, MissingPart{
			Service: r.config.Services[i],
			Leafs:   p.tried,
			Cause:   cause,
		})
	}
	return missing
}
