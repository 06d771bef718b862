package anvilmember_test

import (
	"fmt"
	"log"
	"testing"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

// hear hands over a request of a member and returns the answer.
func (p *pump) hear(x *process, from anvilmember.MemberUpdate, news ...anvilmember.MemberUpdate) (k anvilmember.Response) {
	p.pending = append(p.pending, func(b anvilmember.Response) { k = b })
	q := anvilmember.ProbeRequest{From: from, Updates: news}
	p.do(x, func(a *anvilmember.Actions) { x.HandleProbeRequest(uint64(len(p.pending)-1), q, p.now, a) })
	return k
}

// item is the entry of a member that runs since the start of the fleet.
func item(i int, s anvilmodel.MemberStatus) anvilmember.MemberUpdate {
	e := member(i)
	e.Incarnation = anvilmodel.Incarnation(epoch.UnixMilli())
	e.Status = s
	return anvilmember.MemberUpdate{Member: e}
}

// Guards against two VMs in one slot where the earlier one still runs: it must not
// be used, nor return with a higher counter.
func TestSlotTakenOver(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	heir := item(9, anvilmodel.MemberAlive)
	heir.Member.Slot = member(1).Slot
	p.hear(p.processes[0], heir)
	back := item(1, anvilmodel.MemberAlive)
	back.Member.RefutationCount = 7
	p.hear(p.processes[0], back)
	for _, e := range p.processes[0].Members() {
		if e.Name == back.Member.Name && e.Status != anvilmodel.MemberDead {
			t.Errorf("%+v", e)
		}
	}
	if e, _ := p.processes[0].BySlot(member(1).Slot); e.Name != heir.Member.Name || e.Status != anvilmodel.MemberAlive {
		t.Errorf("%+v", e)
	}
}

// Guards against a process that uses its testimony from before a pause: with the
// list against the members it would declare them dead before it probes again.
func TestTestimonyBeforePause(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	x := p.processes[0]
	p.cut = func(from, _ anvilmodel.VMName) bool { return from == x.self.Name }
	p.run(5 * time.Second)
	p.list = nil
	x.pausedUntil = p.now.Add(30 * time.Second)
	x.events = nil
	p.run(32200 * time.Millisecond)
	for _, e := range x.events {
		if e.Kind == anvilmember.EventDead {
			t.Errorf("%+v", e)
		}
	}
}

// Guards against an isolation that a short pause does not restart.
func TestShortPauseIsolates(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	x := p.processes[0]
	connected := x.Isolated(p.now)
	p.now = p.now.Add(1500 * time.Millisecond)
	p.hear(x, item(1, anvilmodel.MemberAlive))
	if connected || !x.Isolated(p.now) {
		t.Errorf("isolated %t before, %t after the pause", connected, x.Isolated(p.now))
	}
}

// Guards against a death in which one of two witnesses is this node's predecessor or
// one is named twice, and against older states that take the place of later ones.
func TestNews(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	dead := item(1, anvilmodel.MemberDead)
	dead.Witnesses = []anvilmodel.VMName{member(0).Name, member(2).Name}
	late, early := item(2, anvilmodel.MemberAlive), item(2, anvilmodel.MemberAlive)
	late.Version, late.Member.Load = 999, 0.9
	early.Version, early.Member.Load = 998, 0.1
	p.hear(p.processes[0], item(3, anvilmodel.MemberAlive), dead, late)
	p.hear(p.processes[0], item(3, anvilmodel.MemberAlive), early)
	twice := item(9, anvilmodel.MemberDead)
	twice.Witnesses = []anvilmodel.VMName{member(2).Name, member(2).Name}
	p.hear(p.processes[0], item(3, anvilmodel.MemberAlive), twice)
	if e, _ := p.processes[0].BySlot(member(9).Slot); e.Status != anvilmodel.MemberUnknown {
		t.Errorf("%+v", e)
	}
	suspect, _ := p.processes[0].BySlot(member(1).Slot)
	loaded, _ := p.processes[0].BySlot(member(2).Slot)
	if suspect.Status != anvilmodel.MemberSuspect || loaded.Load != 0.9 {
		t.Errorf("%+v and %+v", suspect, loaded)
	}
}

// Guards against messages with more items than allowed when many members leave.
func TestItemLimit(t *testing.T) {
	p := fleet(t.Fatalf, seed, 4)
	for k := range 120 {
		status := anvilmodel.MemberAlive
		if k >= 60 {
			status = anvilmodel.MemberLeaving
		}
		n := len(p.hear(p.processes[0], item(10+k%60, status)).Reply.Updates)
		if n > anvilmember.DefaultMaxUpdates {
			t.Fatalf("%d items", n)
		}
	}
}

// Two nodes learn of each other: the owner carries the messages.
func ExampleMembership() {
	p := newPump(log.Fatalf, seed)
	p.publish(member(0))
	p.publish(member(1))
	a, b := p.start(member(0), 0), p.start(member(1), 0)
	p.run(2 * time.Second)
	e, _ := a.BySlot("s001")
	fmt.Println(e.Name, e.Status, e.Incarnation == b.Self().Incarnation)
	// Output: vm-001 alive true
}
