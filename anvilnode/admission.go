package anvilnode

import (
	"fmt"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
)

// Shares of the node's query limit up to which a class is admitted. The lowest
// class is refused first, so that urgent work keeps its room.
const (
	patientLimitShare = 0.6
	broadLimitShare   = 0.85
	// admissionRetryAfter is told to callers refused for overload.
	overloadRetryAfter = 250 * time.Millisecond
)

// admission bounds the queries that the node works on as origin.
type admission struct {
	mu       sync.Mutex
	limit    int
	admitted int
}

func newAdmission(limit int) *admission {
	return &admission{
		limit: limit,
	}
}

// enter admits a query or returns a refusal. An admitted query calls leave.
func (a *admission) admit(id anvilmodel.RequestID, mode anvilmodel.Mode) *anvilmodel.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if float64(a.admitted) < float64(a.limit)*limitShare(mode) {
		a.admitted++
		return nil
	}
	return &anvilmodel.Refusal{
		RequestID:  id,
		Reason:     anvilmodel.ReasonOverload,
		RunState:   anvilmodel.RunStateNotRun,
		Detail:     fmt.Sprintf("the node works on %d queries, its limit for %s classes is reached", a.admitted, mode),
		RetryAfter: overloadRetryAfter,
	}
}

func (a *admission) release() {
	a.mu.Lock()
	a.admitted--
	a.mu.Unlock()
}

// inFlight returns the number of admitted queries.
func (a *admission) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitted
}

// load returns the used share of the limit.
func (a *admission) utilization() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(a.admitted) / float64(a.limit)
}

func limitShare(mode anvilmodel.Mode) float64 {
	switch mode {
	case anvilmodel.ModePatient:
		return patientLimitShare
	case anvilmodel.ModeBroad:
		return broadLimitShare
	default:
		return 1
	}
}
