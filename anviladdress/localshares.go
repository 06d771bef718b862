package anviladdress

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// highMark is the mean load of a failure domain above which fewer of its callers
	// are sent to its own nodes.
	highMark = 0.8
	// shareRate is the change of the share per second and unit of load. In trials
	// with 100 nodes, all callers in one of four failure domains and loads 5 s old,
	// the domain's load stayed below 0.9. A threshold on the load made all nodes
	// change their answers together and the load reach 2.
	shareRate = 0.05
	// longestStep limits the effect of a pause, in seconds.
	longestStep = 1.0
)

// LocalShares keeps, for each failure domain, the share of its callers that are sent to
// its own nodes first. All nodes follow the same loads, so that they come to about
// the same shares. It is not safe for concurrent use.
type LocalShares struct {
	at   time.Time
	near map[anvilmodel.FailureDomain]float64
}

// NewLocalShares returns shares of 1 for all failure domains.
func NewLocalShares() *LocalShares {
	return &LocalShares{near: make(map[anvilmodel.FailureDomain]float64)}
}

// Update moves the shares by what the loads say at now. The owner calls it about
// once a second with all members, this node included.
func (s *LocalShares) Update(members []anvilmodel.Member, out []anvilmodel.FailureDomain, now time.Time) {
	seconds := min(max(now.Sub(s.at).Seconds(), 0), longestStep)
	s.at = now
	type sum struct {
		load  float64
		count float64
	}
	sums := make(map[anvilmodel.FailureDomain]sum)
	for k := range members {
		e := &members[k]
		if e.Status != anvilmodel.MemberAlive || !namable(e, out) {
			continue
		}
		x := sums[e.FailureDomain]
		x.load += e.Load
		x.count++
		sums[e.FailureDomain] = x
	}
	for d := range s.near {
		if _, found := sums[d]; !found {
			delete(s.near, d)
		}
	}
	for d, x := range sums {
		near := s.share(d) + shareRate*seconds*(highMark-x.load/x.count)
		s.near[d] = min(max(near, 0), 1)
	}
}

// share returns the share of a failure domain's callers from 0 to 1.
func (s *LocalShares) share(d anvilmodel.FailureDomain) float64 {
	if s == nil {
		return 1
	}
	if near, found := s.near[d]; found {
		return near
	}
	return 1
}
