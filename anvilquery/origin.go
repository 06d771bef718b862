package anvilquery

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Origin coordinates the queries that one node received from callers, and holds the
// state that they share. It is not safe for concurrent use.
type Origin struct {
	config   Config
	counters Counters
	services map[anvilmodel.ServiceName]*service
	leaves   map[anvilmodel.LeafName]*leaf

	// running holds the running queries by their block of attempt numbers.
	running     map[int]*Query
	lastBlock   int
	freeQueries []*Query

	// epoch is the first time passed to the origin. Other times are stored as the
	// duration since then.
	epoch    time.Time
	epochSet bool
}

// NewOrigin returns an Origin without leaves.
func NewOrigin(config Config) *Origin {
	o := &Origin{
		config:   config.withDefaults(),
		services: make(map[anvilmodel.ServiceName]*service),
		leaves:   make(map[anvilmodel.LeafName]*leaf),
		running:  make(map[int]*Query),
	}
	// A leaf identifies calls by request id and attempt only. A random first block
	// keeps the attempts of two nodes apart that received the same request from a
	// caller.
	o.lastBlock = o.config.Random.IntN(blockCount)
	return o
}

// SetLeaves replaces the configured leaves of all services. State of leaves that
// remain is kept; running queries send no new calls to removed ones.
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

// reuseService returns the existing or a new service of that name, without leaves.
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

// SetBudgets replaces the hedge and retry budgets of Config when the configuration
// changes. Zero allows no hedges or retries beyond the accumulated tokens.
func (o *Origin) SetBudgets(hedge, retry float64) {
	o.config.HedgeBudget = max(0, hedge)
	o.config.RetryBudget = max(0, retry)
	for _, s := range o.services {
		s.hedgeBudget.ratio = o.config.HedgeBudget
		s.retryBudget.ratio = o.config.RetryBudget
	}
}

// SetHedgeQuantile replaces the hedge quantile of Config when the configuration
// changes. It takes effect at the next refresh of the percentiles, within 100 ms of
// use.
func (o *Origin) SetHedgeQuantile(quantile float64) {
	o.config.HedgeQuantile = valueOrDefault(quantile, DefaultHedgeQuantile)
	for _, s := range o.services {
		s.latency.tailPercent = 100 * o.config.HedgeQuantile
	}
}

// SetUsable sets whether new calls may go to a leaf. Leaves are usable by default.
// Use it for leaves that are leaving, taken out of service, or considered broken.
// Names that were not passed to SetLeaves are ignored.
func (o *Origin) SetUsable(name anvilmodel.LeafName, usable bool) {
	l := o.leaves[name]
	if l == nil || l.usable == usable {
		return
	}
	l.usable = usable
	l.service.coverageStale = true
}

// ObserveState applies the state that a leaf reported at its state endpoint.
// Reports older than the known state and reports of unknown leaves are ignored.
func (o *Origin) ObserveState(state anvilmodel.LeafState, now time.Time) {
	l := o.leaves[state.Leaf]
	if l == nil || !l.acceptIncarnation(state.Incarnation) {
		return
	}
	at := o.sinceEpoch(now) - max(0, state.Age)
	l.updateCondition(at, state.Load, state.Cold, state.Draining)
	l.replaceHoldings(at, state.Holdings, o.config.MaxShards)
}

// HandleReply passes a reply to the query whose call it answers and appends the
// resulting actions. If there is no such query, it drops the reply and returns nil.
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

// Counters returns a copy of the counters.
func (o *Origin) Counters() Counters {
	return o.counters
}

// discardLateReply drops a reply to a call that is no longer outstanding. The state
// that the leaf reports in it is still applied.
func (o *Origin) discardLateReply(l *leaf, reply *anvilmodel.CallReply, now time.Duration) {
	o.counters.DroppedLate++
	if l != nil {
		o.applyReplyState(l, reply, now)
	}
}

// applyReplyState applies the state that a leaf reports in a reply.
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

func (o *Origin) timeAt(elapsed time.Duration) time.Time {
	return o.epoch.Add(elapsed)
}
