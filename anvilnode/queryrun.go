package anvilnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilquery"
)

// queryRun is the state that the node keeps for a running query.
type queryRun struct {
	config   *activeConfig
	finished chan anvilquery.Action
	// tickChanged wakes the query's goroutine when nextTick has become earlier.
	tickChanged chan struct{}
	// nextTick is when the query's Tick is due, or zero if the query is done. Guarded
	// by the node's originLock.
	nextTick time.Time

	// Actions are executed in the order in which the query origin returned them, by one
	// goroutine at a time. Otherwise a cancellation could overtake its call, which
	// would then run until its timeout without need.
	mu        sync.Mutex
	pending   []anvilquery.Action
	reusable  []anvilquery.Action
	executing bool
}

// enqueue adds actions. The caller holds originLock, which determines their order.
func (r *queryRun) enqueue(actions []anvilquery.Action) {
	r.mu.Lock()
	r.pending = append(r.pending, actions...)
	r.mu.Unlock()
}

// tryStartExecuting reports whether the calling goroutine has to execute the pending
// actions, because no other one does.
func (r *queryRun) tryStartExecuting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executing {
		return false
	}
	r.executing = true
	return true
}

// takePending returns the actions that were enqueued since the last call. If there are
// none, it returns nil and execution ends. The memory of the actions executed before is
// reused.
func (r *queryRun) takePending(executed []anvilquery.Action) []anvilquery.Action {
	clear(executed)
	r.mu.Lock()
	defer r.mu.Unlock()
	if executed != nil {
		r.reusable = executed[:0]
	}
	if len(r.pending) == 0 {
		r.executing = false
		return nil
	}
	actions := r.pending
	r.pending, r.reusable = r.reusable, nil
	return actions
}

// updateNextTick updates nextTick and reports whether it has become earlier. The caller
// holds originLock.
func (r *queryRun) updateNextTick(q *anvilquery.Query) bool {
	previous := r.nextTick
	r.nextTick = q.NextTick()
	return !r.nextTick.IsZero() && r.nextTick.Before(previous)
}

// runQuery runs a request to its end. It abandons the query if the context ends, which
// means that the caller has disconnected or the node stops.
func (n *Node) runQuery(ctx context.Context, active *activeConfig, request anvilmodel.Request) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	run := &queryRun{
		config:      active,
		finished:    make(chan anvilquery.Action, 1),
		tickChanged: make(chan struct{}, 1),
	}
	query := n.startQuery(run, request)
	defer n.endQuery(query)
	n.executeActions(run)
	action := n.waitForQuery(ctx, query, run)
	return action.Answer, action.Refusal
}

func (n *Node) startQuery(run *queryRun, request anvilmodel.Request) *anvilquery.Query {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	query, actions := n.origin.Start(request, time.Now(), n.actionBuffer[:0])
	n.queryRuns[query] = run
	run.updateNextTick(query)
	n.enqueueActions(run, actions)
	return query
}

// endQuery releases the query. Another goroutine may still be executing its actions,
// which are owned by the run.
func (n *Node) endQuery(query *anvilquery.Query) {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	delete(n.queryRuns, query)
	query.Release()
}

// enqueueActions copies actions to the run and keeps the buffer for the next ones. The
// caller holds originLock.
func (n *Node) enqueueActions(run *queryRun, actions []anvilquery.Action) {
	if run != nil {
		run.enqueue(actions)
	}
	clear(actions)
	n.actionBuffer = actions
}

func (n *Node) waitForQuery(ctx context.Context, query *anvilquery.Query, run *queryRun) anvilquery.Action {
	timer := time.NewTimer(n.untilNextTick(run))
	defer timer.Stop()
	for {
		select {
		case action := <-run.finished:
			return action
		case <-timer.C:
			n.tickQuery(query, run)
			timer.Reset(n.untilNextTick(run))
		case <-run.tickChanged:
			timer.Reset(n.untilNextTick(run))
		case <-ctx.Done():
			return n.abandonQuery(query, run)
		}
	}
}

func (n *Node) tickQuery(query *anvilquery.Query, run *queryRun) {
	n.originLock.Lock()
	actions := query.Tick(time.Now(), n.actionBuffer[:0])
	run.updateNextTick(query)
	n.enqueueActions(run, actions)
	n.originLock.Unlock()
	n.executeActions(run)
}

// untilNextTick returns the time until the next tick. A query that is done needs none,
// because its end is signaled on the finished channel.
func (n *Node) untilNextTick(run *queryRun) time.Duration {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if run.nextTick.IsZero() {
		return time.Hour
	}
	return max(time.Until(run.nextTick), 0)
}

// abandonQuery cancels the calls of a query whose caller has disconnected. Its refusal
// does not reach the caller.
func (n *Node) abandonQuery(query *anvilquery.Query, run *queryRun) anvilquery.Action {
	n.originLock.Lock()
	n.enqueueActions(run, query.Abandon(time.Now(), n.actionBuffer[:0]))
	n.originLock.Unlock()
	n.executeActions(run)
	select {
	case action := <-run.finished:
		return action
	default:
	}
	return anvilquery.Action{
		Refusal: &anvilmodel.Refusal{
			RequestID: query.RequestID(),
			Reason:    anvilmodel.ReasonDeadline,
			RunState:  anvilmodel.RunStateUnknown,
			Detail:    "the caller closed the connection, or the node was stopped",
		},
	}
}

// handleReply passes the reply of a leaf call to its query.
func (n *Node) handleReply(reply anvilmodel.CallReply) {
	n.deleteRoute(reply.ID)
	run, known := n.applyReply(reply)
	if !known {
		n.metrics.Add(anvilmetric.RepliesDropped, 1)
	}
	if run != nil {
		n.executeActions(run)
	}
}

// applyReply passes a reply to the query origin. It returns the run that the reply
// belongs to, if it still exists, and whether the reply belongs to a known query.
func (n *Node) applyReply(reply anvilmodel.CallReply) (run *queryRun, known bool) {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	query, actions := n.origin.HandleReply(reply, time.Now(), n.actionBuffer[:0])
	if query != nil {
		run = n.queryRuns[query]
	}
	n.enqueueActions(run, actions)
	if run != nil && run.updateNextTick(query) {
		select {
		case run.tickChanged <- struct{}{}:
		default:
		}
	}
	return run, query != nil
}

// executeActions executes the pending actions of a run. If another goroutine is already
// doing so, that one also executes the new actions.
func (n *Node) executeActions(run *queryRun) {
	if !run.tryStartExecuting() {
		return
	}
	for actions := run.takePending(nil); actions != nil; actions = run.takePending(actions) {
		n.executeBatch(run, actions)
	}
}

// executeBatch executes actions. Calls that are relayed to the same node are sent in
// one message.
func (n *Node) executeBatch(run *queryRun, actions []anvilquery.Action) {
	var relayBuffer [8]*anvilpeer.RelayClient
	relays := relayBuffer[:0]
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case anvilquery.ActionCall:
			relay := n.dispatch(run.config, a.Call)
			if relay != nil && !slices.Contains(relays, relay) {
				relays = append(relays, relay)
			}
		case anvilquery.ActionCancel:
			n.cancelCall(a.Call.ID)
		case anvilquery.ActionFinish:
			run.finished <- *a
		}
	}
	for _, relay := range relays {
		relay.Flush()
	}
}
