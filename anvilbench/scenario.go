// Package anvilbench measures the decisions of the query and leaf cores against
// baselines, in virtual time. It is a bench of the policy: one event heap joins
// the cores of a few nodes with fake leafs. Membership and the spread of the
// configuration are constants.
package anvilbench

import "time"

// Scenario is one run: a deployment, the load on it, and what goes wrong.
type Scenario struct {
	Name       string
	Deployment Deployment
	// Load is the offered share of what the slots of each service can do.
	Load float64
	// WarmUp is the time before the measurement, Measure its length.
	WarmUp  time.Duration
	Measure time.Duration
	// Origins is how many nodes callers know; 0 means all.
	Origins int
	// OriginRate, if set, is the rate of queries per second. The rest of the load
	// consists of calls of origins outside of the run.
	OriginRate float64
	// Overload says that a part of the load exceeds what is left of the slots, so
	// that the bounds on answers do not hold.
	Overload bool
	// SilentCacheLoss says that leafs turn cold without a sign, so that calls beyond
	// what they can handle are on their way to them already.
	SilentCacheLoss bool
	// Faults plans what goes wrong; nil means nothing.
	Faults func(f *Faults)
}

// Faults plans the faults of a run. Instants are times since the measurement
// began.
type Faults struct {
	fleet *fleet
}

// Loads of the scenarios, as shares of what the slots can do.
const (
	// spareLoad is the highest load at which the loss of one leaf of a shard
	// leaves the other one at 0.8.
	spareLoad = 0.4
	fullLoad  = 0.8
	overLoad  = 1.3
	// designLoad is that of the leafs of the design size.
	designLoad = 0.6
)

// designRate is the share of one of 410 nodes in 84,000 queries per second.
const designRate = 205

const (
	warmUp  = time.Second
	measure = 4 * time.Second
	// drain lets the last queries of the measurement end.
	drain = 1500 * time.Millisecond
)

// queryRate returns the queries per second of a service.
func (s *Scenario) queryRate(service *Service) float64 {
	if s.OriginRate > 0 {
		return s.OriginRate
	}
	return s.callRate(service) / float64(service.Shards)
}

// callRate returns the leaf calls per second of a service.
func (s *Scenario) callRate(service *Service) float64 {
	capacity := float64(service.Slots*service.Leafs) / service.ServiceTimes.mean().Seconds()
	return s.Load * capacity
}

// Run runs a scenario once. The same arguments give the same result.
func Run(s Scenario, v Variant, seed uint64) *Result {
	v.apply(&s.Deployment)
	f := newFleet(&s, &v, seed)
	f.load()
	if s.Faults != nil {
		s.Faults(&Faults{
			fleet: f,
		})
	}
	f.clock.runUntil(s.WarmUp + s.Measure + drain)
	f.settle()
	return f.result
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	var all []Scenario
	for _, d := range []Deployment{Sfax(), Scotland()} {
		all = append(all, healthy(d)...)
		all = append(all, stragglers(d)...)
		all = append(all, outages(d)...)
	}
	return append(all, designScenario())
}

func scenario(d Deployment, name string, load float64, faults func(*Faults)) Scenario {
	return Scenario{
		Name:       d.Name + "/" + name,
		Deployment: d,
		Load:       load,
		WarmUp:     warmUp,
		Measure:    measure,
		Overload:   load > 1,
		Faults:     faults,
	}
}

func (s Scenario) lasting(d time.Duration) Scenario {
	s.Measure = d
	return s
}

func (s Scenario) overloaded() Scenario {
	s.Overload = true
	return s
}

func (s Scenario) unannounced() Scenario {
	s.SilentCacheLoss = true
	return s
}

func healthy(d Deployment) []Scenario {
	return []Scenario{
		scenario(d, "steady-0.4", spareLoad, nil),
		scenario(d, "steady-0.8", fullLoad, nil),
		scenario(d, "shedding-1.3", overLoad, nil).lasting(3 * time.Second),
		scenario(d, "roll-out", spareLoad, rollOuts).lasting(6 * time.Second),
	}
}

