package anvilnode

import (
	"cmp"
	"slices"
	"time"

	"anvilbridge/anvilquery"
	"anvilbridge/anvilwire"
)

// maxStatusEvents is the maximum number of audit events in a status.
const maxStatusEvents = 50

// Status returns the node's status for operators.
func (n *Node) Status() anvilwire.NodeStatus {
	members := n.memberView.Load()
	s := anvilwire.NodeStatus{
		Name:            n.config.Name,
		Site:            string(n.config.Site),
		Slot:            n.config.Slot,
		FailureDomain:   n.config.FailureDomain,
		Incarnation:     n.incarnation(),
		NotReady:        n.notReadyReason(),
		Leaving:         n.leaving.Load(),
		QueriesInFlight: n.admission.inFlight(),
		QueryLimit:      n.config.MaxQueries,
		Members:         members.all,
	}
	n.controlLock.Lock()
	s.Isolated = n.membership.Isolated(time.Now())
	n.controlLock.Unlock()
	if active := n.activeConfig.Load(); active != nil {
		s.Revision = active.revision.Version
		for _, d := range active.settings.FailureDomains {
			s.FailureDomains = append(s.FailureDomains, anvilwire.FailureDomainStatus{
				Name:  d.Name,
				State: d.State.String(),
			})
		}
	}
	for _, r := range n.allRunners() {
		s.Leaves = append(s.Leaves, leafStatus(r))
	}
	slices.SortFunc(s.Leaves, func(l, m anvilwire.LeafStatus) int { return cmp.Compare(l.Leaf, m.Leaf) })
	n.auditLock.Lock()
	s.Events = n.auditRing.Recent(maxStatusEvents)
	n.auditLock.Unlock()
	return s
}

func (n *Node) encodeStatus() ([]byte, error) {
	s := n.Status()
	return anvilwire.EncodeStatus(&s)
}

func leafStatus(r *leafRunner) anvilwire.LeafStatus {
	s := r.currentStatus()
	return anvilwire.LeafStatus{
		Leaf:              r.leaf.Name,
		Service:           r.leaf.Service,
		FailureDomain:     r.leaf.FailureDomain,
		Rank:              int(r.candidateRank.Load()),
		Incarnation:       s.Incarnation,
		Cold:              s.Cold,
		Draining:          s.Draining,
		FailureDomainOut:  s.FailureDomainOut,
		Breaker:           s.Breaker.String(),
		QueueLength:       s.QueueLength,
		InFlight:          s.InFlight,
		Limit:             s.Limit,
		Connections:       s.Connections,
		QuietRemaining:    s.QuietTimeLeft,
		SilentConnections: s.Counters.SilentConnections,
	}
}

// QueryCounters returns the counters of the queries that this node received from
// callers.
func (n *Node) QueryCounters() anvilquery.Counters {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if n.origin == nil {
		return anvilquery.Counters{}
	}
	return n.origin.Counters()
}
