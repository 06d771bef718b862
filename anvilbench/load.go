package anvilbench

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// backgroundSerial is the first number of calls that belong to no query.
const backgroundSerial = 1 << 30

// load plans the arrivals of all streams.
func (f *fleet) load() {
	purpose := uint64(seedStreams)
	for i := range f.scenario.Deployment.Services {
		s := &f.scenario.Deployment.Services[i]
		for j := range s.Streams {
			stream := &s.Streams[j]
			result := f.result.stream(stream.Label)
			rate := f.scenario.queryRate(s) * stream.Share
			f.arrivals(source(f.seed, purpose), rate, func() { f.offer(s.Name, stream, result) })
			purpose++
		}
		if f.scenario.OriginRate > 0 {
			f.loadBackground(s)
		}
	}
}

// arrivals runs a function at the instants of a Poisson process with the given
// rate per second, until the end of the measurement.
func (f *fleet) arrivals(random *rand.Rand, rate float64, arrive func()) {
	gap := func() time.Duration {
		return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	end := f.scenario.WarmUp + f.scenario.Measure
	var next func()
	next = func() {
		if f.clock.now >= end {
			return
		}
		arrive()
		f.clock.after(gap(), next)
	}
	f.clock.after(gap(), next)
}

// loadBackground brings the leafs to the load of the scenario with calls of
// origins that are not part of the run.
func (f *fleet) loadBackground(s *Service) {
	random := source(f.seed, seedBackground)
	calls := f.scenario.callRate(s) - f.scenario.OriginRate*float64(s.Shards)
	f.arrivals(random, calls, func() {
		l := f.leafs[random.IntN(len(f.leafs))]
		at := f.nodes[random.IntN(len(f.nodes))]
		share := random.Float64()
		for i := range s.Streams {
			if share -= s.Streams[i].Share; share < 0 {
				f.submitBackground(at, l, &s.Streams[i].Class)
				return
			}
		}
	})
}

func (f *fleet) submitBackground(at *node, l *leaf, class *anvilmodel.Class) {
	r := f.dispatcherFor(at, l)
	f.background++
	r.submit(anvilmodel.Call{
		ID: anvilmodel.CallID{
			Attempt: int(f.background),
		},
		Leaf:     l.config.Name,
		Service:  l.service.Name,
		Class:    class.Name,
		Priority: class.Priority,
		Snapshot: 1,
		Shard:    l.holdings[0].Shard,
		Timeout:  class.Timeout - class.ReturnReserve,
		Body:     binary.BigEndian.AppendUint64(nil, backgroundSerial+f.background),
	})
}
