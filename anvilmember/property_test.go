package anvilmember_test

import (
	"flag"
	"math"
	"net/netip"
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
// incarnation that comes back, and a message over its limits; and against a fleet
// that does not agree again afterwards.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		p := fleet(t.Fatalf, rapid.Uint64().Draw(t, "seed"), n)
		type seat struct {
			observer *process
			slot     anvilmodel.SlotName
		}
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

// Guards against a size function that differs from the encoding: messages would
// exceed their limit or waste it.
func TestSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := anvilmember.ProbeRequest{
			From:   drawItem(t),
			Target: anvilmodel.VMName(rapid.StringN(0, 200, 400).Draw(t, "target")),
		}
		r := anvilmember.ProbeReply{
			From:    q.From,
			Reached: rapid.Bool().Draw(t, "reached"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "items") {
			q.News = append(q.News, drawItem(t))
		}
		r.News = q.News
		var news []*anvilproto.Member
		for _, i := range q.News {
			news = append(news, wire(i))
		}
		request := proto.Size(&anvilproto.ProbeRequest{From: wire(q.From), Target: string(q.Target), News: news})
		reply := proto.Size(&anvilproto.ProbeReply{From: wire(q.From), Reached: r.Reached, News: news})
		if anvilmember.RequestSize(q) != request || anvilmember.ReplySize(r) != reply {
			t.Fatalf("%d for %d, %d for %d", anvilmember.RequestSize(q), request, anvilmember.ReplySize(r), reply)
		}
	})
}

func drawItem(t *rapid.T) anvilmember.Item {
	var i anvilmember.Item
	e := &i.Member
	e.Name = anvilmodel.VMName(rapid.StringN(0, 20, 200).Draw(t, "name"))
	if rapid.Bool().Draw(t, "addresses") {
		var b [16]byte
		copy(b[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "address"))
		e.CallerAddress = netip.AddrPortFrom(netip.AddrFrom16(b), rapid.Uint16().Draw(t, "port"))
		e.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), 1)
	}
	e.Incarnation = anvilmodel.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
	e.Status = anvilmodel.MemberStatus(rapid.IntRange(0, 4).Draw(t, "status"))
	e.Serving = rapid.Bool().Draw(t, "serving")
	e.Load = rapid.SampledFrom([]float64{0, 0.5, math.Inf(1)}).Draw(t, "load")
	e.Revision = rapid.Uint64().Draw(t, "revision")
	e.Counter = rapid.Uint32().Draw(t, "counter")
	i.Version = rapid.Uint32().Draw(t, "version")
	for range rapid.IntRange(0, 3).Draw(t, "witnesses") {
		i.Witnesses = append(i.Witnesses, e.Name)
	}
	return i
}

func wire(i anvilmember.Item) *anvilproto.Member {
	e := i.Member
	w := &anvilproto.Member{
		Name:        string(e.Name),
		Incarnation: uint64(e.Incarnation),
		Status:      int32(e.Status),
		Serving:     e.Serving,
		Load:        e.Load,
		Revision:    e.Revision,
		Counter:     e.Counter,
		Version:     i.Version,
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
