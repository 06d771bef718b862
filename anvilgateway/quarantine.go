package anvilgateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquarantine"
)

// quarantine holds the requests under which leaves have crashed. It is safe for concurrent use.
type quarantine struct {
	log zerolog.Logger

	mu       sync.Mutex
	registry *anvilquarantine.Registry
}

func newQuarantine(log zerolog.Logger) *quarantine {
	return &quarantine{
		log:      log,
		registry: anvilquarantine.New(),
	}
}

// reports returns what to pass on to a node that has stated the digest, and the own digest.
func (q *quarantine) reports(digest uint64, now time.Time) ([]anvilmodel.CrashReport, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.Reports(digest, now), q.registry.Digest(now)
}

// merge records what another node has passed on, and reports whether a request is more
// restricted than before.
func (q *quarantine) merge(reports []anvilmodel.CrashReport, now time.Time) bool {
	if len(reports) == 0 {
		return false
	}
	q.mu.Lock()
	changes := q.registry.Merge(reports, now)
	q.mu.Unlock()
	for _, c := range changes {
		q.logStatus(c.Fingerprint, c.Status, "other node")
	}
	return len(changes) > 0
}

func (q *quarantine) logStatus(f anvilmodel.Fingerprint, status anvilquarantine.Status, source string) {
	line := q.log.Warn().Stringer("fingerprint", f).Str("source", source)
	if status == anvilquarantine.StatusQuarantined {
		line.Str("event", "request-quarantined").Send()
		return
	}
	line.Str("event", "request-suspected").Send()
}

// isEmpty reports whether no request is known, so that fingerprints are not needed.
func (q *quarantine) isEmpty(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.Empty(now)
}

func (q *quarantine) status(f anvilmodel.Fingerprint, now time.Time) (anvilquarantine.Status, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.Status(f, now)
}

// checkQuarantine refuses a quarantined request and makes a suspected one a trial.
func (s *servedRequest) checkQuarantine() *refusal {
	q := s.gateway.quarantine
	now := time.Now()
	if q.isEmpty(now) {
		return nil
	}
	// Another attempt of the request may be in flight.
	s.underSuspicion.Store(true)
	status, remaining := q.status(s.fingerprint(), now)
	switch status {
	case anvilquarantine.StatusQuarantined:
		return newRefusal(http.StatusServiceUnavailable, "request-quarantined", remaining)
	case anvilquarantine.StatusSuspected:
		s.inTrial = true
	case anvilquarantine.StatusAllowed:
	}
	return nil
}

// isSuspected reports whether the request is no longer sent to further leaves.
func (s *servedRequest) isSuspected(now time.Time) bool {
	if !s.underSuspicion.Load() {
		return false
	}
	status, _ := s.gateway.quarantine.status(s.fingerprint(), now)
	return status != anvilquarantine.StatusAllowed
}

// recordCrash records that a leaf has crashed while it had a call of the request, unless a leaf
// has answered the request.
func (s *servedRequest) recordCrash(l anvilbalance.Leaf) {
	if s.answered.Load() {
		return
	}
	q := s.gateway.quarantine
	s.underSuspicion.Store(true)
	q.mu.Lock()
	status, changed := q.registry.RecordCrash(s.fingerprint(), l.Name, l.StartedAt, s.inTrial, time.Now())
	q.mu.Unlock()
	if changed {
		q.logStatus(s.fingerprint(), status, "crash")
	}
	if changed || s.inTrial {
		// Another node may have seen the crash of a trial as well.
		s.gateway.followers.Leaves.NotifyPeers()
	}
}

// recordAnswer records that a leaf has answered the request, which clears it.
func (s *servedRequest) recordAnswer() {
	s.answered.Store(true)
	if !s.underSuspicion.Load() {
		return
	}
	q := s.gateway.quarantine
	q.mu.Lock()
	cleared := q.registry.RecordAnswer(s.fingerprint(), time.Now())
	q.mu.Unlock()
	if cleared {
		q.log.Info().Str("event", "request-cleared").Stringer("fingerprint", s.fingerprint()).Str("request", s.id).Send()
	}
}
