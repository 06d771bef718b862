package anvilquery

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// Defaults of Config.
const (
	DefaultHedgeQuantile = 0.95
	DefaultHedgeBudget   = 0.05
	DefaultHedgeBurst    = 10
	DefaultRetryBudget   = 0.10
	DefaultRetryBurst    = 10
	DefaultMinHedgeDelay = time.Millisecond
	DefaultLatencyWindow = 5 * time.Second
	DefaultRetryAfter    = 100 * time.Millisecond
	DefaultMaxShards     = 2048
)

// Config holds what an Origin is created with. Zero fields take the defaults; a
// budget of zero can be set with SetBudgets.
type Config struct {
	// Incarnation is that of this node; it is part of every call id.
	Incarnation anvilmodel.Incarnation
	// Random is the source of all random choices. When nil, a source seeded with
	// the incarnation is used.
	Random *rand.Rand
	// HedgeQuantile is the quantile of the learned latency, from 0 to 1, after
	// which a call is late.
	HedgeQuantile float64
	// HedgeBudget is the number of hedges that one primary call earns, from 0 to 1.
	HedgeBudget float64
	// HedgeBurst is the most hedges that a service can save up.
	HedgeBurst float64
	// RetryBudget is the number of retries that one primary call earns, from 0 to 1.
	RetryBudget float64
	// RetryBurst is the most retries that a service can save up, and what it
	// starts with.
	RetryBurst float64
	// MinHedgeDelay is the shortest time after which a call is hedged.
	MinHedgeDelay time.Duration
	// LatencyWindow is the time after which older latencies are forgotten, once
	// enough newer ones are known.
	LatencyWindow time.Duration
	// RetryAfter is stated in refusals for which no better time is known.
	RetryAfter time.Duration
	// MaxShards is the largest shard count that is believed, at most
	// DefaultMaxShards.
	MaxShards int
}

func (c Config) withDefaults() Config {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(uint64(c.Incarnation), 0))
	}
	c.HedgeQuantile = valueOrDefault(c.HedgeQuantile, DefaultHedgeQuantile)
	c.HedgeBudget = valueOrDefault(c.HedgeBudget, DefaultHedgeBudget)
	c.HedgeBurst = valueOrDefault(c.HedgeBurst, DefaultHedgeBurst)
	c.RetryBudget = valueOrDefault(c.RetryBudget, DefaultRetryBudget)
	c.RetryBurst = valueOrDefault(c.RetryBurst, DefaultRetryBurst)
	c.MinHedgeDelay = valueOrDefault(c.MinHedgeDelay, DefaultMinHedgeDelay)
	c.LatencyWindow = valueOrDefault(c.LatencyWindow, DefaultLatencyWindow)
	c.RetryAfter = valueOrDefault(c.RetryAfter, DefaultRetryAfter)
	c.MaxShards = min(valueOrDefault(c.MaxShards, DefaultMaxShards), DefaultMaxShards)
	return c
}

func valueOrDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
