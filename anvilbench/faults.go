package anvilbench

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Delays of the parts that are not simulated. Membership probes once a second and
// distributes a suspicion within another second. A configuration reaches all nodes
// within a second. Callers use an address for up to 2 s.
const (
	detectionMin    = 800 * time.Millisecond
	detectionMax    = 2 * time.Second
	rejoinMin       = 200 * time.Millisecond
	rejoinMax       = time.Second
	configDelayMax  = time.Second
	addressLifetime = 2 * time.Second
	// processRestartTime is the time between the end of a leaf process and the
	// start of the next one.
	processRestartTime = 200 * time.Millisecond
	// domainOutGrace is the time after which a failure domain that was taken out of
	// service must receive no more calls.
	domainOutGrace = 3 * time.Second
)

// randomBetween returns a random duration from shortest to longest.
func (sim *simulation) randomBetween(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(sim.faultRandom.Int64N(int64(longest-shortest)))
}

// leavesOfService returns the leaves of the service at an index of the deployment.
func (sim *simulation) leavesOfService(service int) []*leaf {
	s := &sim.scenario.Deployment.Services[service]
	var leaves []*leaf
	for _, l := range sim.leaves {
		if l.service == s {
			leaves = append(leaves, l)
		}
	}
	return leaves
}

// slowLeaves multiplies the service times of leaves by a factor between two times.
func (sim *simulation) slowLeaves(leaves []*leaf, factor float64, from, to time.Duration) {
	sim.clock.scheduleAt(from, func() {
		for _, l := range leaves {
			l.slowdown = factor
		}
	})
	sim.clock.scheduleAt(to, func() {
		for _, l := range leaves {
			l.slowdown = 1
		}
	})
}

// clearCaches empties the caches of leaves, which do not report it.
func (sim *simulation) clearCaches(leaves []*leaf, at time.Duration) {
	sim.clock.scheduleAt(at, func() {
		for _, l := range leaves {
			l.process.clearCaches()
		}
	})
}

// restartLeaves replaces the processes of leaves; the new ones are cold.
func (sim *simulation) restartLeaves(leaves []*leaf, at time.Duration) {
	sim.clock.scheduleAt(at, func() {
		for _, l := range leaves {
			l.killProcess(false)
		}
	})
	sim.clock.scheduleAt(at+processRestartTime, func() {
		for _, l := range leaves {
			l.startProcess(true)
		}
	})
}

// loseNode stops a node without notice to the other nodes, which detect the loss
// after a delay. Callers stop using the node immediately.
func (sim *simulation) loseNode(index int) {
	sim.nodes[index].stop()
	sim.scheduleDetection(index)
}

// crashNode stops a node's process while its VM keeps running, so that its streams
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

// scheduleDetection makes each of the other nodes detect the loss of a node after
// a random delay.
func (sim *simulation) scheduleDetection(index int) {
	for _, n := range sim.nodes {
		if n.index != index {
			sim.clock.scheduleAfter(sim.randomBetween(detectionMin, detectionMax), func() { n.usable[index] = sim.nodes[index].advertised })
		}
	}
}

// restartNode starts a new node process in an entry slot.
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

// loseDomain stops all nodes and leaves of a failure domain, and starts new
// processes for them later.
func (sim *simulation) loseDomain(domain anvilmodel.FailureDomain, from, to time.Duration) {
	sim.clock.scheduleAt(from, func() {
		for _, l := range sim.leaves {
			if l.config.FailureDomain == domain {
				l.killProcess(true)
				l.unreachable = true
			}
		}
		sim.forEachNode(domain, sim.loseNode)
	})
	sim.clock.scheduleAt(to, func() {
		for _, l := range sim.leaves {
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

// takeDomainOut takes a failure domain out of service and returns it later. Its
// leaves lose their caches in the meantime, but keep their processes.
func (sim *simulation) takeDomainOut(domain anvilmodel.FailureDomain, from, to time.Duration) {
	sim.clock.scheduleAt(from, func() {
		sim.applyDomainOut(domain, true)
		for _, l := range sim.leaves {
			if l.config.FailureDomain == domain {
				sim.domainOutFrom[l] = sim.clock.now + domainOutGrace
			}
		}
		sim.clock.scheduleAfter(addressLifetime, func() { sim.forEachNode(domain, func(i int) { sim.nodes[i].advertised = false }) })
	})
	sim.clock.scheduleAt(to, func() {
		for _, l := range sim.leaves {
			if l.config.FailureDomain == domain {
				delete(sim.domainOutFrom, l)
				l.process.clearCaches()
			}
		}
		sim.applyDomainOut(domain, false)
		sim.forEachNode(domain, func(i int) { sim.nodes[i].advertised = true })
	})
}

// applyDomainOut takes a failure domain out of service at every node or returns it,
// at each node after a random delay.
func (sim *simulation) applyDomainOut(domain anvilmodel.FailureDomain, out bool) {
	for _, n := range sim.nodes {
		sim.clock.scheduleAfter(sim.randomBetween(0, configDelayMax), func() {
			for _, l := range sim.leaves {
				if l.config.FailureDomain != domain {
					continue
				}
				n.origin.SetUsable(l.config.Name, !out)
				if r := n.runners[l]; r != nil {
					r.executeActions(r.dispatcher.SetFailureDomainOut(out, sim.clock.time(), sim.leafActions[:0]))
				}
			}
		})
	}
}

// rollOutSnapshot gives the leaves of a service a new snapshot at random times
// within a period, and removes the old one at random times in a second period of
// the same length. Leaf i holds shard i modulo the shard count; surplus leaves
// hold no shard of the new snapshot.
func (sim *simulation) rollOutSnapshot(service int, snapshot anvilmodel.Snapshot, shards int, from, within time.Duration) {
	leaves := sim.leavesOfService(service)
	sim.addSnapshot(leaves[0].service, snapshot, shards)
	assigned := len(leaves) / shards * shards
	for i, l := range leaves {
		if i < assigned {
			sim.clock.scheduleAt(from+sim.randomBetween(0, within), func() { l.addHolding(snapshot, i%shards, shards) })
		}
		sim.clock.scheduleAt(from+within+sim.randomBetween(0, within), func() { l.removeHolding(snapshot - 1) })
	}
}
