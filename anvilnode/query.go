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

// notReadyRetryAfter is the retry delay in refusals by a node that may not serve.
const notReadyRetryAfter = time.Second

// finishAnnouncement creates the components that depend on the final incarnation.
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
	// A revision that is applied concurrently may have found no origin yet, or may be
	// newer than the one applied here, so this repeats until the active one is applied.
	for active := (*activeConfig)(nil); active != n.activeConfig.Load(); {
		active = n.activeConfig.Load()
		n.configureOrigin(active)
	}
	states, _ := n.states.ChangesSince(0, time.Now())
	for _, s := range states {
		n.updateOriginState(s)
	}
	close(n.announced)
}

// admitQuery returns the function that answers a query, or the refusal. The query runs
// under the revision that was active when it was admitted.
func (n *Node) admitQuery(q anvilwire.Query) (anvilserver.QueryFunc, *anvilmodel.Refusal) {
	active, request, refusal := n.prepareRequest(q)
	if refusal == nil {
		refusal = n.admission.admit(q.ID, request.Class.Mode)
	}
	if refusal != nil {
		return nil, n.adjustRefusal(q.Ticket, refusal)
	}
	return func(ctx context.Context) (*anvilmodel.Answer, *anvilmodel.Refusal) {
		return n.answerQuery(ctx, active, request)
	}, nil
}

// answerQuery answers an admitted query and releases its admission.
func (n *Node) answerQuery(ctx context.Context, active *activeConfig, request anvilmodel.Request) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	if request.Class.NonIdempotent {
		return n.runWithTicket(ctx, active, request)
	}
	defer n.admission.release()
	return n.runQuery(ctx, active, request)
}

// prepareRequest validates a query. It returns its request and the configuration that
// it runs under, or a refusal.
func (n *Node) prepareRequest(q anvilwire.Query) (*activeConfig, anvilmodel.Request, *anvilmodel.Refusal) {
	active, refusal := n.servingConfig(q.ID)
	if refusal != nil {
		return nil, anvilmodel.Request{}, refusal
	}
	request, refusal := validate(active, q)
	return active, request, refusal
}

// servingConfig returns the configuration that a query runs under, or a refusal if the
// node does not serve.
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
	active := n.activeConfig.Load()
	if n.domainOutDuration(active) > active.settings.Policy.AddressLifetime+addressGracePeriod {
		refusal.Reason = anvilmodel.ReasonFailureDomainOut
		refusal.Detail = fmt.Sprintf("failure domain %s is taken out; use another address", n.config.FailureDomain)
		return nil, refusal
	}
	return active, nil
}

// notReadyReason returns why the node may not serve yet, or "".
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
	// A node that has become ready stays ready. This spares later queries the control
	// lock.
	n.ready.Store(true)
	return n.undeclaredSiteReason()
}

// domainOutDuration returns how long this node's failure domain has been taken out of
// service, or 0 if it is in service. The time is not reset by later revisions in which
// the domain is still out.
func (n *Node) domainOutDuration(active *activeConfig) time.Duration {
	if !active.isOut(n.config.FailureDomain) {
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
