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

// queryRun is the node's side of one running query.
type queryRun struct {
	config   *activeConfig
	finished chan anvilquery.Action
	// rearm wakes the goroutine of the query when armed has become earlier.
	tickChanged chan struct{}
	// armed is when the query has to be ticked, zero if it is done. The node's
	// originLock guards it.
	nextTick time.Time

	// The actions of a query are carried out in the order in which the core
	// returned them, by one goroutine at a time. Otherwise a cancellation could
	// overtake its call, and the call would run to its timeout for nobody.
	mu        sync.Mutex
	pending   []anvilquery.Action
	reusable  []anvilquery.Action
	executing bool
}

// enqueue takes actions. It is called under originLock, which gives the order.
func (r *queryRun) enqueue(actions []anvilquery.Action) {
	r.mu.Lock()
	r.pending = append(r.pending, actions...)
	r.mu.Unlock()
}

// begin reports whether the calling goroutine has to carry out the actions.
func (r *queryRun) tryStartExecuting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executing {
		return false
	}
	r.executing = true
	return true
}

// next returns the actions that came meanwhile, or none, which ends the carrying.
// The actions carried out before are handed back for reuse.
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

// arm notes when the query has to be ticked. It is called under originLock and
// reports whether that is earlier than before.
func (r *queryRun) updateNextTick(q *anvilquery.Query) bool {
	before := r.nextTick
	r.nextTick = q.Next()
	return !r.nextTick.IsZero() && r.nextTick.Before(before)
}

// runQuery runs a request to its end. It is abandoned when the context ends,
// which means that the caller has gone.
func (n *Node) runQuery(ctx context.Context, v *activeConfig, request anvilmodel.Request) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	run := &queryRun{
		config:      v,
		finished:    make(chan anvilquery.Action, 1),
		tickChanged: make(chan struct{}, 1),
	}
	query := n.startQuery(run, request)
	defer n.endQuery(query)
	n.executeActions(run)
	finish := n.waitForQuery(ctx, query, run)
	return finish.Answer, finish.Refusal
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

// endQuery gives the query back to the core. Another goroutine may still be
// carrying out its actions, which belong to the run only.
func (n *Node) endQuery(query *anvilquery.Query) {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	delete(n.queryRuns, query)
	query.Release()
}

// hand passes actions on and keeps their memory for the next event of the core.
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
		case finish := <-run.finished:
			return finish
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

// untilArmed returns the time until the next tick; the end of a query that is
// done comes through its channel.
func (n *Node) untilNextTick(run *queryRun) time.Duration {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if run.nextTick.IsZero() {
		return time.Hour
	}
	return max(time.Until(run.nextTick), 0)
}

// abandonQuery cancels the calls of a query whose caller has gone. Nobody
// receives the refusal.
func (n *Node) abandonQuery(query *anvilquery.Query, run *queryRun) anvilquery.Action {
	n.originLock.Lock()
	n.enqueueActions(run, query.Abandon(time.Now(), n.actionBuffer[:0]))
	n.originLock.Unlock()
	n.executeActions(run)
	select {
	case finish := <-run.finished:
		return finish
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

// handleReply hands the reply of a leaf call to its query.
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

// takeReply returns the run that has something to carry out, and whether the
// reply belongs to a query.
func (n *Node) applyReply(reply anvilmodel.CallReply) (run *queryRun, known bool) {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	query, actions := n.origin.Handle(reply, time.Now(), n.actionBuffer[:0])
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

// carryOut carries out the actions of a run, unless another goroutine does; that
// one then also carries out what was enqueued meanwhile.
func (n *Node) executeActions(run *queryRun) {
	if !run.tryStartExecuting() {
		return
	}
	for actions := run.takePending(nil); actions != nil; actions = run.takePending(actions) {
		n.executeBatch(run, actions)
	}
}

// perform carries out actions. The calls for one node go in one message.
func (n *Node) executeBatch(run *queryRun, actions []anvilquery.Action) {
	var array [8]*anvilpeer.RelayClient
	relays := array[:0]
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
