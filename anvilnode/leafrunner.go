package anvilnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilupstream"
)

const (
	// standbyPollFactor multiplies the poll interval at candidates other than the first
	// one of a leaf.
	standbyPollFactor = 4
	// fullRateMembers is the fleet size up to which leaves are polled at the full rate.
	// Above it, the interval grows in proportion. Replies carry the same state for
	// leaves in use.
	fullRateMembers = 64
)

// dispatcherEvent calls the dispatcher and appends the actions to be executed. Events
// run one at a time in the runner's goroutine.
type dispatcherEvent func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action

// leafRunner owns the dispatcher of one leaf and executes its actions in order.
type leafRunner struct {
	node *Node
	leaf anvilmodel.Leaf
	// upstream holds connections of this runner only, because another runner for a leaf
	// at the same address uses the same connection numbers.
	upstream *anvilupstream.Client
	cancel   context.CancelFunc
	ctx      context.Context
	wake     chan struct{}
	// unanswered counts the submitted calls without a reply.
	unanswered    atomic.Int64
	candidateRank atomic.Int32

	mu     sync.Mutex
	events []dispatcherEvent
	status anvilleaf.Status
	closed bool

	// The fields below are used only by the runner's goroutine.
	incarnationSeen bool
	dispatcher      *anvilleaf.Dispatcher
	pendingCalls    map[anvilmodel.CallID]pendingCall
	openAttempts    map[int]*openAttempt
}

// openAttempt is a connection that is being opened. If the dispatcher abandons the
// attempt, the attempt stays registered until it has ended. Otherwise its result could
// be taken for that of the next attempt with the same connection number.
type openAttempt struct {
	cancel    context.CancelFunc
	abandoned bool
}

// pendingCall is a submitted call without a reply.
type pendingCall struct {
	reply   func(anvilmodel.CallReply)
	started bool
}

func (n *Node) newLeafRunner(leaf anvilmodel.Leaf, c anvilleaf.Config) *leafRunner {
	ctx, cancel := context.WithCancel(n.ctx)
	r := &leafRunner{
		node: n,
		leaf: leaf,
		upstream: anvilupstream.New(anvilupstream.Config{
			Dial: n.config.DialUpstream,
		}),
		cancel:       cancel,
		ctx:          ctx,
		wake:         make(chan struct{}, 1),
		pendingCalls: make(map[anvilmodel.CallID]pendingCall),
		openAttempts: make(map[int]*openAttempt),
	}
	c.Audit = r.recordEvent
	r.dispatcher = anvilleaf.New(c, time.Now())
	n.startTask(r.run)
	n.startTask(r.runPolls)
	return r
}

// post queues an event for the runner's goroutine. It returns false if the runner has
// stopped.
func (r *leafRunner) post(e dispatcherEvent) bool {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return false
	}
	r.events = append(r.events, e)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return true
}

// submit submits a call to the dispatcher. reply is called once, possibly before submit
// returns.
func (r *leafRunner) submit(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	submitted := time.Now()
	r.unanswered.Add(1)
	posted := r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		if _, ok := r.pendingCalls[call.ID]; ok {
			// The call was already submitted. Its reply goes to the first submission.
			r.unanswered.Add(-1)
			return actions
		}
		r.pendingCalls[call.ID] = pendingCall{
			reply: reply,
		}
		call.Timeout -= now.Sub(submitted)
		return d.Submit(call, now, actions)
	})
	if !posted {
		r.unanswered.Add(-1)
		reply(notRunReply(call))
	}
}

func (r *leafRunner) cancelCall(id anvilmodel.CallID) {
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.Cancel(id, now, actions)
	})
}

func (r *leafRunner) run() {
	defer r.upstream.Shutdown()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events []dispatcherEvent
	var actions []anvilleaf.Action
	for {
		select {
		case <-r.ctx.Done():
			r.finishCalls()
			return
		case <-r.wake:
		case <-timer.C:
		}
		r.mu.Lock()
		events, r.events = r.events, events[:0]
		r.mu.Unlock()
		now := time.Now()
		actions = r.handle(events, now, actions[:0])
		actions = r.dispatcher.Tick(now, actions)
		for i := range actions {
			r.execute(&actions[i])
		}
		r.publishStatus(now)
		timer.Reset(max(time.Until(r.dispatcher.NextTick()), 0))
	}
}

func (r *leafRunner) handle(events []dispatcherEvent, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
	for i, e := range events {
		actions = e(r.dispatcher, now, actions)
		events[i] = nil
	}
	return actions
}

// publishStatus makes the dispatcher's status available to other goroutines.
func (r *leafRunner) publishStatus(now time.Time) {
	status := r.dispatcher.Status(now)
	r.mu.Lock()
	r.status = status
	r.mu.Unlock()
}

func (r *leafRunner) currentStatus() anvilleaf.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// finishCalls replies to the remaining calls when the runner stops. Calls that were not
// started have certainly not run.
func (r *leafRunner) finishCalls() {
	r.mu.Lock()
	events := r.events
	r.events = nil
	r.closed = true
	r.mu.Unlock()
	for _, a := range r.handle(events, time.Now(), nil) {
		if a.Kind == anvilleaf.ActionReply {
			r.sendReply(a.ID, a.Reply)
		}
	}
	for id, c := range r.pendingCalls {
		reply := anvilmodel.CallReply{
			ID:       id,
			Leaf:     r.leaf.Name,
			Result:   anvilmodel.CallBroken,
			RunState: anvilmodel.RunStateNotRun,
		}
		if c.started {
			reply.RunState = anvilmodel.RunStateUnknown
		}
		r.sendReply(id, reply)
	}
}

