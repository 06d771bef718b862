package anvilnode

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
)

// backupPollFactor slows the polls of candidates that do not dispatch.
const backupPollFactor = 4

// leafEvent is a call of the dispatcher. Events run one after the other in the
// runner's goroutine.
type leafEvent func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action

// leafRunner owns the dispatcher of one leaf and carries out its actions in
// order.
type leafRunner struct {
	node    *Node
	leaf    anvilmodel.Leaf
	rank    int
	poll    time.Duration
	stop    context.CancelFunc
	stopped context.Context
	wake    chan struct{}

	mu     sync.Mutex
	events []leafEvent
	status anvilleaf.Status
	judged anvilmodel.LeafState
	known  bool

	// The fields below belong to the runner's goroutine.
	seen       bool
	dispatcher *anvilleaf.Dispatcher
	replies    map[anvilmodel.CallID]func(anvilmodel.CallReply)
}

func (n *Node) newLeafRunner(leaf anvilmodel.Leaf, rank int, c anvilleaf.Config) *leafRunner {
	stopped, stop := context.WithCancel(n.background)
	r := &leafRunner{
		node:    n,
		leaf:    leaf,
		rank:    rank,
		poll:    n.config.PollInterval,
		stop:    stop,
		stopped: stopped,
		wake:    make(chan struct{}, 1),
		replies: make(map[anvilmodel.CallID]func(anvilmodel.CallReply)),
	}
	if rank > 0 {
		r.poll *= backupPollFactor
	}
	c.Audit = r.audit
	r.dispatcher = anvilleaf.New(c, time.Now())
	n.goRun(r.run)
	n.goRun(r.runPolls)
	return r
}

// post hands an event to the runner.
func (r *leafRunner) post(e leafEvent) {
	r.mu.Lock()
	r.events = append(r.events, e)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// submit hands over a call; reply is called once.
func (r *leafRunner) submit(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	posted := time.Now()
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		if _, ok := r.replies[call.ID]; ok {
			return actions
		}
		r.replies[call.ID] = reply
		call.Timeout -= now.Sub(posted)
		return d.Submit(call, now, actions)
	})
}

func (r *leafRunner) cancel(id anvilmodel.CallID) {
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.Cancel(id, now, actions)
	})
}

func (r *leafRunner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events []leafEvent
	var actions []anvilleaf.Action
	for {
		select {
		case <-r.stopped.Done():
			r.refuseAll()
			return
		case <-r.wake:
		case <-timer.C:
		}
		r.mu.Lock()
		events, r.events = r.events, events[:0]
		r.mu.Unlock()
		now := time.Now()
		actions = actions[:0]
		for i, e := range events {
			actions = e(r.dispatcher, now, actions)
			events[i] = nil
		}
		actions = r.dispatcher.Tick(now, actions)
		for _, a := range actions {
			r.carryOut(a)
		}
		r.publish(now)
		timer.Reset(max(time.Until(r.dispatcher.Next()), 0))
	}
}

// publish makes the dispatcher's state available to other goroutines.
func (r *leafRunner) publish(now time.Time) {
	status := r.dispatcher.Status(now)
	judged, known := r.dispatcher.LeafState(now)
	r.mu.Lock()
	r.status = status
	r.judged = judged
	r.known = known
	r.mu.Unlock()
}

func (r *leafRunner) currentStatus() anvilleaf.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// refuseAll answers the calls that are left when the node stops. Whether they
// ran is not known.
func (r *leafRunner) refuseAll() {
	for id, reply := range r.replies {
		reply(anvilmodel.CallReply{
			ID:     id,
			Leaf:   r.leaf.Name,
			Result: anvilmodel.CallBroken,
		})
	}
}

