package anvilticket

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

// Number of epochs whose tickets are accepted, relative to the current one.
const (
	acceptedPastEpochs   = 2
	acceptedFutureEpochs = 1
	acceptedEpochs       = acceptedPastEpochs + 1 + acceptedFutureEpochs
)

// Register holds the tickets of one node incarnation. It is not safe for
// concurrent use. A time earlier than that of the last call is replaced by it.
type Register struct {
	config       Config
	currentEpoch uint32
	// epochs holds the accepted epochs, each at its number modulo the length.
	epochs [acceptedEpochs]epochTickets
	// recordCount, voidCount and answerBytes are totals over all epochs.
	recordCount int
	voidCount   int
	answerBytes int
}

// epochTickets holds the tickets of one epoch.
type epochTickets struct {
	records map[string]*ticketRecord
	// voids holds the hashes of tickets that never run. A hash collision voids
	// the other ticket as well, which refuses a request but runs none twice.
	voids map[uint64]struct{}
	// closed is set when a void ticket could not be stored: from then on, every
	// ticket without a record is void.
	closed bool
}

// ticketRecord is a used ticket.
type ticketRecord struct {
	bodyDigest uint64
	finished   bool
	outcome    Outcome
}

// New returns an empty register.
func New(c Config) *Register {
	r := &Register{
		config: c.withDefaults(),
	}
	for e := range uint32(acceptedFutureEpochs + 1) {
		r.ticketsOf(e).reset()
	}
	return r
}

// Begin claims a ticket for a request with the given body digest. Only after
// DecisionRun may the request run, and its end must be reported with Finish.
func (r *Register) Begin(t anvilmodel.Ticket, bodyDigest uint64, now time.Time) Decision {
	r.advance(now)
	if t.Incarnation != r.config.Incarnation {
		return Decision{
			Kind: DecisionOtherIncarnation,
		}
	}
	if d, ok := r.validate(t); !ok {
		return d
	}
	tickets := r.ticketsOf(t.Epoch)
	if record := tickets.records[t.ID]; record != nil {
		return record.decideRepeat(bodyDigest)
	}
	if tickets.isVoid(t.ID) {
		return refusal(anvilmodel.ReasonTicketUsed, anvilmodel.RunStateNotRun, "the ticket is void; a new request needs a new ticket")
	}
	if r.recordCount >= r.config.Capacity {
		r.markVoid(tickets, t.ID)
		return refusal(anvilmodel.ReasonOverload, anvilmodel.RunStateNotRun, "the ticket register is full")
	}
	// Cloned because the id may be part of a larger string, which would
	// otherwise stay in memory.
	tickets.records[strings.Clone(t.ID)] = &ticketRecord{
		bodyDigest: bodyDigest,
	}
	r.recordCount++
	return Decision{
		Kind: DecisionRun,
	}
}

// validate checks what does not depend on the records: the length of the id and
// the epoch.
func (r *Register) validate(t anvilmodel.Ticket) (Decision, bool) {
	if t.ID == "" || len(t.ID) > maxIDLength {
		// No such ticket ever runs, so it needs no record.
		return refusal(anvilmodel.ReasonBadTicket, anvilmodel.RunStateNotRun, "the ticket id has to be 1 to 64 bytes long"), false
	}
	if !r.accepts(t.Epoch) {
		return refusal(anvilmodel.ReasonBadTicket, anvilmodel.RunStateUnknown, "the ticket's epoch is not accepted, and its record may be gone"), false
	}
	return Decision{}, true
}

// decideRepeat decides on a ticket that was used before.
func (r *ticketRecord) decideRepeat(bodyDigest uint64) Decision {
	if r.bodyDigest != bodyDigest {
		// The ticket belongs to a request with another body, so this request
		// does not run.
		return refusal(anvilmodel.ReasonBadTicket, anvilmodel.RunStateNotRun, "the ticket was used with another body")
	}
	if !r.finished {
		return Decision{
			Kind: DecisionRunning,
		}
	}
	return Decision{
		Kind:    DecisionRecorded,
		Outcome: r.outcome,
	}
}

// Finish records how the run of a ticket ended, and reports whether the outcome
// was kept. It is not kept if the ticket is not running here or its epoch has
// expired. If the request certainly did not run, the ticket becomes void: the
// caller may have repeated the request with a new ticket by the time a copy of
// this one arrives.
func (r *Register) Finish(t anvilmodel.Ticket, o Outcome, now time.Time) bool {
	r.advance(now)
	record := r.findRecord(t)
	if record == nil || record.finished {
		return false
	}
	if o.RunState == anvilmodel.RunStateNotRun {
		tickets := r.ticketsOf(t.Epoch)
		delete(tickets.records, t.ID)
		r.recordCount--
		r.markVoid(tickets, t.ID)
		return true
	}
	o.Size = len(o.Answer)
	o.Digest = xxhash.Sum64(o.Answer)
	if o.Size > r.config.MaxOutcomeBytes || r.answerBytes+o.Size > r.config.MaxTotalBytes {
		o.Answer = nil
	}
	r.answerBytes += len(o.Answer)
	record.outcome = o
	record.finished = true
	return true
}

