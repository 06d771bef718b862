package anvilcapacity

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilrevision"
)

const (
	// spreadValidation is how long a node is taken to hold the lock of its
	// control state while it validates a revision, and spreadApply how long it
	// takes to put it into force after that. Both are above what is measured for
	// 3,000 leafs (configuration-wall, assignment-cpu).
	spreadValidation = 300 * time.Millisecond
	spreadApply      = 100 * time.Millisecond
	// spreadRead is a read of the configuration service.
	spreadRead = 10 * time.Millisecond
	// spreadProbes is the time between two probes of a node.
	spreadProbes = 500 * time.Millisecond
	// spreadPeer bounds a request to another node, as in anvilnode/revisions.go.
	spreadPeer = time.Second
	// spreadDocument keeps the memory of 410 keepers small. The size of the
	// document does not change the order of events.
	spreadDocument = 64 << 10
	spreadLimit    = 60 * time.Second
)

// spreadFleet is a fleet of revision keepers on virtual time, as
// anvilnode/revisions.go lets them exchange revisions.
type spreadFleet struct {
	simulation
	nodes     []*spreadNode
	random    *rand.Rand
	documents []anvilconfig.Document
	announces int
	fetches   int
	inForce   int
}

type spreadNode struct {
	fleet  *spreadFleet
	name   anvilmodel.VMName
	keeper *anvilrevision.Keeper
	// busy is until when the lock is held.
	busy   time.Duration
	judged bool
	served int
}

func newSpreadFleet(count int, seed uint64) *spreadFleet {
	docs := documents(count, spreadDocument/bytesPerLeaf, spreadDocument)
	f := &spreadFleet{
		random:    rand.New(rand.NewPCG(seed, 0)),
		documents: changed(docs, 7),
	}
	for i, v := range listedVMs(count) {
		n := &spreadNode{
			fleet: f,
			name:  v.Name,
		}
		n.keeper = anvilrevision.New(anvilrevision.Config{
			Self: v.Name,
			Judge: func(d []anvilconfig.Document) anvilrevision.Judgement {
				n.judged = true
				return acceptAll(d)
			},
		}, f.time())
		n.keeper.Offer(1, docs, anvilrevision.Source{}, f.time())
		f.nodes = append(f.nodes, n)
		f.after(time.Duration(f.random.Int64N(int64(spreadProbes))), n.probe)
		f.after(time.Duration(f.random.Int64N(int64(revisionTick))), n.tick)
		if i < watchersPerDomain*designDomains {
			f.after(time.Second+spreadRead, n.read)
		}
	}
	return f
}

// whenFree runs something once the lock is free.
func (n *spreadNode) whenFree(run func()) {
	if wait := n.busy - n.fleet.now; wait > 0 {
		n.fleet.after(wait, func() { n.whenFree(run) })
		return
	}
	run()
}

// call hands an event to the keeper and carries out its actions.
func (n *spreadNode) call(event func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action) {
	n.whenFree(func() {
		f := n.fleet
		n.judged = false
		actions := event(n.keeper, f.time())
		if n.judged {
			n.busy = f.now + spreadValidation
			f.after(spreadValidation+spreadApply, func() { n.carryOut(actions) })
			return
		}
		n.carryOut(actions)
	})
}

func (n *spreadNode) carryOut(actions []anvilrevision.Action) {
	for _, a := range actions {
		switch a.Kind {
		case anvilrevision.ActionApply:
			n.fleet.inForce++
		case anvilrevision.ActionAnnounce:
			n.announce()
		case anvilrevision.ActionFetchManifest:
			n.fetch(a.Peer, func(p *spreadNode) func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
				manifest := p.keeper.Manifest()
				return func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
					return k.HandleManifest(a.Peer, manifest, now)
				}
			})
		case anvilrevision.ActionFetchChunks:
			n.fetch(a.Peer, func(p *spreadNode) func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
				chunks := [][]byte{}
				for _, h := range a.Chunks {
					chunks = append(chunks, p.keeper.Chunk(h))
				}
				return func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
					return k.HandleChunks(a.Peer, chunks, now)
				}
			})
		case anvilrevision.ActionRead:
			n.fleet.after(spreadRead, n.read)
		}
	}
}

