package anvilnode

import (
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
)

const (
	// maintenanceInterval is the time between two updates of the gauges and checks of
	// the relay streams.
	maintenanceInterval = 500 * time.Millisecond
	// relayResetAfter is how long calls may wait on a relay stream that receives
	// nothing before the stream is replaced. It is three probe periods.
	relayResetAfter = 3 * time.Second
	// relayAvoidAfter is how long calls may wait on a relay stream that receives
	// nothing before new calls go to the leaf's next candidate. A live member sends
	// something every 100 ms.
	relayAvoidAfter = 500 * time.Millisecond
)

// runMaintenance periodically replaces silent relay streams, checks whether the node is
// isolated or its failure domain taken out of service, and updates the gauges.
func (n *Node) runMaintenance() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		n.checkRelays()
		n.controlLock.Lock()
		isolated := n.membership.Isolated(time.Now())
		n.controlLock.Unlock()
		n.setIsolated(isolated)
		if active := n.activeConfig.Load(); active != nil {
			n.domainOutDuration(active)
		}
		n.updateLocalShares()
		n.setGauges()
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateLocalShares updates the shares of callers that address answers send to nodes of
// their own failure domain. They shrink while these nodes are busy.
func (n *Node) updateLocalShares() {
	members := n.memberView.Load().all
	var out []anvilmodel.FailureDomain
	if active := n.activeConfig.Load(); active != nil {
		out = active.domainsOut
	}
	n.localSharesLock.Lock()
	defer n.localSharesLock.Unlock()
	n.localShares.Update(members, out, time.Now())
}

func (n *Node) setGauges() {
	counts := make(map[anvilmodel.MemberStatus]int)
	for _, m := range n.memberView.Load().all {
		counts[m.Status]++
	}
	for s := anvilmodel.MemberUnknown; s <= anvilmodel.MemberDead; s++ {
		n.metrics.Set(anvilmetric.Members, float64(counts[s]), s.String())
	}
	n.setLeafGauges()
	n.metrics.Set(anvilmetric.QueriesInFlight, float64(n.admission.inFlight()))
	active := n.activeConfig.Load()
	if active == nil {
		return
	}
	n.metrics.Set(anvilmetric.ConfigRevision, float64(active.revision.Version))
	for _, d := range active.settings.FailureDomains {
		out := 0.0
		if d.State == anvilconfig.DomainOutOfService {
			out = 1
		}
		n.metrics.Set(anvilmetric.FailureDomainOut, out, string(d.Name))
	}
}

func (n *Node) setLeafGauges() {
	var cold, breakersOpen, queue, inFlight int
	for _, r := range n.allRunners() {
		s := r.currentStatus()
		if s.Cold {
			cold++
		}
		if s.Breaker != anvilleaf.BreakerClosed {
			breakersOpen++
		}
		queue += s.QueueLength
		inFlight += s.InFlight
	}
	n.metrics.Set(anvilmetric.LeavesCold, float64(cold))
	n.metrics.Set(anvilmetric.LeavesBreakerOpen, float64(breakersOpen))
	n.metrics.Set(anvilmetric.LeafQueueLength, float64(queue))
	n.metrics.Set(anvilmetric.LeafCallsInFlight, float64(inFlight))
}
