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
	sim *simulation
}

// Loads of the scenarios, as shares of what the slots can do.
const (
	// spareLoad is the highest load at which the loss of one leaf of a shard
	// leaves the other one at 0.8.
	lowLoad    = 0.4
	highLoad   = 0.8
	excessLoad = 1.3
	// designLoad is that of the leafs of the design size.
	designLoad = 0.6
)

// designRate is the share of one of 410 nodes in 84,000 queries per second.
const designRate = 205

const (
	warmUpTime  = time.Second
	measureTime = 4 * time.Second
	// drain lets the last queries of the measurement end.
	drainTime = 1500 * time.Millisecond
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
	v.adjustClasses(&s.Deployment)
	sim := newSimulation(&s, &v, seed)
	sim.scheduleLoad()
	if s.Faults != nil {
		s.Faults(&Faults{
			sim: sim,
		})
	}
	sim.clock.runUntil(s.WarmUp + s.Measure + drainTime)
	sim.collectResults()
	return sim.result
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	var all []Scenario
	for _, d := range []Deployment{Sfax(), Scotland()} {
		all = append(all, steadyScenarios(d)...)
		all = append(all, stragglerScenarios(d)...)
		all = append(all, outageScenarios(d)...)
	}
	return append(all, designScenario())
}

func newScenario(d Deployment, name string, load float64, faults func(*Faults)) Scenario {
	return Scenario{
		Name:       d.Name + "/" + name,
		Deployment: d,
		Load:       load,
		WarmUp:     warmUpTime,
		Measure:    measureTime,
		Overload:   load > 1,
		Faults:     faults,
	}
}

func (s Scenario) withMeasure(d time.Duration) Scenario {
	s.Measure = d
	return s
}

func (s Scenario) withOverload() Scenario {
	s.Overload = true
	return s
}

func (s Scenario) withSilentCacheLoss() Scenario {
	s.SilentCacheLoss = true
	return s
}

func steadyScenarios(d Deployment) []Scenario {
	return []Scenario{
		newScenario(d, "steady-0.4", lowLoad, nil),
		newScenario(d, "steady-0.8", highLoad, nil),
		newScenario(d, "shedding-1.3", excessLoad, nil).withMeasure(3 * time.Second),
		newScenario(d, "roll-out", lowLoad, scheduleRollOuts).withMeasure(6 * time.Second),
	}
}

func stragglerScenarios(d Deployment) []Scenario {
	return []Scenario{
		newScenario(d, "one-slow-leaf", lowLoad, func(f *Faults) {
			f.slowLeafs(1, 10, 0, measureTime)
		}),
		newScenario(d, "slow-leafs-5%", lowLoad, func(f *Faults) {
			f.slowLeafs(len(f.sim.leafsOfService(0))/20, 10, 0, measureTime)
		}),
		newScenario(d, "hedge-storm", lowLoad, func(f *Faults) {
			f.slowLeafs(len(f.sim.leafsOfService(0)), 4, time.Second, 2500*time.Millisecond)
		}).withOverload(),
	}
}

func outageScenarios(d Deployment) []Scenario {
	domain := d.Domains[0]
	return []Scenario{
		newScenario(d, "cold-start-0.4", lowLoad, func(f *Faults) { f.restartLeafs(4, time.Second) }),
		newScenario(d, "cold-start-0.8", highLoad, func(f *Faults) { f.restartLeafs(4, time.Second) }).withOverload(),
		newScenario(d, "cold-again", lowLoad, func(f *Faults) { f.clearCaches(4, time.Second) }).withSilentCacheLoss(),
		newScenario(d, "node-crashed", lowLoad, func(f *Faults) { f.crashNode(1, time.Second) }),
		newScenario(d, "node-lost", lowLoad, func(f *Faults) { f.loseNode(1, time.Second) }),
		newScenario(d, "domain-lost", lowLoad, func(f *Faults) {
			f.sim.loseDomain(domain, f.simTime(time.Second), f.simTime(4*time.Second))
		}).withMeasure(7 * time.Second),
		newScenario(d, "domain-out", lowLoad, func(f *Faults) {
			f.sim.takeDomainOut(domain, f.simTime(500*time.Millisecond), f.simTime(4500*time.Millisecond))
		}).withMeasure(7 * time.Second),
	}
}

func designScenario() Scenario {
	s := newScenario(FanOut(), "fan-out-99", designLoad, nil).withMeasure(2 * time.Second)
	s.Origins = 1
	s.OriginRate = designRate
	return s
}

// rollOuts rolls out a snapshot of the same shards, then one of a third fewer.
// One reply in a hundred comes from the wrong snapshot.
func scheduleRollOuts(f *Faults) {
	leafs := f.sim.leafsOfService(0)
	shards := leafs[0].service.Shards
	for _, l := range leafs {
		l.wrongSnapshotShare = 0.01
	}
	f.sim.rollOutSnapshot(0, 2, shards, f.simTime(500*time.Millisecond), time.Second)
	f.sim.rollOutSnapshot(0, 3, shards*2/3, f.simTime(3*time.Second), time.Second)
}

// instant returns the instant at a time since the measurement began.
func (f *Faults) simTime(since time.Duration) time.Duration {
	return f.sim.scenario.WarmUp + since
}

// slowLeafs makes leafs of different shards slower by a factor for a while.
func (f *Faults) slowLeafs(count int, factor float64, from, to time.Duration) {
	f.sim.slowLeafs(f.sim.leafsOfService(0)[:count], factor, f.simTime(from), f.simTime(to))
}

// restart restarts leafs of different shards.
func (f *Faults) restartLeafs(count int, at time.Duration) {
	f.sim.restartLeafs(f.sim.leafsOfService(0)[:count], f.simTime(at))
}

// chill empties the caches of leafs of different shards without a sign.
func (f *Faults) clearCaches(count int, at time.Duration) {
	f.sim.clearCaches(f.sim.leafsOfService(0)[:count], f.simTime(at))
}

func (f *Faults) crashNode(index int, at time.Duration) {
	f.sim.clock.scheduleAt(f.simTime(at), func() { f.sim.crashNode(index) })
}

func (f *Faults) loseNode(index int, at time.Duration) {
	f.sim.clock.scheduleAt(f.simTime(at), func() { f.sim.loseNode(index) })
}
