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
	if seedFlag := flag.Lookup("rapid.seed"); seedFlag.Value.String() == "0" {
		_ = seedFlag.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against faults of any combination of lost VMs, replacements, pauses, network
// cuts, message loss and VM list faults: deaths on a single witness, witnesses that did
// not fail, a return to an old incarnation, messages over their limits or of another size
// than computed, and members that do not become alive again afterwards.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		sim := startFleet(t.Fatalf, rapid.Uint64().Draw(t, "seed"), n)
		type slotView struct {
			observer *simulatedProcess
			slot     anvilmodel.SlotName
		}
		sim.checkEncodedSize = true
		highest := make(map[slotView]anvilmodel.Incarnation)
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			sim.injectFault(t, n)
			sim.run(time.Duration(rapid.IntRange(1, 800).Draw(t, "wait")) * 10 * time.Millisecond)
			for _, process := range sim.running() {
				for i := range n {
					member, _ := process.BySlot(testMember(i).Slot)
					view := slotView{process, testMember(i).Slot}
					if member.Incarnation < highest[view] && process.Announced() {
						t.Fatalf("%s went back to incarnation %d of %s", process.self.Name, member.Incarnation, member.Slot)
					}
					highest[view] = member.Incarnation
				}
			}
		}
		sim.isCut = func(_, _ anvilmodel.VMName) bool { return false }
		sim.lossRate = 0
		sim.listDown = false
		sim.list = nil
		for i := range n {
			sim.addToList(testMember(i))
			sim.relistedAt[testMember(i).Name] = sim.now
		}
		for range 3 {
			sim.run(30 * time.Second)
			sim.restartSuperseded()
		}
		sim.run(30 * time.Second)
		sim.checkAllAlive()
	})
}

// restartSuperseded restarts superseded processes, as their supervisors do.
func (sim *simulation) restartSuperseded() {
	for _, process := range sim.processes {
		if process.Superseded() && sim.byAddress[process.self.PeerAddress] == process {
			sim.start(process.self, 0)
		}
	}
}

// injectFault draws a fault and applies it.
func (sim *simulation) injectFault(t *rapid.T, n int) {
	i := rapid.IntRange(0, n-1).Draw(t, "node")
	member := testMember(i)
	process := sim.byAddress[member.PeerAddress]
	other := testMember(rapid.IntRange(0, n-1).Draw(t, "other")).Name
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		if process != nil {
			sim.stop(process)
		}
	case 1, 2:
		sim.start(member, time.Duration(rapid.IntRange(-100, 100).Draw(t, "skew"))*time.Second)
	case 3:
		if process != nil {
			process.pausedUntil = sim.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * 100 * time.Millisecond)
		}
	case 4:
		sim.isCut = func(from, to anvilmodel.VMName) bool { return from == member.Name && to == other }
	case 5:
		sim.isCut = func(from, to anvilmodel.VMName) bool { return (from <= member.Name) != (to <= member.Name) }
	case 6:
		sim.isCut = func(_, _ anvilmodel.VMName) bool { return false }
	case 7:
		sim.lossRate = 0.3 - sim.lossRate
	case 8:
		index := slices.IndexFunc(sim.list, func(entry anvilmodel.ListedVM) bool { return entry.Name == member.Name })
		if index >= 0 {
			sim.list = slices.Delete(slices.Clone(sim.list), index, index+1)
			return
		}
		sim.addToList(member)
		sim.relistedAt[member.Name] = sim.now
		sim.listDown = !sim.listDown
	}
}

// encodeUpdate returns the protobuf message for an update.
func encodeUpdate(update anvilmember.MemberUpdate) *anvilproto.Member {
	member := update.Member
	encoded := &anvilproto.Member{
		Name:          string(member.Name),
		Slot:          string(member.Slot),
		FailureDomain: string(member.FailureDomain),
		Incarnation:   uint64(member.Incarnation),
		Status:        int32(member.Status),
		Serving:       member.Serving,
		Load:          member.Load,
		Revision:      member.ConfigRevision,
		Counter:       member.RefutationCount,
		TicketEpoch:   member.TicketEpoch,
		Version:       update.Version,
	}
	if member.PeerAddress.IsValid() {
		encoded.CallerAddress = member.CallerAddress.String()
		encoded.PeerAddress = member.PeerAddress.String()
	}
	for _, witness := range update.Witnesses {
		encoded.Witnesses = append(encoded.Witnesses, string(witness))
	}
	return encoded
}

// encodedSize returns the size of a message as encoded by the protobuf library. A reply
// with reached false has the same size as a request.
func encodedSize(from anvilmember.MemberUpdate, target anvilmodel.VMName, reached bool, updates []anvilmember.MemberUpdate) int {
	var encoded []*anvilproto.Member
	for _, update := range updates {
		encoded = append(encoded, encodeUpdate(update))
	}
	if reached {
		return proto.Size(&anvilproto.ProbeReply{From: encodeUpdate(from), Reached: true, News: encoded})
	}
	return proto.Size(&anvilproto.ProbeRequest{From: encodeUpdate(from), Target: string(target), News: encoded})
}
