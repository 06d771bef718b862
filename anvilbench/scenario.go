// Package anvilbench compares the scheduling policy of anvilquery and anvilleaf
// with baselines in a discrete-event simulation. One event queue drives the real
// query and dispatcher state machines of a few nodes against simulated leaves.
// Membership and the distribution of configuration are not simulated; fixed
// ranges of delays stand in for them.
package anvilbench

import "time"

// Scenario describes one run: the deployment, the load on it and the faults.
type Scenario struct {
	Name       string
	Deployment Deployment
	// Load is the offered load as a share of the capacity of each service's slots.
	Load float64
	// WarmUp is the time before the measurement; Measure is the length of the
	// measurement.
	WarmUp  time.Duration
	Measure time.Duration
	// Origins is the number of nodes that receive queries from callers; 0 means all.
	Origins int
	// OriginRate, if positive, is the number of queries per second. The rest of
	// the load is made up of calls from origins that are not simulated.
	OriginRate float64
	// Overload reports that the load exceeds the available slots at times, so that
	// the bounds on answers of the broad class do not apply.
	Overload bool
	// SilentCacheLoss reports that leaves lose their caches without reporting it.
	// Calls beyond their cold concurrency are then already in flight, so the bound
	// on cold violations does not apply.
	SilentCacheLoss bool
	// Faults schedules the faults of the run; nil means none.
	Faults func(f *Faults)
}

// Faults schedules the faults of a run. Its methods take times since the start
// of the measurement.
type Faults struct {
	sim *simulation
}

// Loads of the scenarios, as shares of the capacity of the slots.
const (
	// lowLoad is the highest load at which one leaf of a shard can take over the
	// load of the other without exceeding 0.8.
	lowLoad    = 0.4
	highLoad   = 0.8
	excessLoad = 1.3
	// designLoad is the load of the leaves at the design size.
	designLoad = 0.6
)

// designRate is the number of queries per second at one of 410 nodes that
// together receive 84,000.
const designRate = 205

const (
	warmUpTime  = time.Second
	measureTime = 4 * time.Second
	// drainTime lets the last queries of the measurement finish.
	drainTime = 1500 * time.Millisecond
)

// queryRate returns the number of queries per second for a service.
func (s *Scenario) queryRate(service *Service) float64 {
	if s.OriginRate > 0 {
		return s.OriginRate
	}
	return s.callRate(service) / float64(service.Shards)
}

// callRate returns the number of leaf calls per second for a service.
func (s *Scenario) callRate(service *Service) float64 {
	capacity := float64(service.Slots*service.Leaves) / service.ServiceTimes.mean().Seconds()
	return s.Load * capacity
}

// Run simulates a scenario once. The result depends only on the arguments.
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
			f.slowLeaves(1, 10, 0, measureTime)
		}),
		newScenario(d, "slow-leafs-5%", lowLoad, func(f *Faults) {
			f.slowLeaves(len(f.sim.leavesOfService(0))/20, 10, 0, measureTime)
		}),
		newScenario(d, "hedge-storm", lowLoad, func(f *Faults) {
			f.slowLeaves(len(f.sim.leavesOfService(0)), 4, time.Second, 2500*time.Millisecond)
		}).withOverload(),
	}
}

func outageScenarios(d Deployment) []Scenario {
	domain := d.Domains[0]
	return []Scenario{
		newScenario(d, "cold-start-0.4", lowLoad, func(f *Faults) { f.restartLeaves(4, time.Second) }),
		newScenario(d, "cold-start-0.8", highLoad, func(f *Faults) { f.restartLeaves(4, time.Second) }).withOverload(),
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

// scheduleRollOuts rolls out a snapshot with the same number of shards, then one
// with a third fewer. One reply in a hundred comes from the wrong snapshot.
func scheduleRollOuts(f *Faults) {
	leaves := f.sim.leavesOfService(0)
	shards := leaves[0].service.Shards
	for _, l := range leaves {
		l.wrongSnapshotShare = 0.01
	}
	f.sim.rollOutSnapshot(0, 2, shards, f.simTime(500*time.Millisecond), time.Second)
	f.sim.rollOutSnapshot(0, 3, shards*2/3, f.simTime(3*time.Second), time.Second)
}

// simTime converts a time since the start of the measurement to simulation time.
func (f *Faults) simTime(since time.Duration) time.Duration {
	return f.sim.scenario.WarmUp + since
}

// slowLeaves multiplies the service times of count leaves, each of a different
// shard, by a factor between two times.
func (f *Faults) slowLeaves(count int, factor float64, from, to time.Duration) {
	f.sim.slowLeaves(f.sim.leavesOfService(0)[:count], factor, f.simTime(from), f.simTime(to))
}

// restartLeaves restarts count leaves, each of a different shard.
func (f *Faults) restartLeaves(count int, at time.Duration) {
	f.sim.restartLeaves(f.sim.leavesOfService(0)[:count], f.simTime(at))
}

// clearCaches empties the caches of count leaves, each of a different shard. The
// leaves do not report it.
func (f *Faults) clearCaches(count int, at time.Duration) {
	f.sim.clearCaches(f.sim.leavesOfService(0)[:count], f.simTime(at))
}

func (f *Faults) crashNode(index int, at time.Duration) {
	f.sim.clock.scheduleAt(f.simTime(at), func() { f.sim.crashNode(index) })
}

func (f *Faults) loseNode(index int, at time.Duration) {
	f.sim.clock.scheduleAt(f.simTime(at), func() { f.sim.loseNode(index) })
}
