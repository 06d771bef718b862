package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Config.
const (
	defaultQueuePerSlot = 4
	defaultCallMargin   = 100 * time.Millisecond
	defaultConnectTime  = 6 * time.Millisecond
)

// Config holds the settings of a dispatcher.
type Config struct {
	Leaf anvilmodel.LeafName
	// Slots is the number of calls that the leaf runs at a time; at least 1.
	Slots int
	// Share is this node's part of what the leaf can take.
	Share Share
	// MaxLimit bounds the adaptive limit; 0 means twice the slots.
	MaxLimit int
	// ColdDuration is the least time that a leaf stays cold after its
	// incarnation was first seen.
	ColdDuration time.Duration
	// QuietPeriod is the time after the start, and after the cold share has
	// grown, in which nothing is sent to a cold leaf. It is the longest class
	// timeout: calls of a predecessor may run that long.
	QuietPeriod time.Duration
	// QueuePerSlot bounds the queue to this many calls per slot; 0 means 4.
	QueuePerSlot int
	// ConnectTime is how long a new connection usually takes; 0 means 6 ms.
	ConnectTime time.Duration
	// CallGracePeriod is the time after its deadline in which an unanswered call is
	// counted as still running at the leaf; 0 means 100 ms.
	CallGracePeriod time.Duration
	// LimitRule adapts the limit of a warm leaf; nil means DefaultLimitRule.
	LimitRule LimitRule
	// Audit receives the dispatcher's own changes; nil discards them.
	Audit func(Event)
}

// Share is the part of a leaf's capacity that belongs to one node.
type Share struct {
	// Connections bounds the connections of this node to the leaf, including
	// the control connection; at least 2.
	Connections int
	// ColdConcurrency is the number of calls that this node may have in flight while the
	// leaf is cold; it may be 0.
	ColdConcurrency int
	// PropagationTime is the time that other nodes may need to learn of the same
	// assignment. It is added to the quiet period when Cold grows.
	PropagationTime time.Duration
}

// callConnections returns how many connections may carry calls.
func (s Share) callConnections() int {
	return max(s.Connections-1, 1)
}

// withDefaults fills in what was left zero.
func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.MaxLimit == 0 {
		c.MaxLimit = 2 * c.Slots
	}
	c.MaxLimit = max(c.MaxLimit, c.Slots)
	if c.QueuePerSlot == 0 {
		c.QueuePerSlot = defaultQueuePerSlot
	}
	if c.ConnectTime == 0 {
		c.ConnectTime = defaultConnectTime
	}
	if c.CallGracePeriod == 0 {
		c.CallGracePeriod = defaultCallMargin
	}
	if c.LimitRule == nil {
		c.LimitRule = DefaultLimitRule
	}
	if c.Audit == nil {
		c.Audit = func(Event) {}
	}
	return c
}

// queueSize returns the greatest number of waiting calls.
func (c Config) queueSize() int {
	return c.Slots * c.QueuePerSlot
}
