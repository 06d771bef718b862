package anvilmember_test

import (
	"fmt"
	"log"
	"testing"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

// deliverRequest passes a request from a member to a process and returns the response.
func (sim *simulation) deliverRequest(process *simulatedProcess, from anvilmember.MemberUpdate, updates ...anvilmember.MemberUpdate) (response anvilmember.Response) {
	sim.pendingResponses = append(sim.pendingResponses, func(r anvilmember.Response) { response = r })
	request := anvilmember.ProbeRequest{From: from, Updates: updates}
	sim.call(process, func(a *anvilmember.Actions) {
		process.HandleProbeRequest(uint64(len(sim.pendingResponses)-1), request, sim.now, a)
	})
	return response
}

// memberEntry returns the entry of a member that was started with the fleet.
func memberEntry(i int, status anvilmodel.MemberStatus) anvilmember.MemberUpdate {
	member := testMember(i)
	member.Incarnation = anvilmodel.Incarnation(startTime.UnixMilli())
	member.Status = status
	return anvilmember.MemberUpdate{Member: member}
}

// Guards against using a process whose slot was taken over by a VM with another name:
// the earlier process still runs and even sends a higher refutation count.
func TestSlotTakenOver(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	successor := memberEntry(9, anvilmodel.MemberAlive)
	successor.Member.Slot = testMember(1).Slot
	sim.deliverRequest(sim.processes[0], successor)
	refuted := memberEntry(1, anvilmodel.MemberAlive)
	refuted.Member.RefutationCount = 7
	sim.deliverRequest(sim.processes[0], refuted)
	for _, member := range sim.processes[0].Members() {
		if member.Name == refuted.Member.Name && member.Status != anvilmodel.MemberDead {
			t.Errorf("replaced member is not dead: %+v", member)
		}
	}
	if member, _ := sim.processes[0].BySlot(testMember(1).Slot); member.Name != successor.Member.Name || member.Status != anvilmodel.MemberAlive {
		t.Errorf("slot is not held by its successor: %+v", member)
	}
}

// Guards against a paused process that still counts itself as a witness afterwards. As
// the VM list lacks the members, it would declare them dead before it probes again.
func TestWitnessBeforePause(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	process := sim.processes[0]
	sim.isCut = func(from, _ anvilmodel.VMName) bool { return from == process.self.Name }
	sim.run(5 * time.Second)
	sim.list = nil
	process.pausedUntil = sim.now.Add(30 * time.Second)
	process.events = nil
	sim.run(32200 * time.Millisecond)
	for _, event := range process.events {
		if event.Kind == anvilmember.EventDead {
			t.Errorf("declared dead without a new probe: %+v", event)
		}
	}
}

// Guards against a process that does not count as isolated after a short pause, although
// it has received no reply since.
func TestShortPauseIsolates(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	process := sim.processes[0]
	connected := process.Isolated(sim.now)
	sim.now = sim.now.Add(1500 * time.Millisecond)
	sim.deliverRequest(process, memberEntry(1, anvilmodel.MemberAlive))
	if connected || !process.Isolated(sim.now) {
		t.Errorf("isolated %t before, %t after the pause", connected, process.Isolated(sim.now))
	}
}

// Guards against deaths in which one of the two witnesses is this node's predecessor or
// the same witness is named twice, and against older state that replaces newer state.
func TestMergeUpdates(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	dead := memberEntry(1, anvilmodel.MemberDead)
	dead.Witnesses = []anvilmodel.VMName{testMember(0).Name, testMember(2).Name}
	newer, older := memberEntry(2, anvilmodel.MemberAlive), memberEntry(2, anvilmodel.MemberAlive)
	newer.Version, newer.Member.Load = 999, 0.9
	older.Version, older.Member.Load = 998, 0.1
	sim.deliverRequest(sim.processes[0], memberEntry(3, anvilmodel.MemberAlive), dead, newer)
	sim.deliverRequest(sim.processes[0], memberEntry(3, anvilmodel.MemberAlive), older)
	duplicate := memberEntry(9, anvilmodel.MemberDead)
	duplicate.Witnesses = []anvilmodel.VMName{testMember(2).Name, testMember(2).Name}
	sim.deliverRequest(sim.processes[0], memberEntry(3, anvilmodel.MemberAlive), duplicate)
	if member, _ := sim.processes[0].BySlot(testMember(9).Slot); member.Status != anvilmodel.MemberUnknown {
		t.Errorf("member with a duplicate witness is not unknown: %+v", member)
	}
	suspect, _ := sim.processes[0].BySlot(testMember(1).Slot)
	loaded, _ := sim.processes[0].BySlot(testMember(2).Slot)
	if suspect.Status != anvilmodel.MemberSuspect || loaded.Load != 0.9 {
		t.Errorf("got %+v, want a suspect, and %+v, want load 0.9", suspect, loaded)
	}
}

// Guards against messages with more updates than allowed when many members leave.
func TestUpdateLimit(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	for i := range 120 {
		status := anvilmodel.MemberAlive
		if i >= 60 {
			status = anvilmodel.MemberLeaving
		}
		count := len(sim.deliverRequest(sim.processes[0], memberEntry(10+i%60, status)).Reply.Updates)
		if count > anvilmember.DefaultMaxUpdates {
			t.Fatalf("reply with %d updates is over the limit", count)
		}
	}
}

// Two nodes discover each other. The simulation is the owner that delivers the messages.
func ExampleMembership() {
	sim := newSimulation(log.Fatalf, seed)
	sim.addToList(testMember(0))
	sim.addToList(testMember(1))
	first, second := sim.start(testMember(0), 0), sim.start(testMember(1), 0)
	sim.run(2 * time.Second)
	member, _ := first.BySlot("s001")
	fmt.Println(member.Name, member.Status, member.Incarnation == second.Self().Incarnation)
	// Output: vm-001 alive true
}
