package anvilstandin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// ServiceTime is a log-normal distribution of service times in which some calls
// are stragglers, which take much longer.
type ServiceTime struct {
	// Median is the median service time without stragglers; zero makes all calls
	// complete immediately.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the service time; with 0
	// all calls that are not stragglers take the median.
	Sigma float64
	// StragglerShare is the fraction of calls that are stragglers, from 0 to 1.
	StragglerShare float64
	// StragglerFactor is the factor by which the service time of stragglers is
	// multiplied.
	StragglerFactor float64
}

// Draw returns the random service time of a call. It depends only on the seed, the
// leaf and the call, not on the order in which calls arrive.
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