func stragglers(d Deployment) []Scenario {
	return []Scenario{
		scenario(d, "one-slow-leaf", spareLoad, func(f *Faults) {
			f.slowLeafs(1, 10, 0, measure)
		}),
		scenario(d, "slow-leafs-5%", spareLoad, func(f *Faults) {
			f.slowLeafs(len(f.fleet.leafsOf(0))/20, 10, 0, measure)
		}),
		scenario(d, "hedge-storm", spareLoad, func(f *Faults) {
			f.slowLeafs(len(f.fleet.leafsOf(0)), 4, time.Second, 2500*time.Millisecond)
		}).overloaded(),
	}
}

func outages(d Deployment) []Scenario {
	domain := d.Domains[0]
	return []Scenario{
		scenario(d, "cold-start-0.4", spareLoad, func(f *Faults) { f.restart(4, time.Second) }),
		scenario(d, "cold-start-0.8", fullLoad, func(f *Faults) { f.restart(4, time.Second) }).overloaded(),
		scenario(d, "cold-again", spareLoad, func(f *Faults) { f.chill(4, time.Second) }).unannounced(),
		scenario(d, "node-crashed", spareLoad, func(f *Faults) { f.crashNode(1, time.Second) }),
		scenario(d, "node-lost", spareLoad, func(f *Faults) { f.loseNode(1, time.Second) }),
		scenario(d, "domain-lost", spareLoad, func(f *Faults) {
			f.fleet.loseDomain(domain, f.instant(time.Second), f.instant(4*time.Second))
		}).lasting(7 * time.Second),
		scenario(d, "domain-out", spareLoad, func(f *Faults) {
			f.fleet.takeOut(domain, f.instant(500*time.Millisecond), f.instant(4500*time.Millisecond))
		}).lasting(7 * time.Second),
	}
}

func designScenario() Scenario {
	s := scenario(FanOut(), "fan-out-99", designLoad, nil).lasting(2 * time.Second)
	s.Origins = 1
	s.OriginRate = designRate
	return s
}

// rollOuts rolls out a snapshot of the same shards, then one of a third fewer.
// One reply in a hundred comes from the wrong snapshot.
func rollOuts(f *Faults) {
	leafs := f.fleet.leafsOf(0)
	shards := leafs[0].service.Shards
	for _, l := range leafs {
		l.strays = 0.01
	}
	f.fleet.rollOut(0, 2, shards, f.instant(500*time.Millisecond), time.Second)
	f.fleet.rollOut(0, 3, shards*2/3, f.instant(3*time.Second), time.Second)
}

// instant returns the instant at a time since the measurement began.
func (f *Faults) instant(since time.Duration) time.Duration {
	return f.fleet.scenario.WarmUp + since
}

// slowLeafs makes leafs of different shards slower by a factor for a while.
func (f *Faults) slowLeafs(count int, factor float64, from, to time.Duration) {
	f.fleet.slow(f.fleet.leafsOf(0)[:count], factor, f.instant(from), f.instant(to))
}

// restart restarts leafs of different shards.
func (f *Faults) restart(count int, at time.Duration) {
	f.fleet.restartLeafs(f.fleet.leafsOf(0)[:count], f.instant(at))
}

// chill empties the caches of leafs of different shards without a sign.
func (f *Faults) chill(count int, at time.Duration) {
	f.fleet.chill(f.fleet.leafsOf(0)[:count], f.instant(at))
}

func (f *Faults) crashNode(index int, at time.Duration) {
	f.fleet.clock.at(f.instant(at), func() { f.fleet.crashNode(index) })
}

func (f *Faults) loseNode(index int, at time.Duration) {
	f.fleet.clock.at(f.instant(at), func() { f.fleet.loseNode(index) })
}
