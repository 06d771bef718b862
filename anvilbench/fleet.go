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

// Numbers of the random sources, so that one does not disturb another.
const (
	purposeNetwork = iota + 1
	purposeFaults
	purposeMisc
	purposeFixedHedges
	purposeBackground
	purposeStreams
)

// fleet is everything that takes part in one run.
type simulation struct {
	scenario *Scenario
	variant  *Variant
	seed     uint64
	clock    clock
	network  *network
	table    *anvilassign.Table
	result   *Result

	leafConfigs []anvilmodel.Leaf
	leafs       []*leaf
	leafsByName map[anvilmodel.LeafName]*leaf
	// nodes holds the present process of each slot, runners by leaf and slot its
	// dispatchers.
	nodes              []*node
	nodeIndexBySlot    map[anvilmodel.SlotName]int
	nodesByIncarnation map[anvilmodel.Incarnation]*node
	runners            [][]*dispatcherRunner
	queries            []*query
	backgroundCalls    uint64
	// shards holds the shard count of each snapshot.
	shardCounts map[snapshotKey]int
	// forbidden says by leaf from when on it must not be called.
	domainOutFrom map[*leaf]time.Duration

	faultRandom      *rand.Rand
	miscRandom       *rand.Rand
	fixedHedgeRandom *rand.Rand
	// The buffers are free whenever no action is being carried out.
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

// source returns a random source of its own for a purpose.
func newRandom(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}

// newFleet builds a fleet in which all leafs are warm and known to be.
func newSimulation(s *Scenario, v *Variant, seed uint64) *simulation {
	sim := &simulation{
		scenario:           s,
		variant:            v,
		seed:               seed,
		network:            newNetwork(&s.Deployment, newRandom(seed, purposeNetwork)),
		result:             newResult(s, v, seed),
		leafsByName:        make(map[anvilmodel.LeafName]*leaf),
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
	sim.announceLeafs()
	return sim
}

func (sim *simulation) addService(s *Service) {
	sim.addSnapshot(s, 1, s.Shards)
	for i, c := range sim.scenario.Deployment.leafConfigs(s) {
		l := &leaf{
			sim:      sim,
			index:    len(sim.leafs),
			config:   c,
			service:  s,
			slowdown: 1,
		}
		l.startProcess(false)
		l.addHolding(1, i%s.Shards, s.Shards)
		sim.leafConfigs = append(sim.leafConfigs, c)
		sim.leafs = append(sim.leafs, l)
		sim.leafsByName[c.Name] = l
		sim.runners = append(sim.runners, make([]*dispatcherRunner, len(sim.scenario.Deployment.Nodes)))
	}
}

func (sim *simulation) addSnapshot(s *Service, snapshot anvilmodel.Snapshot, shards int) {
	sim.shardCounts[snapshotKey{
		service:  s.Name,
		snapshot: snapshot,
	}] = shards
}

// assign builds the assignment table from the shape of the deployment.
func (sim *simulation) buildAssignment() {
	d := &sim.scenario.Deployment
	c := anvilassign.Config{
		Leafs:  sim.leafConfigs,
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

// introduce tells every node what the leafs state and that they are warm.
func (sim *simulation) announceLeafs() {
	for _, l := range sim.leafs {
		state := l.process.state()
		for _, n := range sim.nodes {
			n.observeState(state)
			if r := n.runners[l]; r != nil {
				r.adoptAssessment(state)
			}
		}
	}
}

// dispatcherFor returns the runner that a call of a node goes to, nil if the
// node believes no candidate usable.
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

// pickNode returns a node that callers know.
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

// sent counts a call that an origin sends.
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

// received counts a call that reached a leaf.
func (sim *simulation) countReceived(l *leaf, call *anvilmodel.Call) {
	if from, ok := sim.domainOutFrom[l]; ok && sim.clock.now >= from {
		sim.result.CallsToDomainOut++
	}
	n := queryNumber(call)
	if n < firstBackgroundNumber && sim.queries[n].measured {
		sim.result.CallsReceived++
	}
}

// ran notes that a leaf began to work for a query.
func (sim *simulation) markRan(call *anvilmodel.Call) {
	if n := queryNumber(call); n < firstBackgroundNumber {
		sim.queries[n].ran = true
	}
}
