package anvilmember

import (
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
)

// Actions collects the work that calls of a Membership leave to its owner. The
// owner may call Reset and reuse it.
type Actions struct {
	Probes    []Probe
	Responses []Response
	Events    []Event
}

// Reset empties the slices and keeps their capacity for reuse.
func (a *Actions) Reset() {
	a.Probes = a.Probes[:0]
	a.Responses = a.Responses[:0]
	a.Events = a.Events[:0]
}

// Probe is a request that the owner has to send. The owner reports the outcome by
// calling HandleProbeReply or HandleProbeFailure with the same ID; late reports are
// ignored.
type Probe struct {
	ID uint64
	// To is the member expected at Address.
	To      anvilmodel.VMName
	Address netip.AddrPort
	// Timeout is how long the owner waits for a reply.
	Timeout time.Duration
	Request ProbeRequest
}

// Response is the answer to the request passed to HandleProbeRequest with Token. The
// owner has to send it.
type Response struct {
	Token uint64
	// Refused means that the owner sends an error instead of Reply: the process
	// paused, was superseded or is overloaded, or cannot probe the target.
	Refused bool
	Reply   ProbeReply
}

// EventKind classifies an Event.
type EventKind int

// Event kinds.
const (
	// EventJoined means that a new member or a new incarnation became known.
	EventJoined EventKind = iota + 1
	// EventSuspected means that a first witness could not reach a member.
	EventSuspected
	// EventRefuted means that the suspicion of a member or of this node ended.
	EventRefuted
	// EventDead means that a member was declared dead.
	EventDead
	// EventReturned means that a member whose status was dead or unknown is alive again.
	EventReturned
	// EventLeaving means that a member announced its shutdown or is listed as leaving.
	EventLeaving
	// EventReplaced means that a later process took the member's slot or address.
	EventReplaced
	// EventSuperseded means that a later process replaced this one, which has to stop.
	EventSuperseded
	// EventPaused means that this process did not run for longer than the pause
	// threshold.
	EventPaused
	// EventAnnounced means that the incarnation of this process became final.
	EventAnnounced
)

var eventNames = map[EventKind]string{
	EventJoined:     "member-joined",
	EventSuspected:  "member-suspected",
	EventRefuted:    "member-refuted",
	EventDead:       "member-dead",
	EventReturned:   "member-returned",
	EventLeaving:    "member-leaving",
	EventReplaced:   "member-replaced",
	EventSuperseded: "self-superseded",
	EventPaused:     "self-paused",
	EventAnnounced:  "self-announced",
}

// String returns the name used in logs.
func (kind EventKind) String() string {
	return eventNames[kind]
}

// Event is a membership change for logs and the audit trail.
type Event struct {
	Kind        EventKind
	Member      anvilmodel.VMName
	Slot        anvilmodel.SlotName
	Incarnation anvilmodel.Incarnation
	// Cause is a short description of what led to the change.
	Cause string
	// Witnesses are the members that could not reach Member, if that is the cause.
	Witnesses []anvilmodel.VMName
}
