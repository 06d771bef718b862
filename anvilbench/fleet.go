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
	seedNetwork = iota + 1
	seedFaults
	seedOther
	seedCopies
	seedBackground
	seedStreams
)

// fleet is everything that takes part in one run.
type fleet struct {
	scenario *Scenario
	variant  *Variant
	seed     uint64
	clock    clock
	network  *network
	table    *anvilassign.Table
	result   *Result

	configured []anvilmodel.Leaf
	leafs      []*leaf
	byName     map[anvilmodel.LeafName]*leaf
	// nodes holds the present process of each slot, runners by leaf and slot its
	// dispatchers.
	nodes         []*node
	bySlot        map[anvilmodel.SlotName]int
	byIncarnation map[anvilmodel.Incarnation]*node
	runners       [][]*runner
	queries       []*query
	background    uint64
	// shards holds the shard count of each snapshot.
	shards map[shardsOf]int
	// forbidden says by leaf from when on it must not be called.
	forbidden map[*leaf]time.Duration

	faults *rand.Rand
	random *rand.Rand
	copies *rand.Rand
	// The buffers are free whenever no action is being carried out.
	queryActions []anvilquery.Action
	leafActions  []anvilleaf.Action
}

type shardsOf struct {
	service  anvilmodel.ServiceName
	snapshot anvilmodel.Snapshot
}

func slotName(index int) anvilmodel.SlotName {
	return anvilmodel.SlotName(fmt.Sprintf("entry-%d", index+1))
}

// source returns a random source of its own for a purpose.
func source(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}

// newFleet builds a fleet in which all leafs are warm and known to be.
func newFleet(s *Scenario, v *Variant, seed uint64) *fleet {
	f := &fleet{
		scenario:      s,
		variant:       v,
		seed:          seed,
		network:       newNetwork(&s.Deployment, source(seed, seedNetwork)),
		result:        newResult(s, v, seed),
		byName:        make(map[anvilmodel.LeafName]*leaf),
		bySlot:        make(map[anvilmodel.SlotName]int),
		byIncarnation: make(map[anvilmodel.Incarnation]*node),
		shards:        make(map[shardsOf]int),
		forbidden:     make(map[*leaf]time.Duration),
		faults:        source(seed, seedFaults),
		random:        source(seed, seedOther),
		copies:        source(seed, seedCopies),
	}
	for i := range s.Deployment.Services {
		f.addService(&s.Deployment.Services[i])
	}
	f.assign()
	for i := range s.Deployment.Nodes {
		n := f.newNode(i, anvilmodel.Incarnation(i+1))
		f.nodes = append(f.nodes, n)
		f.byIncarnation[n.incarnation] = n
	}
	for _, n := range f.nodes {
		n.begin()
	}
	f.introduce()
	return f
}

func (f *fleet) addService(s *Service) {
	f.addSnapshot(s, 1, s.Shards)
	for i, c := range f.scenario.Deployment.leafs(s) {
		l := &leaf{
			fleet:   f,
			index:   len(f.leafs),
			config:  c,
			service: s,
			slow:    1,
		}
		l.start(false)
		l.hold(1, i%s.Shards, s.Shards)
		f.configured = append(f.configured, c)
		f.leafs = append(f.leafs, l)
		f.byName[c.Name] = l
		f.runners = append(f.runners, make([]*runner, len(f.scenario.Deployment.Nodes)))
	}
}

func (f *fleet) addSnapshot(s *Service, snapshot anvilmodel.Snapshot, shards int) {
	f.shards[shardsOf{
		service:  s.Name,
		snapshot: snapshot,
	}] = shards
}

// assign builds the assignment table from the shape of the deployment.
func (f *fleet) assign() {
	d := &f.scenario.Deployment
	c := anvilassign.Config{
		Leafs:  f.configured,
		Limits: make(map[anvilmodel.ServiceName]anvilassign.Limits),
	}
	for i, domain := range d.Nodes {
		f.bySlot[slotName(i)] = i
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
	f.table = anvilassign.New(c)
}

// introduce tells every node what the leafs state and that they are warm.
func (f *fleet) introduce() {
	for _, l := range f.leafs {
		state := l.process.state()
		for _, n := range f.nodes {
			n.observe(state)
			if r := n.runners[l]; r != nil {
				r.adopt(state)
			}
		}
	}
}

// dispatcherFor returns the runner that a call of a node goes to, nil if the
// node believes no candidate usable.
func (f *fleet) dispatcherFor(n *node, l *leaf) *runner {
	if f.variant.AllNodesDispatch {
		return n.runners[l]
	}
	for _, c := range f.table.Candidates(l.config.Name) {
		i := f.bySlot[c.Slot]
		if n.reachable(i) {
			return f.runners[l.index][i]
		}
	}
	return nil
}

// pickNode returns a node that callers know.
func (f *fleet) pickNode() *node {
	var picked *node
	count := 0
	for i, n := range f.nodes {
		if !n.named || f.scenario.Origins > 0 && i >= f.scenario.Origins {
			continue
		}
		count++
		if f.random.IntN(count) == 0 {
			picked = n
		}
	}
	return picked
}

// sent counts a call that an origin sends.
func (f *fleet) sent(call *anvilmodel.Call) {
	q := f.queries[serial(call)]
	if !q.measured {
		return
	}
	q.stream.CallsSent++
	switch {
	case call.Hedge:
		f.result.Hedges++
	case call.Retry:
		f.result.Retries++
	default:
		f.result.Primaries++
	}
}

// received counts a call that reached a leaf.
func (f *fleet) received(l *leaf, call *anvilmodel.Call) {
	if from, ok := f.forbidden[l]; ok && f.clock.now >= from {
		f.result.CallsToDomainOut++
	}
	n := serial(call)
	if n < backgroundSerial && f.queries[n].measured {
		f.result.CallsReceived++
	}
}

// ran notes that a leaf began to work for a query.
func (f *fleet) ran(call *anvilmodel.Call) {
	if n := serial(call); n < backgroundSerial {
		f.queries[n].ran = true
	}
}
