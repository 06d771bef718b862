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

// Config holds the settings of an Origin. Zero fields take the defaults; a budget
// of zero can be set with SetBudgets.
type Config struct {
	// Incarnation identifies this node's process; it is part of every call id.
	Incarnation anvilmodel.Incarnation
	// Random is the source of all random choices. The default is a source seeded
	// with the incarnation.
	Random *rand.Rand
	// HedgeQuantile is the quantile, from 0 to 1, of the measured call latencies
	// after which a call counts as late and may be hedged.
	HedgeQuantile float64
	// HedgeBudget is the number of hedges allowed per primary call, from 0 to 1.
	HedgeBudget float64
	// HedgeBurst is the maximum number of unused hedges that a service can
	// accumulate.
	HedgeBurst float64
	// RetryBudget is the number of retries allowed per primary call, from 0 to 1.
	RetryBudget float64
	// RetryBurst is the maximum number of unused retries that a service can
	// accumulate. A service starts with this number.
	RetryBurst float64
	// MinHedgeDelay is the shortest time after which a call is hedged.
	MinHedgeDelay time.Duration
	// LatencyWindow is the time after which older latencies are discarded, once
	// enough newer samples are available.
	LatencyWindow time.Duration
	// RetryAfter is returned in refusals for which no more specific time is known.
	RetryAfter time.Duration
	// MaxShards is the largest shard count that is accepted from a leaf, at most
	// DefaultMaxShards. Holdings with a larger count are ignored.
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
