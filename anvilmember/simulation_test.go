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
	step   = 5 * time.Millisecond
	oneWay = time.Millisecond
)

var epoch = time.UnixMilli(1_800_000_000_000)

// process is one Membership with what the pump knows of it.
type process struct {
	*anvilmember.Membership
	self        anvilmodel.Member
	pausedUntil time.Time
	events      []anvilmember.Event
	bytes, sent int
}

type message struct {
	at time.Time
	to netip.AddrPort
	// exchange is the prober and whom it means to reach.
	exchange pair
	deliver  func(p *process, a *anvilmember.Actions)
}

// pair is an observer or witness and the node that it judges.
type pair [2]anvilmodel.VMName

// pump carries messages between cores through a slice, with loss, cuts and pauses.
type pump struct {
	fail      func(format string, arguments ...any)
	now       time.Time
	random    *rand.Rand
	processes []*process
	byAddress map[netip.AddrPort]*process
	messages  []message
	pending   []func(anvilmember.Response)
	list      []anvilmodel.ListedVM
	listDown  bool
	nextList  time.Time
	loss      float64
	// cut says that messages from one node to another are lost.
	cut func(from, to anvilmodel.VMName) bool
	// deaf is a node that gets no requests, though its own are answered.
	deaf anvilmodel.VMName
	// encode compares the sizes with those of the encoded messages.
	encode bool
	// spent is the wall-clock time in the cores.
	spent time.Duration
	// lost holds the pairs that really failed to complete an exchange.
	lost map[pair]bool
	// relisted says when a VM was put back on the list.
	relisted map[anvilmodel.VMName]time.Time
}

func newPump(fail func(string, ...any), seed uint64) *pump {
	return &pump{
		fail: func(format string, arguments ...any) {
			fail("seed %d: "+format, append([]any{seed}, arguments...)...)
		},
		now:       epoch,
		random:    rand.New(rand.NewPCG(seed, seed)),
		byAddress: make(map[netip.AddrPort]*process),
		cut:       func(_, _ anvilmodel.VMName) bool { return false },
		lost:      make(map[pair]bool),
		relisted:  make(map[anvilmodel.VMName]time.Time),
	}
}

// fleet starts n listed nodes and runs until they know each other.
func fleet(fail func(string, ...any), seed uint64, n int) *pump {
	p := newPump(fail, seed)
	for i := range n {
		p.publish(member(i))
	}
	for i := range n {
		p.start(member(i), 0)
	}
	p.run(time.Duration(5+n/8) * time.Second)
	return p
}

func member(i int) anvilmodel.Member {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return anvilmodel.Member{
		Name:          anvilmodel.VMName(fmt.Sprintf("vm-%03d", i)),
		Slot:          anvilmodel.SlotName(fmt.Sprintf("s%03d", i)),
		FailureDomain: anvilmodel.FailureDomain(fmt.Sprintf("fd-%d", i%4)),
		CallerAddress: netip.AddrPortFrom(address, 8080),
		PeerAddress:   netip.AddrPortFrom(address, 8081),
	}
}

func (p *pump) publish(e anvilmodel.Member) {
	p.list = append(p.list, anvilmodel.ListedVM{
		Name:          e.Name,
		CallerAddress: e.CallerAddress,
		PeerAddress:   e.PeerAddress,
		FailureDomain: e.FailureDomain,
	})
}

// start runs a process whose clock differs from the pump's by skew. It takes the
// place of one at the same address.
func (p *pump) start(e anvilmodel.Member, skew time.Duration) *process {
	e.Incarnation = anvilmodel.Incarnation(p.now.Add(skew).UnixMilli())
	x := &process{
		self: e,
		Membership: anvilmember.New(anvilmember.Config{
			Self:   e,
			Random: rand.New(rand.NewPCG(p.random.Uint64(), 1)),
		}, p.now),
	}
	p.processes = append(p.processes, x)
	p.byAddress[e.PeerAddress] = x
	p.do(x, func(a *anvilmember.Actions) {
		p.readList(x, a)
		x.UpdateSelf(anvilmember.SelfState{Load: 0.5, ConfigRevision: 1700, Serving: true, TicketEpoch: 300}, p.now, a)
	})
	return x
}

func (p *pump) stop(x *process) {
	if p.byAddress[x.self.PeerAddress] == x {
		delete(p.byAddress, x.self.PeerAddress)
	}
}

func (p *pump) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(step)
		due := p.messages
		p.messages = nil
		for _, k := range due {
			switch x := p.byAddress[k.to]; {
			case x == nil:
				p.lost[k.exchange] = true
			case p.now.Before(k.at) || p.now.Before(x.pausedUntil):
				p.messages = append(p.messages, k)
			default:
				p.do(x, func(a *anvilmember.Actions) { k.deliver(x, a) })
			}
		}
		read := !p.now.Before(p.nextList)
		if read {
			p.nextList = p.now.Add(2 * time.Second)
		}
		for _, x := range p.processes {
			if p.byAddress[x.self.PeerAddress] != x || p.now.Before(x.pausedUntil) {
				continue
			}
			if read {
				p.do(x, func(a *anvilmember.Actions) { p.readList(x, a) })
			}
			if !p.now.Before(x.Next()) {
				p.do(x, func(a *anvilmember.Actions) { x.Tick(p.now, a) })
			}
		}
	}
}

