package anvilmember

import (
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
)

// Actions collects what the owner of a Membership has to do. The owner resets
// and reuses it.
type Actions struct {
	Probes    []Probe
	Responses []Response
	Events    []Event
}

// Reset empties the lists and keeps their memory.
func (a *Actions) Reset() {
	a.Probes = a.Probes[:0]
	a.Responses = a.Responses[:0]
	a.Events = a.Events[:0]
}

// Probe asks the owner to send a request. The owner reports the outcome with
// HandleProbeReply or HandleProbeFailure and the same ID; a report that comes too late is
// ignored.
type Probe struct {
	ID uint64
	// To is the member that is expected at the address.
	To      anvilmodel.VMName
	Address netip.AddrPort
	// Timeout is the time after which a reply is no longer of use.
	Timeout time.Duration
	Request ProbeRequest
}

// Response asks the owner to answer the request that was handed over with Token.
type Response struct {
	Token uint64
	// Refused asks for an error instead of a reply: the node cannot say anything,
	// because it paused, was superseded or is overloaded.
	Refused bool
	Reply   ProbeReply
}

// EventKind classifies an Event.
type EventKind int

// Event kinds.
const (
	// EventJoined means that a member or a new incarnation of it was heard of.
	EventJoined EventKind = iota + 1
	// EventSuspected means that a first witness failed to reach a member.
	EventSuspected
	// EventRefuted means that a suspicion ended.
	EventRefuted
	// EventDead means that a member is no longer used.
	EventDead
	// EventReturned means that a dead member was heard of again.
	EventReturned
	// EventLeaving means that a member is shutting down or listed as leaving.
	EventLeaving
	// EventReplaced means that a later process has the member's slot or address.
	EventReplaced
	// EventSuperseded means that this process has been replaced and has to stop.
	EventSuperseded
	// EventPaused means that this process did not run for a while.
	EventPaused
	// EventAnnounced means that this process fixed its incarnation.
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

// String returns the name used in the audit trail.
func (k EventKind) String() string {
	return eventNames[k]
}

// Event is a change for the audit trail.
type Event struct {
	Kind        EventKind
	Member      anvilmodel.VMName
	Slot        anvilmodel.SlotName
	Incarnation anvilmodel.Incarnation
	// Cause says in a few words what led to the change.
	Cause string
	// Witnesses are the members that failed to reach the member, if that is the cause.
	Witnesses []anvilmodel.VMName
}
