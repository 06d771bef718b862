package anvilbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilassign"
	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// Purposes of the random sources. Each purpose has its own source, so that more
// draws for one purpose do not change the values drawn for another.
const (
	purposeNetwork = iota + 1
	purposeFaults
	purposeMisc
	purposeFixedHedges
	purposeBackground
	// purposeStreams is the purpose of the first stream. The other streams use the
	// numbers that follow.
	purposeStreams
)

// simulation holds the state of one run.
type simulation struct {
	scenario *Scenario
	variant  *Variant
	seed     uint64
	clock    clock
	network  *network
	table    *anvilassign.Table
	result   *Result

	leafConfigs  []anvilmodel.Leaf
	leaves       []*leaf
	leavesByName map[anvilmodel.LeafName]*leaf
	// nodes holds the current process of each entry slot; runners holds the
	// dispatchers by leaf index and slot index.
	nodes              []*node
	nodeIndexBySlot    map[anvilmodel.SlotName]int
	nodesByIncarnation map[anvilmodel.Incarnation]*node
	runners            [][]*dispatcherRunner
	queries            []*query
	backgroundCalls    uint64
	// shardCounts holds the number of shards of each snapshot.
	shardCounts map[snapshotKey]int
	// domainOutFrom holds, for each leaf of a failure domain that is out of
	// service, the time from which it must receive no calls.
	domainOutFrom map[*leaf]time.Duration

	faultRandom      *rand.Rand
	miscRandom       *rand.Rand
	fixedHedgeRandom *rand.Rand
	// queryActions and leafActions are reused buffers. They are free whenever no
	// action is being executed.
	queryActions []anvilquery.Action
	leafActions  []anvilleaf.Action
}

type snapshotKey struct {
	service  anvilmodel.ServiceName
	snapshot anvilmodel.Snapshot
}

func slotName(index int) anvilmodel.SlotName {
	return anvilmodel.SlotName(fmt.Sprintf("entry-%d", index+1))
}

// newRandom returns the random source for a purpose.
func newRandom(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}

// newSimulation returns a simulation in which all leaves are warm and the nodes
// know it.
func newSimulation(s *Scenario, v *Variant, seed uint64) *simulation {
	sim := &simulation{
		scenario:           s,
		variant:            v,
		seed:               seed,
		network:            newNetwork(&s.Deployment, newRandom(seed, purposeNetwork)),
		result:             newResult(s, v, seed),
		leavesByName:       make(map[anvilmodel.LeafName]*leaf),
		nodeIndexBySlot:    make(map[anvilmodel.SlotName]int),
		nodesByIncarnation: make(map[anvilmodel.Incarnation]*node),
		shardCounts:        make(map[snapshotKey]int),
		domainOutFrom:      make(map[*leaf]time.Duration),
		faultRandom:        newRandom(seed, purposeFaults),
		miscRandom:         newRandom(seed, purposeMisc),
		fixedHedgeRandom:   newRandom(seed, purposeFixedHedges),
	}
	for i := range s.Deployment.Services {
		sim.addService(&s.Deployment.Services[i])
	}
	sim.buildAssignment()
	for i := range s.Deployment.Nodes {
		n := sim.newNode(i, anvilmodel.Incarnation(i+1))
		sim.nodes = append(sim.nodes, n)
		sim.nodesByIncarnation[n.incarnation] = n
	}
	for _, n := range sim.nodes {
		n.startDispatchers()
	}
	sim.announceLeaves()
	return sim
}

func (sim *simulation) addService(s *Service) {
	sim.addSnapshot(s, 1, s.Shards)
	for i, c := range sim.scenario.Deployment.leafConfigs(s) {
		l := &leaf{
			sim:      sim,
			index:    len(sim.leaves),
			config:   c,
			service:  s,
			slowdown: 1,
		}
		l.startProcess(false)
		l.addHolding(1, i%s.Shards, s.Shards)
		sim.leafConfigs = append(sim.leafConfigs, c)
		sim.leaves = append(sim.leaves, l)
		sim.leavesByName[c.Name] = l
		sim.runners = append(sim.runners, make([]*dispatcherRunner, len(sim.scenario.Deployment.Nodes)))
	}
}

func (sim *simulation) addSnapshot(s *Service, snapshot anvilmodel.Snapshot, shards int) {
	sim.shardCounts[snapshotKey{
		service:  s.Name,
		snapshot: snapshot,
	}] = shards
}

// buildAssignment builds the table that assigns leaves to candidate dispatchers.
func (sim *simulation) buildAssignment() {
	d := &sim.scenario.Deployment
	c := anvilassign.Config{
		Leaves: sim.leafConfigs,
		Limits: make(map[anvilmodel.ServiceName]anvilassign.Limits),
	}
	for i, domain := range d.Nodes {
		sim.nodeIndexBySlot[slotName(i)] = i
		c.Slots = append(c.Slots, anvilassign.Slot{
			Name:          slotName(i),
			FailureDomain: domain,
		})
	}
	for _, s := range d.Services {
		c.Limits[s.Name] = anvilassign.Limits{
			Connections:     s.Connections,
			ColdConcurrency: s.ColdConcurrency,
		}
	}
	sim.table = anvilassign.New(c)
}

// announceLeaves gives every node the state of all leaves, including that they are
// warm.
func (sim *simulation) announceLeaves() {
	for _, l := range sim.leaves {
		state := l.process.state()
		for _, n := range sim.nodes {
			n.observeState(state)
			if r := n.runners[l]; r != nil {
				r.adoptAssessment(state)
			}
		}
	}
}

// dispatcherFor returns the dispatcher that node n uses for calls to leaf l. It
// returns nil if n considers no candidate usable.
func (sim *simulation) dispatcherFor(n *node, l *leaf) *dispatcherRunner {
	if sim.variant.AllNodesDispatch {
		return n.runners[l]
	}
	for _, c := range sim.table.Candidates(l.config.Name) {
		i := sim.nodeIndexBySlot[c.Slot]
		if n.reachable(i) {
			return sim.runners[l.index][i]
		}
	}
	return nil
}

// pickAdvertisedNode returns a random node that is advertised to callers, or nil.
func (sim *simulation) pickAdvertisedNode() *node {
	var picked *node
	count := 0
	for i, n := range sim.nodes {
		if !n.advertised || sim.scenario.Origins > 0 && i >= sim.scenario.Origins {
			continue
		}
		count++
		if sim.miscRandom.IntN(count) == 0 {
			picked = n
		}
	}
	return picked
}

// countSent counts a call sent by an origin.
func (sim *simulation) countSent(call *anvilmodel.Call) {
	q := sim.queries[queryNumber(call)]
	if !q.measured {
		return
	}
	q.result.CallsSent++
	switch {
	case call.Hedge:
		sim.result.Hedges++
	case call.Retry:
		sim.result.Retries++
	default:
		sim.result.Primaries++
	}
}

// countReceived counts a call that reached a leaf.
func (sim *simulation) countReceived(l *leaf, call *anvilmodel.Call) {
	if from, ok := sim.domainOutFrom[l]; ok && sim.clock.now >= from {
		sim.result.CallsToDomainOut++
	}
	n := queryNumber(call)
	if n < firstBackgroundNumber && sim.queries[n].measured {
		sim.result.CallsReceived++
	}
}

// markRan records that a leaf started to process a call of a query.
func (sim *simulation) markRan(call *anvilmodel.Call) {
	if n := queryNumber(call); n < firstBackgroundNumber {
		sim.queries[n].ran = true
	}
}
