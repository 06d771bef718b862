package anvilticket

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

// Epochs that are accepted, counted from the current one.
const (
	epochsBefore   = 2
	epochsAfter    = 1
	epochsAccepted = epochsBefore + 1 + epochsAfter
)

// Register keeps the tickets of one node incarnation. It is not safe for
// concurrent use. Time never runs backwards for it: an earlier reading than the
// last one counts as the last one.
type Register struct {
	config Config
	// epoch is the current one.
	epoch uint32
	// pages holds the accepted epochs, each at its number modulo the length.
	pages [epochsAccepted]page
	// records, voids and bytes count what all pages hold together.
	records int
	voids   int
	bytes   int
}

// page holds the tickets of one epoch.
type page struct {
	records map[string]*record
	// voids holds the hashes of tickets that never run. Two tickets with one
	// hash are void together, which refuses a request but runs none twice.
	voids map[uint64]struct{}
	// closed is set when a ticket could not be kept: from then on every ticket
	// without a record is void.
	closed bool
}

// record is a used ticket.
type record struct {
	bodyDigest uint64
	finished   bool
	outcome    Outcome
}

// New returns an empty register.
func New(c Config) *Register {
	r := &Register{
		config: c.withDefaults(),
	}
	for e := range uint32(epochsAfter + 1) {
		r.page(e).reset()
	}
	return r
}

// Begin claims a ticket for a request with the given body digest. Only after
// DecisionRun may the request run, and its end has to be reported with Finish.
func (r *Register) Begin(t anvilmodel.Ticket, bodyDigest uint64, now time.Time) Decision {
	r.advance(now)
	if t.Incarnation != r.config.Incarnation {
		return Decision{
			Kind: DecisionOtherIncarnation,
		}
	}
	if d, ok := r.refuseForm(t); !ok {
		return d
	}
	p := r.page(t.Epoch)
	if k := p.records[t.ID]; k != nil {
		return k.again(bodyDigest)
	}
	if p.isVoid(t.ID) {
		return refusal(anvilmodel.ReasonTicketUsed, anvilmodel.RunStateNotRun, "the ticket is void; a new request needs a new ticket")
	}
	if r.records >= r.config.Capacity {
		r.void(p, t.ID)
		return refusal(anvilmodel.ReasonOverload, anvilmodel.RunStateNotRun, "the ticket register is full")
	}
	// The id may be part of a larger string, which is not to be kept alive.
	p.records[strings.Clone(t.ID)] = &record{
		bodyDigest: bodyDigest,
	}
	r.records++
	return Decision{
		Kind: DecisionRun,
	}
}

// refuseForm checks what can be said of a ticket without the records.
func (r *Register) refuseForm(t anvilmodel.Ticket) (Decision, bool) {
	if t.ID == "" || len(t.ID) > maximumID {
		// No such ticket ever runs, so this needs no record.
		return refusal(anvilmodel.ReasonBadTicket, anvilmodel.RunStateNotRun, "the ticket id has to be 1 to 64 bytes long"), false
	}
	if !r.accepts(t.Epoch) {
		return refusal(anvilmodel.ReasonBadTicket, anvilmodel.RunStateUnknown, "the ticket's epoch is not accepted, and its record may be gone"), false
	}
	return Decision{}, true
}

// again decides about a ticket that has been used.
func (k *record) again(bodyDigest uint64) Decision {
	if k.bodyDigest != bodyDigest {
		// The ticket is bound to the other body, so this request does not run.
		return refusal(anvilmodel.ReasonBadTicket, anvilmodel.RunStateNotRun, "the ticket was used with another body")
	}
	if !k.finished {
		return Decision{
			Kind: DecisionRunning,
		}
	}
	return Decision{
		Kind:    DecisionRecorded,
		Outcome: k.outcome,
	}
}

