package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Origin is what all queries of one node share. It is not safe for concurrent use.
type Origin struct {
	config   Config
	counters Counters
	services map[anvilmodel.ServiceName]*service
	leaves   map[anvilmodel.LeafName]*leaf

	// running holds the running queries by the block of their attempt numbers.
	running     map[int]*Query
	lastBlock   int
	freeQueries []*Query

	// epoch is the first instant that the origin was handed. Instants are kept
	// as the time since then.
	epoch    time.Time
	epochSet bool
}

// NewOrigin returns an Origin without leafs.
func NewOrigin(config Config) *Origin {
	o := &Origin{
		config:   config.withDefaults(),
		services: make(map[anvilmodel.ServiceName]*service),
		leaves:   make(map[anvilmodel.LeafName]*leaf),
		running:  make(map[int]*Query),
	}
	// A leaf tells calls apart by request id and attempt only. Starting at random
	// keeps apart the attempts of two nodes that a caller sent one request to.
	o.lastBlock = o.config.Random.IntN(blockCount)
	return o
}

// SetLeaves replaces the configured leafs of all services. What is known of leafs
// that remain is kept; running queries send no new calls to removed ones.
func (o *Origin) SetLeaves(leaves []anvilmodel.Leaf) {
	services := make(map[anvilmodel.ServiceName]*service)
	kept := make(map[anvilmodel.LeafName]*leaf, len(leaves))
	for _, l := range leaves {
		if kept[l.Name] != nil {
			continue
		}
		s := services[l.Service]
		if s == nil {
			s = o.reuseService(l.Service)
			services[l.Service] = s
		}
		k := o.reuseLeaf(l.Name, s)
		kept[l.Name] = k
		s.leaves = append(s.leaves, k)
	}
	for name, l := range o.leaves {
		l.removed = kept[name] != l
		l.service.coverageStale = true
	}
	o.services = services
	o.leaves = kept
}

// reuseService returns the service of that name without leafs.
func (o *Origin) reuseService(name anvilmodel.ServiceName) *service {
	s := o.services[name]
	if s == nil {
		s = newService(name, &o.config)
	}
	s.leaves = nil
	s.mapsStale = true
	return s
}

func (o *Origin) reuseLeaf(name anvilmodel.LeafName, s *service) *leaf {
	if l := o.leaves[name]; l != nil && l.service == s {
		return l
	}
	return &leaf{
		name:        name,
		service:     s,
		usable:      true,
		holdingsAt:  neverReported,
		conditionAt: neverReported,
		droppedAt:   neverReported,
	}
}

// SetBudgets replaces the hedge and retry budgets of Config, for a new revision.
// Zero allows no hedges or retries beyond those saved up.
func (o *Origin) SetBudgets(hedge, retry float64) {
	o.config.HedgeBudget = max(0, hedge)
	o.config.RetryBudget = max(0, retry)
	for _, s := range o.services {
		s.hedgeBudget.ratio = o.config.HedgeBudget
		s.retryBudget.ratio = o.config.RetryBudget
	}
}

// SetHedgeQuantile replaces the hedge quantile of Config, for a new revision. It
// takes effect when the percentiles are refreshed next, within 100 ms of use.
func (o *Origin) SetHedgeQuantile(quantile float64) {
	o.config.HedgeQuantile = valueOrDefault(quantile, DefaultHedgeQuantile)
	for _, s := range o.services {
		s.latency.tailPercent = 100 * o.config.HedgeQuantile
	}
}

// SetUsable says whether new calls may go to a leaf. Leafs are usable until told
// otherwise. Use it for leafs that are leaving, taken out, or judged broken.
// Names that SetLeaves did not give are ignored.
func (o *Origin) SetUsable(name anvilmodel.LeafName, usable bool) {
	l := o.leaves[name]
	if l == nil || l.usable == usable {
		return
	}
	l.usable = usable
	l.service.coverageStale = true
}

// ObserveState learns what a leaf states of itself at its state endpoint.
// Statements older than what is known already, and of unknown leafs, are ignored.
func (o *Origin) ObserveState(state anvilmodel.LeafState, now time.Time) {
	l := o.leaves[state.Leaf]
	if l == nil || !l.acceptIncarnation(state.Incarnation) {
		return
	}
	at := o.sinceEpoch(now) - max(0, state.Age)
	l.updateCondition(at, state.Load, state.Cold, state.Draining)
	l.replaceHoldings(at, state.Holdings, o.config.MaxShards)
}

// HandleReply hands a reply to the query whose call it answers and appends the
// actions that follow. It returns nil and drops the reply if there is none.
func (o *Origin) HandleReply(reply anvilmodel.CallReply, now time.Time, actions []Action) (*Query, []Action) {
	q := o.running[reply.ID.Attempt>>blockBits]
	switch {
	case reply.ID.Origin != o.config.Incarnation:
		o.counters.DroppedMismatched++
		return nil, actions
	case q == nil:
		o.discardLateReply(o.leaves[reply.Leaf], &reply, o.sinceEpoch(now))
		return nil, actions
	case reply.ID.Request != q.request.ID:
		o.counters.DroppedMismatched++
		return nil, actions
	default:
		return q, q.HandleReply(reply, now, actions)
	}
}

// Counters returns the counters.
func (o *Origin) Counters() Counters {
	return o.counters
}

// discardLateReply drops a reply to a call that is no longer outstanding. What the leaf
// states of itself is still learned.
func (o *Origin) discardLateReply(l *leaf, reply *anvilmodel.CallReply, now time.Duration) {
	o.counters.DroppedLate++
	if l != nil {
		o.applyReplyState(l, reply, now)
	}
}

// applyReplyState takes over what a leaf states of itself in a reply.
func (o *Origin) applyReplyState(l *leaf, reply *anvilmodel.CallReply, now time.Duration) {
	if reply.Incarnation == 0 || !l.acceptIncarnation(reply.Incarnation) {
		return
	}
	l.updateCondition(now, reply.Load, reply.Cold, reply.Draining)
	if reply.Result == anvilmodel.CallOK {
		l.addHolding(reply.Holding, o.config.MaxShards)
	}
}

func (o *Origin) sinceEpoch(now time.Time) time.Duration {
	if !o.epochSet {
		o.epochSet = true
		o.epoch = now
	}
	return now.Sub(o.epoch)
}

func (o *Origin) timeAt(instant time.Duration) time.Time {
	return o.epoch.Add(instant)
}
