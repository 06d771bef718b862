package anvilticket

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Config, and bounds.
const (
	defaultPeriod = 30 * time.Second
	// defaultCapacity holds the tickets of three epochs at 364 a second, over
	// the 205 queries a second that a node receives at the design size.
	defaultCapacity     = 32768
	defaultVoidFactor   = 8
	defaultOutcomeBytes = 4096
	defaultTotalBytes   = 16 << 20
	// maximumID is the greatest length of a ticket id in bytes.
	maximumID = 64
)

// Config holds the settings of a register.
type Config struct {
	// Incarnation is the node's own.
	Incarnation anvilmodel.Incarnation
	// StartTime is when the incarnation started, with its monotonic reading.
	StartTime time.Time
	// EpochLength is the length of an epoch; 0 means 30 s.
	EpochLength time.Duration
	// Capacity bounds the used tickets kept at a time; 0 means 32,768.
	Capacity int
	// VoidCapacity bounds the void tickets kept at a time; 0 means 8 times Capacity.
	VoidCapacity int
	// MaxOutcomeBytes bounds one recorded answer; a larger one is kept as its
	// digest. 0 means 4,096.
	MaxOutcomeBytes int
	// MaxTotalBytes bounds all recorded answers together; what comes over it is
	// kept as its digest. 0 means 16 MiB.
	MaxTotalBytes int
}

// withDefaults fills in what was left zero.
func (c Config) withDefaults() Config {
	if c.EpochLength == 0 {
		c.EpochLength = defaultPeriod
	}
	if c.Capacity == 0 {
		c.Capacity = defaultCapacity
	}
	if c.VoidCapacity == 0 {
		c.VoidCapacity = defaultVoidFactor * c.Capacity
	}
	if c.MaxOutcomeBytes == 0 {
		c.MaxOutcomeBytes = defaultOutcomeBytes
	}
	if c.MaxTotalBytes == 0 {
		c.MaxTotalBytes = defaultTotalBytes
	}
	return c
}
