package anvilmodel

import "time"

// RequestID identifies a request of a caller. The caller chooses it.
type RequestID string

// ClassName names a request class of the configuration.
type ClassName string

// Mode says what a request class trades between coverage and time.
type Mode int

// Modes of a request class.
const (
	// ModeBroad waits for full coverage until the last safe moment.
	ModeBroad Mode = iota + 1
	// ModeUrgent answers once the coverage floor is met.
	ModeUrgent
	// ModePatient may wait longest and is refused first.
	ModePatient
)

// String returns the name that the configuration uses.
func (m Mode) String() string {
	switch m {
	case ModeBroad:
		return "broad"
	case ModeUrgent:
		return "urgent"
	case ModePatient:
		return "patient"
	default:
		return "unknown"
	}
}

// Class holds the settings of a request class.
type Class struct {
	Name ClassName
	Mode Mode
	// Priority orders classes under overload; the lowest is refused first.
	Priority int
	// Timeout is the longest time that a caller may ask for.
	Timeout time.Duration
	// CoverageFloor is the share of shards, from 0 to 1, below which an urgent
	// query goes on waiting.
	CoverageFloor float64
	// ReturnReserve is kept back for the answer's way to the caller.
	ReturnReserve time.Duration
	// NonIdempotent marks requests that may run at most once.
	NonIdempotent bool
}

// Request is a validated request of a caller.
type Request struct {
	ID      RequestID
	Service ServiceName
	Class   Class
	// Timeout is the time left when the request arrived.
	Timeout time.Duration
	// Ticket is empty for idempotent classes.
	Ticket Ticket
	// Key addresses the one shard that the key belongs to; empty addresses all
	// shards. Which shard that is depends on the shard count of the snapshot.
	Key  string
	Body []byte
}

// Ticket binds a non-idempotent request to the node incarnation that may run it.
type Ticket struct {
	Incarnation Incarnation
	// Epoch counts ticket periods since the node started.
	Epoch uint32
	ID    string
}

// IsZero reports whether the ticket is absent.
func (t Ticket) IsZero() bool {
	return t.ID == ""
}
