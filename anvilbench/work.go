package anvilbench

import (
	"math"
	"math/rand/v2"
	"time"
)

// mean returns the mean service time.
func (w ServiceTimes) mean() time.Duration {
	body := float64(w.Median) * math.Exp(w.Sigma*w.Sigma/2)
	return time.Duration(body * (1 + w.StragglerShare*(w.StragglerFactor-1)))
}

// draw returns the service time of a call. It is a function of the seed, the
// leaf and the query, so that all variants meet the same stragglers.
func (w ServiceTimes) draw(seed, leaf, query uint64) time.Duration {
	r := rand.New(rand.NewPCG(seed, leaf<<32|query))
	took := float64(w.Median) * math.Exp(w.Sigma*r.NormFloat64())
	if r.Float64() < w.StragglerShare {
		took *= w.StragglerFactor
	}
	return time.Duration(took)
}
