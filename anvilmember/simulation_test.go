package anvilmember_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

const (
	timeStep     = 5 * time.Millisecond
	networkDelay = time.Millisecond
)

var startTime = time.UnixMilli(1_800_000_000_000)

// simulatedProcess is a Membership with its simulated environment.
type simulatedProcess struct {
	*anvilmember.Membership
	self                    anvilmodel.Member
	pausedUntil             time.Time
	events                  []anvilmember.Event
	sentBytes, sentMessages int
}

type message struct {
	at time.Time
	to netip.AddrPort
	// exchange is the prober and the member that it probes.
	exchange nodePair
	deliver  func(to *simulatedProcess, a *anvilmember.Actions)
}

// nodePair is a prober or witness and the member that it probes.
type nodePair [2]anvilmodel.VMName

// simulation runs processes on virtual time. It delivers their messages, with lost
// messages, network cuts and pauses.
type simulation struct {
	failf            func(format string, args ...any)
	now              time.Time
	random           *rand.Rand
	processes        []*simulatedProcess
	byAddress        map[netip.AddrPort]*simulatedProcess
	messages         []message
	pendingResponses []func(anvilmember.Response)
	list             []anvilmodel.ListedVM
	listDown         bool
	// refusesStopped makes probes of stopped processes fail at once, as those of a killed
	// process do while its machine runs on.
	refusesStopped bool
	nextList       time.Time
	lossRate       float64
	// isCut reports whether messages from one node to another are lost.
	isCut func(from, to anvilmodel.VMName) bool
	// unreachable is a node that receives no requests, while its own are answered.
	unreachable anvilmodel.VMName
	// checkEncodedSize compares the computed sizes with those of the encoded messages.
	checkEncodedSize bool
	// membershipTime is the wall-clock time spent in calls of the memberships.
	membershipTime time.Duration
	// failedExchanges holds the pairs with an exchange that did not complete.
	failedExchanges map[nodePair]bool
	// relistedAt is when a VM was added to the list again.
	relistedAt map[anvilmodel.VMName]time.Time
}

func newSimulation(failf func(string, ...any), seed uint64) *simulation {
	return &simulation{
		failf: func(format string, args ...any) {
			failf("seed %d: "+format, append([]any{seed}, args...)...)
		},
		now:             startTime,
		random:          rand.New(rand.NewPCG(seed, seed)),
		byAddress:       make(map[netip.AddrPort]*simulatedProcess),
		isCut:           func(_, _ anvilmodel.VMName) bool { return false },
		failedExchanges: make(map[nodePair]bool),
		relistedAt:      make(map[anvilmodel.VMName]time.Time),
	}
}

// startFleet starts n listed nodes and runs until they have discovered each other.
func startFleet(failf func(string, ...any), seed uint64, n int) *simulation {
	sim := newSimulation(failf, seed)
	for i := range n {
		sim.addToList(testMember(i))
	}
	for i := range n {
		sim.start(testMember(i), 0)
	}
	sim.run(time.Duration(5+n/8) * time.Second)
	return sim
}

func testMember(i int) anvilmodel.Member {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return anvilmodel.Member{
		Name:          anvilmodel.VMName(fmt.Sprintf("vm-%03d", i)),
		Slot:          anvilmodel.SlotName(fmt.Sprintf("s%03d", i)),
		FailureDomain: anvilmodel.FailureDomain(fmt.Sprintf("fd-%d", i%4)),
		CallerAddress: netip.AddrPortFrom(address, 8080),
		PeerAddress:   netip.AddrPortFrom(address, 8081),
	}
}

func (sim *simulation) addToList(member anvilmodel.Member) {
	sim.list = append(sim.list, anvilmodel.ListedVM{
		Name:          member.Name,
		CallerAddress: member.CallerAddress,
		PeerAddress:   member.PeerAddress,
		FailureDomain: member.FailureDomain,
	})
}