// Finish records how the run of a ticket ended, and reports whether it was
// kept. It is not if the ticket is not running here or its epoch is over. A
// request that certainly did not run leaves a void ticket: the caller may have
// used another one by the time a copy of this one arrives.
func (r *Register) Finish(t anvilmodel.Ticket, o Outcome, now time.Time) bool {
	r.advance(now)
	k := r.record(t)
	if k == nil || k.finished {
		return false
	}
	if o.RunState == anvilmodel.RunStateNotRun {
		p := r.page(t.Epoch)
		delete(p.records, t.ID)
		r.records--
		r.void(p, t.ID)
		return true
	}
	o.Size = len(o.Answer)
	o.Digest = xxhash.Sum64(o.Answer)
	if o.Size > r.config.MaxOutcomeBytes || r.bytes+o.Size > r.config.MaxTotalBytes {
		o.Answer = nil
	}
	r.bytes += len(o.Answer)
	k.outcome = o
	k.finished = true
	return true
}

// Lookup answers the outcome query of another node. An unused ticket of an
// accepted epoch becomes void, so that not-run stays true.
func (r *Register) Lookup(t anvilmodel.Ticket, now time.Time) (TicketState, Outcome) {
	r.advance(now)
	if k := r.record(t); k != nil {
		if k.finished {
			return TicketFinished, k.outcome
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

// Void makes an unused ticket void and reports whether it certainly never ran
// and never will. A node calls it whenever it refuses a request with a ticket
// as not-run before Begin: a copy of the request may still be on its way.
func (r *Register) Void(t anvilmodel.Ticket, now time.Time) bool {
	r.advance(now)
	if t.Incarnation != r.config.Incarnation {
		return false
	}
	if _, ok := r.refuseForm(t); !ok || r.record(t) != nil {
		return false
	}
	r.void(r.page(t.Epoch), t.ID)
	return true
}

// Epoch returns the epoch that callers are told now.
func (r *Register) Epoch(now time.Time) uint32 {
	r.advance(now)
	return r.epoch
}

// Usage returns the number of used tickets kept, of void tickets kept, and of
// bytes of recorded answers.
func (r *Register) Usage() (used, void, bytes int) {
	return r.records, r.voids, r.bytes
}

// accepts reports whether tickets of epoch e may be in the register.
func (r *Register) accepts(e uint32) bool {
	return e+epochsBefore >= r.epoch && e <= r.epoch+epochsAfter
}

// page returns the page of an accepted epoch.
func (r *Register) page(e uint32) *page {
	return &r.pages[e%epochsAccepted]
}

// record returns the record of a used ticket, nil if there is none.
func (r *Register) record(t anvilmodel.Ticket) *record {
	if t.Incarnation != r.config.Incarnation || !r.accepts(t.Epoch) {
		return nil
	}
	return r.page(t.Epoch).records[t.ID]
}

// advance moves on to the epoch of now, and forgets those no longer accepted.
// A pause of the process moves it by many epochs at once.
func (r *Register) advance(now time.Time) {
	e := uint32(max(now.Sub(r.config.StartTime), 0) / r.config.EpochLength)
	if e <= r.epoch {
		return
	}
	first := max(r.epoch+epochsAfter+1, e-min(e, epochsBefore))
	r.epoch = e
	for n := first; n <= e+epochsAfter; n++ {
		p := r.page(n)
		r.records -= len(p.records)
		r.voids -= len(p.voids)
		for _, k := range p.records {
			r.bytes -= len(k.outcome.Answer)
		}
		p.reset()
	}
}

// void makes a ticket without a record void. Without room to keep it, the
// whole epoch takes no new tickets any more.
func (r *Register) void(p *page, id string) {
	if p.isVoid(id) {
		return
	}
	if r.voids >= r.config.VoidCapacity {
		p.closed = true
		return
	}
	p.voids[xxhash.Sum64String(id)] = struct{}{}
	r.voids++
}

// isVoid reports whether a ticket without a record never runs.
func (p *page) isVoid(id string) bool {
	if p.closed {
		return true
	}
	_, ok := p.voids[xxhash.Sum64String(id)]
	return ok
}

// reset empties the page for a new epoch.
func (p *page) reset() {
	*p = page{
		records: make(map[string]*record),
		voids:   make(map[uint64]struct{}),
	}
}

// refusal builds the decision that refuses a ticket.
func refusal(reason anvilmodel.RefusalReason, ran anvilmodel.RunState, detail string) Decision {
	return Decision{
		Kind:     DecisionRefused,
		Reason:   reason,
		RunState: ran,
		Detail:   detail,
	}
}
