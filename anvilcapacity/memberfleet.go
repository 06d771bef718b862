package anvilcapacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

// introductions is more than the 27 times that a node passes on news.
const introductions = 30

// memberFleet is a fleet of membership cores that exchange messages on virtual
// time, as anvilpeer.Prober lets them.
type memberFleet struct {
	simulation
	nodes     []*memberNode
	byAddress map[netip.AddrPort]*memberNode
	random    *rand.Rand
	counts    memberCounts
	// apart cuts the two regions off from each other.
	apart bool
	// recording also asks for the view of the members after each event, as the
	// node does for its query path.
	recording bool
}

// memberCounts counts what all nodes did.
type memberCounts struct {
	messages int
	bytes    int
	// probes counts direct and indirect probes.
	probes int
	// views counts how often the view of the members changed.
	views int
}

type memberNode struct {
	fleet  *memberFleet
	core   *anvilmember.Membership
	listed anvilmodel.ListedVM
	region int
	down   bool
	// waiting holds the probes of others that wait for an answer.
	waiting map[uint64]func(anvilmember.Response)
	token   uint64
	view    []anvilmodel.Member
}

func newMemberFleet(count int, seed uint64) *memberFleet {
	f := &memberFleet{
		byAddress: make(map[netip.AddrPort]*memberNode, count),
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
	listed := listedVMs(count)
	for i, v := range listed {
		n := &memberNode{
			fleet:   f,
			listed:  v,
			region:  regionOf(i),
			waiting: make(map[uint64]func(anvilmember.Response)),
		}
		n.core = anvilmember.New(anvilmember.Config{
			Self: anvilmodel.Member{
				Name:          v.Name,
				Slot:          slotName(i),
				FailureDomain: v.FailureDomain,
				CallerAddress: v.CallerAddress,
				PeerAddress:   v.PeerAddress,
				Incarnation:   anvilmodel.Incarnation(f.time().UnixMilli() + int64(i)),
			},
			Random: rand.New(rand.NewPCG(seed, uint64(i)+1)),
		}, f.time())
		f.nodes = append(f.nodes, n)
		f.byAddress[v.PeerAddress] = n
	}
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(time.Second))), func() {
			n.call(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) { m.SetVMList(listed, now, a) })
			n.tick()
			n.update()
		})
	}
	return f
}

// listedVMs returns the published list of a fleet.
func listedVMs(count int) []anvilmodel.ListedVM {
	listed := make([]anvilmodel.ListedVM, count)
	for i := range listed {
		address := netip.AddrFrom4([4]byte{10, 20, byte(i / 250), byte(i%250 + 1)})
		listed[i] = anvilmodel.ListedVM{
			Name:          anvilmodel.VMName(fmt.Sprintf("entry-vm-%03d", i)),
			CallerAddress: netip.AddrPortFrom(address, 7000),
			PeerAddress:   netip.AddrPortFrom(address, 7001),
			FailureDomain: domainName(i),
		}
	}
	return listed
}

// call hands an event to the core and carries out what it asks.
func (n *memberNode) call(event func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions)) {
	if n.down {
		return
	}
	a := &anvilmember.Actions{}
	event(n.core, n.fleet.time(), a)
	if n.fleet.recording {
		n.observeView()
	}
	for _, answer := range a.Responses {
		reply := n.waiting[answer.Token]
		delete(n.waiting, answer.Token)
		reply(answer)
	}
	for _, p := range a.Probes {
		n.send(p)
	}
}

// observeView takes the view as the node does; it is a new slice when it changed.
func (n *memberNode) observeView() {
	all := n.core.Members()
	if len(n.view) != len(all) || &n.view[0] != &all[0] {
		n.fleet.counts.views++
	}
	n.view = all
}

func (n *memberNode) tick() {
	if n.down {
		return
	}
	n.call(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) { m.Tick(now, a) })
	n.fleet.after(max(n.core.Next().Sub(n.fleet.time()), time.Millisecond), n.tick)
}

// update tells the core what the node says of itself, with a load that changes.
func (n *memberNode) update() {
	if n.down {
		return
	}
	n.call(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.UpdateSelf(anvilmember.SelfState{
			Load:           n.fleet.random.Float64(),
			ConfigRevision: 100_000,
			Serving:        true,
		}, now, a)
	})
	n.fleet.after(updatePeriod, n.update)
}

// send delivers a probe and its reply, or its failure.
func (n *memberNode) send(p anvilmember.Probe) {
	f := n.fleet
	f.counts.probes++
	f.count(anvilmember.RequestSize(p.Request))
	fail := func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.HandleProbeFailure(p.ID, false, now, a)
	}
	to := f.byAddress[p.Address]
	if to == nil || to.down || f.apart && to.region != n.region {
		f.after(p.Timeout, func() { n.call(fail) })
		return
	}
	f.after(networkDelay, func() {
		to.answer(p.Request, func(answer anvilmember.Response) {
			if answer.Refused {
				f.after(networkDelay, func() { n.call(fail) })
				return
			}
			f.count(anvilmember.ReplySize(answer.Reply))
			f.after(networkDelay, func() {
				n.call(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
					m.HandleProbeReply(p.ID, answer.Reply, now, a)
				})
			})
		})
	})
}

func (n *memberNode) answer(q anvilmember.ProbeRequest, reply func(anvilmember.Response)) {
	n.token++
	token := n.token
	n.waiting[token] = reply
	n.call(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.HandleProbeRequest(token, q, now, a)
	})
}

// introduce tells every node of every other one, so often that nobody has it
// left as news.
func (f *memberFleet) introduce() {
	items := make([]anvilmember.MemberUpdate, len(f.nodes))
	for i, n := range f.nodes {
		items[i] = anvilmember.MemberUpdate{
			Member:  n.core.Self(),
			Version: 1,
		}
	}
	var tasks errgroup.Group
	tasks.SetLimit(runtime.GOMAXPROCS(0))
	for i, n := range f.nodes {
		tasks.Go(func() error {
			q := anvilmember.ProbeRequest{
				From:    items[(i+1)%len(items)],
				Updates: slices.Delete(slices.Clone(items), i, i+1),
			}
			// The answers are of no use, and nothing else is asked for.
			a := &anvilmember.Actions{}
			for range introductions {
				n.core.HandleProbeRequest(0, q, f.time(), a)
				a.Reset()
			}
			return nil
		})
	}
	// No task returns an error.
	_ = tasks.Wait()
}

func (f *memberFleet) count(bytes int) {
	f.counts.messages++
	f.counts.bytes += bytes
}

// agreeDead reports whether all other nodes hold a node for dead.
func (f *memberFleet) agreeDead(dead *memberNode, slot anvilmodel.SlotName) bool {
	for _, n := range f.nodes {
		if n == dead {
			continue
		}
		if e, _ := n.core.BySlot(slot); e.Status != anvilmodel.MemberDead {
			return false
		}
	}
	return true
}