// start starts a process whose clock differs from the simulated time by skew. It replaces
// a process at the same address.
func (sim *simulation) start(member anvilmodel.Member, skew time.Duration) *simulatedProcess {
	member.Incarnation = anvilmodel.Incarnation(sim.now.Add(skew).UnixMilli())
	process := &simulatedProcess{
		self: member,
		Membership: anvilmember.New(anvilmember.Config{
			Self:   member,
			Random: rand.New(rand.NewPCG(sim.random.Uint64(), 1)),
		}, sim.now),
	}
	sim.processes = append(sim.processes, process)
	sim.byAddress[member.PeerAddress] = process
	sim.call(process, func(a *anvilmember.Actions) {
		sim.readList(process, a)
		process.UpdateSelf(anvilmember.SelfState{Load: 0.5, ConfigRevision: 1700, Serving: true, TicketEpoch: 300}, sim.now, a)
	})
	return process
}

func (sim *simulation) stop(process *simulatedProcess) {
	if sim.byAddress[process.self.PeerAddress] == process {
		delete(sim.byAddress, process.self.PeerAddress)
	}
}

func (sim *simulation) run(duration time.Duration) {
	for end := sim.now.Add(duration); sim.now.Before(end); {
		sim.now = sim.now.Add(timeStep)
		due := sim.messages
		sim.messages = nil
		for _, msg := range due {
			switch process := sim.byAddress[msg.to]; {
			case process == nil:
				sim.failedExchanges[msg.exchange] = true
			case sim.now.Before(msg.at) || sim.now.Before(process.pausedUntil):
				sim.messages = append(sim.messages, msg)
			default:
				sim.call(process, func(a *anvilmember.Actions) { msg.deliver(process, a) })
			}
		}
		readDue := !sim.now.Before(sim.nextList)
		if readDue {
			sim.nextList = sim.now.Add(2 * time.Second)
		}
		for _, process := range sim.processes {
			if sim.byAddress[process.self.PeerAddress] != process || sim.now.Before(process.pausedUntil) {
				continue
			}
			if readDue {
				sim.call(process, func(a *anvilmember.Actions) { sim.readList(process, a) })
			}
			if !sim.now.Before(process.Next()) {
				sim.call(process, func(a *anvilmember.Actions) { process.Tick(sim.now, a) })
			}
		}
	}
}

func (sim *simulation) readList(process *simulatedProcess, a *anvilmember.Actions) {
	if sim.listDown {
		process.SetVMListUnavailable(sim.now, a)
		return
	}
	process.SetVMList(sim.list, sim.now, a)
	process.PlatformReplied(sim.now, sim.now, a)
}

// call calls a membership, carries out the resulting actions and checks declared deaths.
func (sim *simulation) call(process *simulatedProcess, call func(a *anvilmember.Actions)) {
	var a anvilmember.Actions
	begin := time.Now()
	call(&a)
	sim.membershipTime += time.Since(begin)
	process.events = append(process.events, a.Events...)
	for _, probe := range a.Probes {
		sim.sendProbe(process, probe)
	}
	for _, response := range a.Responses {
		sim.pendingResponses[response.Token](response)
		sim.pendingResponses[response.Token] = nil
	}
	for _, event := range a.Events {
		if event.Kind == anvilmember.EventDead {
			sim.checkDeath(process, event)
		}
	}
}