func (r *leafRunner) carryOut(a anvilleaf.Action) {
	switch a.Kind {
	case anvilleaf.ActionStart:
		r.node.goRun(func() { r.call(a) })
	case anvilleaf.ActionReply:
		reply := r.replies[a.ID]
		delete(r.replies, a.ID)
		if reply != nil {
			reply(a.Reply)
		}
	case anvilleaf.ActionCancel:
		r.node.goRun(func() {
			// The leaf answers the call itself; a lost cancellation only costs it work.
			_ = r.node.upstream.Cancel(r.stopped, r.leaf.Address, a.ID)
		})
	case anvilleaf.ActionOpen:
		r.node.goRun(func() { r.open(a.Connection) })
	case anvilleaf.ActionClose:
		r.node.upstream.Close(r.leaf.Address, a.Connection)
		r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
			return d.Closed(a.Connection, now, actions)
		})
	}
}

func (r *leafRunner) call(a anvilleaf.Action) {
	outcome := r.node.upstream.Call(r.node.background, r.leaf.Address, a.Connection, a.Call)
	kind := "primary"
	switch {
	case a.Call.Hedge:
		kind = "hedge"
	case a.Call.Retry:
		kind = "retry"
	}
	r.node.metrics.Add(anvilmetric.LeafCalls, 1, string(a.Call.Service), kind, outcome.Reply.Result.String())
	r.node.metrics.Observe(anvilmetric.LeafCallDuration, outcome.Elapsed, string(a.Call.Service))
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.Done(anvilleaf.Outcome{
			Reply:      outcome.Reply,
			Connection: a.Connection,
			Lost:       outcome.Lost,
			Written:    outcome.BytesWritten,
		}, now, actions)
	})
}

// open connects a connection and reads the leaf's incarnation over it, so that
// no call meets a process that restarted unnoticed.
func (r *leafRunner) open(connection int) {
	state, err := r.node.upstream.Open(r.stopped, r.leaf.Address, connection)
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		if err != nil {
			return d.Closed(connection, now, actions)
		}
		return d.Opened(connection, state.Incarnation, now, actions)
	})
}

// runPolls reads the leaf's state endpoint.
func (r *leafRunner) runPolls() {
	for r.stopped.Err() == nil {
		ctx, cancel := context.WithTimeout(r.stopped, peerTimeout)
		state, err := r.node.upstream.State(ctx, r.leaf.Address)
		cancel()
		if err == nil {
			state.Leaf = r.leaf.Name
			r.observe(state)
		}
		timer := time.NewTimer(r.poll)
		select {
		case <-timer.C:
		case <-r.stopped.Done():
		}
		timer.Stop()
	}
}

func (r *leafRunner) observe(state anvilmodel.LeafState) {
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.ObserveState(state, now, actions)
	})
	r.mu.Lock()
	if r.known && r.judged.Incarnation == state.Incarnation {
		state.Judged = true
		state.Cold = state.Cold || r.judged.Cold
	}
	r.mu.Unlock()
	r.node.observeLeaf(state)
}

// adopt takes another candidate's judgement of the leaf.
func (r *leafRunner) adopt(state anvilmodel.LeafState) {
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.AdoptJudgement(state, now, actions)
	})
}

var leafEventKinds = map[anvilleaf.EventKind]anvilaudit.Kind{
	anvilleaf.EventCold:             anvilaudit.KindLeafCold,
	anvilleaf.EventWarm:             anvilaudit.KindLeafWarm,
	anvilleaf.EventNewIncarnation:   anvilaudit.KindLeafReplaced,
	anvilleaf.EventBreakerOpen:      anvilaudit.KindLeafBreakerOpen,
	anvilleaf.EventBreakerClosed:    anvilaudit.KindLeafBreakerClose,
	anvilleaf.EventSilentConnection: anvilaudit.KindConnectionSilent,
	anvilleaf.EventDraining:         anvilaudit.KindLeafDraining,
	anvilleaf.EventPause:            anvilaudit.KindProcessPaused,
}

func (r *leafRunner) audit(e anvilleaf.Event) {
	if e.Kind == anvilleaf.EventNewIncarnation && !r.seen {
		// The first incarnation that this dispatcher sees replaces nothing.
		r.seen = true
		return
	}
	r.node.record(anvilaudit.Event{
		Kind:    leafEventKinds[e.Kind],
		Subject: string(e.Leaf),
		Cause:   e.Cause,
	})
}
