package anvilbench

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// firstBackgroundNumber is the lowest number of calls that belong to no query.
const firstBackgroundNumber = 1 << 30

// scheduleLoad schedules the query arrivals of all streams.
func (sim *simulation) scheduleLoad() {
	purpose := uint64(purposeStreams)
	for i := range sim.scenario.Deployment.Services {
		s := &sim.scenario.Deployment.Services[i]
		for j := range s.Streams {
			stream := &s.Streams[j]
			result := sim.result.findStream(stream.Label)
			rate := sim.scenario.queryRate(s) * stream.Share
			sim.scheduleArrivals(newRandom(sim.seed, purpose), rate, func() { sim.sendQuery(s.Name, stream, result) })
			purpose++
		}
		if sim.scenario.OriginRate > 0 {
			sim.scheduleBackgroundLoad(s)
		}
	}
}

// scheduleArrivals calls arrive at the arrival times of a Poisson process with
// the given rate per second, until the end of the measurement.
func (sim *simulation) scheduleArrivals(random *rand.Rand, rate float64, arrive func()) {
	interval := func() time.Duration {
		return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	end := sim.scenario.WarmUp + sim.scenario.Measure
	var next func()
	next = func() {
		if sim.clock.now >= end {
			return
		}
		arrive()
		sim.clock.scheduleAfter(interval(), next)
	}
	sim.clock.scheduleAfter(interval(), next)
}

// scheduleBackgroundLoad raises the load of the leaves to that of the scenario,
// with calls from origins that are not simulated.
func (sim *simulation) scheduleBackgroundLoad(s *Service) {
	random := newRandom(sim.seed, purposeBackground)
	rate := sim.scenario.callRate(s) - sim.scenario.OriginRate*float64(s.Shards)
	sim.scheduleArrivals(random, rate, func() {
		l := sim.leaves[random.IntN(len(sim.leaves))]
		n := sim.nodes[random.IntN(len(sim.nodes))]
		fraction := random.Float64()
		for i := range s.Streams {
			if fraction -= s.Streams[i].Share; fraction < 0 {
				sim.submitBackground(n, l, &s.Streams[i].Class)
				return
			}
		}
	})
}

func (sim *simulation) submitBackground(n *node, l *leaf, class *anvilmodel.Class) {
	r := sim.dispatcherFor(n, l)
	sim.backgroundCalls++
	r.submit(anvilmodel.Call{
		ID: anvilmodel.CallID{
			Attempt: int(sim.backgroundCalls),
		},
		Leaf:     l.config.Name,
		Service:  l.service.Name,
		Class:    class.Name,
		Priority: class.Priority,
		Snapshot: 1,
		Shard:    l.holdings[0].Shard,
		Timeout:  class.Timeout - class.ReturnReserve,
		Body:     binary.BigEndian.AppendUint64(nil, firstBackgroundNumber+sim.backgroundCalls),
	})
}
