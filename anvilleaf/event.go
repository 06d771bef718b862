package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

// EventKind names a change that the dispatcher made by itself.
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

// Event is one change for the audit trail.
type Event struct {
	At          time.Time
	Leaf        anvilmodel.LeafName
	Kind        EventKind
	Cause       string
	Incarnation anvilmodel.Incarnation
	// Connection is set for EventSilentConnection.
	Connection int
}
