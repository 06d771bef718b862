package anviladdress

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// targetLoad is the mean load of a failure domain above which fewer of its callers
	// are sent to its own nodes.
	targetLoad = 0.8
	// shareGain is the change of the share per second and unit of load. In trials with 100
	// nodes, all callers in one of four failure domains and loads 5 s old, it kept the
	// domain's load below 0.9. With a threshold on the load instead, all nodes changed
	// their answers at the same time and the load reached 2.
	shareGain = 0.05
	// maxStepSeconds limits the change of the share by the first update after a pause.
	maxStepSeconds = 1.0
)

// LocalShares holds, for each failure domain, the share of its callers that are sent to
// its own nodes first. Every node computes the shares from the same loads, so that they
// are about the same on all nodes. It is not safe for concurrent use.
type LocalShares struct {
	updatedAt time.Time
	shares    map[anvilmodel.FailureDomain]float64
}

// NewLocalShares returns shares of 1 for all failure domains.
func NewLocalShares() *LocalShares {
	return &LocalShares{shares: make(map[anvilmodel.FailureDomain]float64)}
}

// Update adjusts the shares to the loads of the members. It has to be called about once
// a second with all members, including this node.
func (s *LocalShares) Update(members []anvilmodel.Member, excluded []anvilmodel.FailureDomain, now time.Time) {
	seconds := min(max(now.Sub(s.updatedAt).Seconds(), 0), maxStepSeconds)
	s.updatedAt = now
	type domainLoad struct {
		total float64
		nodes float64
	}
	loads := make(map[anvilmodel.FailureDomain]domainLoad)
	for i := range members {
		m := &members[i]
		if m.Status != anvilmodel.MemberAlive || !isEligible(m, excluded) {
			continue
		}
		load := loads[m.FailureDomain]
		load.total += m.Load
		load.nodes++
		loads[m.FailureDomain] = load
	}
	for domain := range s.shares {
		if _, found := loads[domain]; !found {
			delete(s.shares, domain)
		}
	}
	for domain, load := range loads {
		share := s.share(domain) + shareGain*seconds*(targetLoad-load.total/load.nodes)
		s.shares[domain] = min(max(share, 0), 1)
	}
}

// share returns the local share of a failure domain, from 0 to 1.
func (s *LocalShares) share(domain anvilmodel.FailureDomain) float64 {
	if s == nil {
		return 1
	}
	if share, found := s.shares[domain]; found {
		return share
	}
	return 1
}
