package anvilbench

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Times that the bench takes for what it does not model. Membership probes once
// a second and spreads a suspicion within another; a configuration spreads
// within a second, addresses live for 2 s.
const (
	detectionMin    = 800 * time.Millisecond
	detectionMax    = 2 * time.Second
	rejoinMin       = 200 * time.Millisecond
	rejoinMax       = time.Second
	configSpreadMax = time.Second
	addressLifetime = 2 * time.Second
	// processStart is the time from the end of a leaf process to the next one.
	processRestartTime = 200 * time.Millisecond
	// outGrace is when a failure domain that was taken out must get no more calls.
	domainOutGrace = 3 * time.Second
)

// between draws a time in a range.
func (sim *simulation) randomBetween(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(sim.faultRandom.Int64N(int64(longest-shortest)))
}

// leafsOf returns the leafs of a service, by its position.
func (sim *simulation) leafsOfService(service int) []*leaf {
	s := &sim.scenario.Deployment.Services[service]
	var leafs []*leaf
	for _, l := range sim.leafs {
		if l.service == s {
			leafs = append(leafs, l)
		}
	}
	return leafs
}

// slow makes leafs slower by a factor for a while.
func (sim *simulation) slowLeafs(leafs []*leaf, factor float64, from, to time.Duration) {
	sim.clock.scheduleAt(from, func() {
		for _, l := range leafs {
			l.slowdown = factor
		}
	})
	sim.clock.scheduleAt(to, func() {
		for _, l := range leafs {
			l.slowdown = 1
		}
	})
}

// chill empties the caches of leafs, which do not notice it themselves.
func (sim *simulation) clearCaches(leafs []*leaf, at time.Duration) {
	sim.clock.scheduleAt(at, func() {
		for _, l := range leafs {
			l.process.clearCaches()
		}
	})
}

// restartLeafs replaces the processes of leafs; the new ones are cold.
func (sim *simulation) restartLeafs(leafs []*leaf, at time.Duration) {
	sim.clock.scheduleAt(at, func() {
		for _, l := range leafs {
			l.killProcess(false)
		}
	})
	sim.clock.scheduleAt(at+processRestartTime, func() {
		for _, l := range leafs {
			l.startProcess(true)
		}
	})
}

// loseNode ends a node without a sign; the others find out by and by. Callers
// use the next address at once.
func (sim *simulation) loseNode(index int) {
	sim.nodes[index].stop()
	sim.scheduleDetection(index)
}

// crashNode ends a node's process on a VM that goes on, so that its streams
// break and new connections are refused.
func (sim *simulation) crashNode(index int) {
	crashed := sim.nodes[index]
	crashed.refusesConnections = true
	crashed.stop()
	for _, n := range sim.nodes {
		if n.index != index {
			sim.clock.scheduleAt(sim.network.arrivalTime(crashed, n, sim.clock.now), func() { n.streamBroken(crashed) })
		}
	}
	sim.scheduleDetection(index)
}

// suspect lets the other nodes learn by and by that a node is gone.
func (sim *simulation) scheduleDetection(index int) {
	for _, n := range sim.nodes {
		if n.index != index {
			sim.clock.scheduleAfter(sim.randomBetween(detectionMin, detectionMax), func() { n.usable[index] = sim.nodes[index].advertised })
		}
	}
}

// returnNode starts a new process in a slot.
func (sim *simulation) restartNode(index int) {
	previous := sim.nodes[index]
	n := sim.newNode(index, previous.incarnation+anvilmodel.Incarnation(len(sim.nodes)))
	n.advertised = false
	for _, peer := range sim.nodes {
		n.usable[peer.index] = !peer.dead
	}
	sim.nodes[index] = n
	sim.nodesByIncarnation[n.incarnation] = n
	n.startDispatchers()
	for _, peer := range sim.nodes {
		if peer.index != index {
			sim.clock.scheduleAfter(sim.randomBetween(rejoinMin, rejoinMax), func() { peer.usable[index] = !n.dead })
		}
	}
	sim.clock.scheduleAfter(rejoinMax, func() { n.advertised = true })
}

// loseDomain loses a failure domain with its nodes and leafs, and returns it
// with new processes.
func (sim *simulation) loseDomain(domain anvilmodel.FailureDomain, from, to time.Duration) {
	sim.clock.scheduleAt(from, func() {
		for _, l := range sim.leafs {
			if l.config.FailureDomain == domain {
				l.killProcess(true)
				l.unreachable = true
			}
		}
		sim.forEachNode(domain, sim.loseNode)
	})
	sim.clock.scheduleAt(to, func() {
		for _, l := range sim.leafs {
			if l.config.FailureDomain == domain {
				l.unreachable = false
				l.startProcess(true)
			}
		}
		sim.forEachNode(domain, sim.restartNode)
	})
}

func (sim *simulation) forEachNode(domain anvilmodel.FailureDomain, do func(int)) {
	for i, d := range sim.scenario.Deployment.Nodes {
		if d == domain {
			do(i)
		}
	}
}

// takeOut takes a failure domain out of service and returns it. Its leafs lose
// their caches meanwhile, in the same processes.
func (sim *simulation) takeDomainOut(domain anvilmodel.FailureDomain, from, to time.Duration) {
	sim.clock.scheduleAt(from, func() {
		sim.applyDomainOut(domain, true)
		for _, l := range sim.leafs {
			if l.config.FailureDomain == domain {
				sim.domainOutFrom[l] = sim.clock.now + domainOutGrace
			}
		}
		sim.clock.scheduleAfter(addressLifetime, func() { sim.forEachNode(domain, func(i int) { sim.nodes[i].advertised = false }) })
	})
	sim.clock.scheduleAt(to, func() {
		for _, l := range sim.leafs {
			if l.config.FailureDomain == domain {
				delete(sim.domainOutFrom, l)
				l.process.clearCaches()
			}
		}
		sim.applyDomainOut(domain, false)
		sim.forEachNode(domain, func(i int) { sim.nodes[i].advertised = true })
	})
}

// setOut brings the setting to every node at its own time.
func (sim *simulation) applyDomainOut(domain anvilmodel.FailureDomain, out bool) {
	for _, n := range sim.nodes {
		sim.clock.scheduleAfter(sim.randomBetween(0, configSpreadMax), func() {
			for _, l := range sim.leafs {
				if l.config.FailureDomain != domain {
					continue
				}
				n.origin.SetUsable(l.config.Name, !out)
				if r := n.runners[l]; r != nil {
					r.executeActions(r.dispatcher.SetOut(out, sim.clock.time(), sim.leafActions[:0]))
				}
			}
		})
	}
}

// rollOut gives every leaf of a service a new snapshot within a time, and takes
// the old one away in the same time after the last has got the new one. Leaf i
// holds shard i modulo the shard count; leafs that are left over hold nothing.
func (sim *simulation) rollOutSnapshot(service int, snapshot anvilmodel.Snapshot, shards int, from, within time.Duration) {
	leafs := sim.leafsOfService(service)
	sim.addSnapshot(leafs[0].service, snapshot, shards)
	assigned := len(leafs) / shards * shards
	for i, l := range leafs {
		if i < assigned {
			sim.clock.scheduleAt(from+sim.randomBetween(0, within), func() { l.addHolding(snapshot, i%shards, shards) })
		}
		sim.clock.scheduleAt(from+within+sim.randomBetween(0, within), func() { l.removeHolding(snapshot - 1) })
	}
}
