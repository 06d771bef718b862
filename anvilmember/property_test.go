package anvilmember_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards, under any mix of lost VMs, replacements, pauses, cuts, loss and list
// faults, against a death on one witness, a witness that did not fail, an old
// incarnation that comes back, and a message over its limits or of another size than
// computed; and against a fleet that does not agree again afterwards.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		p := fleet(t.Fatalf, rapid.Uint64().Draw(t, "seed"), n)
		type seat struct {
			observer *process
			slot     anvilmodel.SlotName
		}
		p.encode = true
		highest := make(map[seat]anvilmodel.Incarnation)
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			p.fault(t, n)
			p.run(time.Duration(rapid.IntRange(1, 800).Draw(t, "wait")) * 10 * time.Millisecond)
			for _, x := range p.live() {
				for i := range n {
					e, _ := x.BySlot(member(i).Slot)
					k := seat{x, member(i).Slot}
					if e.Incarnation < highest[k] && x.Announced() {
						t.Fatalf("%s went back to incarnation %d of %s", x.self.Name, e.Incarnation, e.Slot)
					}
					highest[k] = e.Incarnation
				}
			}
		}
		p.cut = func(_, _ anvilmodel.VMName) bool { return false }
		p.loss = 0
		p.listDown = false
		p.list = nil
		for i := range n {
			p.publish(member(i))
			p.relisted[member(i).Name] = p.now
		}
		for range 3 {
			p.run(30 * time.Second)
			p.restart()
		}
		p.run(30 * time.Second)
		p.allAlive()
	})
}

// restart starts superseded processes again, as their supervisors do.
func (p *pump) restart() {
	for _, x := range p.processes {
		if x.Superseded() && p.byAddress[x.self.PeerAddress] == x {
			p.start(x.self, 0)
		}
	}
}

// fault does one thing that happens to fleets.
func (p *pump) fault(t *rapid.T, n int) {
	i := rapid.IntRange(0, n-1).Draw(t, "node")
	e := member(i)
	x := p.byAddress[e.PeerAddress]
	other := member(rapid.IntRange(0, n-1).Draw(t, "other")).Name
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		if x != nil {
			p.stop(x)
		}
	case 1, 2:
		p.start(e, time.Duration(rapid.IntRange(-100, 100).Draw(t, "skew"))*time.Second)
	case 3:
		if x != nil {
			x.pausedUntil = p.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * 100 * time.Millisecond)
		}
	case 4:
		p.cut = func(from, to anvilmodel.VMName) bool { return from == e.Name && to == other }
	case 5:
		p.cut = func(from, to anvilmodel.VMName) bool { return (from <= e.Name) != (to <= e.Name) }
	case 6:
		p.cut = func(_, _ anvilmodel.VMName) bool { return false }
	case 7:
		p.loss = 0.3 - p.loss
	case 8:
		k := slices.IndexFunc(p.list, func(v anvilmodel.ListedVM) bool { return v.Name == e.Name })
		if k >= 0 {
			p.list = slices.Delete(slices.Clone(p.list), k, k+1)
			return
		}
		p.publish(e)
		p.relisted[e.Name] = p.now
		p.listDown = !p.listDown
	}
}

// wire returns the encoded form of an item.
func wire(i anvilmember.MemberUpdate) *anvilproto.Member {
	e := i.Member
	w := &anvilproto.Member{
		Name:          string(e.Name),
		Slot:          string(e.Slot),
		FailureDomain: string(e.FailureDomain),
		Incarnation:   uint64(e.Incarnation),
		Status:        int32(e.Status),
		Serving:       e.Serving,
		Load:          e.Load,
		Revision:      e.ConfigRevision,
		Counter:       e.RefutationCount,
		TicketEpoch:   e.TicketEpoch,
		Version:       i.Version,
	}
	if e.PeerAddress.IsValid() {
		w.CallerAddress = e.CallerAddress.String()
		w.PeerAddress = e.PeerAddress.String()
	}
	for _, x := range i.Witnesses {
		w.Witnesses = append(w.Witnesses, string(x))
	}
	return w
}

// wireSize returns the size of a message as the library encodes it.
func wireSize(from anvilmember.MemberUpdate, target anvilmodel.VMName, reached bool, news []anvilmember.MemberUpdate) int {
	var items []*anvilproto.Member
	for _, i := range news {
		items = append(items, wire(i))
	}
	if reached {
		return proto.Size(&anvilproto.ProbeReply{From: wire(from), Reached: true, News: items})
	}
	return proto.Size(&anvilproto.ProbeRequest{From: wire(from), Target: string(target), News: items})
}