func (p *pump) readList(x *process, a *anvilmember.Actions) {
	if p.listDown {
		x.SetVMListUnavailable(p.now, a)
		return
	}
	x.SetVMList(p.list, p.now, a)
	x.PlatformReplied(p.now, p.now, a)
}

// do runs a call on a core, carries out the actions and checks the deaths.
func (p *pump) do(x *process, call func(a *anvilmember.Actions)) {
	var a anvilmember.Actions
	begin := time.Now()
	call(&a)
	p.spent += time.Since(begin)
	x.events = append(x.events, a.Events...)
	for _, r := range a.Probes {
		p.probe(x, r)
	}
	for _, k := range a.Responses {
		p.pending[k.Token](k)
		p.pending[k.Token] = nil
	}
	for _, e := range a.Events {
		if e.Kind == anvilmember.EventDead {
			p.checkDeath(x, e)
		}
	}
}

// checkDeath checks that nobody is declared dead on one witness but as 6.10 allows,
// and that each witness failed in an exchange.
func (p *pump) checkDeath(x *process, e anvilmember.Event) {
	need := 2
	switch e.Cause {
	case "one witness, not in the VM list":
		need = 1
		for _, v := range p.list {
			read := p.now.Add(-anvilmember.DefaultVMListTTL)
			if v.Name == e.Member && !v.Leaving && p.relisted[v.Name].Before(read) {
				p.fail("%s: %+v, but it is listed", x.self.Name, e)
			}
		}
	case "one witness, no other live member":
		need = 1
		for _, k := range x.Members() {
			if k.Name != x.self.Name && (k.Status == anvilmodel.MemberAlive || k.Status == anvilmodel.MemberSuspect) {
				p.fail("%s: %+v, but %s is usable", x.self.Name, e, k.Name)
			}
		}
	}
	if len(e.Witnesses) < need {
		p.fail("%s: %+v", x.self.Name, e)
	}
	for i, w := range e.Witnesses {
		if !p.lost[pair{w, e.Member}] || i > 0 && w == e.Witnesses[i-1] {
			p.fail("%s: %s did not fail to reach the member in %+v", x.self.Name, w, e)
		}
	}
}

func (p *pump) probe(x *process, r anvilmember.Probe) {
	q := r.Request
	p.count(x, anvilmember.RequestSize(q), q.From, q.Target, false, q.Updates)
	exchange := pair{x.self.Name, r.To}
	to := p.byAddress[r.Address]
	if r.To == p.deaf || to == nil || to.self.Name != r.To || p.now.Before(to.pausedUntil) {
		p.lost[exchange] = true
	}
	if r.To == p.deaf {
		return
	}
	p.send(x, r.Address, exchange, func(to *process, a *anvilmember.Actions) {
		p.pending = append(p.pending, func(k anvilmember.Response) {
			if k.Refused {
				p.lost[exchange] = true
				return
			}
			p.count(to, anvilmember.ReplySize(k.Reply), k.Reply.From, "", k.Reply.Reached, k.Reply.Updates)
			p.send(to, x.self.PeerAddress, exchange, func(back *process, a *anvilmember.Actions) {
				if back == x {
					x.HandleProbeReply(r.ID, k.Reply, p.now, a)
				}
			})
		})
		to.HandleProbeRequest(uint64(len(p.pending)-1), q, p.now, a)
	})
}

// count adds up what a core emits and checks the limits of a message.
func (p *pump) count(x *process, size int, from anvilmember.MemberUpdate, target anvilmodel.VMName, reached bool, news []anvilmember.MemberUpdate) {
	x.sent++
	x.bytes += size
	if size > anvilmember.DefaultMaxMessageBytes || len(news) > anvilmember.DefaultMaxUpdates {
		p.fail("message of %d bytes and %d items", size, len(news))
	}
	if p.encode && size != wireSize(from, target, reached, news) {
		p.fail("%d bytes counted, %d encoded", size, wireSize(from, target, reached, news))
	}
}

func (p *pump) send(x *process, to netip.AddrPort, exchange pair, deliver func(*process, *anvilmember.Actions)) {
	y := p.byAddress[to]
	if y == nil || p.cut(x.self.Name, y.self.Name) || p.random.Float64() < p.loss {
		p.lost[exchange] = true
		return
	}
	p.messages = append(p.messages, message{
		at:       p.now.Add(oneWay),
		to:       to,
		exchange: exchange,
		deliver:  deliver,
	})
}
