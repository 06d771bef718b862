package anvilstandin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// ServiceTime is a lognormal distribution of service times, in which a share
// of the calls are stragglers.
type ServiceTime struct {
	// Median is that of calls that are no stragglers; zero serves at once.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 always takes the median.
	Sigma float64
	// StragglerShare is the share of stragglers, from 0 to 1.
	StragglerShare float64
	// StragglerFactor multiplies the time of a straggler.
	StragglerFactor float64
}

// Draw returns the service time of a call. It is a function of the seed, the
// leaf and the call, so that it does not depend on the order of arrival.
func (s ServiceTime) Draw(seed uint64, leaf anvilmodel.LeafName, id anvilmodel.CallID) time.Duration {
	if s.Median <= 0 {
		return 0
	}
	key := xxhash.Sum64String(string(leaf) + "/" + anvilwire.LeafCallPath(id))
	r := rand.New(rand.NewPCG(seed, key))
	d := float64(s.Median) * math.Exp(s.Sigma*r.NormFloat64())
	if r.Float64() < s.StragglerShare {
		d *= s.StragglerFactor
	}
	return time.Duration(d)
}
