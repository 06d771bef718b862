package anvilbalance

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the average of a node's request rate, and
	// minDemandTime the time after the start before which the average is not announced.
	demandTime    = 5 * time.Second
	minDemandTime = time.Second
	// demandTolerance is the factor by which the average must differ from the announced
	// demand. Without it the random differences between seconds would make nodes announce
	// lower demands again and again, and a node's share follows its lowest demand.
	demandTolerance = 1.5
)

// DemandEstimator estimates the requests per second that a node receives from callers. Its
// zero value has seen no request. It is not safe for concurrent use.
type DemandEstimator struct {
	startedAt time.Time
	updatedAt time.Time
	average   float64
	announced float64
}

// Update adds the requests that have arrived since the last update, and returns the demand
// to announce to other nodes.
func (e *DemandEstimator) Update(requests int64, now time.Time) float64 {
	elapsed := now.Sub(e.updatedAt)
	if e.updatedAt.IsZero() || elapsed <= 0 {
		if e.updatedAt.IsZero() {
			e.startedAt = now
			e.updatedAt = now
		}
		return e.announced
	}
	e.updatedAt = now
	age := now.Sub(e.startedAt)
	// Until the age reaches the time constant, all updates have the same weight.
	keep := math.Exp(-float64(elapsed) / float64(demandTime))
	keep = min(keep, float64(age-elapsed)/float64(age))
	e.average = e.average*keep + float64(requests)/elapsed.Seconds()*(1-keep)
	if age >= minDemandTime && (e.average > e.announced*demandTolerance || e.average < e.announced/demandTolerance) {
		e.announced = e.average
	}
	return e.announced
}
