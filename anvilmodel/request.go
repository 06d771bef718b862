package anvilmodel

import "time"

// RequestID identifies a request. It is chosen by the caller.
type RequestID string

// ClassName names a request class of the configuration.
type ClassName string

// Mode is the trade-off of a request class between coverage and latency.
type Mode int

// Modes of a request class.
const (
	// ModeBroad waits for full coverage as long as the deadline permits.
	ModeBroad Mode = iota + 1
	// ModeUrgent does not wait for full coverage once the coverage floor is reached.
	ModeUrgent
	// ModePatient tolerates the longest waits: its calls are hedged later, and it is
	// the first to be refused under overload.
	ModePatient
)

// String returns the name used in the configuration.
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
	// Priority orders the classes under overload: the lowest is refused first.
	Priority int
	// Timeout is the longest timeout that a caller may request.
	Timeout time.Duration
	// CoverageFloor is the share of shards, from 0 to 1, at which an urgent
	// query stops waiting for more shards.
	CoverageFloor float64
	// ReturnReserve is the part of the timeout that is reserved for transmitting the
	// answer to the caller.
	ReturnReserve time.Duration
	// NonIdempotent marks requests that may run at most once.
	NonIdempotent bool
}

// Request is a validated request of a caller.
type Request struct {
	ID      RequestID
	Service ServiceName
	Class   Class
	// Timeout is the time that was left when the request arrived.
	Timeout time.Duration
	// Ticket is empty for idempotent classes.
	Ticket Ticket
	// Key selects a single shard, which depends on the shard count of the snapshot.
	// If it is empty, the request addresses all shards.
	Key  string
	Body []byte
}

// Ticket binds a non-idempotent request to the node incarnation that may run it.
type Ticket struct {
	Incarnation Incarnation
	// Epoch is the number of ticket periods since the node started.
	Epoch uint32
	ID    string
}

// IsZero reports whether there is no ticket.
func (t Ticket) IsZero() bool {
	return t.ID == ""
}
