package anvilnode

import (
	"context"
	"fmt"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
	"anvilbridge/anvilserver"
	"anvilbridge/anvilwire"
)

// notReadyRetryAfter is told to callers of a node that may not serve yet.
const notReadyRetryAfter = time.Second

// becomeAnnounced creates what depends on the final incarnation.
func (n *Node) finishAnnouncement() {
	incarnation := n.memberView.Load().self.Incarnation
	n.ticketLock.Lock()
	n.tickets = newTicketRegister(incarnation, n.started)
	n.ticketLock.Unlock()
	n.originLock.Lock()
	n.origin = anvilquery.NewOrigin(anvilquery.Config{
		Incarnation: incarnation,
	})
	n.originLock.Unlock()
	// A revision that is put into force meanwhile may have found no origin, or be
	// older than the one applied here.
	for v := (*activeConfig)(nil); v != n.activeConfig.Load(); {
		v = n.activeConfig.Load()
		n.configureOrigin(v)
	}
	states, _ := n.states.After(0, time.Now())
	for _, s := range states {
		n.updateOriginState(s)
	}
	close(n.announced)
}

// admitQuery returns how a query is answered, or why it is refused. The query runs
// under the revision that it was admitted under.
func (n *Node) admitQuery(q anvilwire.Query) (anvilserver.QueryFunc, *anvilmodel.Refusal) {
	v, request, refusal := n.prepareRequest(q)
	if refusal == nil {
		refusal = n.admission.admit(q.ID, request.Class.Mode)
	}
	if refusal != nil {
		return nil, n.adjustRefusal(q.Ticket, refusal)
	}
	return func(ctx context.Context) (*anvilmodel.Answer, *anvilmodel.Refusal) {
		return n.answerQuery(ctx, v, request)
	}, nil
}

// answerQuery answers an admitted query and ends its admission.
func (n *Node) answerQuery(ctx context.Context, v *activeConfig, request anvilmodel.Request) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	if request.Class.NonIdempotent {
		return n.runWithTicket(ctx, v, request)
	}
	defer n.admission.release()
	return n.runQuery(ctx, v, request)
}

// prepare returns the request of a query and the view that it runs under, or why
// the node refuses it.
func (n *Node) prepareRequest(q anvilwire.Query) (*activeConfig, anvilmodel.Request, *anvilmodel.Refusal) {
	v, refusal := n.servingConfig(q.ID)
	if refusal != nil {
		return nil, anvilmodel.Request{}, refusal
	}
	request, refusal := validate(v, q)
	return v, request, refusal
}

// serving returns the view that a query runs under, or why the node refuses.
func (n *Node) servingConfig(id anvilmodel.RequestID) (*activeConfig, *anvilmodel.Refusal) {
	refusal := &anvilmodel.Refusal{
		RequestID:  id,
		RunState:   anvilmodel.RunStateNotRun,
		RetryAfter: notReadyRetryAfter,
	}
	if n.refusingQueries.Load() {
		refusal.Reason = anvilmodel.ReasonLeaving
		refusal.Detail = "the node is shutting down; use another address"
		return nil, refusal
	}
	if reason := n.notReadyReason(); reason != "" {
		refusal.Reason = anvilmodel.ReasonNotReady
		refusal.Detail = reason + "; use another address"
		return nil, refusal
	}
	v := n.activeConfig.Load()
	if n.domainOutDuration(v) > v.settings.Policy.AddressLifetime+addressGracePeriod {
		refusal.Reason = anvilmodel.ReasonFailureDomainOut
		refusal.Detail = fmt.Sprintf("failure domain %s is taken out; use another address", n.config.FailureDomain)
		return nil, refusal
	}
	return v, nil
}

// notReady returns why the node may not serve yet, or "".
func (n *Node) notReadyReason() string {
	if n.incarnation() == 0 {
		return "the node has not announced its incarnation yet"
	}
	if n.ready.Load() {
		return n.undeclaredSiteReason()
	}
	n.controlLock.Lock()
	reason := n.revisions.NotReadyReason()
	n.controlLock.Unlock()
	switch {
	case reason != "":
		return reason
	case n.activeConfig.Load() == nil:
		return "the node is putting its first configuration into force"
	}
	// A node that is ready stays so. Queries do not wait for the control lock.
	n.ready.Store(true)
	return n.undeclaredSiteReason()
}

// outFor returns for how long this node's failure domain has been taken out, 0 if
// it is in service. A later revision that leaves it out does not begin anew.
func (n *Node) domainOutDuration(v *activeConfig) time.Duration {
	if !v.isOut(n.config.FailureDomain) {
		if n.domainOutSince.Load() != 0 {
			n.domainOutSince.Store(0)
		}
		return 0
	}
	now := int64(time.Since(n.started))
	if n.domainOutSince.CompareAndSwap(0, now) {
		return 0
	}
	return time.Duration(now - n.domainOutSince.Load())
}
