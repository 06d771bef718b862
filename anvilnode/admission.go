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
	patientShare = 0.6
	broadShare   = 0.85
	// admissionRetryAfter is told to callers refused for overload.
	admissionRetryAfter = 250 * time.Millisecond
)

// admission bounds the queries that the node works on as origin.
type admission struct {
	mu      sync.Mutex
	limit   int
	current int
}

func newAdmission(limit int) *admission {
	return &admission{
		limit: limit,
	}
}

// enter admits a query or returns a refusal. An admitted query calls leave.
func (a *admission) enter(id anvilmodel.RequestID, mode anvilmodel.Mode) *anvilmodel.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if float64(a.current) < float64(a.limit)*share(mode) {
		a.current++
		return nil
	}
	return &anvilmodel.Refusal{
		RequestID:  id,
		Reason:     anvilmodel.ReasonOverload,
		RunState:   anvilmodel.RunStateNotRun,
		Detail:     fmt.Sprintf("the node works on %d queries, its limit for %s classes is reached", a.current, mode),
		RetryAfter: admissionRetryAfter,
	}
}

func (a *admission) leave() {
	a.mu.Lock()
	a.current--
	a.mu.Unlock()
}

// inFlight returns the number of admitted queries.
func (a *admission) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// load returns the used share of the limit.
func (a *admission) load() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(a.current) / float64(a.limit)
}

func share(mode anvilmodel.Mode) float64 {
	switch mode {
	case anvilmodel.ModePatient:
		return patientShare
	case anvilmodel.ModeBroad:
		return broadShare
	default:
		return 1
	}
}
