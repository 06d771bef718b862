package anvilbench

import (
	"time"

	"anvilbridge/anvilmodel"
)

// Times that the bench takes for what it does not model. Membership probes once
// a second and spreads a suspicion within another; a configuration spreads
// within a second, addresses live for 2 s.
const (
	detectLeast     = 800 * time.Millisecond
	detectMost      = 2 * time.Second
	rejoinLeast     = 200 * time.Millisecond
	rejoinMost      = time.Second
	spreadMost      = time.Second
	addressLifetime = 2 * time.Second
	// processStart is the time from the end of a leaf process to the next one.
	processStart = 200 * time.Millisecond
	// outGrace is when a failure domain that was taken out must get no more calls.
	outGrace = 3 * time.Second
)

// between draws a time in a range.
func (f *fleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.faults.Int64N(int64(most-least)))
}

// leafsOf returns the leafs of a service, by its position.
func (f *fleet) leafsOf(service int) []*leaf {
	s := &f.scenario.Deployment.Services[service]
	var leafs []*leaf
	for _, l := range f.leafs {
		if l.service == s {
			leafs = append(leafs, l)
		}
	}
	return leafs
}

// slow makes leafs slower by a factor for a while.
func (f *fleet) slow(leafs []*leaf, factor float64, from, to time.Duration) {
	f.clock.at(from, func() {
		for _, l := range leafs {
			l.slow = factor
		}
	})
	f.clock.at(to, func() {
		for _, l := range leafs {
			l.slow = 1
		}
	})
}

// chill empties the caches of leafs, which do not notice it themselves.
func (f *fleet) chill(leafs []*leaf, at time.Duration) {
	f.clock.at(at, func() {
		for _, l := range leafs {
			l.process.chill()
		}
	})
}

// restartLeafs replaces the processes of leafs; the new ones are cold.
func (f *fleet) restartLeafs(leafs []*leaf, at time.Duration) {
	f.clock.at(at, func() {
		for _, l := range leafs {
			l.kill(false)
		}
	})
	f.clock.at(at+processStart, func() {
		for _, l := range leafs {
			l.start(true)
		}
	})
}

// loseNode ends a node without a sign; the others find out by and by. Callers
// use the next address at once.
func (f *fleet) loseNode(index int) {
	f.nodes[index].end()
	f.suspect(index)
}

// crashNode ends a node's process on a VM that goes on, so that its streams
// break and new connections are refused.
func (f *fleet) crashNode(index int) {
	lost := f.nodes[index]
	lost.refuses = true
	lost.end()
	for _, n := range f.nodes {
		if n.index != index {
			f.clock.at(f.network.arrival(lost, n, f.clock.now), func() { n.broke(lost) })
		}
	}
	f.suspect(index)
}

// suspect lets the other nodes learn by and by that a node is gone.
func (f *fleet) suspect(index int) {
	for _, n := range f.nodes {
		if n.index != index {
			f.clock.after(f.between(detectLeast, detectMost), func() { n.usable[index] = f.nodes[index].named })
		}
	}
}

// returnNode starts a new process in a slot.
func (f *fleet) returnNode(index int) {
	old := f.nodes[index]
	n := f.newNode(index, old.incarnation+anvilmodel.Incarnation(len(f.nodes)))
	n.named = false
	for _, m := range f.nodes {
		n.usable[m.index] = !m.dead
	}
	f.nodes[index] = n
	f.byIncarnation[n.incarnation] = n
	n.begin()
	for _, m := range f.nodes {
		if m.index != index {
			f.clock.after(f.between(rejoinLeast, rejoinMost), func() { m.usable[index] = !n.dead })
		}
	}
	f.clock.after(rejoinMost, func() { n.named = true })
}

// loseDomain loses a failure domain with its nodes and leafs, and returns it
// with new processes.
func (f *fleet) loseDomain(domain anvilmodel.FailureDomain, from, to time.Duration) {
	f.clock.at(from, func() {
		for _, l := range f.leafs {
			if l.config.FailureDomain == domain {
				l.kill(true)
				l.unreachable = true
			}
		}
		f.eachNode(domain, f.loseNode)
	})
	f.clock.at(to, func() {
		for _, l := range f.leafs {
			if l.config.FailureDomain == domain {
				l.unreachable = false
				l.start(true)
			}
		}
		f.eachNode(domain, f.returnNode)
	})
}

func (f *fleet) eachNode(domain anvilmodel.FailureDomain, use func(int)) {
	for i, d := range f.scenario.Deployment.Nodes {
		if d == domain {
			use(i)
		}
	}
}

// takeOut takes a failure domain out of service and returns it. Its leafs lose
// their caches meanwhile, in the same processes.
func (f *fleet) takeOut(domain anvilmodel.FailureDomain, from, to time.Duration) {
	f.clock.at(from, func() {
		f.setOut(domain, true)
		for _, l := range f.leafs {
			if l.config.FailureDomain == domain {
				f.forbidden[l] = f.clock.now + outGrace
			}
		}
		f.clock.after(addressLifetime, func() { f.eachNode(domain, func(i int) { f.nodes[i].named = false }) })
	})
	f.clock.at(to, func() {
		for _, l := range f.leafs {
			if l.config.FailureDomain == domain {
				delete(f.forbidden, l)
				l.process.chill()
			}
		}
		f.setOut(domain, false)
		f.eachNode(domain, func(i int) { f.nodes[i].named = true })
	})
}

// setOut brings the setting to every node at its own time.
func (f *fleet) setOut(domain anvilmodel.FailureDomain, out bool) {
	for _, n := range f.nodes {
		f.clock.after(f.between(0, spreadMost), func() {
			for _, l := range f.leafs {
				if l.config.FailureDomain != domain {
					continue
				}
				n.origin.SetUsable(l.config.Name, !out)
				if r := n.runners[l]; r != nil {
					r.do(r.dispatcher.SetOut(out, f.clock.time(), f.leafActions[:0]))
				}
			}
		})
	}
}

// rollOut gives every leaf of a service a new snapshot within a time, and takes
// the old one away in the same time after the last has got the new one. Leaf i
// holds shard i modulo the shard count; leafs that are left over hold nothing.
func (f *fleet) rollOut(service int, snapshot anvilmodel.Snapshot, shards int, from, within time.Duration) {
	leafs := f.leafsOf(service)
	f.addSnapshot(leafs[0].service, snapshot, shards)
	whole := len(leafs) / shards * shards
	for i, l := range leafs {
		if i < whole {
			f.clock.at(from+f.between(0, within), func() { l.hold(snapshot, i%shards, shards) })
		}
		f.clock.at(from+within+f.between(0, within), func() { l.drop(snapshot - 1) })
	}
}
