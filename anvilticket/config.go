package anvilticket

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Config and limits.
const (
	defaultEpochLength = 30 * time.Second
	// defaultCapacity holds the tickets of three epochs at 364 per second,
	// above the 205 queries per second that a node receives at the design size.
	defaultCapacity        = 32768
	defaultVoidFactor      = 8
	defaultMaxOutcomeBytes = 4096
	defaultMaxTotalBytes   = 16 << 20
	// maxIDLength is the maximum length of a ticket id in bytes.
	maxIDLength = 64
)

// Config holds the settings of a register.
type Config struct {
	// Incarnation is the node's own incarnation.
	Incarnation anvilmodel.Incarnation
	// StartTime is when the incarnation started, including the monotonic clock
	// reading.
	StartTime time.Time
	// EpochLength is the length of an epoch; 0 means 30 s.
	EpochLength time.Duration
	// Capacity bounds the number of used tickets; 0 means 32,768.
	Capacity int
	// VoidCapacity bounds the number of void tickets; 0 means 8 times Capacity.
	VoidCapacity int
	// MaxOutcomeBytes bounds one recorded answer; of a larger one only the
	// digest is kept. 0 means 4,096.
	MaxOutcomeBytes int
	// MaxTotalBytes bounds all recorded answers together; of answers beyond it
	// only the digest is kept. 0 means 16 MiB.
	MaxTotalBytes int
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.EpochLength == 0 {
		c.EpochLength = defaultEpochLength
	}
	if c.Capacity == 0 {
		c.Capacity = defaultCapacity
	}
	if c.VoidCapacity == 0 {
		c.VoidCapacity = defaultVoidFactor * c.Capacity
	}
	if c.MaxOutcomeBytes == 0 {
		c.MaxOutcomeBytes = defaultMaxOutcomeBytes
	}
	if c.MaxTotalBytes == 0 {
		c.MaxTotalBytes = defaultMaxTotalBytes
	}
	return c
}