func (r *leafRunner) sendReply(id anvilmodel.CallID, reply anvilmodel.CallReply) {
	c, ok := r.pendingCalls[id]
	if !ok {
		return
	}
	delete(r.pendingCalls, id)
	c.reply(reply)
	// The counter is decremented after the reply is delivered. Otherwise a node that
	// shuts down could stop in between.
	r.unanswered.Add(-1)
}

func (r *leafRunner) execute(a *anvilleaf.Action) {
	switch a.Kind {
	case anvilleaf.ActionStart:
		if c, ok := r.pendingCalls[a.ID]; ok {
			c.started = true
			r.pendingCalls[a.ID] = c
		}
		connection, call := a.Connection, a.Call
		r.node.startTask(func() { r.sendCall(connection, call) })
	case anvilleaf.ActionReply:
		r.sendReply(a.ID, a.Reply)
	case anvilleaf.ActionCancel:
		id := a.ID
		r.node.startTask(func() {
			// The leaf replies to the call itself. A lost cancellation only costs the
			// leaf unneeded work.
			_ = r.upstream.Cancel(r.ctx, r.leaf.Address, id)
		})
	case anvilleaf.ActionOpen:
		r.open(a.Connection)
	case anvilleaf.ActionClose:
		r.close(a.Connection)
	}
}

// open opens a connection and reads the leaf's incarnation over it, so that no call is
// sent to a restarted process that is still taken for the previous one.
func (r *leafRunner) open(connection int) {
	ctx, cancel := context.WithCancel(r.ctx)
	attempt := &openAttempt{
		cancel: cancel,
	}
	r.openAttempts[connection] = attempt
	r.node.startTask(func() {
		defer cancel()
		state, err := r.upstream.OpenConnection(ctx, r.leaf.Address, connection)
		r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
			delete(r.openAttempts, connection)
			if attempt.abandoned {
				r.upstream.CloseConnection(r.leaf.Address, connection)
			}
			if attempt.abandoned || err != nil {
				return d.ConnectionClosed(connection, now, actions)
			}
			return d.ConnectionOpened(connection, state.Incarnation, now, actions)
		})
	})
}

func (r *leafRunner) close(connection int) {
	if attempt := r.openAttempts[connection]; attempt != nil {
		attempt.abandoned = true
		attempt.cancel()
		return
	}
	r.upstream.CloseConnection(r.leaf.Address, connection)
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.ConnectionClosed(connection, now, actions)
	})
}

func (r *leafRunner) sendCall(connection int, call anvilmodel.Call) {
	outcome := r.upstream.Call(r.node.ctx, r.leaf.Address, connection, call)
	kind := "primary"
	switch {
	case call.Hedge:
		kind = "hedge"
	case call.Retry:
		kind = "retry"
	}
	r.node.metrics.Add(anvilmetric.LeafCalls, 1, string(call.Service), kind, outcome.Reply.Result.String())
	r.node.metrics.ObserveDuration(anvilmetric.LeafCallDuration, outcome.Elapsed, string(call.Service))
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.CallFinished(anvilleaf.Outcome{
			Reply:          outcome.Reply,
			Connection:     connection,
			ConnectionLost: outcome.ConnectionLost,
			Written:        outcome.BytesWritten,
		}, now, actions)
	})
}

// runPolls periodically reads the leaf's state endpoint.
func (r *leafRunner) runPolls() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
		state, err := r.upstream.ReadState(ctx, r.leaf.Address)
		cancel()
		if err == nil {
			state.Leaf = r.leaf.Name
			r.handleState(state)
		}
		timer.Reset(r.pollInterval())
	}
}

func (r *leafRunner) pollInterval() time.Duration {
	poll := r.node.config.LeafPollInterval
	if r.candidateRank.Load() > 0 {
		poll *= standbyPollFactor
	}
	members := len(r.node.memberView.Load().all)
	return poll * time.Duration(max(members, fullRateMembers)) / fullRateMembers
}

// handleState passes a state that was read from the leaf to the dispatcher. It then
// stores that state together with the one that the dispatcher derived.
func (r *leafRunner) handleState(state anvilmodel.LeafState) {
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		actions = d.ObserveLeafState(state, now, actions)
		observed, hasObserved := d.LeafState(now)
		r.node.updateLeafState(state, observed, hasObserved, now)
		return actions
	})
}

// adoptState passes the state that another candidate derived for the leaf to the
// dispatcher.
func (r *leafRunner) adoptState(state anvilmodel.LeafState) {
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.ObservePeerState(state, now, actions)
	})
}

var leafEventKinds = map[anvilleaf.EventKind]anvilaudit.Kind{
	anvilleaf.EventCold:             anvilaudit.KindLeafCold,
	anvilleaf.EventWarm:             anvilaudit.KindLeafWarm,
	anvilleaf.EventNewIncarnation:   anvilaudit.KindLeafReplaced,
	anvilleaf.EventBreakerOpen:      anvilaudit.KindLeafBreakerOpen,
	anvilleaf.EventBreakerClosed:    anvilaudit.KindLeafBreakerClosed,
	anvilleaf.EventSilentConnection: anvilaudit.KindConnectionSilent,
	anvilleaf.EventDraining:         anvilaudit.KindLeafDraining,
	anvilleaf.EventPause:            anvilaudit.KindProcessPaused,
}

func (r *leafRunner) recordEvent(e anvilleaf.Event) {
	if e.Kind == anvilleaf.EventNewIncarnation && !r.incarnationSeen {
		// The first incarnation that a dispatcher sees does not replace another one.
		r.incarnationSeen = true
		return
	}
	r.node.recordEvent(anvilaudit.Event{
		Kind:    leafEventKinds[e.Kind],
		Subject: string(e.Leaf),
		Cause:   e.Cause,
	})
}
