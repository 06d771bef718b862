package anvilbench

import (
	"encoding/binary"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Behaviour of the fake leafs.
const (
	// coldFor is how long a process or a cache is really cold. The configured
	// cold duration is longer, as an operator would set it.
	coldFor = 1500 * time.Millisecond
	// coldDuration is the configured cold duration.
	coldDuration = 2 * time.Second
	// coldFactor multiplies service times of a cold leaf that is not overrun.
	coldFactor = 2
	// collapseFactor multiplies service times of a cold leaf that got more calls
	// than it can handle, for collapseFor after the last one too many.
	collapseFactor = 20
	collapseFor    = time.Second
	// loadInterval is how often a leaf computes the load that it reports.
	loadInterval = 500 * time.Millisecond
	// shedRetryAfter is what a leaf states when it sheds.
	shedRetryAfter = 50 * time.Millisecond
)

// leaf is a fake upstream under one name, process by process.
type leaf struct {
	fleet   *fleet
	index   int
	config  anvilmodel.Leaf
	service *Service
	// slow multiplies service times.
	slow float64
	// unreachable is set while nothing reaches the leaf, not even a refusal.
	unreachable bool
	process     *process
	holdings    []holding
	// dispatchers counts the control connections, which stay open.
	dispatchers int
	// strays is the share of calls for an older snapshot that the leaf wrongly
	// answers from its newest one.
	strays float64
}

// holding is a snapshot that a leaf holds, with the body that it answers.
type holding struct {
	anvilmodel.Holding
	body []byte
}

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

// newHolding returns a holding and its body, which repeats what it is from.
func newHolding(snapshot anvilmodel.Snapshot, shard, shards int) holding {
	h := holding{
		Holding: anvilmodel.Holding{
			Snapshot: snapshot,
			Shard:    anvilmodel.Shard(shard),
			Shards:   shards,
		},
	}
	h.body = encodePart(h.Holding)
	return h
}

func encodePart(h anvilmodel.Holding) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(h.Snapshot))
	body = binary.BigEndian.AppendUint32(body, uint32(h.Shard))
	return binary.BigEndian.AppendUint32(body, uint32(h.Shards))
}

func decodePart(body []byte) anvilmodel.Holding {
	return anvilmodel.Holding{
		Snapshot: anvilmodel.Snapshot(binary.BigEndian.Uint64(body)),
		Shard:    anvilmodel.Shard(binary.BigEndian.Uint32(body[8:])),
		Shards:   int(binary.BigEndian.Uint32(body[12:])),
	}
}

// start begins a process; cold says whether its caches are empty.
func (l *leaf) start(cold bool) {
	p := &process{
		leaf:        l,
		incarnation: 1,
	}
	if l.process != nil {
		p.incarnation = l.process.incarnation + 1
	}
	l.process = p
	if cold {
		p.chill()
	}
}

// kill ends the process. Its connections break at once unless the VM is gone
// with it; then they go silent.
func (l *leaf) kill(silently bool) {
	p := l.process
	p.dead = true
	p.calls = nil
	for _, c := range p.connections {
		if !silently {
			c.breakOff()
		}
	}
	p.connections = nil
}

// chill empties the caches of a process, which does not notice it itself.
func (p *process) chill() {
	p.coldUntil = p.leaf.fleet.clock.now + coldFor
}

func (p *process) cold() bool {
	return p.leaf.fleet.clock.now < p.coldUntil
}

// hold makes the leaf hold one more snapshot, drop makes it forget one.
func (l *leaf) hold(snapshot anvilmodel.Snapshot, shard, shards int) {
	l.holdings = append(l.holdings, newHolding(snapshot, shard, shards))
}

func (l *leaf) drop(snapshot anvilmodel.Snapshot) {
	l.holdings = slices.DeleteFunc(l.holdings, func(h holding) bool {
		return h.Snapshot == snapshot
	})
}

func (l *leaf) find(snapshot anvilmodel.Snapshot) int {
	return slices.IndexFunc(l.holdings, func(h holding) bool {
		return h.Snapshot == snapshot
	})
}

// accept takes a new connection, nil when the leaf refuses it.
func (l *leaf) accept(c *connection) *process {
	p := l.process
	if p.dead || len(p.connections)+l.dispatchers >= l.service.Connections {
		return nil
	}
	p.connections = append(p.connections, c)
	return p
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
	took := float64(l.service.Work.draw(l.fleet.seed, uint64(l.index), serial(&t.call))) * l.slow
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
		Ran:         ran,
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

// stray returns the newest holding instead of an older one in a share of the
// cases, as a leaf does that mixes up its snapshots.
func (l *leaf) stray(h holding) holding {
	if l.strays == 0 || len(l.holdings) == 0 || l.fleet.random.Float64() >= l.strays {
		return h
	}
	return l.holdings[len(l.holdings)-1]
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
