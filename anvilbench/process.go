package anvilbench

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// process is one incarnation of a leaf. The first entries of calls, as many as
// there are slots, are running; the others are queued.
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

// task is a call that a leaf has queued or is processing.
type task struct {
	call       anvilmodel.Call
	connection *connection
	deadline   time.Duration
	// holding is the snapshot that the call is answered from. It stays available
	// to the call even if the leaf removes the snapshot in the meantime.
	holding holding
	running bool
	ended   bool
}

// clearCaches empties the caches of the process, which does not report it.
func (p *process) clearCaches() {
	p.coldUntil = p.leaf.sim.clock.now + actualColdTime
}

func (p *process) isCold() bool {
	return p.leaf.sim.clock.now < p.coldUntil
}

// removeConnection removes a closed connection.
func (p *process) removeConnection(c *connection) {
	if i := slices.Index(p.connections, c); i >= 0 {
		p.connections = slices.Delete(p.connections, i, i+1)
	}
}

// receive runs a call, queues it or sheds it. The queue holds one call per slot.
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

// checkColdLimit counts a violation and starts a collapse if the leaf is cold and
// has more calls than its cold concurrency.
func (p *process) checkColdLimit() {
	if !p.isCold() || len(p.calls) <= p.leaf.service.ColdConcurrency {
		return
	}
	p.collapsedUntil = p.leaf.sim.clock.now + collapseTime
	p.leaf.sim.result.ColdViolations++
}

// startCalls starts queued calls as long as there are free slots. Calls whose
// deadline has passed are cancelled instead.
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

// run processes a call until it is finished or its deadline has passed.
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

// finish ends a queued or running call with the given result.
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

// cancel ends a call at the request of its dispatcher.
func (p *process) cancel(id anvilmodel.CallID) {
	for _, t := range p.calls {
		if t.call.ID == id {
			p.finish(t, anvilmodel.CallCancelled)
			return
		}
	}
}

// reply sends the reply to a call.
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
	t.connection.sendReply(reply)
}

// reportedLoad returns the load, which may be up to loadReportInterval old.
func (p *process) reportedLoad() float64 {
	now := p.leaf.sim.clock.now
	if now-p.lastLoadAt >= loadReportInterval {
		p.lastLoadAt = now
		p.lastLoad = float64(len(p.calls)) / float64(p.leaf.service.Slots)
	}
	return p.lastLoad
}

// state returns the response of the state endpoint. It never reports that the
// process is cold.
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
