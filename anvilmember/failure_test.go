package anvilmember_test

import (
	"testing"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

const seed = 20261204

// live returns the processes that run and have not been replaced.
func (p *pump) live() (out []*process) {
	for _, x := range p.processes {
		if p.byAddress[x.self.PeerAddress] == x && !x.Superseded() {
			out = append(out, x)
		}
	}
	return out
}

// expect checks each live node's status of every node in want.
func (p *pump) expect(want map[anvilmodel.VMName]anvilmodel.MemberStatus) {
	for _, x := range p.live() {
		for _, e := range x.Members() {
			if s, found := want[e.Name]; found && e.Status != s {
				p.fail("%s sees %s as %s, not %s; %+v", x.self.Name, e.Name, e.Status, s, x.events)
			}
		}
	}
}

// allAlive checks that the live nodes see each other as alive, by slot as well.
func (p *pump) allAlive() {
	for _, x := range p.live() {
		for _, y := range p.live() {
			e, _ := x.BySlot(y.self.Slot)
			if e.Incarnation != y.Self().Incarnation || e.Status != anvilmodel.MemberAlive {
				p.fail("%s has %+v in slot %s, not %s; %+v", x.self.Name, e, y.self.Slot, y.self.Name, x.events)
			}
		}
	}
}

// events counts the events of a kind since the start of the fleet.
func (p *pump) events(k anvilmember.EventKind) (n int) {
	for _, x := range p.processes {
		for _, e := range x.events {
			if e.Kind == k {
				n++
			}
		}
	}
	return n
}

// Guards against one-way loss that kills a member which others reach: 0 hears 1,
// but 1 does not hear 0.
func TestOneWayLoss(t *testing.T) {
	for _, n := range []int{3, 4, 16} {
		p := fleet(t.Fatalf, seed, n)
		p.cut = func(from, to anvilmodel.VMName) bool { return from == "vm-000" && to == "vm-001" }
		p.run(2 * time.Minute)
		if k := p.events(anvilmember.EventDead); k > 0 {
			t.Errorf("%d nodes: %d deaths", n, k)
		}
		p.allAlive()
	}
}

// Guards against a member that nobody reaches but that refutes each suspicion,
// because its own requests are answered, and so is used again and again.
func TestDeafMember(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	p.deaf = "vm-003"
	p.run(30 * time.Second)
	for range 100 {
		p.run(300 * time.Millisecond)
		for _, x := range p.processes[:3] {
			if e, _ := x.BySlot("s003"); e.Status != anvilmodel.MemberSuspect && e.Status != anvilmodel.MemberDead {
				t.Fatalf("%s sees it as %s", x.self.Name, e.Status)
			}
		}
	}
	p.deaf = ""
	p.run(10 * time.Second)
	p.allAlive()
}

// Guards against sides of a split that never find each other again, however long
// it lasts, and against a lone node that declares the others dead by itself.
func TestSplitAndHeal(t *testing.T) {
	for _, lone := range []bool{false, true} {
		for _, listDown := range []bool{false, true} {
			p := fleet(t.Fatalf, seed, 4)
			p.listDown = listDown
			side := func(n anvilmodel.VMName) bool { return n == "vm-000" || n == "vm-001" && !lone }
			p.cut = func(from, to anvilmodel.VMName) bool { return side(from) != side(to) }
			p.run(20 * time.Minute)
			for _, e := range p.processes[0].Members() {
				want := anvilmodel.MemberDead
				if lone {
					want = anvilmodel.MemberSuspect
				}
				if !side(e.Name) && e.Status != want {
					t.Errorf("lone %t: %s is %s", lone, e.Name, e.Status)
				}
			}
			if p.processes[0].Isolated(p.now) != (lone && listDown) || p.processes[2].Isolated(p.now) {
				t.Error("isolation is not seen, or seen where it is not")
			}
			p.cut = func(_, _ anvilmodel.VMName) bool { return false }
			p.run(30 * time.Second)
			p.allAlive()
		}
	}
}

// Guards against judgements of a process that paused: wherever in its exchanges it
// stops for 30 s, it must probe again before it says that anyone is suspect.
func TestPauseOfTheProber(t *testing.T) {
	for offset := time.Duration(0); offset < 1500*time.Millisecond; offset += 50 * time.Millisecond {
		p := fleet(t.Fatalf, seed, 4)
		x := p.processes[0]
		// Losses keep exchanges of all stages under way.
		p.loss = 0.3
		p.run(offset)
		p.loss = 0
		x.pausedUntil = p.now.Add(30 * time.Second)
		x.events = nil
		p.run(31 * time.Second)
		if !x.pausedUntil.Before(p.now) || len(x.events) == 0 || x.events[0].Kind != anvilmember.EventPaused {
			t.Fatalf("no pause: %+v", x.events)
		}
		for _, e := range x.events {
			if e.Kind == anvilmember.EventSuspected || e.Kind == anvilmember.EventDead {
				t.Errorf("paused at %s: %+v", offset, e)
			}
		}
		p.run(10 * time.Second)
		p.allAlive()
	}
}

// Guards against a paused node that is used while it is away, does not return, or
// is taken for connected because of messages that waited in its buffers.
func TestPauseOfTheTarget(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	x := p.processes[2]
	x.pausedUntil = p.now.Add(30 * time.Second)
	p.run(29 * time.Second)
	for _, y := range []int{0, 1, 3} {
		if e, _ := p.processes[y].BySlot(x.self.Slot); e.Status != anvilmodel.MemberDead {
			t.Errorf("%d sees the paused node as %s", y, e.Status)
		}
	}
	p.now = x.pausedUntil
	p.do(x, func(a *anvilmember.Actions) {
		x.HandleProbeRequest(0, anvilmember.ProbeRequest{}, p.now, a)
		x.PlatformReplied(p.now.Add(-10*time.Second), p.now, a)
		a.Responses = nil
	})
	if !x.Isolated(p.now) {
		t.Error("a message sent before the end of the pause ends the isolation")
	}
	p.run(20 * time.Second)
	p.allAlive()
}

// Guards against replaced VMs that do not take over, whether they keep the name or
// only slot and address, and whatever their clocks say; and against predecessors
// that come back.
func TestReplaceAll(t *testing.T) {
	for _, skew := range []time.Duration{0, -time.Hour} {
		for _, rename := range []bool{false, true} {
			p := fleet(t.Fatalf, seed, 4)
			for i := range 4 {
				old := p.processes[i]
				e := old.self
				if rename {
					e.Name += "-new"
					p.list[i].Name = e.Name
				}
				p.start(e, skew)
				p.run(15 * time.Second)
				p.allAlive()
				// The old process is let loose again under another address.
				old.self.PeerAddress = member(100 + i).PeerAddress
				p.byAddress[old.self.PeerAddress] = old
				p.run(5 * time.Second)
				p.allAlive()
				if !old.Superseded() {
					t.Errorf("process %d runs on; %+v", i, old.events)
				}
				p.stop(old)
			}
		}
	}
}

// Guards against a process that concludes from anything but the flag that it is
// new: one that pauses before it has announced itself takes a higher number.
func TestPauseBeforeAnnouncement(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	x := p.start(p.processes[1].self, -time.Hour)
	p.run(step)
	x.pausedUntil = p.now.Add(30 * time.Second)
	p.run(time.Minute)
	if x.Superseded() || x.Self().Incarnation != p.processes[1].Self().Incarnation+1 {
		t.Errorf("incarnation %d after %d", x.Self().Incarnation, p.processes[1].Self().Incarnation)
	}
	p.allAlive()
}

// Guards against a list that is stale in either direction: it names VMs that are
// gone and lacks VMs that are up.
func TestStaleList(t *testing.T) {
	p := newPump(t.Fatalf, seed)
	for i := range 12 {
		p.publish(member(i))
	}
	for _, i := range []int{0, 1, 20, 21} {
		p.start(member(i), 0)
	}
	p.run(time.Minute)
	p.allAlive()
	p.stop(p.processes[1])
	p.run(15 * time.Second)
	p.allAlive()
	want := map[anvilmodel.VMName]anvilmodel.MemberStatus{"vm-001": anvilmodel.MemberDead}
	for i := 2; i < 12; i++ {
		want[member(i).Name] = anvilmodel.MemberUnknown
	}
	p.expect(want)
}

// Guards against a fleet that depends on the list service: it is down for an hour,
// in which VMs are lost and replaced.
func TestListDown(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	p.listDown = true
	p.run(30 * time.Minute)
	p.stop(p.processes[3])
	p.run(10 * time.Second)
	p.expect(map[anvilmodel.VMName]anvilmodel.MemberStatus{"vm-003": anvilmodel.MemberDead})
	p.start(p.processes[3].self, -time.Hour)
	p.run(30 * time.Minute)
	p.allAlive()
	if k := p.events(anvilmember.EventDead); k != 3 {
		t.Errorf("%d deaths", k)
	}
}
