package anvilbench

import (
	"math"
	"math/rand/v2"
	"time"
)

// mean returns the mean service time.
func (t ServiceTimes) mean() time.Duration {
	base := float64(t.Median) * math.Exp(t.Sigma*t.Sigma/2)
	return time.Duration(base * (1 + t.StragglerShare*(t.StragglerFactor-1)))
}

// sample returns the service time of a call. It depends only on the seed, the
// leaf and the query, so that all variants have the same stragglers.
func (t ServiceTimes) sample(seed, leaf, query uint64) time.Duration {
	r := rand.New(rand.NewPCG(seed, leaf<<32|query))
	duration := float64(t.Median) * math.Exp(t.Sigma*r.NormFloat64())
	if r.Float64() < t.StragglerShare {
		duration *= t.StragglerFactor
	}
	return time.Duration(duration)
}
