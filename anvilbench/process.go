package anvilbench

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// process is one incarnation of a leaf. Its first calls, one per slot, run.
type process struct {
	leaf        *leaf
	incarnation anvilmodel.Incarnation
	coldUntil   time.Duration
	collapsed   time.Duration
	dead        bool
	calls       []*task
	connections []*connection
	load        float64
	loadAt      time.Duration
}

// task is a call at a leaf.
type task struct {
	call       anvilmodel.Call
	connection *connection
	deadline   time.Duration
	// from is what the call is answered from. It stays open while the call runs,
	// even if the leaf drops the snapshot.
	from    holding
	running bool
	ended   bool
}

// chill empties the caches of a process, which does not notice it itself.
func (p *process) chill() {
	p.coldUntil = p.leaf.fleet.clock.now + coldFor
}

func (p *process) cold() bool {
	return p.leaf.fleet.clock.now < p.coldUntil
}

// forget removes a connection that was closed.
func (p *process) forget(c *connection) {
	if i := slices.Index(p.connections, c); i >= 0 {
		p.connections = slices.Delete(p.connections, i, i+1)
	}
}

// arrive takes a call: it runs, waits in a queue of one call per slot, or is shed.
func (p *process) arrive(c *connection, call anvilmodel.Call) {
	t := &task{
		call:       call,
		connection: c,
		deadline:   p.leaf.fleet.clock.now + call.Timeout,
	}
	p.leaf.fleet.received(p.leaf, &t.call)
	i := p.leaf.find(call.Snapshot)
	if i < 0 {
		p.answer(t, anvilmodel.CallSnapshotGone, anvilmodel.RunStateNotRun)
		return
	}
	t.from = p.leaf.holdings[i]
	if len(p.calls) >= 2*p.leaf.service.Slots {
		p.leaf.fleet.result.LeafSheds++
		p.answer(t, anvilmodel.CallShed, anvilmodel.RunStateNotRun)
		return
	}
	p.calls = append(p.calls, t)
	p.checkCold()
	p.begin()
}

// checkCold counts calls beyond what the leaf can handle in cold start.
func (p *process) checkCold() {
	if !p.cold() || len(p.calls) <= p.leaf.service.ColdConcurrency {
		return
	}
	p.collapsed = p.leaf.fleet.clock.now + collapseFor
	p.leaf.fleet.result.ColdViolations++
}

// begin starts the calls that have a slot.
func (p *process) begin() {
	for i := 0; i < min(len(p.calls), p.leaf.service.Slots); {
		t := p.calls[i]
		if t.running {
			i++
			continue
		}
		if p.leaf.fleet.clock.now >= t.deadline {
			p.calls = slices.Delete(p.calls, i, i+1)
			t.ended = true
			p.answer(t, anvilmodel.CallCancelled, anvilmodel.RunStateNotRun)
			continue
		}
		p.run(t)
		i++
	}
}

// run works on a call until it is done or its deadline has passed.
func (p *process) run(t *task) {
	f := p.leaf.fleet
	t.running = true
	f.ran(&t.call)
	took := p.serviceTime(t)
	result := anvilmodel.CallOK
	if left := t.deadline - f.clock.now; took > left {
		took = left
		result = anvilmodel.CallCancelled
	}
	f.clock.after(took, func() { p.end(t, result) })
}

func (p *process) serviceTime(t *task) time.Duration {
	l := p.leaf
	took := float64(l.service.ServiceTimes.draw(l.fleet.seed, uint64(l.index), serial(&t.call))) * l.slow
	if p.cold() {
		took *= coldFactor
	}
	if l.fleet.clock.now < p.collapsed {
		took *= collapseFactor
	}
	return time.Duration(took)
}

// end finishes a call that is waiting or running.
func (p *process) end(t *task, result anvilmodel.CallResult) {
	if t.ended || p.dead {
		return
	}
	t.ended = true
	i := slices.Index(p.calls, t)
	p.calls = slices.Delete(p.calls, i, i+1)
	ran := anvilmodel.RunStateNotRun
	if t.running {
		ran = anvilmodel.RunStateRun
	}
	p.answer(t, result, ran)
	p.begin()
}

// cancel stops a call on request.
func (p *process) cancel(id anvilmodel.CallID) {
	for _, t := range p.calls {
		if t.call.ID == id {
			p.end(t, anvilmodel.CallCancelled)
			return
		}
	}
}

// answer sends the reply to a call.
func (p *process) answer(t *task, result anvilmodel.CallResult, ran anvilmodel.RunState) {
	reply := anvilmodel.CallReply{
		ID:          t.call.ID,
		Leaf:        p.leaf.config.Name,
		Result:      result,
		RunState:    ran,
		Incarnation: p.incarnation,
		Load:        p.reportedLoad(),
	}
	switch result {
	case anvilmodel.CallOK:
		from := p.leaf.stray(t.from)
		reply.Holding = from.Holding
		reply.Body = from.body
	case anvilmodel.CallShed:
		reply.RetryAfter = shedRetryAfter
	}
	t.connection.replied(reply)
}

// reportedLoad returns the load of up to loadInterval ago.
func (p *process) reportedLoad() float64 {
	now := p.leaf.fleet.clock.now
	if now-p.loadAt >= loadInterval {
		p.loadAt = now
		p.load = float64(len(p.calls)) / float64(p.leaf.service.Slots)
	}
	return p.load
}

// state returns what the state endpoint says. It never admits to being cold.
func (p *process) state() anvilmodel.LeafState {
	s := anvilmodel.LeafState{
		Leaf:        p.leaf.config.Name,
		Incarnation: p.incarnation,
		Load:        p.reportedLoad(),
	}
	for _, h := range p.leaf.holdings {
		s.Holdings = append(s.Holdings, h.Holding)
	}
	return s
}
