package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

// EventKind is the kind of a state change that the dispatcher made on its own.
type EventKind string

// Kinds of audit events.
const (
	EventCold             EventKind = "leaf-cold"
	EventWarm             EventKind = "leaf-warm"
	EventNewIncarnation   EventKind = "leaf-incarnation"
	EventBreakerOpen      EventKind = "breaker-open"
	EventBreakerClosed    EventKind = "breaker-closed"
	EventSilentConnection EventKind = "connection-silent"
	EventDraining         EventKind = "leaf-draining"
	EventPause            EventKind = "pause"
)

// Event is an entry of the audit trail.
type Event struct {
	At          time.Time
	Leaf        anvilmodel.LeafName
	Kind        EventKind
	Cause       string
	Incarnation anvilmodel.Incarnation
	// Connection is set for EventSilentConnection.
	Connection int
}