// Lookup answers the outcome query of another node. It voids an unused ticket
// of an accepted epoch, so that not-run stays true.
func (r *Register) Lookup(t anvilmodel.Ticket, now time.Time) (TicketState, Outcome) {
	r.advance(now)
	if record := r.findRecord(t); record != nil {
		if record.finished {
			return TicketFinished, record.outcome
		}
		return TicketRunning, Outcome{}
	}
	if !r.Void(t, now) {
		return TicketUnknown, Outcome{}
	}
	return TicketVoid, Outcome{
		RunState: anvilmodel.RunStateNotRun,
	}
}

// Void voids an unused ticket and reports whether it certainly never ran and
// never will. A node calls it whenever it refuses a request with a ticket as
// not-run before Begin, because a copy of the request may still be in transit.
func (r *Register) Void(t anvilmodel.Ticket, now time.Time) bool {
	r.advance(now)
	if t.Incarnation != r.config.Incarnation {
		return false
	}
	if _, ok := r.validate(t); !ok || r.findRecord(t) != nil {
		return false
	}
	r.markVoid(r.ticketsOf(t.Epoch), t.ID)
	return true
}

// Epoch returns the current epoch, which callers are told.
func (r *Register) Epoch(now time.Time) uint32 {
	r.advance(now)
	return r.currentEpoch
}

// Usage returns the number of used tickets, of void tickets, and of bytes of
// recorded answers.
func (r *Register) Usage() (used, void, bytes int) {
	return r.recordCount, r.voidCount, r.answerBytes
}

// accepts reports whether tickets of epoch e are accepted.
func (r *Register) accepts(e uint32) bool {
	return e+acceptedPastEpochs >= r.currentEpoch && e <= r.currentEpoch+acceptedFutureEpochs
}

// ticketsOf returns the tickets of an accepted epoch.
func (r *Register) ticketsOf(e uint32) *epochTickets {
	return &r.epochs[e%acceptedEpochs]
}

// findRecord returns the record of a used ticket, nil if there is none.
func (r *Register) findRecord(t anvilmodel.Ticket) *ticketRecord {
	if t.Incarnation != r.config.Incarnation || !r.accepts(t.Epoch) {
		return nil
	}
	return r.ticketsOf(t.Epoch).records[t.ID]
}

// advance makes the epoch at the given time current, and deletes the tickets of
// epochs that are no longer accepted. After a pause of the process, several
// epochs can pass at once.
func (r *Register) advance(now time.Time) {
	e := uint32(max(now.Sub(r.config.StartTime), 0) / r.config.EpochLength)
	if e <= r.currentEpoch {
		return
	}
	first := max(r.currentEpoch+acceptedFutureEpochs+1, e-min(e, acceptedPastEpochs))
	r.currentEpoch = e
	for n := first; n <= e+acceptedFutureEpochs; n++ {
		tickets := r.ticketsOf(n)
		r.recordCount -= len(tickets.records)
		r.voidCount -= len(tickets.voids)
		for _, record := range tickets.records {
			r.answerBytes -= len(record.outcome.Answer)
		}
		tickets.reset()
	}
}

// markVoid voids a ticket that has no record. If there is no room to store it,
// the whole epoch accepts no more new tickets.
func (r *Register) markVoid(tickets *epochTickets, id string) {
	if tickets.isVoid(id) {
		return
	}
	if r.voidCount >= r.config.VoidCapacity {
		tickets.closed = true
		return
	}
	tickets.voids[xxhash.Sum64String(id)] = struct{}{}
	r.voidCount++
}

// isVoid reports whether a ticket without a record never runs.
func (e *epochTickets) isVoid(id string) bool {
	if e.closed {
		return true
	}
	_, ok := e.voids[xxhash.Sum64String(id)]
	return ok
}

// reset removes all tickets for a new epoch.
func (e *epochTickets) reset() {
	*e = epochTickets{
		records: make(map[string]*ticketRecord),
		voids:   make(map[uint64]struct{}),
	}
}

// refusal returns a decision that refuses a ticket.
func refusal(reason anvilmodel.RefusalReason, runState anvilmodel.RunState, detail string) Decision {
	return Decision{
		Kind:     DecisionRefused,
		Reason:   reason,
		RunState: runState,
		Detail:   detail,
	}
}
