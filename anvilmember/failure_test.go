package anvilmember_test

import (
	"testing"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

const seed = 20261204

// running returns the processes that run and are not superseded.
func (sim *simulation) running() (running []*simulatedProcess) {
	for _, process := range sim.processes {
		if sim.byAddress[process.self.PeerAddress] == process && !process.Superseded() {
			running = append(running, process)
		}
	}
	return running
}

// checkStatuses checks the status that each running process has for the members in want.
func (sim *simulation) checkStatuses(want map[anvilmodel.VMName]anvilmodel.MemberStatus) {
	for _, process := range sim.running() {
		for _, member := range process.Members() {
			if status, found := want[member.Name]; found && member.Status != status {
				sim.failf("%s sees %s as %s, not %s; %+v", process.self.Name, member.Name, member.Status, status, process.events)
			}
		}
	}
}

// checkAllAlive checks that each running process has the current incarnation of every
// other one as alive in its slot.
func (sim *simulation) checkAllAlive() {
	for _, process := range sim.running() {
		for _, other := range sim.running() {
			member, _ := process.BySlot(other.self.Slot)
			if member.Incarnation != other.Self().Incarnation || member.Status != anvilmodel.MemberAlive {
				sim.failf("%s has %+v in slot %s, not %s; %+v", process.self.Name, member, other.self.Slot, other.self.Name, process.events)
			}
		}
	}
}

// countEvents returns the number of events of a kind in all processes.
func (sim *simulation) countEvents(kind anvilmember.EventKind) (count int) {
	for _, process := range sim.processes {
		for _, event := range process.events {
			if event.Kind == kind {
				count++
			}
		}
	}
	return count
}

// Guards against declaring a member dead that only one node cannot reach: messages from
// vm-000 to vm-001 are lost, those in the other direction arrive.
func TestOneWayLoss(t *testing.T) {
	for _, n := range []int{3, 4, 16} {
		sim := startFleet(t.Fatalf, seed, n)
		sim.isCut = func(from, to anvilmodel.VMName) bool { return from == "vm-000" && to == "vm-001" }
		sim.run(2 * time.Minute)
		if deaths := sim.countEvents(anvilmember.EventDead); deaths > 0 {
			t.Errorf("%d nodes: %d deaths", n, deaths)
		}
		sim.checkAllAlive()
	}
}

// Guards against a member that becomes alive again and again although no node can reach
// it. It refutes each suspicion, because its own requests are answered.
func TestUnreachableMember(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	sim.unreachable = "vm-003"
	sim.run(30 * time.Second)
	for range 100 {
		sim.run(300 * time.Millisecond)
		for _, process := range sim.processes[:3] {
			if member, _ := process.BySlot("s003"); member.Status != anvilmodel.MemberSuspect && member.Status != anvilmodel.MemberDead {
				t.Fatalf("%s has vm-003 as %s", process.self.Name, member.Status)
			}
		}
	}
	sim.unreachable = ""
	sim.run(10 * time.Second)
	sim.checkAllAlive()
}

// Guards against the sides of a long network partition not finding each other again, and
// against a single cut-off node that declares the others dead on its own.
func TestPartitionHeals(t *testing.T) {
	for _, alone := range []bool{false, true} {
		for _, listDown := range []bool{false, true} {
			sim := startFleet(t.Fatalf, seed, 4)
			sim.listDown = listDown
			firstSide := func(name anvilmodel.VMName) bool { return name == "vm-000" || name == "vm-001" && !alone }
			sim.isCut = func(from, to anvilmodel.VMName) bool { return firstSide(from) != firstSide(to) }
			sim.run(20 * time.Minute)
			for _, member := range sim.processes[0].Members() {
				want := anvilmodel.MemberDead
				if alone {
					want = anvilmodel.MemberSuspect
				}
				if !firstSide(member.Name) && member.Status != want {
					t.Errorf("alone %t: %s is %s", alone, member.Name, member.Status)
				}
			}
			if sim.processes[0].Isolated(sim.now) != (alone && listDown) || sim.processes[2].Isolated(sim.now) {
				t.Error("only a single cut-off node without the VM list may be isolated")
			}
			sim.isCut = func(_, _ anvilmodel.VMName) bool { return false }
			sim.run(30 * time.Second)
			sim.checkAllAlive()
		}
	}
}

// Guards against a process that suspects members because of probes from before a pause.
// It pauses for 30 s at any point of its exchanges and must probe again first.
func TestPausedProber(t *testing.T) {
	for offset := time.Duration(0); offset < 1500*time.Millisecond; offset += 50 * time.Millisecond {
		sim := startFleet(t.Fatalf, seed, 4)
		process := sim.processes[0]
		// Lost messages keep attempts in all stages in progress.
		sim.lossRate = 0.3
		sim.run(offset)
		sim.lossRate = 0
		process.pausedUntil = sim.now.Add(30 * time.Second)
		process.events = nil
		sim.run(31 * time.Second)
		if !process.pausedUntil.Before(sim.now) || len(process.events) == 0 || process.events[0].Kind != anvilmember.EventPaused {
			t.Fatalf("no pause: %+v", process.events)
		}
		for _, event := range process.events {
			if event.Kind == anvilmember.EventSuspected || event.Kind == anvilmember.EventDead {
				t.Errorf("paused at %s: %+v", offset, event)
			}
		}
		sim.run(10 * time.Second)
		sim.checkAllAlive()
	}
}

// Guards against a paused node that stays alive for the others during the pause, does not
// become alive afterwards, or ends its isolation because of messages buffered meanwhile.
func TestPausedTarget(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	process := sim.processes[2]
	process.pausedUntil = sim.now.Add(30 * time.Second)
	sim.run(29 * time.Second)
	for _, observer := range []int{0, 1, 3} {
		if member, _ := sim.processes[observer].BySlot(process.self.Slot); member.Status != anvilmodel.MemberDead {
			t.Errorf("node %d has the paused node as %s", observer, member.Status)
		}
	}
	sim.now = process.pausedUntil
	sim.call(process, func(a *anvilmember.Actions) {
		process.HandleProbeRequest(0, anvilmember.ProbeRequest{}, sim.now, a)
		process.PlatformReplied(sim.now.Add(-10*time.Second), sim.now, a)
		a.Responses = nil
	})
	if !process.Isolated(sim.now) {
		t.Error("a message sent before the end of the pause ends the isolation")
	}
	sim.run(20 * time.Second)
	sim.checkAllAlive()
}

// Guards against replacement VMs that do not take over, whether they keep the name or
// only the slot and address, even if their clock is behind, and against predecessors that
// become alive again.
func TestReplaceAll(t *testing.T) {
	for _, skew := range []time.Duration{0, -time.Hour} {
		for _, newName := range []bool{false, true} {
			sim := startFleet(t.Fatalf, seed, 4)
			for i := range 4 {
				predecessor := sim.processes[i]
				member := predecessor.self
				if newName {
					member.Name += "-new"
					sim.list[i].Name = member.Name
				}
				sim.start(member, skew)
				sim.run(15 * time.Second)
				sim.checkAllAlive()
				// The predecessor continues to run at another address.
				predecessor.self.PeerAddress = testMember(100 + i).PeerAddress
				sim.byAddress[predecessor.self.PeerAddress] = predecessor
				sim.run(5 * time.Second)
				sim.checkAllAlive()
				if !predecessor.Superseded() {
					t.Errorf("predecessor %d is not superseded; %+v", i, predecessor.events)
				}
				sim.stop(predecessor)
			}
		}
	}
}

// Guards against a pause before the announcement that ends the join. The process must
// still take a higher incarnation than its predecessor.
func TestPauseBeforeAnnouncement(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	process := sim.start(sim.processes[1].self, -time.Hour)
	sim.run(timeStep)
	process.pausedUntil = sim.now.Add(30 * time.Second)
	sim.run(time.Minute)
	if process.Superseded() || process.Self().Incarnation != sim.processes[1].Self().Incarnation+1 {
		t.Errorf("process is superseded or its incarnation %d does not follow %d", process.Self().Incarnation, sim.processes[1].Self().Incarnation)
	}
	sim.checkAllAlive()
}

// Guards against relying on an outdated VM list, which lists VMs that no longer run and
// lacks VMs that run.
func TestStaleVMList(t *testing.T) {
	sim := newSimulation(t.Fatalf, seed)
	for i := range 12 {
		sim.addToList(testMember(i))
	}
	for _, i := range []int{0, 1, 20, 21} {
		sim.start(testMember(i), 0)
	}
	sim.run(time.Minute)
	sim.checkAllAlive()
	sim.stop(sim.processes[1])
	sim.run(15 * time.Second)
	sim.checkAllAlive()
	want := map[anvilmodel.VMName]anvilmodel.MemberStatus{"vm-001": anvilmodel.MemberDead}
	for i := 2; i < 12; i++ {
		want[testMember(i).Name] = anvilmodel.MemberUnknown
	}
	sim.checkStatuses(want)
}

// Guards against depending on the VM list. It is unavailable for an hour, in which a VM is
// lost and replaced.
func TestVMListUnavailable(t *testing.T) {
	sim := startFleet(t.Fatalf, seed, 4)
	sim.listDown = true
	sim.run(30 * time.Minute)
	sim.stop(sim.processes[3])
	sim.run(10 * time.Second)
	sim.checkStatuses(map[anvilmodel.VMName]anvilmodel.MemberStatus{"vm-003": anvilmodel.MemberDead})
	sim.start(sim.processes[3].self, -time.Hour)
	sim.run(30 * time.Minute)
	sim.checkAllAlive()
	if deaths := sim.countEvents(anvilmember.EventDead); deaths != 3 {
		t.Errorf("%d deaths, want 3", deaths)
	}
}
