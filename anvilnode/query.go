package anvilnode

import (
	"context"
	"fmt"
	"strings"
	"time"

	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
	"anvilbridge/anvilwire"
)

// notReadyRetryAfter is told to callers of a node that may not serve yet.
const notReadyRetryAfter = time.Second

// queryRun is the node's side of one running query.
type queryRun struct {
	finished chan anvilquery.Action
	// rearm wakes the goroutine of the query when Next has become earlier.
	rearm chan struct{}
	armed time.Time
}

// becomeAnnounced creates what depends on the final incarnation.
func (n *Node) becomeAnnounced() {
	incarnation := n.memberView.Load().self.Incarnation
	n.ticketLock.Lock()
	n.tickets = newTickets(incarnation, n.started)
	n.ticketLock.Unlock()
	n.originLock.Lock()
	n.origin = anvilquery.NewOrigin(anvilquery.Config{
		Incarnation: incarnation,
	})
	n.originLock.Unlock()
	if v := n.view.Load(); v != nil {
		n.applyOrigin(v)
	}
	n.states.each(n.observeOrigin)
	close(n.announced)
}

// answerQuery answers a caller's query.
func (n *Node) answerQuery(ctx context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	v, refusal := n.serving(q.ID)
	if refusal != nil {
		return nil, refusal
	}
	request, refusal := validate(v, q)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := n.admission.enter(q.ID, request.Class.Mode); refusal != nil {
		return nil, refusal
	}
	if request.Class.NonIdempotent {
		return n.runTicket(ctx, request)
	}
	defer n.admission.leave()
	return n.runQuery(ctx, request)
}

// serving returns the view that a query runs under, or why the node refuses.
func (n *Node) serving(id anvilmodel.RequestID) (*view, *anvilmodel.Refusal) {
	refusal := &anvilmodel.Refusal{
		RequestID:  id,
		Ran:        anvilmodel.RunStateNotRun,
		RetryAfter: notReadyRetryAfter,
	}
	v := n.view.Load()
	switch {
	case n.refusing.Load():
		refusal.Reason = anvilmodel.ReasonLeaving
		refusal.Detail = "the node is shutting down; use another address"
	case v == nil || n.notReady() != "":
		refusal.Reason = anvilmodel.ReasonNotReady
		refusal.Detail = n.notReady()
	case v.isOut(n.config.FailureDomain) && time.Since(v.applied) > v.settings.Policy.AddressLifetime+addressGrace:
		refusal.Reason = anvilmodel.ReasonDomainOut
		refusal.Detail = fmt.Sprintf("failure domain %s is taken out; use another address", n.config.FailureDomain)
	default:
		return v, nil
	}
	return nil, refusal
}

// notReady returns why the node may not serve yet, or "".
func (n *Node) notReady() string {
	if n.incarnation() == 0 {
		return "the node has not announced its incarnation yet"
	}
	n.control.Lock()
	waiting := n.keeper.Waiting()
	n.control.Unlock()
	if waiting != "" {
		return waiting
	}
	return n.undeclaredSite()
}

// validate checks a query against the configuration.
func validate(v *view, q anvilwire.Query) (anvilmodel.Request, *anvilmodel.Refusal) {
	refuse := func(reason anvilmodel.Reason, detail, accepted string) (anvilmodel.Request, *anvilmodel.Refusal) {
		return anvilmodel.Request{}, &anvilmodel.Refusal{
			RequestID: q.ID,
			Reason:    reason,
			Ran:       anvilmodel.RunStateNotRun,
			Detail:    detail,
			Accepted:  accepted,
		}
	}
	if _, ok := v.settings.Service(q.Service); !ok {
		return refuse(anvilmodel.ReasonUnknownService, fmt.Sprintf("there is no service %q", q.Service), serviceNames(v))
	}
	class, ok := v.settings.Class(q.Class)
	if !ok || !class.Serves(q.Service) {
		return refuse(anvilmodel.ReasonUnknownClass,
			fmt.Sprintf("there is no class %q for service %q", q.Class, q.Service), classNames(v, q.Service))
	}
	if q.Timeout <= class.Class.ReturnReserve {
		return refuse(anvilmodel.ReasonBadTimeout,
			fmt.Sprintf("%s is not longer than the %s kept back for the way to the caller", q.Timeout, class.Class.ReturnReserve),
			fmt.Sprintf("more than %s, at most %s", class.Class.ReturnReserve, class.Class.Timeout))
	}
	if q.Timeout > class.Class.Timeout {
		return refuse(anvilmodel.ReasonBadTimeout,
			fmt.Sprintf("%s is longer than class %q allows", q.Timeout, q.Class),
			fmt.Sprintf("at most %s", class.Class.Timeout))
	}
	if class.Class.NonIdempotent && q.Ticket.IsZero() {
		return refuse(anvilmodel.ReasonBadTicket,
			fmt.Sprintf("class %q needs a ticket", q.Class),
			anvilwire.HeaderTicket+": <incarnation>.<epoch>.<32 hex digits>")
	}
	return anvilmodel.Request{
		ID:      q.ID,
		Service: q.Service,
		Class:   class.Class,
		Timeout: q.Timeout,
		Ticket:  q.Ticket,
		Key:     q.Key,
		Body:    q.Body,
	}, nil
}

