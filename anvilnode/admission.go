package anvilnode

import (
	"fmt"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
)

// Shares of the node's query limit up to which queries of a mode are admitted. Patient
// and broad queries are refused first, so that capacity remains for urgent ones.
const (
	patientLimitShare = 0.6
	broadLimitShare   = 0.85
	// overloadRetryAfter is the retry delay in refusals for overload.
	overloadRetryAfter = 250 * time.Millisecond
)

// admission limits the number of queries that the node processes as their origin.
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

// admit admits a query, or returns a refusal. Each admitted query must be released
// once.
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

// utilization returns the number of admitted queries divided by the limit.
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