// read takes the new revision from the configuration service.
func (n *spreadNode) read() {
	n.call(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
		return k.Offer(2, n.fleet.documents, anvilrevision.Source{}, now)
	})
}

func (n *spreadNode) tick() {
	n.call(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action { return k.Tick(now) })
	n.fleet.after(revisionTick, n.tick)
}

// probe exchanges the versions in force with a random member.
func (n *spreadNode) probe() {
	n.exchange(n.fleet.nodes[n.fleet.random.IntN(len(n.fleet.nodes))])
	n.fleet.after(spreadProbes, n.probe)
}

func (n *spreadNode) announce() {
	f := n.fleet
	for _, i := range f.random.Perm(len(f.nodes))[:min(announceCount, len(f.nodes))] {
		if f.nodes[i] != n {
			f.announces++
			n.exchange(f.nodes[i])
		}
	}
}

// exchange tells a member the version in force here, and gets its own back.
func (n *spreadNode) exchange(to *spreadNode) {
	if to == n {
		return
	}
	f := n.fleet
	version := n.keeper.InForce().Version
	f.after(networkDelay, func() {
		to.call(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
			theirs := k.InForce().Version
			f.after(networkDelay, func() {
				n.call(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
					return k.Heard(to.name, theirs, true, now)
				})
			})
			return k.Heard(n.name, version, true, now)
		})
	})
}

// fetch asks a peer. What the peer says is handed to the keeper, unless the peer
// took too long.
func (n *spreadNode) fetch(peer anvilmodel.VMName, ask func(p *spreadNode) func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action) {
	f := n.fleet
	f.fetches++
	over := false
	f.after(spreadPeer, func() {
		if !over {
			over = true
			n.call(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
				return k.HandleFetchFailure(peer, now)
			})
		}
	})
	for _, p := range f.nodes {
		if p.name != peer {
			continue
		}
		f.after(networkDelay, func() {
			p.whenFree(func() {
				p.served++
				event := ask(p)
				f.after(networkDelay, func() {
					if !over {
						over = true
						n.call(event)
					}
				})
			})
		})
	}
}

// measureSpread publishes a revision and waits until it is in force everywhere.
func measureSpread(_ context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{4, 16, 64, 256, designNodes}
	slope := func(name, what string, kind Kind, unit string, target Target) Slope {
		target.Size = designNodes
		target.Unit = unit
		return Slope{
			Name:     "spread-" + name,
			What:     what,
			Kind:     kind,
			Unit:     unit,
			SizeName: "nodes",
			Sizes:    floats(sizes),
			Targets:  []Target{target},
		}
	}
	took := slope("time", "from a change of the store until it is in force at the last node, 0.3 s for each validation", KindVirtualTime, "s",
		Target{What: "in force everywhere", Limit: designSpread.Seconds()})
	announces := slope("announces", "announcements of a node for a change", KindCount, "messages",
		Target{What: "announcements"})
	fetches := slope("fetches", "fetches of a node for a change, each a request and a reply", KindCount, "fetches",
		Target{What: "fetches"})
	served := slope("most-served", "most fetches answered by one node for a change", KindCount, "fetches",
		Target{What: "fetches of the busiest node"})
	for _, n := range sizes {
		f := newSpreadFleet(n, seed)
		f.runUntil(spreadLimit, func() bool { return f.inForce == n })
		took.Values = append(took.Values, (f.now - time.Second).Seconds())
		announces.Values = append(announces.Values, float64(f.announces)/float64(n))
		fetches.Values = append(fetches.Values, float64(f.fetches)/float64(n))
		most := 0
		for _, node := range f.nodes {
			most = max(most, node.served)
		}
		served.Values = append(served.Values, float64(most))
	}
	return []Slope{took, announces, fetches, served}, nil
}