func serviceNames(v *view) string {
	names := make([]string, 0, len(v.settings.Services))
	for _, s := range v.settings.Services {
		names = append(names, string(s.Name))
	}
	return "one of " + strings.Join(names, ", ")
}

func classNames(v *view, service anvilmodel.ServiceName) string {
	names := []string{}
	for _, c := range v.settings.Classes {
		if c.Serves(service) {
			names = append(names, string(c.Class.Name))
		}
	}
	return "one of " + strings.Join(names, ", ")
}

// runQuery runs a request to its end. It is abandoned when the context ends,
// which means that the caller has gone.
func (n *Node) runQuery(ctx context.Context, request anvilmodel.Request) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	run := &queryRun{
		finished: make(chan anvilquery.Action, 1),
		rearm:    make(chan struct{}, 1),
	}
	n.originLock.Lock()
	query, actions := n.origin.Start(request, time.Now(), nil)
	n.runs[query] = run
	run.armed = query.Next()
	n.originLock.Unlock()
	n.carryOutQuery(actions)
	finish := n.awaitQuery(ctx, query, run)
	n.originLock.Lock()
	delete(n.runs, query)
	query.Release()
	n.originLock.Unlock()
	return finish.Answer, finish.Refusal
}

func (n *Node) awaitQuery(ctx context.Context, query *anvilquery.Query, run *queryRun) anvilquery.Action {
	timer := time.NewTimer(time.Until(run.armed))
	defer timer.Stop()
	for {
		select {
		case finish := <-run.finished:
			return finish
		case <-timer.C:
			n.tickQuery(query, run)
			timer.Reset(n.untilArmed(run))
		case <-run.rearm:
			timer.Reset(n.untilArmed(run))
		case <-ctx.Done():
			return n.abandonQuery(query, run)
		}
	}
}

func (n *Node) tickQuery(query *anvilquery.Query, run *queryRun) {
	n.originLock.Lock()
	actions := query.Tick(time.Now(), nil)
	if !query.Done() {
		run.armed = query.Next()
	}
	n.originLock.Unlock()
	n.carryOutQuery(actions)
}

func (n *Node) untilArmed(run *queryRun) time.Duration {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	return max(time.Until(run.armed), 0)
}

// abandonQuery cancels the calls of a query whose caller has gone. Nobody
// receives the refusal.
func (n *Node) abandonQuery(query *anvilquery.Query, run *queryRun) anvilquery.Action {
	n.originLock.Lock()
	actions := query.Abandon(time.Now(), nil)
	n.originLock.Unlock()
	n.carryOutQuery(actions)
	select {
	case finish := <-run.finished:
		return finish
	default:
	}
	return anvilquery.Action{
		Refusal: &anvilmodel.Refusal{
			RequestID: query.RequestID(),
			Reason:    anvilmodel.ReasonDeadline,
			Ran:       anvilmodel.RunStateUnknown,
			Detail:    "the caller closed the connection",
		},
	}
}

// handleReply hands the reply of a leaf call to its query.
func (n *Node) handleReply(reply anvilmodel.CallReply) {
	n.forget(reply.ID)
	n.originLock.Lock()
	query, actions := n.origin.Handle(reply, time.Now(), nil)
	if run := n.runs[query]; run != nil && !query.Done() {
		if next := query.Next(); next.Before(run.armed) {
			run.armed = next
			select {
			case run.rearm <- struct{}{}:
			default:
			}
		}
	}
	n.originLock.Unlock()
	if query == nil {
		n.metrics.Add(anvilmetric.RepliesDropped, 1)
	}
	n.carryOutQuery(actions)
}

func (n *Node) carryOutQuery(actions []anvilquery.Action) {
	for _, a := range actions {
		switch a.Kind {
		case anvilquery.ActionCall:
			n.dispatch(a.Call)
		case anvilquery.ActionCancel:
			n.cancelCall(a.Call.ID)
		case anvilquery.ActionFinish:
			n.originLock.Lock()
			run := n.runs[a.Query]
			n.originLock.Unlock()
			if run != nil {
				run.finished <- a
			}
		}
	}
}
