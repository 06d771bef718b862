package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Config.
const (
	defaultQueuePerSlot    = 4
	defaultCallGracePeriod = 100 * time.Millisecond
	defaultConnectTime     = 6 * time.Millisecond
)

// Config holds the settings of a dispatcher.
type Config struct {
	Leaf anvilmodel.LeafName
	// Slots is the number of calls that the leaf runs at a time; at least 1.
	Slots int
	// Share is this node's part of the leaf's capacity.
	Share Share
	// MaxLimit bounds the adaptive limit; 0 means twice the slots.
	MaxLimit int
	// ColdDuration is the minimum time that a leaf stays cold after its
	// incarnation was first seen or after it returned to service.
	ColdDuration time.Duration
	// QuietPeriod is the time after the start of the dispatcher, and after an
	// increase of Share.ColdConcurrency, in which nothing is sent to a cold
	// leaf. It is the longest class timeout, because calls of the node that had
	// the share before may run that long.
	QuietPeriod time.Duration
	// QueuePerSlot bounds the queue to this many calls per slot; 0 means 4.
	QueuePerSlot int
	// ConnectTime is the usual time to open a connection; 0 means 6 ms.
	ConnectTime time.Duration
	// CallGracePeriod is the time after its deadline in which an unanswered
	// call still counts as running at the leaf; 0 means 100 ms.
	CallGracePeriod time.Duration
	// LimitRule adapts the limit of a warm leaf; nil means DefaultLimitRule.
	LimitRule LimitRule
	// Audit receives the state changes that the dispatcher makes on its own;
	// nil discards them.
	Audit func(Event)
}

// Share is the part of a leaf's capacity that is allotted to one node.
type Share struct {
	// Connections bounds the connections of this node to the leaf, including
	// the control connection; at least 2.
	Connections int
	// ColdConcurrency is the number of calls that this node may have in flight
	// while the leaf is cold; it may be 0.
	ColdConcurrency int
	// PropagationTime is the time that other nodes may need to learn of the
	// same assignment. It is added to the quiet period when ColdConcurrency
	// grows.
	PropagationTime time.Duration
}

// maxCallConnections returns the maximum number of connections that carry
// calls.
func (s Share) maxCallConnections() int {
	return max(s.Connections-1, 1)
}

// withDefaults returns c with defaults in place of zero values.
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
		c.CallGracePeriod = defaultCallGracePeriod
	}
	if c.LimitRule == nil {
		c.LimitRule = DefaultLimitRule
	}
	if c.Audit == nil {
		c.Audit = func(Event) {}
	}
	return c
}

// maxQueueLength returns the maximum number of waiting calls.
func (c Config) maxQueueLength() int {
	return c.Slots * c.QueuePerSlot
}
