package anvilbalance

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// baselineShare is the part of an average node's demand that each node counts with in
	// addition to its own. It gives a small share to nodes without callers, and to those
	// whose demand may not have reached the others yet.
	baselineShare = 0.15
	// minGrowthDelay and growthDelayPerNode give the time after which an announced demand
	// has reached all nodes. It grows with the fleet, because demand travels with the probes
	// of the membership.
	minGrowthDelay     = 2 * time.Second
	growthDelayPerNode = 100 * time.Millisecond
	// maxObservationGap is the time between two observations above which a node counts as
	// paused. Other nodes may have taken over its share meanwhile.
	maxObservationGap = time.Second
	// deadShareRetention is how long the demand of a dead node still counts, because it may
	// only be partitioned from this node. isolatedRetention applies while at least half of
	// the other nodes are suspected or dead, so that rather this node is partitioned.
	deadShareRetention = 3 * time.Second
	isolatedRetention  = 10 * time.Second
	// unsettledFleetSize is the least number of nodes that a node assumes until its view of
	// the fleet has been stable for the first time.
	unsettledFleetSize = 16
)

// ShareEstimator estimates which part of the limits that apply to all nodes together this
// node may use. The limits are divided in proportion to the demand of the nodes: the
// requests that they receive from callers. Its zero value has observed no nodes. It is not
// safe for concurrent use.
type ShareEstimator struct {
	size FleetSizeEstimator
	// announced holds the demand that this node announced within the growth delay, oldest
	// first.
	announced []announcedDemand
	// deadSince is when dead members were first observed as dead.
	deadSince map[anvilmodel.VMName]time.Time
	// settled is set once the view of the fleet has been stable.
	settled bool
	share   float64
	phase   float64
}

type announcedDemand struct {
	at   time.Time
	rate float64
}

// Observe updates the estimate. The members are the known ones, this node first.
func (e *ShareEstimator) Observe(members []anvilmodel.Member, now time.Time) {
	own := members[0].RequestRate
	count, total, rank := 1, own, 0
	retention := deadShareRetention
	if anvilmodel.IsIsolated(members[1:]) {
		retention = isolatedRetention
	}
	dead := make(map[anvilmodel.VMName]time.Time)
	for _, m := range members[1:] {
		switch m.Status {
		case anvilmodel.MemberAlive, anvilmodel.MemberSuspect, anvilmodel.MemberLeaving:
		case anvilmodel.MemberDead:
			since, known := e.deadSince[m.Name]
			if !known {
				since = now
			}
			dead[m.Name] = since
			if now.Sub(since) >= retention {
				continue
			}
		case anvilmodel.MemberUnknown:
			continue
		}
		count++
		total += m.RequestRate
		if anvilmodel.CompareByHash(m.Name, members[0].Name) < 0 {
			rank++
		}
	}
	e.deadSince = dead
	e.phase = float64(rank) / float64(count)
	e.size.Observe(count, now)
	propagated := e.propagatedDemand(own, count, now)
	baseline := baselineShare * total / float64(count)
	if total <= 0 {
		baseline = 1
	}
	e.share = (propagated + baseline) / (total + baseline*float64(count))
	e.settled = e.settled || e.size.Stable(now)
	if !e.settled {
		e.share = min(e.share, 1/float64(unsettledFleetSize))
	}
}

// propagatedDemand returns the part of this node's demand that has reached all other nodes:
// the lowest that it announced within the growth delay, or 0 if it has not announced any
// for that long.
func (e *ShareEstimator) propagatedDemand(own float64, count int, now time.Time) float64 {
	if n := len(e.announced); n > 0 && now.Sub(e.announced[n-1].at) > maxObservationGap {
		e.announced = e.announced[:0]
	}
	e.announced = append(e.announced, announcedDemand{
		at:   now,
		rate: own,
	})
	horizon := now.Add(-minGrowthDelay - time.Duration(count)*growthDelayPerNode)
	if e.announced[0].at.After(horizon) {
		return 0
	}
	for len(e.announced) > 1 && !e.announced[1].at.After(horizon) {
		e.announced = e.announced[1:]
	}
	lowest := own
	for _, a := range e.announced {
		lowest = min(lowest, a.rate)
	}
	return lowest
}

// Phase returns the position of this node among the nodes that share the limits, from 0 to 1.
// The positions of all nodes are spread evenly.
func (e *ShareEstimator) Phase() float64 {
	return e.phase
}

// Share returns the part of the limits that this node may use, above 0 and at most 1.
func (e *ShareEstimator) Share() float64 {
	if e.share <= 0 {
		return 1 / float64(unsettledFleetSize)
	}
	return e.share
}
