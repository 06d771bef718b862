package anvilbench

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// process is one incarnation of a leaf. Its first calls, one per slot, run.
type process struct {
	leaf           *leaf
	incarnation    anvilmodel.Incarnation
	coldUntil      time.Duration
	collapsedUntil time.Duration
	dead           bool
	calls          []*task
	connections    []*connection
	lastLoad       float64
	lastLoadAt     time.Duration
}

// task is a call at a leaf.
type task struct {
	call       anvilmodel.Call
	connection *connection
	deadline   time.Duration
	// from is what the call is answered from. It stays open while the call runs,
	// even if the leaf drops the snapshot.
	holding holding
	running bool
	ended   bool
}

// chill empties the caches of a process, which does not notice it itself.
func (p *process) clearCaches() {
	p.coldUntil = p.leaf.sim.clock.now + actualColdTime
}

func (p *process) isCold() bool {
	return p.leaf.sim.clock.now < p.coldUntil
}

// forget removes a connection that was closed.
func (p *process) removeConnection(c *connection) {
	if i := slices.Index(p.connections, c); i >= 0 {
		p.connections = slices.Delete(p.connections, i, i+1)
	}
}

// arrive takes a call: it runs, waits in a queue of one call per slot, or is shed.
func (p *process) receive(c *connection, call anvilmodel.Call) {
	t := &task{
		call:       call,
		connection: c,
		deadline:   p.leaf.sim.clock.now + call.Timeout,
	}
	p.leaf.sim.countReceived(p.leaf, &t.call)
	i := p.leaf.findHolding(call.Snapshot)
	if i < 0 {
		p.reply(t, anvilmodel.CallSnapshotGone, anvilmodel.RunStateNotRun)
		return
	}
	t.holding = p.leaf.holdings[i]
	if len(p.calls) >= 2*p.leaf.service.Slots {
		p.leaf.sim.result.LeafSheds++
		p.reply(t, anvilmodel.CallShed, anvilmodel.RunStateNotRun)
		return
	}
	p.calls = append(p.calls, t)
	p.checkColdLimit()
	p.startCalls()
}

// checkCold counts calls beyond what the leaf can handle in cold start.
func (p *process) checkColdLimit() {
	if !p.isCold() || len(p.calls) <= p.leaf.service.ColdConcurrency {
		return
	}
	p.collapsedUntil = p.leaf.sim.clock.now + collapseTime
	p.leaf.sim.result.ColdViolations++
}

// begin starts the calls that have a slot.
func (p *process) startCalls() {
	for i := 0; i < min(len(p.calls), p.leaf.service.Slots); {
		t := p.calls[i]
		if t.running {
			i++
			continue
		}
		if p.leaf.sim.clock.now >= t.deadline {
			p.calls = slices.Delete(p.calls, i, i+1)
			t.ended = true
			p.reply(t, anvilmodel.CallCancelled, anvilmodel.RunStateNotRun)
			continue
		}
		p.run(t)
		i++
	}
}

// run works on a call until it is done or its deadline has passed.
func (p *process) run(t *task) {
	sim := p.leaf.sim
	t.running = true
	sim.markRan(&t.call)
	duration := p.serviceTime(t)
	result := anvilmodel.CallOK
	if remaining := t.deadline - sim.clock.now; duration > remaining {
		duration = remaining
		result = anvilmodel.CallCancelled
	}
	sim.clock.scheduleAfter(duration, func() { p.finish(t, result) })
}

func (p *process) serviceTime(t *task) time.Duration {
	l := p.leaf
	duration := float64(l.service.ServiceTimes.sample(l.sim.seed, uint64(l.index), queryNumber(&t.call))) * l.slowdown
	if p.isCold() {
		duration *= coldSlowdown
	}
	if l.sim.clock.now < p.collapsedUntil {
		duration *= collapseSlowdown
	}
	return time.Duration(duration)
}

// end finishes a call that is waiting or running.
func (p *process) finish(t *task, result anvilmodel.CallResult) {
	if t.ended || p.dead {
		return
	}
	t.ended = true
	i := slices.Index(p.calls, t)
	p.calls = slices.Delete(p.calls, i, i+1)
	runState := anvilmodel.RunStateNotRun
	if t.running {
		runState = anvilmodel.RunStateRun
	}
	p.reply(t, result, runState)
	p.startCalls()
}

// cancel stops a call on request.
func (p *process) cancel(id anvilmodel.CallID) {
	for _, t := range p.calls {
		if t.call.ID == id {
			p.finish(t, anvilmodel.CallCancelled)
			return
		}
	}
}

// answer sends the reply to a call.
func (p *process) reply(t *task, result anvilmodel.CallResult, runState anvilmodel.RunState) {
	reply := anvilmodel.CallReply{
		ID:          t.call.ID,
		Leaf:        p.leaf.config.Name,
		Result:      result,
		RunState:    runState,
		Incarnation: p.incarnation,
		Load:        p.reportedLoad(),
	}
	switch result {
	case anvilmodel.CallOK:
		replyFrom := p.leaf.holdingForReply(t.holding)
		reply.Holding = replyFrom.Holding
		reply.Body = replyFrom.body
	case anvilmodel.CallShed:
		reply.RetryAfter = shedRetryAfter
	}
	t.connection.carryReply(reply)
}

// reportedLoad returns the load of up to loadInterval ago.
func (p *process) reportedLoad() float64 {
	now := p.leaf.sim.clock.now
	if now-p.lastLoadAt >= loadReportInterval {
		p.lastLoadAt = now
		p.lastLoad = float64(len(p.calls)) / float64(p.leaf.service.Slots)
	}
	return p.lastLoad
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
