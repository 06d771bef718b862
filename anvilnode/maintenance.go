package anvilnode

import (
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
)

const (
	// housekeepingInterval is the time between two rounds of gauges and checks.
	maintenanceInterval = 500 * time.Millisecond
	// relaySilence is how long calls may wait on a relay stream that delivers
	// nothing before the stream is replaced: three probe periods.
	relayResetAfter = 3 * time.Second
	// relaySuspicion is how long that may be before new calls go to the leaf's next
	// candidate: a member that is alive sends something every 100 ms.
	relayAvoidAfter = 500 * time.Millisecond
)

// runHousekeeping sets the gauges and checks relays and isolation.
func (n *Node) runMaintenance() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		n.checkRelays()
		n.controlLock.Lock()
		isolated := n.members.Isolated(time.Now())
		n.controlLock.Unlock()
		n.setIsolated(isolated)
		if v := n.activeConfig.Load(); v != nil {
			n.domainOutDuration(v)
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

// updateShares lets the address answers send fewer callers to the nodes of their
// own failure domain while these are busy.
func (n *Node) updateLocalShares() {
	members := n.memberView.Load().all
	var out []anvilmodel.FailureDomain
	if v := n.activeConfig.Load(); v != nil {
		out = v.domainsOut
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
	v := n.activeConfig.Load()
	if v == nil {
		return
	}
	n.metrics.Set(anvilmetric.ConfigRevision, float64(v.revision.Version))
	for _, d := range v.settings.FailureDomains {
		out := 0.0
		if d.State == anvilconfig.DomainOutOfService {
			out = 1
		}
		n.metrics.Set(anvilmetric.FailureDomainOut, out, string(d.Name))
	}
}

func (n *Node) setLeafGauges() {
	var cold, open, queue, inFlight int
	for _, r := range n.allRunners() {
		s := r.currentStatus()
		if s.Cold {
			cold++
		}
		if s.Breaker != anvilleaf.BreakerClosed {
			open++
		}
		queue += s.QueueLength
		inFlight += s.InFlight
	}
	n.metrics.Set(anvilmetric.LeafsCold, float64(cold))
	n.metrics.Set(anvilmetric.LeafsBreakerOpen, float64(open))
	n.metrics.Set(anvilmetric.LeafQueueLength, float64(queue))
	n.metrics.Set(anvilmetric.LeafCallsInFlight, float64(inFlight))
}