// checkDeath checks that a member is declared dead on a single witness only if it is not in
// the VM list, if no other member is live, or if none is alive and nothing runs at the
// member's address, and that each witness failed in an exchange.
func (sim *simulation) checkDeath(process *simulatedProcess, event anvilmember.Event) {
	required := 2
	switch event.Cause {
	case "one witness, not in the VM list":
		required = 1
		for _, entry := range sim.list {
			validSince := sim.now.Add(-anvilmember.DefaultVMListTTL)
			if entry.Name == event.Member && !entry.Leaving && sim.relistedAt[entry.Name].Before(validSince) {
				sim.failf("%s: %+v, but it is listed", process.self.Name, event)
			}
		}
	case "one witness, no process at its address":
		required = 1
		for _, member := range process.Members() {
			if member.Name != process.self.Name && member.Status == anvilmodel.MemberAlive {
				sim.failf("%s: %+v, but %s is alive", process.self.Name, event, member.Name)
			}
			if member.Name == event.Member && sim.byAddress[member.PeerAddress] != nil {
				sim.failf("%s: %+v, but its process runs", process.self.Name, event)
			}
		}
	case "one witness, no other live member":
		required = 1
		for _, member := range process.Members() {
			if member.Name != process.self.Name && (member.Status == anvilmodel.MemberAlive || member.Status == anvilmodel.MemberSuspect) {
				sim.failf("%s: %+v, but %s is live", process.self.Name, event, member.Name)
			}
		}
	}
	if len(event.Witnesses) < required {
		sim.failf("%s: %+v", process.self.Name, event)
	}
	for i, w := range event.Witnesses {
		if !sim.failedExchanges[nodePair{w, event.Member}] || i > 0 && w == event.Witnesses[i-1] {
			sim.failf("%s: %s did not fail to reach the member in %+v", process.self.Name, w, event)
		}
	}
}

func (sim *simulation) sendProbe(process *simulatedProcess, probe anvilmember.Probe) {
	request := probe.Request
	sim.countMessage(process, anvilmember.RequestSize(request), request.From, request.Target, false, request.Updates)
	exchange := nodePair{process.self.Name, probe.To}
	to := sim.byAddress[probe.Address]
	if probe.To == sim.unreachable || to == nil || to.self.Name != probe.To || sim.now.Before(to.pausedUntil) {
		sim.failedExchanges[exchange] = true
	}
	if probe.To == sim.unreachable {
		return
	}
	if to == nil && sim.refusesStopped {
		sim.messages = append(sim.messages, message{
			at:       sim.now.Add(networkDelay),
			to:       process.self.PeerAddress,
			exchange: exchange,
			deliver: func(receiver *simulatedProcess, a *anvilmember.Actions) {
				if receiver == process {
					process.HandleProbeFailure(probe.ID, true, sim.now, a)
				}
			},
		})
		return
	}
	sim.send(process, probe.Address, exchange, func(to *simulatedProcess, a *anvilmember.Actions) {
		sim.pendingResponses = append(sim.pendingResponses, func(response anvilmember.Response) {
			if response.Refused {
				sim.failedExchanges[exchange] = true
				return
			}
			sim.countMessage(to, anvilmember.ReplySize(response.Reply), response.Reply.From, "", response.Reply.Reached, response.Reply.Updates)
			sim.send(to, process.self.PeerAddress, exchange, func(receiver *simulatedProcess, a *anvilmember.Actions) {
				if receiver == process {
					process.HandleProbeReply(probe.ID, response.Reply, sim.now, a)
				}
			})
		})
		to.HandleProbeRequest(uint64(len(sim.pendingResponses)-1), request, sim.now, a)
	})
}

// countMessage counts a message sent by a process and checks its limits.
func (sim *simulation) countMessage(process *simulatedProcess, size int, from anvilmember.MemberUpdate, target anvilmodel.VMName, reached bool, updates []anvilmember.MemberUpdate) {
	process.sentMessages++
	process.sentBytes += size
	if size > anvilmember.DefaultMaxMessageBytes || len(updates) > anvilmember.DefaultMaxUpdates {
		sim.failf("message of %d bytes and %d updates", size, len(updates))
	}
	if sim.checkEncodedSize && size != encodedSize(from, target, reached, updates) {
		sim.failf("computed size is %d bytes, encoded size %d", size, encodedSize(from, target, reached, updates))
	}
}

func (sim *simulation) send(process *simulatedProcess, to netip.AddrPort, exchange nodePair, deliver func(*simulatedProcess, *anvilmember.Actions)) {
	receiver := sim.byAddress[to]
	if receiver == nil || sim.isCut(process.self.Name, receiver.self.Name) || sim.random.Float64() < sim.lossRate {
		sim.failedExchanges[exchange] = true
		return
	}
	sim.messages = append(sim.messages, message{
		at:       sim.now.Add(networkDelay),
		to:       to,
		exchange: exchange,
		deliver:  deliver,
	})
}
